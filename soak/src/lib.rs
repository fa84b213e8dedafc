//! Stand-ins of the platform, and a randomized soak test of gateway processes.
//!
//! `store` and `target` implement the platform's protocol, `proxy` disturbs connections, `fleet`
//! runs gateways as separate processes, `callers` sends requests and checks the answers, and `run`
//! injects faults drawn from a seed.

mod body;
pub mod callers;
mod check;
mod crash;
mod evacuation;
mod failing;
pub mod fleet;
pub mod generation;
mod inject;
pub mod proxy;
mod refusal;
pub mod run;
pub mod store;
pub mod target;
pub mod told;
