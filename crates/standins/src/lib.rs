//! Small stand-ins for the systems around sardinepath, for tests and the demo.

pub mod object_api;
pub mod objects;
pub mod plain;
