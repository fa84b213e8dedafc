//! Submissions that are held while the object API does not answer.
//!
//! A held submission is accepted only once its head is stored. Its items run meanwhile: their caller
//! has sent them, so only the promise of a rejection has to be avoided, and from the first item on the
//! submission is either accepted or answered without a promise. Nothing of it is listed, read or
//! handed over before the head is stored.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Job;
use crate::decision::gateway::message::Reply;
use crate::decision::outage::ANSWER_MARGIN;
use crate::decision::outage::Course;
use crate::decision::outage::Reach;
use crate::domain::batch::Runner;
use crate::domain::event::Event;
use crate::domain::ids::Revision;
use crate::domain::name::BatchId;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Time after which a submission counts as held although no call has failed yet: a call without an
/// answer takes far longer to fail than a working object API to answer.
const ANSWER_TIME: Duration = Duration::from_millis(350);

/// Interval between writes of held submissions of this process, all together. Calls to the object API
/// are limited and priced also while it does not answer.
const HELD_WRITE_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum random part of that interval in milliseconds, so that processes do not call together.
const HELD_WRITE_SPREAD_MS: u64 = 200;

/// State of a write to the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::decision::gateway) enum Write {
    /// It is to be sent.
    Due,
    /// It was sent at this time and is not answered.
    Sent(Time),
    /// It took effect.
    Done,
}

impl Write {
    /// Makes a write due again that was sent a while ago and is not answered. Returns `true` if it was
    /// one.
    fn repeat(&mut self, now: Time) -> bool {
        let lost = matches!(*self, Self::Sent(at) if now.since(at) >= ANSWER_TIME);
        if lost {
            *self = Self::Due;
        }
        lost
    }
}

/// Time for which the callers of a submission wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::decision::gateway) enum Patience {
    /// They said so.
    Stated(Time),
    /// They did not say. Holds the time until which the outcome of a write is found out.
    Unstated(Time),
}

impl Patience {
    /// Returns the time by which the callers must have an answer.
    fn deadline(self) -> Time {
        match self {
            Self::Stated(until) => Time(until.0.saturating_sub(margin())),
            Self::Unstated(until) => until,
        }
    }

    /// Extends the patience to that of another caller.
    pub(in crate::decision::gateway) fn extend(&mut self, until: Option<Time>) {
        if let (Self::Stated(known), Some(until)) = (&mut *self, until) {
            *known = (*known).max(until);
        }
    }

    /// Shortens the patience.
    pub(in crate::decision::gateway) fn shorten(&mut self, latest: Time) {
        match self {
            Self::Stated(until) => *until = (*until).min(latest + ANSWER_MARGIN),
            Self::Unstated(until) => *until = (*until).min(latest),
        }
    }
}

/// Whether the items of a submission run before it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::decision::gateway) enum Stage {
    /// They do not run here. Holds the process that was sent the submission before this one.
    Waiting(Option<SocketAddr>),
    /// They run, or wait for their route.
    Begun,
}

/// What follows from the time of a submission.
enum HeldStep {
    /// Nothing yet.
    Wait,
    /// Its callers must be answered now.
    Expire,
    /// It counts as held.
    Hold,
}

impl Gateway {
    /// Returns from where the object API answers.
    pub(in crate::decision::gateway) fn reach(&self) -> Reach {
        let calls = self.store.outage_start.map(|at| self.now.since(at));
        Reach::new(self.direct_outage(), calls)
    }

    /// Starts to store a new submission, or holds it at once if no call is answered.
    pub(in crate::decision::gateway) fn begin_submission(&mut self, id: &BatchId) {
        match self.submissions.get(id).map(|s| s.patience) {
            Some(Patience::Stated(_)) if !self.reach().is_answered() => {
                self.hold_or_reject(id, "the object API does not answer");
                self.send_held_writes();
            }
            _ => self.send_writes(id, usize::MAX),
        }
    }

    /// Handles a failed write of a submission.
    pub(in crate::decision::gateway) fn write_failed(&mut self, id: &BatchId, error: &ObjectError) {
        let now = self.now;
        let delay = self.held_write_delay();
        let Some(submission) = self.submissions.get_mut(id) else {
            return;
        };
        submission.next_write = now + delay;
        let retried = matches!(error, ObjectError::Unavailable(_) | ObjectError::Unknown(_));
        match submission.patience {
            Patience::Stated(_) if retried => self.hold_or_reject(id, &format!("{error:?}")),
            // Whether the head was created is found out, so that the caller gets a certain answer.
            Patience::Unstated(until)
                if matches!(error, ObjectError::Unknown(_))
                    && submission.maybe_created
                    && now < until =>
            {
                self.send_writes(id, usize::MAX);
            }
            _ => self.refuse_submission(id, &format!("{error:?}"), None),
        }
    }

    /// Sends the writes of held submissions, and answers callers whose patience ends.
    pub(in crate::decision::gateway) fn tick_submissions(&mut self) {
        let ids: Vec<BatchId> = self.submissions.keys().cloned().collect();
        for id in &ids {
            match self.held_step(id) {
                HeldStep::Wait => {}
                HeldStep::Expire => self.refuse_submission(id, "not stored in time", None),
                HeldStep::Hold => self.hold_or_reject(id, "a write is not answered"),
            }
        }
        self.send_held_writes();
    }

    fn held_step(&self, id: &BatchId) -> HeldStep {
        let Some(submission) = self.submissions.get(id) else {
            return HeldStep::Wait;
        };
        let waiting = matches!(submission.stage, Stage::Waiting(_));
        match submission.patience {
            Patience::Stated(_) if self.now >= submission.patience.deadline() => HeldStep::Expire,
            Patience::Stated(_) if waiting && self.now >= submission.since + ANSWER_TIME => {
                HeldStep::Hold
            }
            Patience::Stated(_) | Patience::Unstated(_) => HeldStep::Wait,
        }
    }

    /// Holds a submission, whose items begin to run, or rejects it.
    fn hold_or_reject(&mut self, id: &BatchId, reason: &str) {
        let Some(submission) = self.submissions.get(id) else {
            return;
        };
        let (Patience::Stated(until), Stage::Waiting(passed)) =
            (submission.patience, submission.stage)
        else {
            return;
        };
        let rank = self.rank(&submission.head);
        let random = self.next_random();
        match Course::choose(self.now, self.reach(), until, true, rank, random) {
            Course::Store => {}
            Course::Hold(_) => self.hold(id, passed, reason),
            Course::Reject(delay) => self.refuse_submission(id, reason, Some(delay)),
        }
    }

    /// Runs the items of a submission before it is stored, unless another process may do so.
    fn hold(&mut self, id: &BatchId, passed: Option<SocketAddr>, reason: &str) {
        let other = passed.and_then(|address| {
            let peers = self.others();
            peers.into_iter().find(|peer| peer.address == address)
        });
        let runnable = !self.draining && !self.jobs.contains_key(id);
        let Some(submission) = self.submissions.get_mut(id) else {
            return;
        };
        if let Some(peer) = &other
            && submission.accept == Write::Due
            && !submission.maybe_created
        {
            submission.head.runner = Some(Runner::from(peer));
        }
        if other.is_some() || !runnable {
            return;
        }
        submission.stage = Stage::Begun;
        let (head, batch) = (submission.head.clone(), submission.batch.clone());
        let until = submission.patience.deadline();
        self.log(
            Event::BatchHeld,
            vec![
                ("batch", id.to_string()),
                ("reach", format!("{:?}", self.reach())),
                ("left_ms", until.since(self.now).as_millis().to_string()),
                ("reason", reason.to_owned()),
            ],
        );
        let mut job = Job::new(head, Revision::default(), self.now);
        job.complete_at = Some(self.now);
        job.sole_runner = true;
        self.jobs.insert(id.clone(), job);
        self.start_loaded(id, batch);
        self.dispatch();
    }

    /// Answers the callers of a held submission whose head another call or process has stored.
    pub(in crate::decision::gateway) fn settle_held(&mut self, id: &BatchId) {
        let submission = self.submissions.remove(id);
        for call in submission.map(|s| s.calls).unwrap_or_default() {
            self.reply(call, Reply::Accepted);
        }
        if self.draining {
            self.hand_over();
        }
    }

    /// Drops the work on a job whose submission was not stored. Its texts are retained, since the
    /// caller may submit it again.
    pub(in crate::decision::gateway) fn drop_held(&mut self, id: &BatchId) {
        if self.jobs.get(id).is_none_or(Job::is_stored) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.head.ended = true;
        }
        self.drop_job(id);
    }

    /// Sends the writes of held submissions, the most urgent and oldest ones first. While no call is
    /// answered, it is one write at a time.
    pub(in crate::decision::gateway) fn send_held_writes(&mut self) {
        let now = self.now;
        let answered = self.reach().is_answered();
        if !answered && now < self.next_held_write {
            return;
        }
        let mut due: Vec<(u32, Time, BatchId)> = Vec::new();
        for (id, submission) in &self.submissions {
            if matches!(submission.patience, Patience::Stated(_)) && now >= submission.next_write {
                due.push((self.rank(&submission.head), submission.since, id.clone()));
            }
        }
        due.sort();
        let limit = if answered { usize::MAX } else { 1 };
        for (_, _, id) in due.into_iter().take(limit) {
            self.send_writes(&id, limit);
        }
        self.next_held_write = now + self.held_write_delay();
    }

    /// Sends what waited for the object API once it answers again: heads first, then pages, then
    /// everything else. Writes whose answer is still outstanding are sent again, since most of those
    /// that were sent during an outage are lost.
    pub(in crate::decision::gateway) fn store_returned(&mut self) {
        let now = self.now;
        self.store.returned_at = now;
        for submission in self.submissions.values_mut() {
            submission.next_write = now;
            for (_, write) in &mut submission.parts {
                write.repeat(now);
            }
            submission.maybe_created |= submission.accept.repeat(now);
        }
        self.send_held_writes();
        self.resume_pages();
        for (at, _, _) in &mut self.retries {
            *at = now;
        }
    }

    fn held_write_delay(&mut self) -> Duration {
        let random = self.next_random() % HELD_WRITE_SPREAD_MS;
        HELD_WRITE_INTERVAL + Duration::from_millis(random)
    }
}

fn margin() -> u64 {
    u64::try_from(ANSWER_MARGIN.as_millis()).unwrap_or(u64::MAX)
}
