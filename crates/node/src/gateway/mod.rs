//! The gateway role: serves callers and runs batch jobs, with all durable state in the platform's
//! object API.

mod control;
mod metrics;

pub use crate::gateway::control::ControlEnd;
pub use crate::gateway::control::run;
pub use crate::gateway::metrics::GatewayMetrics;
pub use crate::gateway::metrics::HeldBytes;
