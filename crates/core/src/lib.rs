//! Decision logic, domain types and ports of sardinepath.
//!
//! This crate performs no I/O, starts no threads and reads no clocks. Time and random numbers are
//! arguments, so tests and simulations can run every state machine in virtual time.

pub mod decision;
pub mod domain;
pub mod port;
