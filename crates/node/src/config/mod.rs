//! Settings of the entry and agent roles.

pub mod agent;
pub mod entry;
mod range;
pub mod read;
pub mod role;

pub use agent::AgentSettings;
pub use entry::EntrySettings;
