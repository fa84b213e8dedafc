//! Measuring program for the decisions of sardinepath.

pub mod cli;
pub mod policy;
