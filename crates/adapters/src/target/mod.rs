//! HTTP client for an agent's target.

mod body;
pub mod completion;
pub mod http;

pub use http::HttpTarget;
