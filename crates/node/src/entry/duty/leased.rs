//! A duty with its lease, and the calls of leases.

use sardinepath_adapters::event::emit;
use sardinepath_core::decision::lease::LeaseWrite;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::name::DutyName;
use sardinepath_core::port::object::ObjectError;

use crate::entry::duty::DutyMessage;
use crate::entry::duty::DutySettings;
use crate::entry::duty::context::Context;
use crate::entry::duty::lease;
use crate::entry::duty::lease::CallId;
use crate::entry::duty::lease::LeaseAnswer;
use crate::entry::duty::lease::LeaseCall;
use crate::entry::duty::lease::LeaseChange;
use crate::entry::duty::lease::LeaseDriver;
use crate::entry::duty::metrics::DutyMetrics;

/// Kind of a duty, and the part of the work that its lease covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DutyKind {
    /// Target orders and weight roll-out in the data centre of the entry.
    Orders,
    /// Usage reports of the workspaces of the shard with this number.
    Usage(u64),
}

/// A duty with its lease.
#[derive(Debug)]
pub(super) struct LeasedDuty {
    pub(super) kind: DutyKind,
    pub(super) name: DutyName,
    pub(super) lease: LeaseDriver,
    release: Release,
}

/// Progress of the release of the lease during a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    Pending,
    Writing,
    Done,
}

impl LeasedDuty {
    /// Creates a duty that is not held.
    pub(super) fn new(kind: DutyKind, settings: &DutySettings) -> Self {
        let name = match kind {
            DutyKind::Orders => DutyName::from(format!("orders/{}", settings.centre)),
            DutyKind::Usage(shard) => DutyName::from(format!("usage/{shard}")),
        };
        Self {
            kind,
            lease: LeaseDriver::new(name.clone(), settings.incarnation),
            name,
            release: Release::Pending,
        }
    }

    /// Logs a change of the lease and updates the metrics.
    pub(super) fn log_change(&self, change: LeaseChange, metrics: &DutyMetrics) {
        match change {
            LeaseChange::None => {}
            LeaseChange::Acquired(permit) => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("duty", &self.name), ("fence", &permit.fence.0)];
                emit(Event::DutyAcquired, &fields);
                metrics.set_held(&self.name, true);
            }
            LeaseChange::Lost => {
                emit(Event::DutyLost, &[("duty", &self.name)]);
                metrics.set_held(&self.name, false);
            }
        }
    }

    /// Returns the write that releases the lease. Returns none if the lease is not held, its
    /// release has begun, or a renewal is under way, with which the write would conflict.
    pub(super) fn release(&mut self, metrics: &DutyMetrics) -> Option<LeaseWrite> {
        let held = self.lease.permit().is_some();
        if self.release != Release::Pending || (held && self.lease.is_waiting()) {
            return None;
        }
        let write = self.lease.release();
        self.release = match write {
            Some(_) => Release::Writing,
            None => Release::Done,
        };
        if write.is_some() {
            emit(Event::DutyReleased, &[("duty", &self.name)]);
            metrics.set_held(&self.name, false);
        }
        write
    }

    /// Ends the tenure because a newer holder exists. Returns the write that would release the
    /// lease.
    pub(super) fn hand_over(&mut self) -> Option<LeaseWrite> {
        self.lease.release()
    }

    /// Marks the lease as released.
    pub(super) fn mark_released(&mut self) {
        self.release = Release::Done;
    }

    pub(super) fn is_released(&self) -> bool {
        self.release == Release::Done
    }
}

impl Context {
    /// Queues a call of a lease. Returns an error as its answer if the call could not be queued.
    pub(super) fn lease_call(
        &self,
        index: usize,
        id: CallId,
        call: LeaseCall,
    ) -> Option<LeaseAnswer> {
        let objects = self.ports.objects.clone();
        let answer = unsent_answer(&call);
        let job = move || {
            let answer = lease::call_objects(objects.as_ref(), &call);
            Some(DutyMessage::Lease(index, id, answer))
        };
        let queued = self.leases.call(job);
        queued.is_err().then_some(answer)
    }

    /// Queues the write that releases a lease which a newer holder takes over.
    pub(super) fn hand_over_call(&self, write: LeaseWrite) {
        let objects = self.ports.objects.clone();
        let call = LeaseCall::Write(write);
        let job = move || {
            // A conflict means that the newer holder already has the lease.
            let _ = lease::call_objects(objects.as_ref(), &call);
            None
        };
        // Without the write, other entries wait until the lease expires.
        let _ = self.leases.call(job);
    }

    /// Queues the write that releases a lease during a drain.
    pub(super) fn release_call(&self, index: usize, write: LeaseWrite) {
        let objects = self.ports.objects.clone();
        let call = LeaseCall::Write(write);
        let job = move || {
            // If the write fails, other entries wait until the lease expires.
            let _ = lease::call_objects(objects.as_ref(), &call);
            Some(DutyMessage::Released(index))
        };
        // If the queue is full, the drain ends at its timeout and the lease expires.
        let _ = self.leases.call(job);
    }
}

/// Returns the answer to a call that could not be queued.
fn unsent_answer(call: &LeaseCall) -> LeaseAnswer {
    let reason = || ObjectError::Unavailable("the call queue is full".to_owned());
    match call {
        LeaseCall::Read(_) => LeaseAnswer::Read(Err(reason())),
        LeaseCall::Write(_) => LeaseAnswer::Written(Err(reason())),
    }
}
