//! Decisions, domain types and ports of sardinepath.
//!
//! This crate does no I/O, starts no thread and reads no clock. Time and random numbers are
//! arguments, so every state machine can be driven in virtual time.

pub mod decision;
pub mod domain;
pub mod port;
