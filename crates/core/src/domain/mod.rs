//! Domain types shared by decisions, ports and adapters.

pub mod batch;
pub mod call;
pub mod cold;
pub mod crash;
pub mod declare;
pub mod error;
pub mod event;
pub mod fingerprint;
pub mod fleet;
pub mod hash;
pub mod ids;
pub mod key;
pub mod leave;
pub mod limit;
pub mod name;
pub mod order;
pub mod place;
pub mod table;
pub mod target;
pub mod time;
