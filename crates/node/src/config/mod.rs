//! Settings of the roles, one file a subject.

pub mod agent;
pub mod entry;
mod range;
pub mod read;
pub mod role;

pub use agent::AgentSettings;
pub use entry::EntrySettings;
