//! A process that challenges, holds and loses a lease, on a clock of its own speed.

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

use crate::support::FakeStore;
use crate::support::Fate;

/// Real milliseconds between two steps of the simulation.
pub const TICK: u64 = 100;

pub enum Side {
    Vacant(Lease<Vacant>),
    Held(Lease<Held>),
}

pub struct Process {
    pub side: Option<Side>,
    /// Speed of the clock in percent.
    pub speed: u64,
    pub paused: u64,
    pub incarnation: u64,
}

impl Process {
    pub fn new(incarnation: u64, speed: u64) -> Self {
        let side = Some(Side::Vacant(challenger(incarnation)));
        Self {
            side,
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
        self.side = Some(Side::Vacant(challenger(self.incarnation)));
    }

    /// Gives the lease up.
    pub fn release(&mut self, store: &mut FakeStore, fate: Fate) -> Result<(), String> {
        let Some(Side::Held(lease)) = self.side.take() else {
            return Err("the lease is not held".into());
        };
        let (lapsed, w) = lease.release();
        let _ = write(store, &w, fate);
        self.side = Some(Side::Vacant(lapsed.rejoin()));
        Ok(())
    }

    pub fn acts(&self, real: u64) -> Option<Fence> {
        let Some(Side::Held(lease)) = &self.side else {
            return None;
        };
        let permit = lease.permit();
        permit.allows(self.clock(real)).then_some(permit.fence)
    }

    pub fn tick(&mut self, real: u64, store: &mut FakeStore, lot: Lot) {
        match lot.fate {
            _ if self.paused > 0 => self.paused -= 1,
            Some(fate) => self.step(real, store, fate, lot.delay),
            None => {}
        }
    }

    /// Takes one step. `delay` is the real time between a call's send and its answer.
    pub fn step(&mut self, real: u64, store: &mut FakeStore, fate: Fate, delay: u64) {
        let (now, later) = (self.clock(real), self.clock(real + delay));
        self.side = Some(match self.side.take().unwrap() {
            Side::Vacant(lease) => vacant_step(lease, now, later, store, fate),
            Side::Held(lease) => held_step(lease, now, later, store, fate),
        });
        self.paused = self.paused.max(delay / TICK);
    }
}

pub fn challenger(incarnation: u64) -> Lease<Vacant> {
    Lease::challenge(DutyName::from("orders/cx1"), Incarnation(incarnation))
}

pub fn write(store: &mut FakeStore, w: &LeaseWrite, fate: Fate) -> Result<Revision, ObjectError> {
    store.put(&w.path, &w.record, w.expect, fate)
}

pub fn vacant_step(
    mut lease: Lease<Vacant>,
    now: Time,
    later: Time,
    store: &mut FakeStore,
    fate: Fate,
) -> Side {
    let claim = match lease.next(now) {
        VacantStep::Read(_) if fate == Fate::Down => lease.observed(later, Err(down())),
        VacantStep::Read(path) => lease.observed(later, Ok(store.get(&path))),
        VacantStep::Acquire(w) => lease.answered(later, &write(store, &w, fate)),
        VacantStep::Wait(_) => Claim::Vacant(lease),
    };
    match claim {
        Claim::Vacant(lease) => Side::Vacant(lease),
        Claim::Held(lease) => Side::Held(lease),
    }
}

pub fn held_step(
    mut lease: Lease<Held>,
    now: Time,
    later: Time,
    store: &mut FakeStore,
    fate: Fate,
) -> Side {
    let tenure = match lease.next(now) {
        HeldStep::ReadBack(_) if fate == Fate::Down => lease.observed(later, Err(down())),
        HeldStep::ReadBack(path) => lease.observed(later, Ok(store.get(&path))),
        HeldStep::Renew(w) => lease.answered(later, &write(store, &w, fate)),
        HeldStep::Wait(_) => Tenure::Held(lease),
        HeldStep::Lapse => Tenure::Lapsed(lease.lapse()),
    };
    match tenure {
        Tenure::Held(lease) => Side::Held(lease),
        Tenure::Lapsed(lease) => Side::Vacant(lease.rejoin()),
    }
}

pub fn down() -> ObjectError {
    ObjectError::Unavailable("outage".into())
}

/// What happens to one process during an event.
#[derive(Clone, Copy, Debug)]
pub struct Lot {
    /// Fate of its calls, or none while it is paused.
    pub fate: Option<Fate>,
    /// Real milliseconds between a call and its answer.
    pub delay: u64,
}
