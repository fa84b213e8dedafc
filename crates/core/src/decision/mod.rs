//! State machines: `(now, event)` in, the next step out.

pub mod agent;
pub mod authorize;
pub mod config;
pub mod freshness;
pub mod request;
pub mod traffic;
