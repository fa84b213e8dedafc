//! The control thread of a gateway, which owns its state, handles messages and performs effects.

use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use sardinepath_adapters::event::emit;
use sardinepath_core::decision::gateway::Gateway;
use sardinepath_core::decision::gateway::message::Effect;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::outlet::Outlet;

use crate::gateway::GatewayMetrics;

/// Handles messages and timers until the process stops. After a drain it still serves the requests
/// of open connections.
pub fn run(
    mut gateway: Gateway,
    messages: &Receiver<Message>,
    outlet: &mut dyn Outlet,
    clock: &dyn Clock,
    metrics: &GatewayMetrics,
) {
    let mut due = clock.now();
    loop {
        let now = clock.now();
        if now >= due {
            let effects = gateway.tick(now);
            perform(effects, outlet, metrics);
            due = gateway.next_tick();
        }
        let wait = due.since(clock.now()).max(Duration::from_millis(1));
        match messages.recv_timeout(wait) {
            Ok(Message::Stop) => return,
            Ok(message) => {
                let effects = gateway.handle(clock.now(), message);
                perform(effects, outlet, metrics);
                due = due.min(gateway.next_tick());
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
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
