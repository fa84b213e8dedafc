//! Adapters between the ports of sardinepath and the network.

pub mod admin;
pub mod caller;
pub mod clock;
pub mod elements;
pub mod event;
pub mod memory;
pub mod panic;
pub mod peer;
pub mod platform;
pub mod rpc;
pub mod runtime;
pub mod target;
pub mod web;
