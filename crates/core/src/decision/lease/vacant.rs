//! A challenger: waits until the lease is free or unchanged for long enough, then acquires it.

use std::sync::Arc;

use crate::decision::lease::Held;
use crate::decision::lease::Lease;
use crate::decision::lease::LeaseRead;
use crate::decision::lease::LeaseRecord;
use crate::decision::lease::LeaseWrite;
use crate::decision::lease::Terms;
use crate::decision::lease::margin;
use crate::decision::lease::valid_until;
use crate::domain::ids::Fence;
use crate::domain::ids::Incarnation;
use crate::domain::ids::Revision;
use crate::domain::name::DutyName;
use crate::domain::time::Time;
use crate::port::object::Expect;
use crate::port::object::ObjectError;

/// Does not hold the lease.
#[derive(Debug, Default)]
pub struct Vacant {
    seen: Option<Observation>,
    /// Time of the next read.
    read: Time,
    tried: Option<Tried>,
    /// True while an acquisition waits for its answer.
    waiting: bool,
    /// True if the object must be read before another acquisition.
    reread: bool,
    /// When the last read was sent.
    asked: Time,
    /// Runs of processes that have certainly ended.
    ended: Vec<Incarnation>,
}

/// What a challenger knows of the lease object.
#[derive(Clone, Debug)]
struct Observation {
    /// The object, or none if it does not exist.
    found: Option<(Revision, LeaseRecord)>,
    /// When this revision was first seen.
    since: Time,
}

/// Acquisitions under one condition whose effect is not known.
#[derive(Clone, Copy, Debug)]
struct Tried {
    fence: Fence,
    /// Earliest time at which one without an answer can have taken effect.
    first: Time,
    /// When the last of them was sent.
    last: Time,
}

/// What a challenger does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VacantStep {
    /// Read the object at this path and pass the result to `observed`.
    Read(Arc<str>),
    /// Write and pass the result to `answered`.
    Acquire(LeaseWrite),
    /// Call `next` again at this time.
    Wait(Time),
}

/// State of a challenger after an event.
#[derive(Debug)]
pub enum Claim {
    /// The lease is not held by this process.
    Vacant(Lease<Vacant>),
    /// The lease is held by this process.
    Held(Lease<Held>),
}

impl Lease<Vacant> {
    /// Starts as a challenger that knows nothing of the lease.
    pub fn challenge(duty: DutyName, me: Incarnation) -> Self {
        Self::challenge_under(duty, me, Terms::default())
    }

    /// Starts as a challenger that acquires and holds the lease under these terms.
    pub fn challenge_under(duty: DutyName, me: Incarnation, terms: Terms) -> Self {
        Self {
            duty,
            me,
            terms,
            state: Vacant::default(),
        }
    }

    /// Decides what to do next. `now` counts as the time at which a returned call is sent.
    pub fn next(&mut self, now: Time) -> VacantStep {
        if self.state.waiting {
            return VacantStep::Wait(now + self.terms.retry);
        }
        let seen = self.state.seen.as_ref();
        let free = seen.map(|seen| seen.free_at(&self.state.ended));
        let wanted = self.state.reread || free.is_none_or(|free| now < free);
        if wanted && now >= self.state.read {
            self.state.asked = now;
            self.state.read = now + self.terms.retry;
            return VacantStep::Read(self.path());
        }
        match free {
            Some(free) if now >= free && !self.state.reread => self.acquire(now),
            _ => VacantStep::Wait(self.state.read),
        }
    }

    /// Takes in the result of a read, or of a watch, which postpones the next read.
    pub fn observed(mut self, now: Time, read: LeaseRead) -> Claim {
        let Ok(found) = read else {
            return Claim::Vacant(self);
        };
        if let Some(held) = self.found_own(found.as_ref()) {
            return Claim::Held(self.with(held));
        }
        let revision = |found: &Option<(Revision, LeaseRecord)>| found.as_ref().map(|f| f.0);
        let known = self.state.seen.as_ref();
        if known.is_none_or(|seen| revision(&seen.found) != revision(&found)) {
            self.state.seen = Some(Observation { found, since: now });
            self.state.tried = None;
        }
        self.state.reread = false;
        self.state.read = now + self.terms.poll;
        if let Some(tried) = &mut self.state.tried {
            tried.first = tried.first.max(self.state.asked);
        }
        Claim::Vacant(self)
    }

    /// Takes in the answer to an acquisition.
    pub fn answered(mut self, now: Time, answer: &Result<Revision, ObjectError>) -> Claim {
        self.state.waiting = false;
        let (Ok(revision), Some(tried)) = (answer, self.state.tried) else {
            // Reads before another try, so that an acquisition whose answer was lost is found.
            self.state.reread = true;
            let down = matches!(answer, Err(ObjectError::Unavailable(_)));
            self.state.read = if down { now + self.terms.retry } else { now };
            return Claim::Vacant(self);
        };
        let until = valid_until(tried.last, self.terms.length);
        let held = Held::new(
            *revision,
            tried.fence,
            until,
            tried.last + self.terms.renewal,
        );
        Claim::Held(self.with(held))
    }

    /// Notes that a run of a process has certainly ended, for example because its host runs another
    /// one. It cannot act any more, so its lease need not be waited out.
    pub fn note_ended(&mut self, incarnation: Incarnation) {
        /// Runs that are kept. Only the holder's counts.
        const KEPT: usize = 64;
        if self.state.ended.len() >= KEPT {
            self.state.ended.remove(0);
        }
        self.state.ended.push(incarnation);
    }

    /// Makes the write that acquires the lease.
    fn acquire(&mut self, now: Time) -> VacantStep {
        let found = self.state.seen.as_ref().and_then(|s| s.found.as_ref());
        let fence = Fence(found.map_or(0, |f| f.1.fence.0) + 1);
        let expect = found.map_or(Expect::Absent, |f| Expect::At(f.0));
        let first = self.state.tried.map_or(now, |tried| tried.first);
        let last = now;
        self.state.tried = Some(Tried { fence, first, last });
        self.state.waiting = true;
        VacantStep::Acquire(LeaseWrite {
            path: self.path(),
            record: LeaseRecord {
                holder: Some(self.me),
                fence,
                length: self.terms.length_millis(),
            },
            expect,
        })
    }

    /// Recognizes an acquisition of this process that took effect without an answer.
    fn found_own(&self, found: Option<&(Revision, LeaseRecord)>) -> Option<Held> {
        let (revision, record) = found?;
        let tried = self.state.tried?;
        let own = record.holder == Some(self.me) && record.fence == tried.fence;
        let until = valid_until(tried.first, record.length());
        own.then(|| {
            Held::new(
                *revision,
                record.fence,
                until,
                tried.first + self.terms.renewal,
            )
        })
    }
}

impl Observation {
    /// Returns the time from which the lease may be acquired.
    fn free_at(&self, ended: &[Incarnation]) -> Time {
        let lives = |holder: &Incarnation| !ended.contains(holder);
        match &self.found {
            Some((_, record)) if record.holder.as_ref().is_some_and(lives) => {
                self.since + record.length() + margin(record.length())
            }
            _ => self.since,
        }
    }
}
