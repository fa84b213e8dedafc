//! Request limits of targets, and permits that gateways give each other.

pub(super) mod limit;
pub(super) mod limit_store;
