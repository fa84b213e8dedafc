//! Simulated process that challenges for, holds and loses a lease, with its own clock speed.

use sardinepath_core::decision::lease::Claim;
use sardinepath_core::decision::lease::Held;
use sardinepath_core::decision::lease::HeldStep;
use sardinepath_core::decision::lease::Lease;
use sardinepath_core::decision::lease::LeaseWrite;
use sardinepath_core::decision::lease::Tenure;
use sardinepath_core::decision::lease::Vacant;
use sardinepath_core::decision::lease::VacantStep;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::DutyName;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::ObjectError;

use crate::support::CallOutcome;
use crate::support::FakeStore;

/// Real milliseconds between two steps of the simulation.
pub const TICK: u64 = 100;

/// Lease of a process, as a challenger or as the holder.
pub enum LeaseState {
    Vacant(Lease<Vacant>),
    Held(Lease<Held>),
}

pub struct Process {
    pub state: Option<LeaseState>,
    /// Speed of the clock in percent.
    pub speed: u64,
    /// Number of ticks for which the process is still paused.
    pub paused: u64,
    pub incarnation: u64,
}

impl Process {
    pub fn new(incarnation: u64, speed: u64) -> Self {
        let state = Some(LeaseState::Vacant(challenger(incarnation)));
        Self {
            state,
            speed,
            paused: 0,
            incarnation,
        }
    }

    pub fn clock(&self, real: u64) -> Time {
        Time(1_000_000 + real * self.speed / 100)
    }

    pub fn restart(&mut self) {
        self.incarnation += 100;
        self.state = Some(LeaseState::Vacant(challenger(self.incarnation)));
    }

    /// Releases the lease. Fails if it is not held.
    pub fn release(&mut self, store: &mut FakeStore, outcome: CallOutcome) -> Result<(), String> {
        let Some(LeaseState::Held(lease)) = self.state.take() else {
            return Err("the lease is not held".into());
        };
        let (lapsed, w) = lease.release();
        let _ = write(store, &w, outcome);
        self.state = Some(LeaseState::Vacant(lapsed.rejoin()));
        Ok(())
    }

    /// Returns the fencing token if the process may act at this real time.
    pub fn acts(&self, real: u64) -> Option<Fence> {
        let Some(LeaseState::Held(lease)) = &self.state else {
            return None;
        };
        let permit = lease.permit();
        permit.allows(self.clock(real)).then_some(permit.fence)
    }

    pub fn tick(&mut self, real: u64, store: &mut FakeStore, plan: CallPlan) {
        match plan.outcome {
            _ if self.paused > 0 => self.paused -= 1,
            Some(outcome) => self.step(real, store, outcome, plan.delay),
            None => {}
        }
    }

    /// Performs one step. `delay` is the real time, in milliseconds, between a call and its answer.
    pub fn step(&mut self, real: u64, store: &mut FakeStore, outcome: CallOutcome, delay: u64) {
        let (now, later) = (self.clock(real), self.clock(real + delay));
        self.state = Some(match self.state.take().unwrap() {
            LeaseState::Vacant(lease) => vacant_step(lease, now, later, store, outcome),
            LeaseState::Held(lease) => held_step(lease, now, later, store, outcome),
        });
        self.paused = self.paused.max(delay / TICK);
    }
}

pub fn challenger(incarnation: u64) -> Lease<Vacant> {
    Lease::challenge(DutyName::from("orders/cx1"), Incarnation(incarnation))
}

pub fn write(
    store: &mut FakeStore,
    w: &LeaseWrite,
    outcome: CallOutcome,
) -> Result<Revision, ObjectError> {
    store.put(&w.path, &w.record, w.expect, outcome)
}

pub fn vacant_step(
    mut lease: Lease<Vacant>,
    now: Time,
    later: Time,
    store: &mut FakeStore,
    outcome: CallOutcome,
) -> LeaseState {
    let claim = match lease.next(now) {
        VacantStep::Read(_) if outcome == CallOutcome::Down => lease.observed(later, Err(down())),
        VacantStep::Read(path) => lease.observed(later, Ok(store.get(&path))),
        VacantStep::Acquire(w) => lease.answered(later, &write(store, &w, outcome)),
        VacantStep::Wait(_) => Claim::Vacant(lease),
    };
    match claim {
        Claim::Vacant(lease) => LeaseState::Vacant(lease),
        Claim::Held(lease) => LeaseState::Held(lease),
    }
}

pub fn held_step(
    mut lease: Lease<Held>,
    now: Time,
    later: Time,
    store: &mut FakeStore,
    outcome: CallOutcome,
) -> LeaseState {
    let tenure = match lease.next(now) {
        HeldStep::ReadBack(_) if outcome == CallOutcome::Down => lease.observed(later, Err(down())),
        HeldStep::ReadBack(path) => lease.observed(later, Ok(store.get(&path))),
        HeldStep::Renew(w) => lease.answered(later, &write(store, &w, outcome)),
        HeldStep::Wait(_) => Tenure::Held(lease),
        HeldStep::Lapse => Tenure::Lapsed(lease.lapse()),
    };
    match tenure {
        Tenure::Held(lease) => LeaseState::Held(lease),
        Tenure::Lapsed(lease) => LeaseState::Vacant(lease.rejoin()),
    }
}

pub fn down() -> ObjectError {
    ObjectError::Unavailable("outage".into())
}

/// Outcome of the calls of one process during an event.
#[derive(Clone, Copy, Debug)]
pub struct CallPlan {
    /// Outcome of the calls, or `None` while the process is paused.
    pub outcome: Option<CallOutcome>,
    /// Real milliseconds between a call and its answer.
    pub delay: u64,
}
