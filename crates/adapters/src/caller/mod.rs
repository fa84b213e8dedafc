//! HTTP from callers.

mod answer;
mod connection;
mod inbound;
pub mod limits;
mod refuse;
mod serve;
mod step;
mod wire;

pub use serve::CallerServer;
