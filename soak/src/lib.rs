//! Stand-ins of the platform, and a randomized soak of real gateways.
//!
//! `store` and `target` speak the platform's protocol, `proxy` disturbs connections, `fleet` runs
//! gateways as separate processes, `callers` uses them and checks the promises, and `run` draws
//! faults from a seed.

mod body;
pub mod callers;
pub mod fleet;
pub mod proxy;
pub mod run;
pub mod store;
pub mod target;
