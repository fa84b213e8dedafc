//! The control thread of a gateway, which owns its state, handles messages and performs effects.

use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use sardinepath_adapters::event::emit;
use sardinepath_adapters::panic::Panicked;
use sardinepath_adapters::panic::survive;
use sardinepath_core::decision::gateway::Gateway;
use sardinepath_core::decision::gateway::message::Effect;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::decision::process::TimerPanics;
use sardinepath_core::decision::process::TimerStep;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::outlet::Outlet;

use crate::gateway::GatewayMetrics;

/// Reason why the control thread ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlEnd {
    /// The process stops.
    Stopped,
    /// The timers panic again and again, so the state is broken.
    Failed,
}

/// Handles messages and timers until the process stops. After a drain it still serves the requests
/// of open connections. A panic ends the message or timer in which it happens.
pub fn run(
    mut gateway: Gateway,
    messages: &Receiver<Message>,
    outlet: &mut dyn Outlet,
    clock: &dyn Clock,
    metrics: &GatewayMetrics,
) -> ControlEnd {
    let mut due = clock.now();
    let mut panics = TimerPanics::default();
    loop {
        let now = clock.now();
        if now >= due {
            let panicked = survive(|| perform(gateway.tick(now), outlet, metrics)).is_err();
            if panics.record(panicked) == TimerStep::GiveUp {
                return ControlEnd::Failed;
            }
            due = gateway.next_tick();
        }
        let wait = due.since(clock.now()).max(Duration::from_millis(1));
        match messages.recv_timeout(wait) {
            Ok(Message::Stop) => return ControlEnd::Stopped,
            Ok(message) => {
                handle(&mut gateway, message, outlet, clock.now(), metrics);
                due = due.min(gateway.next_tick());
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return ControlEnd::Stopped,
        }
    }
}

/// Handles a message. The caller of a question that panics gets no decision.
fn handle(
    gateway: &mut Gateway,
    message: Message,
    outlet: &mut dyn Outlet,
    now: Time,
    metrics: &GatewayMetrics,
) {
    let call = match &message {
        Message::Ask(call, _) => Some(*call),
        _ => None,
    };
    let handled = survive(|| perform(gateway.handle(now, message), outlet, metrics));
    if let (Err(Panicked), Some(call)) = (handled, call) {
        let unsure = vec![Effect::Reply(call, Reply::Unsure)];
        // A second panic leaves the caller to its timeout.
        let _ = survive(|| perform(unsure, outlet, metrics));
    }
}

fn perform(effects: Vec<Effect>, outlet: &mut dyn Outlet, metrics: &GatewayMetrics) {
    for effect in effects {
        match effect {
            Effect::Log(event, fields) => {
                metrics.count_event(event);
                let fields: Vec<(&str, &dyn std::fmt::Display)> = fields
                    .iter()
                    .map(|(name, value)| (*name, value as &dyn std::fmt::Display))
                    .collect();
                emit(event, &fields);
            }
            effect => outlet.perform(effect),
        }
    }
}
