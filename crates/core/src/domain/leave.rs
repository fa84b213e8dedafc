//! Statements of targets that they are leaving.

use serde::Deserialize;
use serde::Serialize;

use crate::domain::name::TargetName;

/// Statement of a run of a target that it takes no new requests and will end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaveStatement {
    /// Name of the target.
    pub target: TargetName,
    /// Start of the run that leaves, as in its entry. A later run of the target serves again.
    pub started_at: u64,
}
