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

use crate::support::FakeStore;
use crate::support::Fate;

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
    pub book: Vec<TargetOrder>,
    pub pending: Vec<(u64, TargetOrder)>,
}

impl FakeInterface {
    pub fn new(checks: Checks) -> Self {
        Self {
            checks,
            book: vec![],
            pending: vec![],
        }
    }

    pub fn accept(&mut self, order: &TargetOrder) -> Result<(), OrderError> {
        let newest = self.book.iter().map(|o| o.fence).max().unwrap_or_default();
        if self.checks == Checks::Fences && order.fence < newest {
            return Err(OrderError::Fenced);
        }
        let mut same = self.book.iter().rev().filter(|o| o.target == order.target);
        let repeated = match self.checks {
            Checks::LastIds => same.next().is_some_and(|o| o.intent == order.intent),
            _ => same.any(|o| o.intent == order.intent),
        };
        if !repeated {
            self.book.push(order.clone());
        }
        Ok(())
    }

    pub fn send(&mut self, order: &TargetOrder, lot: Lot, now: u64) -> Result<(), OrderError> {
        match lot.fate {
            Fate::Done => return self.accept(order),
            Fate::AnswerLost => drop(self.accept(order)),
            Fate::CallLost => {}
            Fate::Late => self.pending.push((now + lot.delay, order.clone())),
            Fate::Down => return Err(OrderError::Unavailable("outage".into())),
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
        let last: BTreeMap<_, _> = self.book.iter().map(|o| (o.target.clone(), o)).collect();
        let state = |o: &TargetOrder| TargetState {
            target: o.target.clone(),
            started: o.action == OrderAction::Start,
            intent: o.intent.clone(),
        };
        last.into_values().map(state).collect()
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Lot {
    pub fate: Fate,
    /// Milliseconds until a late order arrives.
    pub delay: u64,
    /// Whether late writes to the object store take effect first.
    pub arrive: bool,
}

/// Target index and whether to start it, for an order that is issued if the target has no open
/// intent.
pub type WantedOrder = Option<(usize, bool)>;

pub struct World {
    pub store: FakeStore,
    pub interface: FakeInterface,
}

pub fn target(index: usize) -> TargetName {
    TargetName::from(["e1", "e2"][index])
}

pub fn wish(dispatcher: &mut Dispatcher<Active>, now: u64, wish: WantedOrder) {
    if let Some((index, start)) = wish {
        let action = if start {
            OrderAction::Start
        } else {
            OrderAction::Stop
        };
        // An order for a busy target is dropped.
        let _ = dispatcher.order(Time(now), target(index), action);
    }
}

pub fn write(world: &mut World, w: &IntentWrite, fate: Fate) -> Result<Revision, ObjectError> {
    world.store.put(&w.path, &w.record, w.expect, fate)
}

/// Performs one step of a holder whose permit ends at `until`. Returns `true` if no intent is open.
pub fn step(
    dispatcher: &mut Dispatcher<Active>,
    world: &mut World,
    now: u64,
    until: u64,
    lot: Lot,
) -> bool {
    let time = Time(now);
    match dispatcher.next(time) {
        OrderStep::Record(w) | OrderStep::Settle(w) => {
            let answer = write(world, &w, lot.fate);
            dispatcher.recorded(time, &w.record.target, &answer);
        }
        OrderStep::ReadBack(target, path) => {
            let found = world.store.get::<IntentRecord>(&path);
            dispatcher.read(time, &target, Ok(found));
        }
        OrderStep::Send(order) => {
            let answer = match now < until {
                true => world.interface.send(&order, lot, now),
                false => Err(OrderError::Unavailable("the permit has ended".into())),
            };
            dispatcher.sent(time, &order.target, &answer);
        }
        OrderStep::AskStates(_) if lot.fate == Fate::Down => dispatcher.states_failed(time),
        OrderStep::AskStates(_) => dispatcher.states(time, &world.interface.states()),
        OrderStep::Idle => return true,
        OrderStep::Wait(_) | OrderStep::Stop => {}
    }
    false
}

pub fn opened(fence: u64, acquired: u64, now: u64, world: &World) -> Option<Dispatcher<Active>> {
    let centre = CentreName::from("cx1");
    let dispatcher = Dispatcher::take_over(centre, Fence(fence), Time(acquired));
    let Opening::Resolving(dispatcher) = dispatcher.open(Time(now)) else {
        return None;
    };
    let intents = world.store.list("intents/cx1/");
    let pacer = Pacer::new(Duration::from_millis(100));
    Some(dispatcher.resolve(Time(now), intents, &world.interface.states(), pacer))
}
