//! Ids of questions to the control thread.

/// Identifies a question of a traffic thread. The reply carries the same ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);
