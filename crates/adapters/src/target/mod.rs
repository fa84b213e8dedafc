//! HTTP to the target beside an agent.

mod body;
pub mod completion;
pub mod http;

pub use http::HttpTarget;
