//! The roles of sardinepath: their control threads, traffic services, settings and start-up, and
//! the operator commands.

pub mod agent;
pub mod config;
pub mod entry;
pub mod gateway;
pub mod metrics;
pub mod operate;
mod process;
