//! Dispatch of the orders of one tenure: the delay after take-over, the resolution of open
//! intents, and new orders.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::decision::order::Applied;
use crate::decision::order::Drafted;
use crate::decision::order::Intent;
use crate::decision::order::IntentRecord;
use crate::decision::order::IntentState;
use crate::decision::order::IntentWrite;
use crate::decision::order::ORDER_TIMEOUT;
use crate::decision::order::Pacer;
use crate::decision::order::RETRY_DELAY;
use crate::decision::order::Recorded;
use crate::decision::order::TAKEOVER_DELAY;
use crate::decision::order::path;
use crate::domain::ids::Fence;
use crate::domain::ids::Revision;
use crate::domain::name::CentreName;
use crate::domain::name::TargetName;
use crate::domain::time::Time;
use crate::port::object::ObjectError;
use crate::port::object::Precondition;
use crate::port::order::OrderAction;
use crate::port::order::OrderError;
use crate::port::order::TargetOrder;
use crate::port::order::TargetState;

/// The holder waits until no order of the former holder can be in flight.
#[derive(Debug)]
pub struct Waiting {
    until: Time,
}

/// The holder needs the stored intents and the target states of the interface.
#[derive(Debug)]
pub struct Resolving;

/// The holder issues orders.
#[derive(Debug)]
pub struct Active {
    pacer: Pacer,
    /// Number of intents drafted in this tenure.
    drafted: u64,
    /// Revision of the settled intent object of each target.
    settled: BTreeMap<TargetName, Revision>,
    slots: BTreeMap<TargetName, Slot>,
    fenced: bool,
}

/// Orders of one holder, in one state of its tenure.
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

/// The target has an open intent. The order can be issued once the intent is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy;

/// Next step of a holder.
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
    /// Read the target states of the data centre and pass the result to `states`.
    ReadStates(TargetName),
    /// Call `next` again at this time.
    Wait(Time),
    /// No intent is open.
    Idle,
    /// A newer holder exists. Drop the dispatcher and the lease.
    Stop,
}

/// Open intent and the time of its next call.
#[derive(Debug)]
struct Slot {
    phase: Phase,
    due: Time,
    /// Whether a call is waiting for its answer.
    busy: bool,
}

#[derive(Debug)]
enum Phase {
    Record(Intent<Drafted>),
    ReadDraft(Intent<Drafted>),
    Send(Intent<Recorded>),
    Query(Intent<Recorded>),
    Settle(Intent<Applied>),
    ReadSettled(Intent<Applied>),
}

impl Dispatcher<Waiting> {
    /// Starts a tenure that was acquired at `now` or before.
    pub fn take_over(centre: CentreName, fence: Fence, now: Time) -> Self {
        let until = now + TAKEOVER_DELAY;
        let state = Waiting { until };
        Self {
            centre,
            fence,
            state,
        }
    }

    /// Ends the wait if the delay after take-over has elapsed.
    pub fn open(self, now: Time) -> Opening {
        let until = self.state.until;
        if now < until {
            return Opening::Waiting(self, until);
        }
        Opening::Resolving(self.into_state(Resolving))
    }
}

impl Dispatcher<Resolving> {
    /// Adopts the stored intents. The target states must have been read after the intents.
    pub fn resolve(
        self,
        now: Time,
        intents: Vec<(Revision, IntentRecord)>,
        states: &[TargetState],
        pacer: Pacer,
    ) -> Dispatcher<Active> {
        let mut dispatcher = self.into_state(Active {
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
        dispatcher.begin_query(now);
        dispatcher.states(now, states);
        dispatcher
    }
}

impl Dispatcher<Active> {
    /// Drafts an order for a target. Fails if the target has an open intent.
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
        let expect = settled.map_or(Precondition::Absent, |revision| Precondition::At(*revision));
        self.state.drafted += 1;
        let intent = Intent::draft(
            self.fence,
            self.state.drafted,
            target.clone(),
            action,
            expect,
        );
        self.insert_slot(target, Phase::Record(intent), now);
        Ok(())
    }

    /// Returns the next step to perform.
    pub fn next(&mut self, now: Time) -> OrderStep {
        if self.state.fenced {
            return OrderStep::Stop;
        }
        let idle = self.state.slots.values_mut().filter(|slot| !slot.busy);
        let Some(slot) = idle.min_by_key(|slot| slot.due) else {
            return match self.state.slots.is_empty() {
                true => OrderStep::Idle,
                false => OrderStep::Wait(now + RETRY_DELAY),
            };
        };
        if now < slot.due {
            return OrderStep::Wait(slot.due);
        }
        if matches!(slot.phase, Phase::Send(_))
            && let Err(next_time) = self.state.pacer.take(now)
        {
            slot.due = next_time;
            return OrderStep::Wait(now);
        }
        slot.busy = true;
        let step = slot.phase.step(&self.centre, self.fence);
        if matches!(step, OrderStep::ReadStates(_)) {
            self.begin_query(now);
        }
        step
    }

    /// Handles the answer to a write of an intent.
    pub fn recorded(
        &mut self,
        now: Time,
        target: &TargetName,
        answer: &Result<Revision, ObjectError>,
    ) {
        let Some(phase) = self.remove_slot(target) else {
            return;
        };
        let unavailable = matches!(answer, Err(ObjectError::Unavailable(_)));
        let due = if unavailable { now + RETRY_DELAY } else { now };
        let phase = match (phase, answer) {
            (Phase::Record(intent), Ok(revision)) => Phase::Send(intent.recorded(*revision)),
            (Phase::Settle(_), Ok(revision)) => {
                self.state.settled.insert(target.clone(), *revision);
                return;
            }
            (phase, _) if unavailable => phase,
            (Phase::Record(intent), _) => Phase::ReadDraft(intent),
            (Phase::Settle(intent), _) => Phase::ReadSettled(intent),
            (phase, _) => phase,
        };
        self.insert_slot(target.clone(), phase, due);
    }

    /// Handles the intent object that was read back.
    pub fn read(
        &mut self,
        now: Time,
        target: &TargetName,
        read: Result<Option<(Revision, IntentRecord)>, ObjectError>,
    ) {
        let Some(phase) = self.remove_slot(target) else {
            return;
        };
        let Ok(found) = read else {
            self.insert_slot(target.clone(), phase, now + RETRY_DELAY);
            return;
        };
        match (phase, found) {
            (_, Some((_, record))) if record.fence > self.fence => self.state.fenced = true,
            (Phase::ReadDraft(intent), found) if intent.is_unchanged(found.as_ref()) => {
                self.insert_slot(target.clone(), Phase::Record(intent), now);
            }
            (Phase::ReadSettled(intent), Some((_, record))) if record == *intent.record() => {
                self.insert_slot(target.clone(), Phase::Settle(intent), now);
            }
            (_, Some((revision, record))) => self.adopt(now, target.clone(), revision, record),
            (phase, None) => self.insert_slot(target.clone(), phase, now + RETRY_DELAY),
        }
    }

    /// Handles the answer to an order. An order that was not sent because the permit had ended
    /// counts as `Unavailable`.
    pub fn sent(&mut self, now: Time, target: &TargetName, answer: &Result<(), OrderError>) {
        let Some(phase) = self.remove_slot(target) else {
            return;
        };
        let Phase::Send(intent) = phase else {
            self.insert_slot(target.clone(), phase, now);
            return;
        };
        let (phase, due) = match answer {
            Ok(()) => (Phase::Settle(intent.applied()), now),
            Err(OrderError::Unavailable(_)) => (Phase::Send(intent), now + RETRY_DELAY),
            // The target state is conclusive only once the call can no longer arrive.
            Err(OrderError::Unknown(_)) => (Phase::Query(intent), now + ORDER_TIMEOUT),
            Err(OrderError::Fenced) => {
                self.state.fenced = true;
                return;
            }
        };
        self.insert_slot(target.clone(), phase, due);
    }

    /// Handles the target states of the data centre. An intent that the interface does not report
    /// as the last one of its target is sent again under the same id.
    pub fn states(&mut self, now: Time, states: &[TargetState]) {
        for state in states {
            if !self
                .state
                .slots
                .get(&state.target)
                .is_some_and(Slot::is_queried)
            {
                continue;
            }
            if let Some(Phase::Query(intent)) = self.remove_slot(&state.target) {
                let applied = *state.intent == *intent.record().id;
                let phase = match applied {
                    true => Phase::Settle(intent.applied()),
                    false => Phase::Send(intent),
                };
                self.insert_slot(state.target.clone(), phase, now);
            }
        }
        self.resend_unlisted(now);
    }

    /// Handles a failed read of the target states.
    pub fn states_failed(&mut self, now: Time) {
        for slot in self.state.slots.values_mut() {
            if slot.is_queried() {
                slot.busy = false;
                slot.due = now + RETRY_DELAY;
            }
        }
    }

    /// Delays the next orders by a random time after an outage. `random` is uniform in
    /// `0.0..1.0`.
    pub fn resume(&mut self, now: Time, random: f64) {
        self.state.pacer.resume(now, random);
    }

    /// Assigns one read of the target states to all intents that are due for it. This excludes
    /// intents whose order can still be in flight.
    fn begin_query(&mut self, now: Time) {
        for slot in self.state.slots.values_mut() {
            slot.busy |= matches!(slot.phase, Phase::Query(_)) && slot.due <= now;
        }
    }

    /// Sends the orders again whose targets the interface does not list.
    fn resend_unlisted(&mut self, now: Time) {
        for slot in self.state.slots.values_mut() {
            if let (true, Phase::Query(intent)) = (slot.is_queried(), &slot.phase) {
                slot.phase = Phase::Send(intent.clone());
                slot.busy = false;
                slot.due = now;
            }
        }
    }

    /// Adopts a stored intent.
    fn adopt(&mut self, now: Time, target: TargetName, revision: Revision, record: IntentRecord) {
        if record.state == IntentState::Done {
            self.state.settled.insert(target, revision);
            return;
        }
        let intent = Intent::adopt(record, revision);
        self.insert_slot(target, Phase::Query(intent), now);
    }

    fn remove_slot(&mut self, target: &TargetName) -> Option<Phase> {
        self.state.slots.remove(target).map(|slot| slot.phase)
    }

    fn insert_slot(&mut self, target: TargetName, phase: Phase, due: Time) {
        let busy = false;
        self.state.slots.insert(target, Slot { phase, due, busy });
    }
}

impl<S> Dispatcher<S> {
    fn into_state<T>(self, state: T) -> Dispatcher<T> {
        Dispatcher {
            centre: self.centre,
            fence: self.fence,
            state,
        }
    }
}

impl Slot {
    /// Returns `true` if this intent waits for the target states that are being read.
    fn is_queried(&self) -> bool {
        self.busy && matches!(self.phase, Phase::Query(_))
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
            Self::Query(intent) => OrderStep::ReadStates(intent.record().target.clone()),
        }
    }
}
