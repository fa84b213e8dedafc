//! The gateway role: serves callers and runs batch jobs on a platform that keeps what must last.

mod control;
mod metrics;

pub use crate::gateway::control::run;
pub use crate::gateway::metrics::GatewayMetrics;
