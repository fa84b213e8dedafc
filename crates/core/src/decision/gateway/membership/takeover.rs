//! Takeover of jobs whose runner is gone.

use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::place::placement_rank;
use crate::decision::gateway::membership::pings::PingAnswer;
use crate::decision::gateway::membership::pings::SILENCE_LIMIT;
use crate::decision::gateway::membership::pings::SUSPICION_LIMIT;
use crate::decision::gateway::membership::witness::Witness;
use crate::decision::gateway::membership::witness::WitnessStep;
use crate::decision::gateway::stored::Purpose;
use crate::domain::batch::Head;
use crate::domain::batch::Runner;
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::name::BatchId;
use crate::domain::time::Time;

/// Delay of each takeover candidate behind the one before it.
const CANDIDATE_DELAY: Duration = Duration::from_millis(500);

/// Base delay for the takeover of a job without a runner, so that only the first candidate claims
/// it.
const VACANT_JOB_DELAY: Duration = Duration::from_millis(20);

/// Time for which a runner that took a job over keeps it, whatever other processes believe of it. It
/// doubles with each further takeover.
const MIN_TENURE: Duration = Duration::from_millis(1_000);

/// Maximum of that time. A step makes progress in it, since the next runner goes on from its drafts.
const MAX_TENURE: Duration = Duration::from_millis(4_000);

/// What is known of the process that runs a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// It answers pings and reaches the object API, as far as is known.
    Alive,
    /// It has answered no pings for a moment, but may go on.
    Silent,
    /// It has ended or cannot list results, as far as is known.
    Gone,
    /// It has ended: the job was handed over, or another run answers in its place.
    Ended,
}

impl Gateway {
    /// Takes over a job if its runner is gone and the delay of this candidate has passed.
    pub(in crate::decision::gateway) fn check_runner(&mut self, id: &BatchId) {
        if self.draining || !self.peers.listed || self.store.outage_start.is_some() {
            return;
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.head.ended || job.changing_runner || job.is_run_by(&self.settings.peer) {
            return;
        }
        // Without its route the job could not run here.
        if self.job_route(&job.head).is_none() || !self.may_take_over(&job.head) {
            return;
        }
        let presence = match &job.head.runner {
            Some(runner) => self.presence(runner, job.runner_since),
            None => Presence::Ended,
        };
        match self.takeover_step(id, presence) {
            WitnessStep::Read => self.read_witness(id),
            WitnessStep::Wait => {}
            WitnessStep::TakeOver => self.take_over(id),
        }
    }

    /// Returns the next step towards the takeover of a job whose runner has this presence.
    fn takeover_step(&mut self, id: &BatchId, presence: Presence) -> WitnessStep {
        let now = self.now;
        let delay = self
            .jobs
            .get(id)
            .map(|job| self.takeover_delay(&job.head))
            .unwrap_or_default();
        let Some(job) = self.jobs.get_mut(id) else {
            return WitnessStep::Wait;
        };
        if presence == Presence::Alive {
            job.suspected_since = None;
            job.witness = Witness::Unknown;
            return WitnessStep::Wait;
        }
        let since = *job.suspected_since.get_or_insert(now);
        let held_until = job.runner_since + min_tenure(&job.head, presence);
        let due = (since + delay).max(held_until);
        match presence {
            Presence::Silent => job
                .witness
                .next(now, due + (SILENCE_LIMIT - SUSPICION_LIMIT)),
            _ if now >= due => WitnessStep::TakeOver,
            _ => WitnessStep::Wait,
        }
    }

    /// Makes this process the runner of a job.
    fn take_over(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.changing_runner = true;
        let suspected = job.suspected_since.map(|since| now.since(since));
        let runner = Runner::from(&self.settings.peer);
        let before = job.head.runner.as_ref().map(|r| r.host.to_string());
        let from_runner = u32::from(job.head.runner.is_some());
        let head = Head {
            runner: Some(runner),
            takeovers: job.head.takeovers.saturating_add(from_runner),
            ..job.head.clone()
        };
        let revision = job.revision;
        self.log(
            Event::BatchTaken,
            vec![
                ("batch", id.to_string()),
                ("before", before.unwrap_or_default()),
                (
                    "suspected_ms",
                    suspected.unwrap_or_default().as_millis().to_string(),
                ),
                ("revision", revision.to_string()),
            ],
        );
        self.update_head(Purpose::TakeOver(id.clone()), id, head, revision);
    }

    /// Returns what is known of the process that has run a job as far as is known since a time.
    fn presence(&self, runner: &Runner, since: Time) -> Presence {
        if runner.host == self.settings.peer.host {
            // The runner is an earlier run of this process.
            return Presence::Ended;
        }
        let Some(health) = self.peers.health.get(&runner.host) else {
            return Presence::Alive;
        };
        match health.answer_since(since) {
            Some(PingAnswer::From(run)) if run != runner.incarnation => return Presence::Ended,
            // The list may be behind or wrong, so a run that it does not name is gone only if no
            // process answers for it.
            Some(PingAnswer::Nothing) if !self.is_named(runner) => return Presence::Gone,
            _ => {}
        }
        // After an outage of the object API a live process needs time to notice that it is back.
        let store_settled = self.store.uptime(self.now) >= SILENCE_LIMIT;
        if self.now.since(health.last_pong) >= SUSPICION_LIMIT {
            Presence::Silent
        } else if store_settled && self.now.since(health.last_healthy) >= SILENCE_LIMIT {
            // It says itself that the object API does not answer it.
            Presence::Gone
        } else {
            Presence::Alive
        }
    }

    /// Returns `true` if the list names this run of the process.
    fn is_named(&self, runner: &Runner) -> bool {
        let known = self.peer(&runner.host);
        known.is_some_and(|peer| peer.incarnation == runner.incarnation)
    }

    /// Returns the delay before this process takes over a job. Candidates have the same order as
    /// for new jobs of the route.
    fn takeover_delay(&self, head: &Head) -> Duration {
        let me = &self.settings.peer;
        let runner = head.runner.as_ref();
        if runner.is_some_and(|r| r.host == me.host) {
            return Duration::ZERO;
        }
        let subject = head.route.as_str();
        let max_power = self.max_power();
        let own = placement_rank(subject, me, max_power);
        let homes = self.job_homes(head);
        let is_home = |peer: &&Peer| homes.as_ref().is_none_or(|h| h.allow(peer.region.as_ref()));
        let ahead = self
            .all_peers()
            .filter(is_home)
            .filter(|peer| runner.is_none_or(|r| r.host != peer.host))
            .filter(|peer| placement_rank(subject, peer, max_power) < own)
            .count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let base = match runner {
            Some(_) => Duration::ZERO,
            None => VACANT_JOB_DELAY,
        };
        base + CANDIDATE_DELAY.saturating_mul(ahead)
    }
}

/// Returns the time for which the runner of a job keeps it. A process that is wrong about others for good
/// would otherwise take each job again at once, and be followed by the next one that is wrong.
fn min_tenure(head: &Head, presence: Presence) -> Duration {
    match (presence, head.takeovers) {
        (Presence::Ended, _) | (_, 0) => Duration::ZERO,
        (_, count) => (MIN_TENURE * 2_u32.saturating_pow(count.min(8) - 1)).min(MAX_TENURE),
    }
}
