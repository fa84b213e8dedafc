//! Target orders of the duty `orders/{data centre}`.

use std::mem;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_adapters::event::emit;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::lease::Permit;
use sardinepath_core::decision::order::Active;
use sardinepath_core::decision::order::Dispatcher;
use sardinepath_core::decision::order::IntentRecord;
use sardinepath_core::decision::order::IntentWrite;
use sardinepath_core::decision::order::Opening;
use sardinepath_core::decision::order::OrderStep;
use sardinepath_core::decision::order::Pacer;
use sardinepath_core::decision::order::RETRY;
use sardinepath_core::decision::order::Resolving;
use sardinepath_core::decision::order::Waiting;
use sardinepath_core::decision::order::Want;
use sardinepath_core::decision::order::prefix;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::Object;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::order::OrderAction;
use sardinepath_core::port::order::OrderError;
use sardinepath_core::port::order::TargetOrder;
use sardinepath_core::port::order::TargetState;

use crate::entry::duty::DutyMessage;
use crate::entry::duty::context::Context;
use crate::entry::duty::context::Ports;

/// Interval at which the states are read while no order is open.
const POLL: Duration = Duration::from_secs(5);

/// Time between two orders. The interface names no rate; ten a second start a data centre of two
/// years' size in under a minute.
const PACE: Duration = Duration::from_millis(100);

/// Stored intents and the states that were read after them.
type Opened = (Vec<(Revision, IntentRecord)>, Vec<TargetState>);

/// A call of the dispatcher.
#[derive(Clone, Debug)]
enum OrderCall {
    Open(CentreName),
    Write(IntentWrite),
    Read(TargetName, Arc<str>),
    Send(TargetOrder, Permit),
    AskStates(CentreName),
    Poll(CentreName),
}

/// Result of a call of the dispatcher.
#[derive(Debug)]
pub enum OrderAnswer {
    /// Of the reads before the first order.
    Opened(Result<Opened, String>),
    /// Of a write of an intent.
    Written(TargetName, Result<Revision, ObjectError>),
    /// Of a read of an intent.
    Read(
        TargetName,
        Result<Option<(Revision, IntentRecord)>, ObjectError>,
    ),
    /// Of an order.
    Sent(TargetOrder, Result<(), OrderError>),
    /// Of a read of the states that decides open intents.
    States(Result<Vec<TargetState>, OrderError>),
    /// Of a read of the states while no order is open.
    Polled(Result<Vec<TargetState>, OrderError>),
}

/// What the duty needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderNeed {
    /// Nothing.
    None,
    /// A newer holder exists, so the lease has to be given up.
    GiveUp,
}

/// The orders of one data centre.
pub(super) struct OrderDuty {
    centre: CentreName,
    want: Box<dyn Want>,
    tenure: Option<Tenure>,
}

struct Tenure {
    fence: Fence,
    stage: Stage,
    /// Time of the next read of intents or states.
    due: Time,
    /// True while a call runs during which the dispatcher takes no step.
    paused: bool,
}

enum Stage {
    Waiting(Dispatcher<Waiting>),
    Resolving(Dispatcher<Resolving>),
    Active(Dispatcher<Active>),
    /// Only while a step is taken, and after a newer holder was seen.
    Closed,
}

impl OrderDuty {
    /// Starts without the lease.
    pub(super) fn new(centre: CentreName, want: Box<dyn Want>) -> Self {
        let tenure = None;
        Self {
            centre,
            want,
            tenure,
        }
    }

    pub(super) fn acquire(&mut self, now: Time, fence: Fence) {
        let dispatcher = Dispatcher::take_over(self.centre.clone(), fence, now);
        self.tenure = Some(Tenure {
            fence,
            stage: Stage::Waiting(dispatcher),
            due: now,
            paused: false,
        });
    }

    pub(super) fn lose(&mut self) {
        self.tenure = None;
    }

    /// Makes the calls that are due.
    pub(super) fn tick(&mut self, now: Time, context: &mut Context, permit: Permit) -> OrderNeed {
        let Some(tenure) = &mut self.tenure else {
            return OrderNeed::None;
        };
        if tenure.fence != permit.fence {
            return OrderNeed::None;
        }
        tenure.stage = match mem::replace(&mut tenure.stage, Stage::Closed) {
            Stage::Waiting(dispatcher) => match dispatcher.open(now) {
                Opening::Waiting(dispatcher, _) => Stage::Waiting(dispatcher),
                Opening::Resolving(dispatcher) => Stage::Resolving(dispatcher),
            },
            stage => stage,
        };
        match tenure.stage {
            Stage::Resolving(_) if !tenure.paused && now >= tenure.due => {
                let call = OrderCall::Open(self.centre.clone());
                tenure.pause(now, call, context);
                OrderNeed::None
            }
            Stage::Active(_) => tenure.work(now, &self.centre, context, permit),
            Stage::Waiting(_) | Stage::Resolving(_) | Stage::Closed => OrderNeed::None,
        }
    }

    /// Takes in the result of a call.
    pub(super) fn answer(
        &mut self,
        now: Time,
        config: &Config,
        fence: Fence,
        answer: OrderAnswer,
        context: &Context,
    ) {
        let held = self.tenure.as_mut().filter(|t| t.fence == fence);
        let Some(tenure) = held else {
            return;
        };
        match answer {
            OrderAnswer::Opened(opened) => tenure.opened(now, opened),
            OrderAnswer::Polled(polled) => {
                tenure.paused = false;
                tenure.due = now + POLL;
                if let (Ok(states), Stage::Active(dispatcher)) = (polled, &mut tenure.stage) {
                    for (target, action) in self.want.orders(config, &self.centre, &states) {
                        // A target with an open intent is looked at again at the next poll.
                        let _ = dispatcher.order(now, target, action);
                    }
                }
            }
            other => tenure.answer(now, other, context),
        }
    }
}

impl Tenure {
    /// Takes the dispatcher's steps until it has to wait.
    fn work(
        &mut self,
        now: Time,
        centre: &CentreName,
        context: &mut Context,
        permit: Permit,
    ) -> OrderNeed {
        while !self.paused {
            let Stage::Active(dispatcher) = &mut self.stage else {
                return OrderNeed::None;
            };
            match dispatcher.next(now) {
                OrderStep::Record(write) | OrderStep::Settle(write) => {
                    let target = write.record.target.clone();
                    if self.call(OrderCall::Write(write), context).is_err() {
                        let down = Err(ObjectError::Unavailable("too many calls".to_owned()));
                        self.answer(now, OrderAnswer::Written(target, down), context);
                    }
                }
                OrderStep::ReadBack(target, path) => {
                    if self
                        .call(OrderCall::Read(target.clone(), path), context)
                        .is_err()
                    {
                        let down = Err(ObjectError::Unavailable("too many calls".to_owned()));
                        self.answer(now, OrderAnswer::Read(target, down), context);
                    }
                }
                OrderStep::Send(order) => {
                    self.pause(now, OrderCall::Send(order, permit), context);
                }
                OrderStep::AskStates(_) => {
                    self.pause(now, OrderCall::AskStates(centre.clone()), context);
                }
                OrderStep::Idle if now >= self.due => {
                    self.pause(now, OrderCall::Poll(centre.clone()), context);
                }
                OrderStep::Wait(_) | OrderStep::Idle => return OrderNeed::None,
                OrderStep::Stop => {
                    self.stage = Stage::Closed;
                    return OrderNeed::GiveUp;
                }
            }
        }
        OrderNeed::None
    }

    /// Makes a call during which the dispatcher takes no step. Only one order is under way at a time,
    /// since the port prepares one connection, and states must not be older than an order.
    fn pause(&mut self, now: Time, call: OrderCall, context: &mut Context) {
        self.paused = true;
        let refused = refused(&call);
        if self.call(call, context).is_err() {
            match refused {
                Some(answer) => self.answer(now, answer, context),
                None => {
                    self.paused = false;
                    self.due = now + RETRY;
                }
            }
        }
    }

    fn call(&self, call: OrderCall, context: &mut Context) -> Result<(), ()> {
        let fence = self.fence;
        let job = move |ports: &Ports| DutyMessage::Orders(fence, make(ports, call));
        context.call(job).map_err(|_| ())
    }

    fn opened(&mut self, now: Time, opened: Result<Opened, String>) {
        self.paused = false;
        self.due = now + RETRY;
        self.stage = match (mem::replace(&mut self.stage, Stage::Closed), opened) {
            (Stage::Resolving(dispatcher), Ok((intents, states))) => {
                let mut pacer = Pacer::new(PACE);
                pacer.resume(now, rand::random());
                Stage::Active(dispatcher.resolve(now, intents, &states, pacer))
            }
            (stage, _) => stage,
        };
    }

    fn answer(&mut self, now: Time, answer: OrderAnswer, context: &Context) {
        let Stage::Active(dispatcher) = &mut self.stage else {
            return;
        };
        match answer {
            OrderAnswer::Written(target, written) => dispatcher.recorded(now, &target, &written),
            OrderAnswer::Read(target, read) => dispatcher.read(now, &target, read),
            OrderAnswer::Sent(order, sent) => {
                self.paused = false;
                note(&order, &sent, context);
                dispatcher.sent(now, &order.target, &sent);
            }
            OrderAnswer::States(states) => {
                self.paused = false;
                match states {
                    Ok(states) => dispatcher.states(now, &states),
                    Err(_) => dispatcher.states_failed(now),
                }
            }
            OrderAnswer::Opened(_) | OrderAnswer::Polled(_) => {}
        }
    }
}

/// Logs and counts the result of an order.
fn note(order: &TargetOrder, sent: &Result<(), OrderError>, context: &Context) {
    let action = match order.action {
        OrderAction::Start => "start",
        OrderAction::Stop => "stop",
    };
    let target: (&str, &dyn std::fmt::Display) = ("target", &order.target);
    match sent {
        Ok(()) => {
            context.metrics.order(action);
            emit(Event::OrderApplied, &[target, ("intent", &order.intent)]);
        }
        Err(OrderError::Fenced) => {
            let duty = format!("orders/{}", order.centre);
            emit(Event::OrderFenced, &[("duty", &duty)]);
        }
        Err(OrderError::Unavailable(e) | OrderError::Unknown(e)) => {
            let fields = [target, ("intent", &order.intent), ("error", e)];
            emit(Event::OrderWaits, &fields);
        }
    }
}

/// Makes a call. Blocks, so it belongs on a platform thread.
fn make(ports: &Ports, call: OrderCall) -> OrderAnswer {
    match call {
        OrderCall::Open(centre) => OrderAnswer::Opened(open(ports, &centre)),
        OrderCall::Write(write) => {
            let value = serde_json::to_string(&write.record)
                .map_err(|e| ObjectError::Invalid(e.to_string()));
            let written =
                value.and_then(|value| ports.objects.put(&write.path, &value, write.expect));
            OrderAnswer::Written(write.record.target, written)
        }
        OrderCall::Read(target, path) => {
            let found = ports.objects.get(&path);
            let found = found.and_then(|object| object.as_ref().map(decode).transpose());
            OrderAnswer::Read(target, found)
        }
        OrderCall::Send(order, permit) => {
            let sent = ports.order(&order, permit);
            OrderAnswer::Sent(order, sent)
        }
        OrderCall::AskStates(centre) => OrderAnswer::States(ports.states(&centre)),
        OrderCall::Poll(centre) => OrderAnswer::Polled(ports.states(&centre)),
    }
}

/// Reads the intents and then the states, so that the states cover every listed intent.
fn open(ports: &Ports, centre: &CentreName) -> Result<Opened, String> {
    let listing = ports.objects.list(&prefix(centre));
    let listing = listing.map_err(|e| format!("{e:?}"))?;
    let intents: Result<_, _> = listing.objects.iter().map(decode).collect();
    let intents = intents.map_err(|e| format!("{e:?}"))?;
    let states = ports.states(centre).map_err(|e| format!("{e:?}"))?;
    Ok((intents, states))
}

fn decode(object: &Object) -> Result<(Revision, IntentRecord), ObjectError> {
    let record = serde_json::from_str(&object.value)
        .map_err(|e| ObjectError::Invalid(format!("{}: {e}", object.path)))?;
    Ok((object.revision, record))
}

/// Returns the answer to a call of the dispatcher that could not be made.
fn refused(call: &OrderCall) -> Option<OrderAnswer> {
    let reason = || OrderError::Unavailable("too many calls wait".to_owned());
    match call {
        OrderCall::Send(order, _) => Some(OrderAnswer::Sent(order.clone(), Err(reason()))),
        OrderCall::AskStates(_) => Some(OrderAnswer::States(Err(reason()))),
        _ => None,
    }
}
