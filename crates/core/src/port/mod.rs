//! Ports: interfaces between the core and the adapters. Adapters implement those for outgoing calls
//! and call those for incoming requests.

pub mod admin;
pub mod agent;
pub mod clock;
pub mod front;
pub mod host;
pub mod object;
pub mod order;
pub mod outlet;
pub mod peer;
pub mod score;
pub mod step;
pub mod target;
pub mod usage;
pub mod weight;
