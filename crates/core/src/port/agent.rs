//! Port from an entry to agents.

use std::net::SocketAddr;

use flume::Sender;

use crate::domain::call::Call;
use crate::domain::call::CallEvent;
use crate::port::target::CallGuard;

/// Client of agents.
pub trait AgentPort: Send + Sync {
    /// Starts an attempt at an agent. Events arrive on `events`, whose sender is dropped after the
    /// last one. Dropping the guard cancels the attempt.
    fn execute(
        &self,
        agent: SocketAddr,
        call: Call,
        events: Sender<CallEvent>,
    ) -> Box<dyn CallGuard>;
}
