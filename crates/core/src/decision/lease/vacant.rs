//! Challenger for a lease: waits until the lease is free or has expired, then acquires it.

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
use crate::port::object::ObjectError;
use crate::port::object::Precondition;

/// The process does not hold the lease.
#[derive(Debug, Default)]
pub struct Vacant {
    seen: Option<Observation>,
    /// Time of the next read.
    next_read: Time,
    attempt: Option<Attempt>,
    /// Whether an acquisition is waiting for its answer.
    waiting: bool,
    /// Whether the object must be read before another acquisition.
    must_read: bool,
    /// Time at which the last read was sent.
    read_sent: Time,
    /// Incarnations of processes that are known to have ended.
    ended: Vec<Incarnation>,
}

/// Last observed revision of the lease object.
#[derive(Clone, Debug)]
struct Observation {
    /// The object, or `None` if it does not exist.
    found: Option<(Revision, LeaseRecord)>,
    /// Time at which this revision was first observed.
    since: Time,
}

/// Acquisitions under the same condition whose outcome is unknown.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    fence: Fence,
    /// Earliest time at which an unanswered one can have taken effect.
    first: Time,
    /// Time at which the last one was sent.
    last: Time,
}

/// Next step of a challenger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VacantStep {
    /// Read the object at this path and pass the result to `observed`.
    Read(Arc<str>),
    /// Send the write and pass the result to `answered`.
    Acquire(LeaseWrite),
    /// Call `next` again at this time.
    Wait(Time),
}

/// State of a challenger after an event.
#[derive(Debug)]
pub enum Claim {
    /// This process does not hold the lease.
    Vacant(Lease<Vacant>),
    /// This process holds the lease.
    Held(Lease<Held>),
}

impl Lease<Vacant> {
    /// Creates a challenger with the default terms that has not yet observed the lease.
    pub fn challenge(duty: DutyName, incarnation: Incarnation) -> Self {
        Self::challenge_with_terms(duty, incarnation, Terms::default())
    }

    /// Creates a challenger that acquires and holds the lease under these terms.
    pub fn challenge_with_terms(duty: DutyName, incarnation: Incarnation, terms: Terms) -> Self {
        Self {
            duty,
            incarnation,
            terms,
            state: Vacant::default(),
        }
    }

    /// Returns the next step to perform. `now` counts as the time at which a returned call is sent.
    pub fn next(&mut self, now: Time) -> VacantStep {
        if self.state.waiting {
            return VacantStep::Wait(now + self.terms.retry);
        }
        let seen = self.state.seen.as_ref();
        let free = seen.map(|seen| seen.free_at(&self.state.ended));
        let must_observe = self.state.must_read || free.is_none_or(|free| now < free);
        if must_observe && now >= self.state.next_read {
            self.state.read_sent = now;
            self.state.next_read = now + self.terms.retry;
            return VacantStep::Read(self.path());
        }
        match free {
            Some(free) if now >= free && !self.state.must_read => self.acquire(now),
            _ => VacantStep::Wait(self.state.next_read),
        }
    }

    /// Handles the result of a read or a watch. It postpones the next read.
    pub fn observed(mut self, now: Time, read: LeaseRead) -> Claim {
        let Ok(found) = read else {
            return Claim::Vacant(self);
        };
        if let Some(held) = self.confirmed_acquisition(found.as_ref()) {
            return Claim::Held(self.into_state(held));
        }
        let revision = |found: &Option<(Revision, LeaseRecord)>| found.as_ref().map(|f| f.0);
        let known = self.state.seen.as_ref();
        if known.is_none_or(|seen| revision(&seen.found) != revision(&found)) {
            self.state.seen = Some(Observation { found, since: now });
            self.state.attempt = None;
        }
        self.state.must_read = false;
        self.state.next_read = now + self.terms.poll;
        if let Some(attempt) = &mut self.state.attempt {
            attempt.first = attempt.first.max(self.state.read_sent);
        }
        Claim::Vacant(self)
    }

    /// Handles the answer to an acquisition.
    pub fn answered(mut self, now: Time, answer: &Result<Revision, ObjectError>) -> Claim {
        self.state.waiting = false;
        let (Ok(revision), Some(attempt)) = (answer, self.state.attempt) else {
            // Read before another attempt, to detect an acquisition whose answer was lost.
            self.state.must_read = true;
            let unavailable = matches!(answer, Err(ObjectError::Unavailable(_)));
            self.state.next_read = if unavailable {
                now + self.terms.retry
            } else {
                now
            };
            return Claim::Vacant(self);
        };
        let until = valid_until(attempt.last, self.terms.length);
        let held = Held::new(
            *revision,
            attempt.fence,
            until,
            attempt.last + self.terms.renewal,
        );
        Claim::Held(self.into_state(held))
    }

    /// Records that an incarnation of a process has ended, for example because its host runs
    /// another one. It can no longer act, so its lease may be acquired before it expires.
    pub fn record_ended(&mut self, incarnation: Incarnation) {
        /// Maximum number of incarnations kept. Only the one of the holder matters.
        const MAX_ENDED: usize = 64;
        if self.state.ended.len() >= MAX_ENDED {
            self.state.ended.remove(0);
        }
        self.state.ended.push(incarnation);
    }

    /// Returns the write that acquires the lease.
    fn acquire(&mut self, now: Time) -> VacantStep {
        let found = self.state.seen.as_ref().and_then(|s| s.found.as_ref());
        let fence = Fence(found.map_or(0, |f| f.1.fence.0) + 1);
        let expect = found.map_or(Precondition::Absent, |f| Precondition::At(f.0));
        let first = self.state.attempt.map_or(now, |attempt| attempt.first);
        let last = now;
        self.state.attempt = Some(Attempt { fence, first, last });
        self.state.waiting = true;
        VacantStep::Acquire(LeaseWrite {
            path: self.path(),
            record: LeaseRecord {
                holder: Some(self.incarnation),
                fence,
                length: self.terms.length_millis(),
            },
            expect,
        })
    }

    /// Returns the held state if an unanswered acquisition of this process took effect.
    fn confirmed_acquisition(&self, found: Option<&(Revision, LeaseRecord)>) -> Option<Held> {
        let (revision, record) = found?;
        let attempt = self.state.attempt?;
        let own = record.holder == Some(self.incarnation) && record.fence == attempt.fence;
        let until = valid_until(attempt.first, record.length());
        own.then(|| {
            Held::new(
                *revision,
                record.fence,
                until,
                attempt.first + self.terms.renewal,
            )
        })
    }
}

impl Observation {
    /// Returns the earliest time at which the lease may be acquired.
    fn free_at(&self, ended: &[Incarnation]) -> Time {
        let is_alive = |holder: &Incarnation| !ended.contains(holder);
        match &self.found {
            Some((_, record)) if record.holder.as_ref().is_some_and(is_alive) => {
                self.since + record.length() + margin(record.length())
            }
            _ => self.since,
        }
    }
}
