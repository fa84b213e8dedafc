//! Settings of the roles, one file a subject.

pub mod agent;
pub mod entry;
pub mod read;

pub use agent::AgentSettings;
pub use entry::EntrySettings;
