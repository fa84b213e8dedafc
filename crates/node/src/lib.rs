//! The roles of sardinepath: their control threads, traffic services and composition.

pub mod agent;
pub mod config;
pub mod entry;
pub mod gateway;
pub mod metrics;
pub mod operate;
mod process;
