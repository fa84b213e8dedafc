//! Ports for incoming requests. The roles implement them, and adapters for any wire format call
//! them.

use std::time::Duration;

use flume::Sender;

use crate::decision::agent::RequestState;
use crate::decision::authorize::Inbound;
use crate::decision::memory::Owner;
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

/// Service of an entry for callers.
pub trait CallerFront: Send + Sync {
    /// Starts a request. Events arrive on `events`, whose sender is dropped after the last one.
    /// Dropping the guard cancels the request.
    fn submit(&self, inbound: Inbound, events: Sender<CallEvent>) -> Box<dyn CallGuard>;

    /// Decides whether the body of a request is read, from its head, and who is charged for it.
    fn admit_body(&self, _head: &Inbound) -> Result<Owner, ErrorKind> {
        Ok(Owner::Open)
    }

    /// Records a request that the adapter refused before it was submitted.
    fn record_refusal(&self, kind: ErrorKind);

    /// Returns the service for trainers, or `None` if the entry has none.
    fn steps(&self) -> Option<&dyn StepFront> {
        None
    }
}

/// Service of an agent for entries.
pub trait AgentFront: Send + Sync {
    /// Starts an attempt. Events arrive on `events`, whose sender is dropped after the last one.
    /// Dropping the guard cancels the attempt.
    fn execute(&self, call: Call, events: Sender<CallEvent>) -> Box<dyn CallGuard>;

    /// Sends a report at once and then once per interval, until the guard is dropped.
    fn reports(&self, interval: Duration, reports: Sender<Report>) -> Box<dyn CallGuard>;

    /// Executes an order. The reply is sent once the order has taken effect, been refused or
    /// failed.
    fn order(&self, order: AgentOrder, reply: Sender<OrderAnswer>);

    /// Replies with the id of this run of the agent and what it knows about a request.
    fn lookup(&self, request: RequestId, reply: Sender<(Incarnation, RequestState)>);

    /// Replies with the usage counters of all workspaces.
    fn counters(&self, reply: Sender<Vec<Counter>>);
}
