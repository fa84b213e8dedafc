//! Orders and usage reports of the holder of the duty in the simulation.

use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::ReportEnd;
use sardinepath_core::decision::lease::Permit;
use sardinepath_core::decision::tally::Counts;
use sardinepath_core::decision::weights::Load;
use sardinepath_core::decision::weights::OrderEnd;
use sardinepath_core::domain::time::Time;

use crate::gateway_support::STEP_MS;
use crate::gateway_support::Simulation;

/// Call for the duty that waits for the traffic thread.
pub(super) enum DutyCall {
    Order(Load, Permit),
    Report(u64, Counts, Permit),
}

impl Simulation {
    /// Passes a call for the duty to the traffic thread of a gateway.
    pub(super) fn queue_duty_call(&mut self, index: usize, call: DutyCall) {
        let due = self.now + STEP_MS + self.nodes[index].duty_delay;
        self.nodes[index].duty_calls.push((due, call));
    }

    /// Sends the calls for the duty that are due. A frozen gateway sends them when it wakes, if their
    /// permits are still valid then.
    pub(super) fn send_duty_calls(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.frozen {
            return;
        }
        let due = node.duty_calls.extract_if(.., |(at, _)| *at <= now);
        for (_, call) in due.collect::<Vec<_>>() {
            match call {
                DutyCall::Order(load, permit) => self.order(index, load, permit),
                DutyCall::Report(window, counts, permit) => {
                    self.report(index, window, counts, permit);
                }
            }
        }
    }

    /// Sends an order if its permit is still valid.
    fn order(&mut self, index: usize, load: Load, permit: Permit) {
        let allowed = permit.allows(Time(self.now));
        if allowed {
            self.orders.push((index, permit.fence.0, self.now));
            self.places.loads.push((load.target.clone(), self.now));
        }
        let end = if allowed {
            OrderEnd::Accepted
        } else {
            OrderEnd::Failed
        };
        self.send(index, STEP_MS, Message::OrderEnded(load.target, end));
    }

    /// Sends a usage report if its permit is still valid.
    fn report(&mut self, index: usize, window: u64, counts: Counts, permit: Permit) {
        let allowed = permit.allows(Time(self.now));
        if allowed {
            let entry = (index, permit.fence.0, counts);
            self.reports.entry(window).or_default().push(entry);
            self.report_times.push((index, permit.fence.0, self.now));
        }
        let end = if allowed {
            ReportEnd::Accepted
        } else {
            ReportEnd::Failed
        };
        self.send(index, STEP_MS, Message::ReportEnded(window, end));
    }
}
