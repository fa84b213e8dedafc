//! Health of the other gateway processes, and takeover of jobs whose runner is gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::place::placement_rank;
use crate::decision::gateway::membership::witness::Witness;
use crate::decision::gateway::membership::witness::WitnessStep;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::PingRequest;
use crate::decision::gateway::message::Pong;
use crate::decision::gateway::message::Reply;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::batch::Head;
use crate::domain::batch::Runner;
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::name::BatchId;
use crate::domain::name::HostName;
use crate::domain::name::TargetName;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Interval between pings of a process that runs a job.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which the jobs of a process are taken over if it answers no pings or the object API
/// does not answer it.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// Time after which a process that answers no pings is suspected, so that it is known by the end of the
/// silence limit whether it still writes.
const SUSPICION_LIMIT: Duration = Duration::from_millis(1_000);

/// Delay of each takeover candidate behind the one before it.
const CANDIDATE_DELAY: Duration = Duration::from_millis(500);

/// Base delay for the takeover of a job without a runner, so that only the first candidate claims
/// it.
const VACANT_JOB_DELAY: Duration = Duration::from_millis(20);

/// What is known of the process that runs a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// It answers pings and reaches the object API, as far as is known.
    Alive,
    /// It has answered no pings for a moment, but may go on.
    Silent,
    /// It has ended, or cannot list results.
    Gone,
}

/// Known processes and the health of those that run jobs.
#[derive(Debug, Default)]
pub(in crate::decision::gateway) struct Peers {
    known: BTreeMap<HostName, Peer>,
    health: BTreeMap<HostName, Health>,
    announced: bool,
    listed: bool,
    next_announce: Time,
    /// Processes that get no submissions, with the end of the exclusion.
    pub(in crate::decision::gateway) excluded: BTreeMap<SocketAddr, Time>,
}

/// Health of a process that runs a job.
#[derive(Debug)]
struct Health {
    /// Time of the last pong, initially of the first ping.
    last_pong: Time,
    /// Time of the last pong that reported contact to the object API, initially of the first ping.
    last_healthy: Time,
    next_ping: Time,
    awaiting_pong: bool,
    /// Process that sent the last pong. Its incarnation differs from the runner's after a restart.
    responder: Option<Peer>,
    load: BTreeMap<TargetName, u32>,
}

impl Gateway {
    /// Stores the address of this process, so that others can reach it.
    pub(in crate::decision::gateway) fn announce(&mut self) {
        let host: Arc<str> = Arc::from(self.settings.peer.host.as_str());
        let record = Record::Peer(self.settings.peer.clone());
        self.peers.next_announce = self.now + SILENCE_LIMIT;
        self.call_store(
            Purpose::Announce,
            StoreCall::Create(Kind::Peers, host, record),
        );
    }

    /// Handles the answer to the announcement. The entry of an earlier run is replaced.
    pub(in crate::decision::gateway) fn announcement_answered(
        &mut self,
        answer: Result<Answer, ObjectError>,
    ) {
        let host: Arc<str> = Arc::from(self.settings.peer.host.as_str());
        match answer {
            Ok(Answer::Written(_)) => self.peers.announced = true,
            Err(ObjectError::Conflict(_)) => {
                self.call_store(Purpose::Announced, StoreCall::Get(Kind::Peers, host));
            }
            Ok(Answer::Found(Some((revision, Record::Peer(found))))) => {
                if found == self.settings.peer {
                    self.peers.announced = true;
                } else {
                    self.duty.record_ended(found.incarnation);
                    let record = Record::Peer(self.settings.peer.clone());
                    let call = StoreCall::Update(Kind::Peers, host, record, revision);
                    self.call_store(Purpose::Announce, call);
                }
            }
            // `tick_peers` repeats the announcement.
            _ => {}
        }
    }

    pub(in crate::decision::gateway) fn replace_peers(&mut self, peers: Vec<Peer>) {
        self.peers.listed = true;
        let listed = |host: &HostName| peers.iter().any(|p| p.host == *host);
        self.peers.known.retain(|host, _| listed(host));
        for peer in peers {
            self.insert_peer(peer);
        }
    }

    pub(in crate::decision::gateway) fn insert_peer(&mut self, peer: Peer) {
        let incarnation = peer.incarnation;
        let before = self.peers.known.insert(peer.host.clone(), peer);
        // A host runs one process of this role, so the earlier run has ended.
        if let Some(before) = before.filter(|before| before.incarnation != incarnation) {
            self.duty.record_ended(before.incarnation);
        }
    }

    pub(in crate::decision::gateway) fn remove_peer(&mut self, host: &HostName) {
        self.peers.known.remove(host);
    }

    /// Returns `true` once the processes were listed.
    pub(in crate::decision::gateway) fn peers_listed(&self) -> bool {
        self.peers.listed
    }

    /// Returns all known processes, including this one.
    pub(in crate::decision::gateway) fn all_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.known.values()
    }

    /// Returns the process on a host, if it is known.
    pub(in crate::decision::gateway) fn peer(&self, host: &HostName) -> Option<&Peer> {
        self.peers.known.get(host)
    }

    /// Returns all other processes.
    pub(in crate::decision::gateway) fn others(&self) -> Vec<Peer> {
        let me = &self.settings.peer.host;
        let others = self.peers.known.values().filter(|p| p.host != *me);
        others.cloned().collect()
    }

    pub(in crate::decision::gateway) fn tick_peers(&mut self) {
        let now = self.now;
        if !self.peers.announced && !self.draining && now >= self.peers.next_announce {
            self.announce();
        }
        let mut runners: BTreeMap<HostName, Runner> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.head.ended) {
            if let Some(runner) = &job.head.runner
                && runner.host != self.settings.peer.host
            {
                runners.insert(runner.host.clone(), runner.clone());
            }
        }
        let runs_jobs = !self.runs.is_empty();
        let before = self.peers.health.len();
        self.peers
            .health
            .retain(|host, _| runners.contains_key(host));
        if self.peers.health.len() < before {
            self.update_peer_loads();
            let health = &self.peers.health;
            let runs_jobs = |host: &HostName| health.contains_key(host);
            self.shares.told.retain(runs_jobs);
        }
        for (host, runner) in runners {
            let health = self.peers.health.entry(host).or_insert_with(|| Health {
                last_pong: now,
                last_healthy: now,
                next_ping: now,
                awaiting_pong: false,
                responder: None,
                load: BTreeMap::new(),
            });
            if !health.awaiting_pong && now >= health.next_ping {
                health.awaiting_pong = true;
                health.next_ping = now + PING_INTERVAL;
                let ping = PingRequest {
                    leaving: self.directory.recent_leaves(now),
                    paces: runs_jobs,
                };
                self.effects.push(Effect::Ping(runner, ping));
            }
        }
    }

    /// Answers the ping of another process with the state of this one.
    pub(in crate::decision::gateway) fn answer_ping(&mut self, call: CallId, ping: &PingRequest) {
        let now = self.now;
        self.leaves_told(&ping.leaving);
        let (paces, claims) = match ping.paces {
            true => (self.directory.recent_paces(now), self.own_claims()),
            false => (Vec::new(), Vec::new()),
        };
        let outage = self.store.outage_time(now);
        let pong = Pong {
            incarnation: self.settings.peer.incarnation,
            silence: u64::try_from(outage.as_millis()).unwrap_or(0),
            load: self.directory.own_load(),
            leaving: self.directory.recent_leaves(now),
            paces,
            claims,
        };
        self.reply(call, Reply::Pong(pong));
    }

    pub(in crate::decision::gateway) fn ping_ended(&mut self, host: HostName, pong: Option<Pong>) {
        let now = self.now;
        let Some(health) = self.peers.health.get_mut(&host) else {
            return;
        };
        health.awaiting_pong = false;
        let mut leaving = Vec::new();
        if let Some(pong) = pong {
            leaving = pong.leaving;
            self.directory.learn_paces(now, &pong.paces);
            self.shares.told.record(now, host.clone(), pong.claims);
            health.last_pong = now;
            let limit = u64::try_from(SILENCE_LIMIT.as_millis()).unwrap_or(u64::MAX);
            if pong.silence < limit {
                health.last_healthy = now;
            }
            health.load = pong.load;
            health.responder = self.peers.known.get(&host).cloned().map(|peer| Peer {
                incarnation: pong.incarnation,
                ..peer
            });
        } else {
            health.load.clear();
        }
        self.leaves_told(&leaving);
        self.update_peer_loads();
    }

    /// Returns `true` if the object API does not answer another process either, so that no job can
    /// have changed hands.
    pub(in crate::decision::gateway) fn shares_outage(&self) -> bool {
        let mut known = self.peers.health.values();
        known.any(|h| self.now.since(h.last_pong) < SUSPICION_LIMIT && h.last_healthy < h.last_pong)
    }

    /// Passes the load of the other processes on targets to the directory. Only processes that run
    /// a job are included.
    fn update_peer_loads(&mut self) {
        let mut loads: BTreeMap<TargetName, u32> = BTreeMap::new();
        for health in self.peers.health.values() {
            for (target, load) in &health.load {
                *loads.entry(target.clone()).or_default() += load;
            }
        }
        self.directory.set_remote_load(&loads);
    }

    /// Takes over a job if its runner is gone and the delay of this candidate has passed.
    pub(in crate::decision::gateway) fn check_runner(&mut self, id: &BatchId) {
        let now = self.now;
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
            Some(runner) => self.presence(runner),
            None => Presence::Gone,
        };
        let delay = self.takeover_delay(&job.head);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if presence == Presence::Alive {
            job.suspected_since = None;
            job.witness = Witness::Unknown;
            return;
        }
        let since = *job.suspected_since.get_or_insert(now);
        let due = since + delay;
        let step = match presence {
            Presence::Silent => job
                .witness
                .next(now, due + (SILENCE_LIMIT - SUSPICION_LIMIT)),
            _ if now >= due => WitnessStep::TakeOver,
            _ => WitnessStep::Wait,
        };
        match step {
            WitnessStep::Read => return self.read_witness(id),
            WitnessStep::Wait => return,
            WitnessStep::TakeOver => {}
        }
        job.changing_runner = true;
        let runner = Runner::from(&self.settings.peer);
        let before = job.head.runner.as_ref().map(|r| r.host.to_string());
        let head = Head {
            runner: Some(runner),
            ..job.head.clone()
        };
        let revision = job.revision;
        self.log(
            Event::BatchTaken,
            vec![
                ("batch", id.to_string()),
                ("before", before.unwrap_or_default()),
                ("suspected_ms", now.since(since).as_millis().to_string()),
                ("revision", revision.to_string()),
            ],
        );
        self.update_head(Purpose::TakeOver(id.clone()), id, head, revision);
    }

    /// Returns what is known of the process that runs a job.
    fn presence(&self, runner: &Runner) -> Presence {
        if runner.host == self.settings.peer.host {
            // The runner is an earlier run of this process.
            return Presence::Gone;
        }
        let Some(known) = self.peer(&runner.host) else {
            return Presence::Gone;
        };
        let health = self.peers.health.get(&runner.host);
        let replaced = health
            .and_then(|h| h.responder.as_ref())
            .is_some_and(|peer| peer.incarnation != runner.incarnation);
        if replaced || known.incarnation != runner.incarnation {
            return Presence::Gone;
        }
        let Some(health) = health else {
            return Presence::Alive;
        };
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
