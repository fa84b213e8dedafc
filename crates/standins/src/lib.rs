//! Stand-ins for the external systems of sardinepath, for tests and the demo.

pub mod control;
pub mod engine;
pub mod hosts;
pub mod http;
pub mod object_api;
pub mod objects;
pub mod orders;
pub mod plain;
pub mod relay;
pub mod scoring;
pub mod service;
pub mod trainer;
pub mod usage;
pub mod weights;
