//! The orders of one tenure: wait after take-over, resolution of open intents, own orders.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::decision::order::Applied;
use crate::decision::order::Drafted;
use crate::decision::order::FLIGHT;
use crate::decision::order::Intent;
use crate::decision::order::IntentRecord;
use crate::decision::order::IntentState;
use crate::decision::order::IntentWrite;
use crate::decision::order::Pacer;
use crate::decision::order::RETRY;
use crate::decision::order::Recorded;
use crate::decision::order::WAIT;
use crate::decision::order::path;
use crate::domain::ids::Fence;
use crate::domain::ids::Revision;
use crate::domain::name::CentreName;
use crate::domain::name::TargetName;
use crate::domain::time::Time;
use crate::port::object::Expect;
use crate::port::object::ObjectError;
use crate::port::order::OrderAction;
use crate::port::order::OrderError;
use crate::port::order::TargetOrder;
use crate::port::order::TargetState;

/// Waits until no order of the former holder can be in flight.
#[derive(Debug)]
pub struct Waiting {
    until: Time,
}

/// Needs the stored intents and the interface's state.
#[derive(Debug)]
pub struct Resolving;

/// Makes orders.
#[derive(Debug)]
pub struct Active {
    pacer: Pacer,
    /// Intents drafted in this tenure.
    drafted: u64,
    /// Revisions of the settled intent objects.
    settled: BTreeMap<TargetName, Revision>,
    slots: BTreeMap<TargetName, Slot>,
    fenced: bool,
}

/// The orders of one holder in one state of its tenure.
#[derive(Debug)]
pub struct Dispatcher<S> {
    centre: CentreName,
    fence: Fence,
    state: S,
}

/// Result of `Dispatcher::open`.
#[derive(Debug)]
pub enum Opening {
    /// Call `open` again at this time.
    Waiting(Dispatcher<Waiting>, Time),
    /// List the intents, then read the states, and pass both to `resolve`.
    Resolving(Dispatcher<Resolving>),
}

/// The target has an open intent; order again after it is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy;

/// What a holder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Write the open intent and pass the answer to `recorded`.
    Record(IntentWrite),
    /// Write the settled intent and pass the answer to `recorded`.
    Settle(IntentWrite),
    /// Read the intent object of the target and pass the result to `read`.
    ReadBack(TargetName, Arc<str>),
    /// Send the order if the permit allows it and pass the answer to `sent`.
    Send(TargetOrder),
    /// Read the states of the data centre and pass the result to `states`.
    AskStates(TargetName),
    /// Call `next` again at this time.
    Wait(Time),
    /// Nothing is open.
    Idle,
    /// A newer holder exists. Drop the dispatcher and the lease.
    Stop,
}

/// One open intent and the time of its next call.
#[derive(Debug)]
struct Slot {
    phase: Phase,
    due: Time,
    /// True while a call waits for its answer.
    busy: bool,
}

#[derive(Debug)]
enum Phase {
    Record(Intent<Drafted>),
    ReadDraft(Intent<Drafted>),
    Send(Intent<Recorded>),
    Ask(Intent<Recorded>),
    Settle(Intent<Applied>),
    ReadSettled(Intent<Applied>),
}

impl Dispatcher<Waiting> {
    /// Starts a tenure that was acquired at `now` or before.
    pub fn take_over(centre: CentreName, fence: Fence, now: Time) -> Self {
        let until = now + WAIT;
        let state = Waiting { until };
        Self {
            centre,
            fence,
            state,
        }
    }

    /// Ends the wait if it is over.
    pub fn open(self, now: Time) -> Opening {
        let until = self.state.until;
        if now < until {
            return Opening::Waiting(self, until);
        }
        Opening::Resolving(self.with(Resolving))
    }
}

impl Dispatcher<Resolving> {
    /// Takes over the stored intents. The states must have been read after the intents.
    pub fn resolve(
        self,
        now: Time,
        intents: Vec<(Revision, IntentRecord)>,
        states: &[TargetState],
        pacer: Pacer,
    ) -> Dispatcher<Active> {
        let mut dispatcher = self.with(Active {
            pacer,
            drafted: 0,
            settled: BTreeMap::new(),
            slots: BTreeMap::new(),
            fenced: false,
        });
        for (revision, record) in intents {
            let target = record.target.clone();
            dispatcher.adopt(now, target, revision, record);
        }
        dispatcher.ask_all(now);
        dispatcher.states(now, states);
        dispatcher
    }
}

impl Dispatcher<Active> {
    /// Drafts an order for a target that has no open intent.
    pub fn order(
        &mut self,
        now: Time,
        target: TargetName,
        action: OrderAction,
    ) -> Result<(), Busy> {
        if self.state.slots.contains_key(&target) {
            return Err(Busy);
        }
        let settled = self.state.settled.get(&target);
        let expect = settled.map_or(Expect::Absent, |revision| Expect::At(*revision));
        self.state.drafted += 1;
        let intent = Intent::draft(
            self.fence,
            self.state.drafted,
            target.clone(),
            action,
            expect,
        );
        self.place(target, Phase::Record(intent), now);
        Ok(())
    }

    /// Decides what to do next.
    pub fn next(&mut self, now: Time) -> OrderStep {
        if self.state.fenced {
            return OrderStep::Stop;
        }
        let idle = self.state.slots.values_mut().filter(|slot| !slot.busy);
        let Some(slot) = idle.min_by_key(|slot| slot.due) else {
            return match self.state.slots.is_empty() {
                true => OrderStep::Idle,
                false => OrderStep::Wait(now + RETRY),
            };
        };
        if now < slot.due {
            return OrderStep::Wait(slot.due);
        }
        if matches!(slot.phase, Phase::Send(_))
            && let Err(turn) = self.state.pacer.take(now)
        {
            slot.due = turn;
            return OrderStep::Wait(now);
        }
        slot.busy = true;
        let step = slot.phase.step(&self.centre, self.fence);
        if matches!(step, OrderStep::AskStates(_)) {
            self.ask_all(now);
        }
        step
    }

    /// Takes in the answer to a write of an intent.
    pub fn recorded(
        &mut self,
        now: Time,
        target: &TargetName,
        answer: &Result<Revision, ObjectError>,
    ) {
        let Some(phase) = self.take(target) else {
            return;
        };
        let down = matches!(answer, Err(ObjectError::Unavailable(_)));
        let due = if down { now + RETRY } else { now };
        let phase = match (phase, answer) {
            (Phase::Record(intent), Ok(revision)) => Phase::Send(intent.recorded(*revision)),
            (Phase::Settle(_), Ok(revision)) => {
                self.state.settled.insert(target.clone(), *revision);
                return;
            }
            (phase, _) if down => phase,
            (Phase::Record(intent), _) => Phase::ReadDraft(intent),
            (Phase::Settle(intent), _) => Phase::ReadSettled(intent),
            (phase, _) => phase,
        };
        self.place(target.clone(), phase, due);
    }

    /// Takes in the intent object that was read back.
    pub fn read(
        &mut self,
        now: Time,
        target: &TargetName,
        read: Result<Option<(Revision, IntentRecord)>, ObjectError>,
    ) {
        let Some(phase) = self.take(target) else {
            return;
        };
        let Ok(found) = read else {
            self.place(target.clone(), phase, now + RETRY);
            return;
        };
        match (phase, found) {
            (_, Some((_, record))) if record.fence > self.fence => self.state.fenced = true,
            (Phase::ReadDraft(intent), found) if intent.unchanged(found.as_ref()) => {
                self.place(target.clone(), Phase::Record(intent), now);
            }
            (Phase::ReadSettled(intent), Some((_, record))) if record == *intent.record() => {
                self.place(target.clone(), Phase::Settle(intent), now);
            }
            (_, Some((revision, record))) => self.adopt(now, target.clone(), revision, record),
            (phase, None) => self.place(target.clone(), phase, now + RETRY),
        }
    }

    /// Takes in the answer to an order. An order that was not sent because the permit had ended
    /// counts as `Unavailable`.
    pub fn sent(&mut self, now: Time, target: &TargetName, answer: &Result<(), OrderError>) {
        let Some(phase) = self.take(target) else {
            return;
        };
        let Phase::Send(intent) = phase else {
            self.place(target.clone(), phase, now);
            return;
        };
        let (phase, due) = match answer {
            Ok(()) => (Phase::Settle(intent.applied()), now),
            Err(OrderError::Unavailable(_)) => (Phase::Send(intent), now + RETRY),
            // The state tells only once the call cannot arrive any more.
            Err(OrderError::Unknown(_)) => (Phase::Ask(intent), now + FLIGHT),
            Err(OrderError::Fenced) => {
                self.state.fenced = true;
                return;
            }
        };
        self.place(target.clone(), phase, due);
    }

    /// Takes in the states of the data centre. An intent that the interface does not name as the
    /// last one of its target is sent again under the same id.
    pub fn states(&mut self, now: Time, states: &[TargetState]) {
        for state in states {
            if !self.state.slots.get(&state.target).is_some_and(Slot::asks) {
                continue;
            }
            if let Some(Phase::Ask(intent)) = self.take(&state.target) {
                let applied = *state.intent == *intent.record().id;
                let phase = match applied {
                    true => Phase::Settle(intent.applied()),
                    false => Phase::Send(intent),
                };
                self.place(state.target.clone(), phase, now);
            }
        }
        self.resend_unlisted(now);
    }

    /// Tells that the states could not be read.
    pub fn states_failed(&mut self, now: Time) {
        for slot in self.state.slots.values_mut() {
            if slot.asks() {
                slot.busy = false;
                slot.due = now + RETRY;
            }
        }
    }

    /// Spreads the next orders after an outage. `random` is uniform in `0.0..1.0`.
    pub fn resume(&mut self, now: Time, random: f64) {
        self.state.pacer.resume(now, random);
    }

    /// Lets one read of the states serve all intents that are due for it. An intent whose order
    /// can still be in flight is not among them.
    fn ask_all(&mut self, now: Time) {
        for slot in self.state.slots.values_mut() {
            slot.busy |= matches!(slot.phase, Phase::Ask(_)) && slot.due <= now;
        }
    }

    /// Sends again what the interface does not list at all.
    fn resend_unlisted(&mut self, now: Time) {
        for slot in self.state.slots.values_mut() {
            if let (true, Phase::Ask(intent)) = (slot.asks(), &slot.phase) {
                slot.phase = Phase::Send(intent.clone());
                slot.busy = false;
                slot.due = now;
            }
        }
    }

    /// Takes over a stored intent.
    fn adopt(&mut self, now: Time, target: TargetName, revision: Revision, record: IntentRecord) {
        if record.state == IntentState::Done {
            self.state.settled.insert(target, revision);
            return;
        }
        let intent = Intent::adopt(record, revision);
        self.place(target, Phase::Ask(intent), now);
    }

    fn take(&mut self, target: &TargetName) -> Option<Phase> {
        self.state.slots.remove(target).map(|slot| slot.phase)
    }

    fn place(&mut self, target: TargetName, phase: Phase, due: Time) {
        let busy = false;
        self.state.slots.insert(target, Slot { phase, due, busy });
    }
}

impl<S> Dispatcher<S> {
    fn with<T>(self, state: T) -> Dispatcher<T> {
        Dispatcher {
            centre: self.centre,
            fence: self.fence,
            state,
        }
    }
}

impl Slot {
    /// Tells whether the states being read decide this intent.
    fn asks(&self) -> bool {
        self.busy && matches!(self.phase, Phase::Ask(_))
    }
}

impl Phase {
    fn step(&self, centre: &CentreName, fence: Fence) -> OrderStep {
        let read = |record: &IntentRecord| {
            OrderStep::ReadBack(record.target.clone(), path(centre, &record.target))
        };
        match self {
            Self::Record(intent) => OrderStep::Record(intent.write(centre)),
            Self::Settle(intent) => OrderStep::Settle(intent.write(centre)),
            Self::ReadDraft(intent) => read(intent.record()),
            Self::ReadSettled(intent) => read(intent.record()),
            Self::Send(intent) => OrderStep::Send(intent.order(centre, fence)),
            Self::Ask(intent) => OrderStep::AskStates(intent.record().target.clone()),
        }
    }
}
