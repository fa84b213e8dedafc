//! Port from an entry to the agents.

use std::net::SocketAddr;

use flume::Sender;

use crate::domain::call::Call;
use crate::domain::call::CallEvent;
use crate::port::target::CallGuard;

/// Access to agents by address.
pub trait AgentPort: Send + Sync {
    /// Starts one attempt. Events arrive on `events`; the sender is dropped after the last one.
    /// Dropping the guard cancels the attempt.
    fn execute(
        &self,
        agent: SocketAddr,
        call: Call,
        events: Sender<CallEvent>,
    ) -> Box<dyn CallGuard>;
}
