//! Ports: what the core asks of the outside. Adapters implement them.

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
