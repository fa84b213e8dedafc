//! Events of a running step that are counted in metrics.

use std::fmt;

/// Reason for which samples were dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Another run of the same member answered first.
    Duplicate,
    /// The answer carries no weight version.
    Unlabelled,
    /// The sample exceeds the staleness bound.
    Stale,
    /// Another process recorded the group first.
    Elsewhere,
}

impl DropReason {
    /// All reasons, in the order in which metrics list them.
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

/// Countable event of a running step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEvent {
    /// This process recorded a group.
    Recorded,
    /// This process dropped a number of samples for a reason.
    Dropped(DropReason, u64),
}
