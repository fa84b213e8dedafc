//! Crashes of targets while requests run on them.

use serde::Deserialize;
use serde::Serialize;

use crate::domain::name::Fingerprint;
use crate::domain::name::TargetName;

/// Crash of a run of a target while a request ran on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Request that ran.
    pub request: Fingerprint,
    /// Name of the target.
    pub target: TargetName,
    /// Start of the run that crashed, as in its entry.
    pub started_at: u64,
}
