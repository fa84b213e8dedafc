//! Holder of a lease: renews it, reads it back after a lost answer, and stops before it expires.

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
use crate::port::object::ObjectError;
use crate::port::object::Precondition;

/// The process holds the lease.
#[derive(Debug)]
pub struct Held {
    revision: Revision,
    fence: Fence,
    until: Time,
    /// Time of the next call to the object API.
    next_call: Time,
    /// Earliest time at which an unanswered renewal can have taken effect.
    unconfirmed: Option<Time>,
    /// Whether the object must be read before the next renewal.
    must_read: bool,
    pending: Pending,
}

/// The process held the lease and must no longer act.
#[derive(Debug)]
pub struct Lapsed {
    fence: Fence,
}

/// Call to the object API that waits for its answer, with the time at which it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    None,
    Renewal(Time),
    Read(Time),
}

/// Next step of a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldStep {
    /// Send the write and pass the result to `answered`.
    Renew(LeaseWrite),
    /// Read the object at this path and pass the result to `observed`.
    ReadBack(Arc<str>),
    /// Call `next` again at this time.
    Wait(Time),
    /// The lease has expired. Call `lapse`.
    Lapse,
}

/// State of a holder after an event.
#[derive(Debug)]
pub enum Tenure {
    /// The process still holds the lease.
    Held(Lease<Held>),
    /// The process no longer holds the lease.
    Lapsed(Lease<Lapsed>),
}

impl Held {
    pub(super) fn new(revision: Revision, fence: Fence, until: Time, next_call: Time) -> Self {
        Self {
            revision,
            fence,
            until,
            next_call,
            unconfirmed: None,
            must_read: false,
            pending: Pending::None,
        }
    }
}

impl Lease<Held> {
    /// Returns the permit to check before each write to an external interface.
    pub fn permit(&self) -> Permit {
        Permit {
            fence: self.state.fence,
            until: self.state.until,
        }
    }

    /// Returns the next step to perform. `now` counts as the time at which a returned renewal is
    /// sent.
    pub fn next(&mut self, now: Time) -> HeldStep {
        if now >= self.state.until {
            return HeldStep::Lapse;
        }
        if self.state.pending != Pending::None || now < self.state.next_call {
            let next_call = if self.state.next_call > now {
                self.state.next_call
            } else {
                now + self.terms.retry
            };
            return HeldStep::Wait(next_call.min(self.state.until));
        }
        if self.state.must_read {
            self.state.pending = Pending::Read(now);
            return HeldStep::ReadBack(self.path());
        }
        self.state.pending = Pending::Renewal(now);
        HeldStep::Renew(self.write(Some(self.incarnation)))
    }

    /// Handles the answer to a renewal.
    pub fn answered(mut self, now: Time, answer: &Result<Revision, ObjectError>) -> Tenure {
        let Pending::Renewal(sent) = self.state.pending else {
            return self.check_expiry(now);
        };
        self.state.pending = Pending::None;
        match answer {
            Ok(revision) => self.extend(*revision, sent),
            Err(ObjectError::Unavailable(_) | ObjectError::Invalid(_)) => {
                self.state.next_call = now + self.terms.retry;
            }
            // An earlier renewal of this process that arrived late can cause a conflict.
            Err(_) => {
                self.state.unconfirmed.get_or_insert(sent);
                self.state.must_read = true;
                self.state.next_call = now;
            }
        }
        self.check_expiry(now)
    }

    /// Handles the result of a read after a lost answer.
    pub fn observed(mut self, now: Time, read: LeaseRead) -> Tenure {
        let Pending::Read(sent_at) = self.state.pending else {
            return self.check_expiry(now);
        };
        self.state.pending = Pending::None;
        self.state.next_call = now + self.terms.retry;
        let Ok(found) = read else {
            return self.check_expiry(now);
        };
        let Some((revision, _)) = found.filter(|found| self.owns(&found.1)) else {
            return self.into_lapsed();
        };
        self.state.must_read = false;
        match self.state.unconfirmed {
            Some(sent) if revision != self.state.revision => self.extend(revision, sent),
            // The unanswered renewal can still take effect, but not before this read was sent.
            Some(sent) => {
                self.state.unconfirmed = Some(sent.max(sent_at));
                self.state.next_call = now;
            }
            None => {}
        }
        self.check_expiry(now)
    }

    /// Releases the lease. The caller must have no write in flight and must start none. If the
    /// returned write has no effect, challengers wait until the lease expires.
    pub fn release(self) -> (Lease<Lapsed>, LeaseWrite) {
        let write = self.write(None);
        (self.lapsed(), write)
    }

    /// Ends the tenure after `HeldStep::Lapse`.
    pub fn lapse(self) -> Lease<Lapsed> {
        self.lapsed()
    }

    fn owns(&self, record: &LeaseRecord) -> bool {
        record.holder == Some(self.incarnation) && record.fence == self.state.fence
    }

    fn extend(&mut self, revision: Revision, sent: Time) {
        self.state.revision = revision;
        self.state.until = self.state.until.max(valid_until(sent, self.terms.length));
        self.state.next_call = sent + self.terms.renewal;
        self.state.unconfirmed = None;
        self.state.must_read = false;
    }

    fn check_expiry(self, now: Time) -> Tenure {
        if now >= self.state.until {
            return self.into_lapsed();
        }
        Tenure::Held(self)
    }

    fn into_lapsed(self) -> Tenure {
        Tenure::Lapsed(self.lapsed())
    }

    fn lapsed(self) -> Lease<Lapsed> {
        let fence = self.state.fence;
        self.into_state(Lapsed { fence })
    }

    fn write(&self, holder: Option<Incarnation>) -> LeaseWrite {
        LeaseWrite {
            path: self.path(),
            record: LeaseRecord {
                holder,
                fence: self.state.fence,
                length: self.terms.length_millis(),
            },
            expect: Precondition::At(self.state.revision),
        }
    }
}

impl Lease<Lapsed> {
    /// Returns the fencing token of the ended tenure.
    pub fn fence(&self) -> Fence {
        self.state.fence
    }

    /// Becomes a challenger. A later tenure has a higher fencing token. This process acts no more under
    /// the ended one, so it need not wait until its own lease expires if nobody has acquired it since.
    pub fn rejoin(self) -> Lease<Vacant> {
        let incarnation = self.incarnation;
        let mut vacant = self.into_state(Vacant::default());
        vacant.record_ended(incarnation);
        vacant
    }
}
