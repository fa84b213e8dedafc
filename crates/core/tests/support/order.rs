//! Fake interface for target orders that records the orders it carried out, and the steps of a
//! holder.

use std::collections::BTreeMap;
use std::time::Duration;

use sardinepath_core::decision::order::Active;
use sardinepath_core::decision::order::Dispatcher;
use sardinepath_core::decision::order::IntentRecord;
use sardinepath_core::decision::order::IntentWrite;
use sardinepath_core::decision::order::Opening;
use sardinepath_core::decision::order::OrderStep;
use sardinepath_core::decision::order::Pacer;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::order::OrderAction;
use sardinepath_core::port::order::OrderError;
use sardinepath_core::port::order::TargetOrder;
use sardinepath_core::port::order::TargetState;

use crate::support::CallOutcome;
use crate::support::FakeStore;

/// Checks by which the interface rejects or ignores orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Checks {
    Fences,
    AllIds,
    LastIds,
}

/// Fake interface that records the orders that took effect.
#[derive(Debug)]
pub struct FakeInterface {
    pub checks: Checks,
    pub applied: Vec<TargetOrder>,
    pub pending: Vec<(u64, TargetOrder)>,
}

impl FakeInterface {
    pub fn new(checks: Checks) -> Self {
        Self {
            checks,
            applied: vec![],
            pending: vec![],
        }
    }

    pub fn accept(&mut self, order: &TargetOrder) -> Result<(), OrderError> {
        let newest = self
            .applied
            .iter()
            .map(|o| o.fence)
            .max()
            .unwrap_or_default();
        if self.checks == Checks::Fences && order.fence < newest {
            return Err(OrderError::Fenced);
        }
        let mut same = self
            .applied
            .iter()
            .rev()
            .filter(|o| o.target == order.target);
        let repeated = match self.checks {
            Checks::LastIds => same.next().is_some_and(|o| o.intent == order.intent),
            _ => same.any(|o| o.intent == order.intent),
        };
        if !repeated {
            self.applied.push(order.clone());
        }
        Ok(())
    }

    pub fn send(
        &mut self,
        order: &TargetOrder,
        plan: CallPlan,
        now: u64,
    ) -> Result<(), OrderError> {
        match plan.outcome {
            CallOutcome::Done => return self.accept(order),
            CallOutcome::AnswerLost => drop(self.accept(order)),
            CallOutcome::CallLost => {}
            CallOutcome::Late => self.pending.push((now + plan.delay, order.clone())),
            CallOutcome::Down => return Err(OrderError::Unavailable("outage".into())),
        }
        Err(OrderError::Unknown("no answer".into()))
    }

    pub fn arrive(&mut self, now: u64) {
        let (due, rest) = self.pending.drain(..).partition(|p| p.0 <= now);
        self.pending = rest;
        let due: Vec<(u64, TargetOrder)> = due;
        due.iter().for_each(|(_, order)| drop(self.accept(order)));
    }

    pub fn states(&self) -> Vec<TargetState> {
        let last: BTreeMap<_, _> = self.applied.iter().map(|o| (o.target.clone(), o)).collect();
        let state = |o: &TargetOrder| TargetState {
            target: o.target.clone(),
            started: o.action == OrderAction::Start,
            intent: o.intent.clone(),
        };
        last.into_values().map(state).collect()
    }
}

#[derive(Clone, Copy, Debug)]
pub struct CallPlan {
    pub outcome: CallOutcome,
    /// Milliseconds until a late order arrives.
    pub delay: u64,
    /// Whether late writes to the object store take effect first.
    pub arrive: bool,
}

/// Target index and whether to start it, for an order that is issued if the target has no open
/// intent.
pub type WantedOrder = Option<(usize, bool)>;

pub struct Simulation {
    pub store: FakeStore,
    pub interface: FakeInterface,
}

pub fn target(index: usize) -> TargetName {
    TargetName::from(["e1", "e2"][index])
}

pub fn request_order(dispatcher: &mut Dispatcher<Active>, now: u64, order: WantedOrder) {
    if let Some((index, start)) = order {
        let action = if start {
            OrderAction::Start
        } else {
            OrderAction::Stop
        };
        // An order for a busy target is dropped.
        let _ = dispatcher.order(Time(now), target(index), action);
    }
}

pub fn write(
    sim: &mut Simulation,
    w: &IntentWrite,
    outcome: CallOutcome,
) -> Result<Revision, ObjectError> {
    sim.store.put(&w.path, &w.record, w.expect, outcome)
}

/// Performs one step of a holder whose permit ends at `until`. Returns `true` if no intent is open.
pub fn step(
    dispatcher: &mut Dispatcher<Active>,
    sim: &mut Simulation,
    now: u64,
    until: u64,
    plan: CallPlan,
) -> bool {
    let time = Time(now);
    match dispatcher.next(time) {
        OrderStep::Record(w) | OrderStep::Settle(w) => {
            let answer = write(sim, &w, plan.outcome);
            dispatcher.recorded(time, &w.record.target, &answer);
        }
        OrderStep::ReadBack(target, path) => {
            let found = sim.store.get::<IntentRecord>(&path);
            dispatcher.read(time, &target, Ok(found));
        }
        OrderStep::Send(order) => {
            let answer = match now < until {
                true => sim.interface.send(&order, plan, now),
                false => Err(OrderError::Unavailable("the permit has ended".into())),
            };
            dispatcher.sent(time, &order.target, &answer);
        }
        OrderStep::ReadStates(_) if plan.outcome == CallOutcome::Down => {
            dispatcher.states_failed(time)
        }
        OrderStep::ReadStates(_) => dispatcher.states(time, &sim.interface.states()),
        OrderStep::Idle => return true,
        OrderStep::Wait(_) | OrderStep::Stop => {}
    }
    false
}

pub fn open_dispatcher(
    fence: u64,
    acquired: u64,
    now: u64,
    sim: &Simulation,
) -> Option<Dispatcher<Active>> {
    let centre = CentreName::from("cx1");
    let dispatcher = Dispatcher::take_over(centre, Fence(fence), Time(acquired));
    let Opening::Resolving(dispatcher) = dispatcher.open(Time(now)) else {
        return None;
    };
    let intents = sim.store.list("intents/cx1/");
    let pacer = Pacer::new(Duration::from_millis(100));
    Some(dispatcher.resolve(Time(now), intents, &sim.interface.states(), pacer))
}
