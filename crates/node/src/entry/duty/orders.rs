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
use sardinepath_core::decision::order::RETRY_DELAY;
use sardinepath_core::decision::order::Resolving;
use sardinepath_core::decision::order::TargetPolicy;
use sardinepath_core::decision::order::Waiting;
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

/// Interval at which the states of the targets are read while no order is open.
const STATE_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between two orders. The interface sets no limit; ten orders a second start a data
/// centre of the planned size in under a minute.
const ORDER_INTERVAL: Duration = Duration::from_millis(100);

/// Stored intents, and the states of the targets that were read after them.
type Opened = (Vec<(Revision, IntentRecord)>, Vec<TargetState>);

/// A call about target orders.
#[derive(Clone, Debug)]
enum OrderCall {
    Open(CentreName),
    Write(IntentWrite),
    Read(TargetName, Arc<str>),
    Send(TargetOrder, Permit),
    AskStates(CentreName),
    Poll(CentreName),
}

/// Result of a call about target orders.
#[derive(Debug)]
pub enum OrderAnswer {
    /// Result of the reads before the first order.
    Opened(Result<Opened, String>),
    /// Result of writing an intent.
    Written(TargetName, Result<Revision, ObjectError>),
    /// Result of reading an intent.
    Read(
        TargetName,
        Result<Option<(Revision, IntentRecord)>, ObjectError>,
    ),
    /// Result of an order.
    Sent(TargetOrder, Result<(), OrderError>),
    /// States of the targets that settle open intents.
    States(Result<Vec<TargetState>, OrderError>),
    /// States of the targets while no order is open.
    Polled(Result<Vec<TargetState>, OrderError>),
}

/// Whether the duty still needs its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseNeed {
    /// The lease is kept.
    Keep,
    /// A newer holder exists, so the lease must be given up.
    GiveUp,
}

/// The target orders of one data centre.
pub(super) struct OrderDuty {
    centre: CentreName,
    policy: Box<dyn TargetPolicy>,
    tenure: Option<Tenure>,
}

struct Tenure {
    fence: Fence,
    stage: Stage,
    /// Time of the next read of intents or states.
    due: Time,
    /// `true` during a call that must end before the dispatcher goes on.
    paused: bool,
}

enum Stage {
    Waiting(Dispatcher<Waiting>),
    Resolving(Dispatcher<Resolving>),
    Active(Dispatcher<Active>),
    /// Set during a change of stage, and after a newer holder was seen.
    Closed,
}

impl OrderDuty {
    /// Creates the state of an entry that does not hold the lease.
    pub(super) fn new(centre: CentreName, policy: Box<dyn TargetPolicy>) -> Self {
        let tenure = None;
        Self {
            centre,
            policy,
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

    /// Runs the timers and makes the calls that are due.
    pub(super) fn tick(&mut self, now: Time, context: &mut Context, permit: Permit) -> LeaseNeed {
        let Some(tenure) = &mut self.tenure else {
            return LeaseNeed::Keep;
        };
        if tenure.fence != permit.fence {
            return LeaseNeed::Keep;
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
                tenure.call_paused(now, call, context);
                LeaseNeed::Keep
            }
            Stage::Active(_) => tenure.run_steps(now, &self.centre, context, permit),
            Stage::Waiting(_) | Stage::Resolving(_) | Stage::Closed => LeaseNeed::Keep,
        }
    }

    /// Handles the result of a call.
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
                tenure.due = now + STATE_POLL_INTERVAL;
                if let (Ok(states), Stage::Active(dispatcher)) = (polled, &mut tenure.stage) {
                    for (target, action) in self.policy.orders(config, &self.centre, &states) {
                        // A target with an open intent is checked again at the next poll.
                        let _ = dispatcher.order(now, target, action);
                    }
                }
            }
            other => tenure.answer(now, other, context),
        }
    }
}

impl Tenure {
    /// Executes the dispatcher's steps until it waits.
    fn run_steps(
        &mut self,
        now: Time,
        centre: &CentreName,
        context: &mut Context,
        permit: Permit,
    ) -> LeaseNeed {
        while !self.paused {
            let Stage::Active(dispatcher) = &mut self.stage else {
                return LeaseNeed::Keep;
            };
            match dispatcher.next(now) {
                OrderStep::Record(write) | OrderStep::Settle(write) => {
                    let target = write.record.target.clone();
                    if self.call(OrderCall::Write(write), context).is_err() {
                        let unsent = Err(ObjectError::Unavailable(
                            "the call queue is full".to_owned(),
                        ));
                        self.answer(now, OrderAnswer::Written(target, unsent), context);
                    }
                }
                OrderStep::ReadBack(target, path) => {
                    if self
                        .call(OrderCall::Read(target.clone(), path), context)
                        .is_err()
                    {
                        let unsent = Err(ObjectError::Unavailable(
                            "the call queue is full".to_owned(),
                        ));
                        self.answer(now, OrderAnswer::Read(target, unsent), context);
                    }
                }
                OrderStep::Send(order) => {
                    self.call_paused(now, OrderCall::Send(order, permit), context);
                }
                OrderStep::ReadStates(_) => {
                    self.call_paused(now, OrderCall::AskStates(centre.clone()), context);
                }
                OrderStep::Idle if now >= self.due => {
                    self.call_paused(now, OrderCall::Poll(centre.clone()), context);
                }
                OrderStep::Wait(_) | OrderStep::Idle => return LeaseNeed::Keep,
                OrderStep::Stop => {
                    self.stage = Stage::Closed;
                    return LeaseNeed::GiveUp;
                }
            }
        }
        LeaseNeed::Keep
    }

    /// Makes a call that pauses the dispatcher until it ends. Only one order is under way at a
    /// time, since the port prepares one connection, and states must not be older than an order.
    fn call_paused(&mut self, now: Time, call: OrderCall, context: &mut Context) {
        self.paused = true;
        let unsent = unsent_answer(&call);
        if self.call(call, context).is_err() {
            match unsent {
                Some(answer) => self.answer(now, answer, context),
                None => {
                    self.paused = false;
                    self.due = now + RETRY_DELAY;
                }
            }
        }
    }

    fn call(&self, call: OrderCall, context: &mut Context) -> Result<(), ()> {
        let fence = self.fence;
        let job = move |ports: &Ports| DutyMessage::Orders(fence, call_platform(ports, call));
        context.call(job).map_err(|_| ())
    }

    fn opened(&mut self, now: Time, opened: Result<Opened, String>) {
        self.paused = false;
        self.due = now + RETRY_DELAY;
        self.stage = match (mem::replace(&mut self.stage, Stage::Closed), opened) {
            (Stage::Resolving(dispatcher), Ok((intents, states))) => {
                let mut pacer = Pacer::new(ORDER_INTERVAL);
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
                log_result(&order, &sent, context);
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

/// Logs the result of an order and counts it if it took effect.
fn log_result(order: &TargetOrder, sent: &Result<(), OrderError>, context: &Context) {
    let action = match order.action {
        OrderAction::Start => "start",
        OrderAction::Stop => "stop",
    };
    let target: (&str, &dyn std::fmt::Display) = ("target", &order.target);
    match sent {
        Ok(()) => {
            context.metrics.count_order(action);
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

/// Makes a call to the platform. Blocks, so it must run on a platform thread.
fn call_platform(ports: &Ports, call: OrderCall) -> OrderAnswer {
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

/// Reads the intents and then the states of the targets, so that the states are newer than every
/// listed intent.
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

/// Returns the answer to a call that pauses the dispatcher and could not be queued, or none if it
/// is a read that is repeated.
fn unsent_answer(call: &OrderCall) -> Option<OrderAnswer> {
    let reason = || OrderError::Unavailable("the call queue is full".to_owned());
    match call {
        OrderCall::Send(order, _) => Some(OrderAnswer::Sent(order.clone(), Err(reason()))),
        OrderCall::AskStates(_) => Some(OrderAnswer::States(Err(reason()))),
        _ => None,
    }
}
