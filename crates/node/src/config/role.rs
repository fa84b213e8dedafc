//! The field `role`, which distinguishes the settings files of the roles.

use serde::Deserialize;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Serves entries beside a target.
    Agent,
}

/// The only role that the settings of an entry accept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryRole {
    /// Serves callers.
    #[default]
    Entry,
}

/// The only role that the settings of an agent accept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentRole {
    /// Serves entries beside a target.
    #[default]
    Agent,
}

impl Role {
    /// Returns the name of the role with its article, for messages.
    pub fn name_with_article(self) -> &'static str {
        match self {
            Self::Entry => "an entry",
            Self::Agent => "an agent",
        }
    }
}
