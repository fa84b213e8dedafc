//! State machines: `(now, event)` in, the next step out.

pub mod agent;
pub mod answer;
pub mod authorize;
pub mod config;
pub mod entrance;
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
pub mod subset;
pub mod traffic;
pub mod usage;
