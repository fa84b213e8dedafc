//! Statements of targets that they are leaving.

use serde::Deserialize;
use serde::Serialize;

use crate::domain::name::TargetName;
use crate::domain::time::WallTime;

/// Statement of a run of a target that it takes no new requests and will end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaveStatement {
    /// Name of the target.
    pub target: TargetName,
    /// Start of the run that leaves, as in its entry. A later run of the target serves again.
    pub started_at: u64,
    /// Time of the answer, or 0 if it is not known. The entry from which the run was taken may be that of
    /// an earlier run, if the target started anew before this time.
    #[serde(default)]
    pub stated_at: WallTime,
}
