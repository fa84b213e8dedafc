//! The holder: renews the lease, reads back after a lost answer, and stops in time.

use std::sync::Arc;

use crate::decision::lease::Lease;
use crate::decision::lease::LeaseRead;
use crate::decision::lease::LeaseRecord;
use crate::decision::lease::LeaseWrite;
use crate::decision::lease::Permit;
use crate::decision::lease::Vacant;
use crate::decision::lease::valid_until;
use crate::domain::ids::Fence;
use crate::domain::ids::Incarnation;
use crate::domain::ids::Revision;
use crate::domain::time::Time;
use crate::port::object::Expect;
use crate::port::object::ObjectError;

/// Holds the lease.
#[derive(Debug)]
pub struct Held {
    revision: Revision,
    fence: Fence,
    until: Time,
    /// When the next call to the object API is due.
    due: Time,
    /// Earliest time at which a renewal without an answer can have taken effect.
    unsure: Option<Time>,
    /// True if the object must be read before the next renewal.
    reread: bool,
    pending: Pending,
}

/// Held the lease and must not act any more.
#[derive(Debug)]
pub struct Lapsed {
    fence: Fence,
}

/// The call to the object API that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    None,
    Renewal(Time),
    Read(Time),
}

/// What a holder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldStep {
    /// Write and pass the result to `answered`.
    Renew(LeaseWrite),
    /// Read the object at this path and pass the result to `observed`.
    ReadBack(Arc<str>),
    /// Call `next` again at this time.
    Wait(Time),
    /// The lease is over. Call `lapse`.
    Lapse,
}

/// State of a holder after an event.
#[derive(Debug)]
pub enum Tenure {
    /// The lease is still held.
    Held(Lease<Held>),
    /// The lease is lost.
    Lapsed(Lease<Lapsed>),
}

impl Held {
    pub(super) fn new(revision: Revision, fence: Fence, until: Time, due: Time) -> Self {
        Self {
            revision,
            fence,
            until,
            due,
            unsure: None,
            reread: false,
            pending: Pending::None,
        }
    }
}

impl Lease<Held> {
    /// Returns the permission that goes with each write to an external interface.
    pub fn permit(&self) -> Permit {
        Permit {
            fence: self.state.fence,
            until: self.state.until,
        }
    }

    /// Decides what to do next. `now` counts as the time at which a returned renewal is sent.
    pub fn next(&mut self, now: Time) -> HeldStep {
        if now >= self.state.until {
            return HeldStep::Lapse;
        }
        if self.state.pending != Pending::None || now < self.state.due {
            let due = if self.state.due > now {
                self.state.due
            } else {
                now + self.terms.retry
            };
            return HeldStep::Wait(due.min(self.state.until));
        }
        if self.state.reread {
            self.state.pending = Pending::Read(now);
            return HeldStep::ReadBack(self.path());
        }
        self.state.pending = Pending::Renewal(now);
        HeldStep::Renew(self.write(Some(self.me)))
    }

    /// Takes in the answer to a renewal.
    pub fn answered(mut self, now: Time, answer: &Result<Revision, ObjectError>) -> Tenure {
        let Pending::Renewal(sent) = self.state.pending else {
            return self.checked(now);
        };
        self.state.pending = Pending::None;
        match answer {
            Ok(revision) => self.extend(*revision, sent),
            Err(ObjectError::Unavailable(_) | ObjectError::Invalid(_)) => {
                self.state.due = now + self.terms.retry;
            }
            // A conflict can come from an earlier renewal of this process that arrived late.
            Err(_) => {
                self.state.unsure.get_or_insert(sent);
                self.state.reread = true;
                self.state.due = now;
            }
        }
        self.checked(now)
    }

    /// Takes in the result of a read after a lost answer.
    pub fn observed(mut self, now: Time, read: LeaseRead) -> Tenure {
        let Pending::Read(asked) = self.state.pending else {
            return self.checked(now);
        };
        self.state.pending = Pending::None;
        self.state.due = now + self.terms.retry;
        let Ok(found) = read else {
            return self.checked(now);
        };
        let Some((revision, _)) = found.filter(|found| self.owns(&found.1)) else {
            return self.lapse_now();
        };
        self.state.reread = false;
        match self.state.unsure {
            Some(sent) if revision != self.state.revision => self.extend(revision, sent),
            // The unanswered renewal can still arrive, but not before this read was sent.
            Some(sent) => {
                self.state.unsure = Some(sent.max(asked));
                self.state.due = now;
            }
            None => {}
        }
        self.checked(now)
    }

    /// Gives the lease up. The caller has no write in flight and starts none. If the answer to
    /// the returned write is lost, challengers wait out the lease.
    pub fn release(self) -> (Lease<Lapsed>, LeaseWrite) {
        let write = self.write(None);
        (self.lapsed(), write)
    }

    /// Ends the tenure after `HeldStep::Lapse`.
    pub fn lapse(self) -> Lease<Lapsed> {
        self.lapsed()
    }

    fn owns(&self, record: &LeaseRecord) -> bool {
        record.holder == Some(self.me) && record.fence == self.state.fence
    }

    fn extend(&mut self, revision: Revision, sent: Time) {
        self.state.revision = revision;
        self.state.until = self.state.until.max(valid_until(sent, self.terms.length));
        self.state.due = sent + self.terms.renewal;
        self.state.unsure = None;
        self.state.reread = false;
    }

    fn checked(self, now: Time) -> Tenure {
        if now >= self.state.until {
            return self.lapse_now();
        }
        Tenure::Held(self)
    }

    fn lapse_now(self) -> Tenure {
        Tenure::Lapsed(self.lapsed())
    }

    fn lapsed(self) -> Lease<Lapsed> {
        let fence = self.state.fence;
        self.with(Lapsed { fence })
    }

    fn write(&self, holder: Option<Incarnation>) -> LeaseWrite {
        LeaseWrite {
            path: self.path(),
            record: LeaseRecord {
                holder,
                fence: self.state.fence,
                length: self.terms.length_millis(),
            },
            expect: Expect::At(self.state.revision),
        }
    }
}

impl Lease<Lapsed> {
    /// Returns the fencing token of the ended tenure.
    pub fn fence(&self) -> Fence {
        self.state.fence
    }

    /// Becomes a challenger. A later tenure has a higher fencing token.
    pub fn rejoin(self) -> Lease<Vacant> {
        self.with(Vacant::default())
    }
}
