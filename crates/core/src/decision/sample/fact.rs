//! What is counted while a step runs.

use std::fmt;

/// Why samples were dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Another run of the member answered first.
    Duplicate,
    /// The answer names no weight version.
    Unlabelled,
    /// The sample is older than the staleness bound.
    Stale,
    /// Another process recorded the group first.
    Elsewhere,
}

impl DropReason {
    /// All reasons.
    pub const ALL: [Self; 4] = [
        Self::Duplicate,
        Self::Unlabelled,
        Self::Stale,
        Self::Elsewhere,
    ];

    /// Returns the code used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::Duplicate => "duplicate",
            Self::Unlabelled => "unlabelled",
            Self::Stale => "stale",
            Self::Elsewhere => "elsewhere",
        }
    }
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Something that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fact {
    /// This process recorded a group.
    Recorded,
    /// Samples were dropped.
    Dropped(DropReason, u64),
}
