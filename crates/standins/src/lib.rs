//! Small stand-ins for the systems around sardinepath, for tests and the demo.

pub mod control;
pub mod engine;
pub mod http;
pub mod objects;
pub mod plain;
