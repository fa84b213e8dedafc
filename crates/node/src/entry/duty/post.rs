//! One duty with its lease, and the calls of leases.

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

/// Kind of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Duty {
    /// Target orders and weight roll-out in the entry's data centre.
    Orders,
    /// Usage reports of a shard of the workspaces.
    Usage(u64),
}

/// A duty with its lease.
#[derive(Debug)]
pub(super) struct Post {
    pub(super) duty: Duty,
    pub(super) name: DutyName,
    pub(super) keeper: LeaseDriver,
    release: Release,
}

/// How far the release at the end of the process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    Pending,
    Writing,
    Done,
}

impl Post {
    /// Starts as a challenger.
    pub(super) fn new(duty: Duty, settings: &DutySettings) -> Self {
        let name = match duty {
            Duty::Orders => DutyName::from(format!("orders/{}", settings.centre)),
            Duty::Usage(shard) => DutyName::from(format!("usage/{shard}")),
        };
        Self {
            duty,
            keeper: LeaseDriver::new(name.clone(), settings.incarnation),
            name,
            release: Release::Pending,
        }
    }

    /// Logs and shows a change of holder.
    pub(super) fn note(&self, change: LeaseChange, metrics: &DutyMetrics) {
        match change {
            LeaseChange::None => {}
            LeaseChange::Acquired(permit) => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("duty", &self.name), ("fence", &permit.fence.0)];
                emit(Event::DutyAcquired, &fields);
                metrics.hold(&self.name, true);
            }
            LeaseChange::Lost => {
                emit(Event::DutyLost, &[("duty", &self.name)]);
                metrics.hold(&self.name, false);
            }
        }
    }

    /// Returns the write that releases the lease, once. A lease with a renewal under way is
    /// released later, since the two writes would conflict.
    pub(super) fn release(&mut self, metrics: &DutyMetrics) -> Option<LeaseWrite> {
        let held = self.keeper.permit().is_some();
        if self.release != Release::Pending || (held && self.keeper.is_waiting()) {
            return None;
        }
        let write = self.keeper.release();
        self.release = match write {
            Some(_) => Release::Writing,
            None => Release::Done,
        };
        if write.is_some() {
            emit(Event::DutyReleased, &[("duty", &self.name)]);
            metrics.hold(&self.name, false);
        }
        write
    }

    /// Gives the lease up because a newer holder exists. Returns the write that would release it.
    pub(super) fn give_up(&mut self) -> Option<LeaseWrite> {
        self.keeper.release()
    }

    /// Notes that the releasing write was made.
    pub(super) fn released(&mut self) {
        self.release = Release::Done;
    }

    pub(super) fn is_released(&self) -> bool {
        self.release == Release::Done
    }
}

impl Context {
    /// Makes a call of a lease. Returns its answer at once if the call could not be made.
    pub(super) fn lease_call(
        &self,
        place: usize,
        id: CallId,
        call: LeaseCall,
    ) -> Option<LeaseAnswer> {
        let objects = self.ports.objects.clone();
        let refused = refused(&call);
        let job = move || {
            let answer = lease::make(objects.as_ref(), &call);
            Some(DutyMessage::Lease(place, id, answer))
        };
        let made = self.leases.call(job);
        made.is_err().then_some(refused)
    }

    /// Makes a write that releases a lease of a process that goes on.
    pub(super) fn give_up_call(&self, write: LeaseWrite) {
        let objects = self.ports.objects.clone();
        let call = LeaseCall::Write(write);
        let job = move || {
            // A conflict means that the newer holder has the lease already.
            let _ = lease::make(objects.as_ref(), &call);
            None
        };
        // Without the write, challengers wait until the lease has lapsed.
        let _ = self.leases.call(job);
    }

    /// Makes the write that releases a lease.
    pub(super) fn release_call(&self, place: usize, write: LeaseWrite) {
        let objects = self.ports.objects.clone();
        let call = LeaseCall::Write(write);
        let job = move || {
            // If the write fails, challengers wait until the lease has lapsed.
            let _ = lease::make(objects.as_ref(), &call);
            Some(DutyMessage::Released(place))
        };
        // With a full queue the drain ends at its limit and the lease lapses.
        let _ = self.leases.call(job);
    }
}

/// Returns the answer to a call that could not be made.
fn refused(call: &LeaseCall) -> LeaseAnswer {
    let reason = || ObjectError::Unavailable("too many calls wait".to_owned());
    match call {
        LeaseCall::Read(_) => LeaseAnswer::Read(Err(reason())),
        LeaseCall::Write(_) => LeaseAnswer::Written(Err(reason())),
    }
}
