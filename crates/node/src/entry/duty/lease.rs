//! Driver of one lease: makes the calls that the lease's state machine asks for.

use std::sync::Arc;

use sardinepath_core::decision::lease::Claim;
use sardinepath_core::decision::lease::Held;
use sardinepath_core::decision::lease::HeldStep;
use sardinepath_core::decision::lease::Lease;
use sardinepath_core::decision::lease::LeaseRead;
use sardinepath_core::decision::lease::LeaseWrite;
use sardinepath_core::decision::lease::Permit;
use sardinepath_core::decision::lease::Tenure;
use sardinepath_core::decision::lease::Vacant;
use sardinepath_core::decision::lease::VacantStep;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::DutyName;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;

/// A call to the object API that a lease asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// Read the object at this path.
    Read(Arc<str>),
    /// Write the lease.
    Write(LeaseWrite),
}

/// Identifies a call among those of one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId(u64);

/// Result of a call of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// Result of a read.
    Read(LeaseRead),
    /// Result of a write.
    Written(Result<Revision, ObjectError>),
}

/// Change of the holder of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// No change.
    None,
    /// The process has acquired the lease.
    Acquired(Permit),
    /// The process no longer holds the lease.
    Lost,
}

/// A lease that the process holds or tries to acquire.
#[derive(Debug)]
pub struct LeaseDriver {
    /// None only during a change of state.
    state: Option<State>,
    /// The call that waits for its answer. Answers to other calls belong to an ended tenure.
    waiting: Option<CallId>,
    /// Number of calls so far.
    calls: u64,
    /// Time of the next action.
    due: Time,
}

#[derive(Debug)]
enum State {
    Vacant(Lease<Vacant>),
    Held(Lease<Held>),
}

impl LeaseDriver {
    /// Creates the driver of a lease that is not held. The process tries to acquire it.
    pub fn new(duty: DutyName, incarnation: Incarnation) -> Self {
        Self {
            state: Some(State::Vacant(Lease::challenge(duty, incarnation))),
            waiting: None,
            calls: 0,
            due: Time(0),
        }
    }

    /// Returns the permit, or none if the lease is not held. The caller checks it against the clock
    /// as the last step before each write.
    pub fn permit(&self) -> Option<Permit> {
        match &self.state {
            Some(State::Held(lease)) => Some(lease.permit()),
            _ => None,
        }
    }

    /// Returns `true` if a call waits for its answer.
    pub fn is_waiting(&self) -> bool {
        self.waiting.is_some()
    }

    /// Runs the timers. A returned call must be made at once, and its result passed to `answer`.
    pub fn tick(&mut self, now: Time) -> (LeaseChange, Option<(CallId, LeaseCall)>) {
        if self.waiting.is_some() && self.permit().is_none() {
            return (LeaseChange::None, None);
        }
        let lapsed = self.permit().is_some_and(|permit| !permit.allows(now));
        if now < self.due && !lapsed {
            return (LeaseChange::None, None);
        }
        let change = if lapsed {
            self.lapse();
            LeaseChange::Lost
        } else {
            LeaseChange::None
        };
        let call = self.next_call(now).map(|call| {
            self.calls += 1;
            (CallId(self.calls), call)
        });
        if let Some((id, _)) = &call {
            self.waiting = Some(*id);
        }
        (change, call)
    }

    /// Handles the result of a call. Results of an ended tenure are ignored.
    pub fn answer(&mut self, now: Time, id: CallId, answer: LeaseAnswer) -> LeaseChange {
        if self.waiting != Some(id) {
            return LeaseChange::None;
        }
        self.waiting = None;
        self.due = now;
        match (self.state.take(), answer) {
            (Some(State::Vacant(lease)), LeaseAnswer::Read(read)) => {
                self.after_claim(lease.observed(now, read))
            }
            (Some(State::Vacant(lease)), LeaseAnswer::Written(written)) => {
                self.after_claim(lease.answered(now, &written))
            }
            (Some(State::Held(lease)), LeaseAnswer::Read(read)) => {
                self.after_renewal(lease.observed(now, read))
            }
            (Some(State::Held(lease)), LeaseAnswer::Written(written)) => {
                self.after_renewal(lease.answered(now, &written))
            }
            (None, _) => LeaseChange::None,
        }
    }

    /// Ends the tenure, if the lease is held. The returned write releases the lease for others.
    pub fn release(&mut self) -> Option<LeaseWrite> {
        match self.state.take() {
            Some(State::Held(lease)) => {
                let (lapsed, write) = lease.release();
                self.state = Some(State::Vacant(lapsed.rejoin()));
                Some(write)
            }
            other => {
                self.state = other;
                None
            }
        }
    }

    fn next_call(&mut self, now: Time) -> Option<LeaseCall> {
        let (call, due) = match self.state.as_mut()? {
            State::Vacant(lease) => match lease.next(now) {
                VacantStep::Read(path) => (Some(LeaseCall::Read(path)), now),
                VacantStep::Acquire(write) => (Some(LeaseCall::Write(write)), now),
                VacantStep::Wait(until) => (None, until),
            },
            State::Held(lease) => match lease.next(now) {
                HeldStep::Renew(write) => (Some(LeaseCall::Write(write)), now),
                HeldStep::ReadBack(path) => (Some(LeaseCall::Read(path)), now),
                HeldStep::Wait(until) => (None, until),
                HeldStep::Lapse => (None, now),
            },
        };
        self.due = due;
        call
    }

    /// Ends the tenure. The process then tries to acquire the lease again.
    fn lapse(&mut self) {
        self.state = match self.state.take() {
            Some(State::Held(lease)) => Some(State::Vacant(lease.lapse().rejoin())),
            other => other,
        };
        self.waiting = None;
    }

    fn after_claim(&mut self, claim: Claim) -> LeaseChange {
        match claim {
            Claim::Vacant(lease) => {
                self.state = Some(State::Vacant(lease));
                LeaseChange::None
            }
            Claim::Held(lease) => {
                let permit = lease.permit();
                self.state = Some(State::Held(lease));
                LeaseChange::Acquired(permit)
            }
        }
    }

    fn after_renewal(&mut self, tenure: Tenure) -> LeaseChange {
        match tenure {
            Tenure::Held(lease) => {
                self.state = Some(State::Held(lease));
                LeaseChange::None
            }
            Tenure::Lapsed(lease) => {
                self.state = Some(State::Vacant(lease.rejoin()));
                LeaseChange::Lost
            }
        }
    }
}

/// Makes a call to the object API. Blocks, so it must run on a platform thread.
pub fn call_objects(objects: &dyn ObjectPort, call: &LeaseCall) -> LeaseAnswer {
    match call {
        LeaseCall::Read(path) => LeaseAnswer::Read(read(objects, path)),
        LeaseCall::Write(write) => match serde_json::to_string(&write.record) {
            Ok(value) => LeaseAnswer::Written(objects.put(&write.path, &value, write.expect)),
            Err(e) => LeaseAnswer::Written(Err(ObjectError::Invalid(e.to_string()))),
        },
    }
}

fn read(objects: &dyn ObjectPort, path: &str) -> LeaseRead {
    let Some(object) = objects.get(path)? else {
        return Ok(None);
    };
    let record = serde_json::from_str(&object.value)
        .map_err(|e| ObjectError::Invalid(format!("the lease {path} cannot be read: {e}")))?;
    Ok(Some((object.revision, record)))
}
