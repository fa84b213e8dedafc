//! Decisions as state machines: each takes the current time and an event and returns the next
//! step. They do no input or output and read no clock.

pub mod admission;
pub mod agent;
pub mod answer;
pub mod attempts;
pub mod authorize;
pub mod batch;
pub mod config;
pub mod directory;
mod expose;
pub mod freshness;
pub mod gateway;
pub mod lease;
pub mod member;
pub mod memory;
pub mod opening;
pub mod order;
pub mod outage;
pub mod permit;
pub mod places;
pub mod prefix;
pub mod process;
pub mod quarantine;
pub mod request;
pub mod rollout;
pub mod sample;
pub mod share;
pub mod subset;
pub mod tally;
pub mod target_watch;
pub mod traffic;
pub mod usage;
pub mod weights;
