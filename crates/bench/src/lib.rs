//! Measuring program for the decisions of sardinepath.

pub mod cli;
pub mod decide;
pub mod path;
pub mod policy;
