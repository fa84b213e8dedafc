//! Benchmarks of sardinepath: a simulation of its scheduling policy, and measurements of the
//! request path and of the decision code.

pub mod cli;
pub mod decide;
pub mod path;
pub mod policy;
