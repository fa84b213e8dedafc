//! State machines: `(now, event)` in, the next step out.

pub mod agent;
pub mod authorize;
pub mod config;
mod expose;
pub mod freshness;
pub mod lease;
pub mod member;
pub mod order;
pub mod prefix;
pub mod process;
pub mod request;
pub mod rollout;
pub mod sample;
pub mod traffic;
pub mod usage;
