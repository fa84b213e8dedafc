//! HTTP from callers.

mod answer;
mod inbound;
pub mod limits;
mod serve;

pub use serve::CallerServer;
