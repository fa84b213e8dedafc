//! HTTP server for callers.

mod connection;
mod inbound;
pub mod limits;
mod refuse;
mod response;
mod serve;
mod shared;
mod step;
mod stream;

pub use serve::CallerServer;
