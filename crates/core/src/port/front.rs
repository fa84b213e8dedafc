//! Ports through which the outside asks the system. The roles implement them, and adapters of
//! any wire format call them.

use std::time::Duration;

use flume::Sender;

use crate::decision::agent::Known;
use crate::decision::authorize::Inbound;
use crate::domain::call::Call;
use crate::domain::call::CallEvent;
use crate::domain::call::Counter;
use crate::domain::error::ErrorKind;
use crate::domain::ids::Incarnation;
use crate::domain::ids::RequestId;
use crate::domain::order::AgentOrder;
use crate::domain::order::OrderAnswer;
use crate::domain::target::Report;
use crate::port::step::StepFront;
use crate::port::target::CallGuard;

/// What an entry offers to callers.
pub trait CallerFront: Send + Sync {
    /// Starts a request. Events arrive on `events`; the sender is dropped after the last one.
    /// Dropping the guard cancels the request.
    fn submit(&self, inbound: Inbound, events: Sender<CallEvent>) -> Box<dyn CallGuard>;

    /// Notes a request that the adapter refused before it was submitted.
    fn note_refusal(&self, kind: ErrorKind);

    /// Returns the part for trainers, if there is one.
    fn steps(&self) -> Option<&dyn StepFront> {
        None
    }
}

/// What an agent offers to entries.
pub trait AgentFront: Send + Sync {
    /// Starts one attempt. Dropping the guard cancels it.
    fn execute(&self, call: Call, events: Sender<CallEvent>) -> Box<dyn CallGuard>;

    /// Sends a report at once and then at each interval, until the guard is dropped.
    fn reports(&self, interval: Duration, reports: Sender<Report>) -> Box<dyn CallGuard>;

    /// Carries out an order. The answer comes when it has taken effect, was refused or failed.
    fn order(&self, order: AgentOrder, reply: Sender<OrderAnswer>);

    /// Answers with what this run of the agent knows of a request id.
    fn lookup(&self, request: RequestId, reply: Sender<(Incarnation, Known)>);

    /// Answers with all usage counters.
    fn counters(&self, reply: Sender<Vec<Counter>>);
}
