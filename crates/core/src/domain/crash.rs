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
    /// Number of earlier crashes under the request for which the entry named the same run. The entry of
    /// a run that starts anew comes some time after it.
    #[serde(default)]
    pub ordinal: u32,
}

impl Crash {
    /// Returns the name under which the crash is stored.
    pub fn object_name(&self) -> String {
        let (run, ordinal) = (self.started_at, self.ordinal);
        format!("{}.{run}.{ordinal}.{}", self.request, self.target)
    }

    /// Returns the crash that is stored under a name, or `None` if the name is malformed.
    pub fn from_object_name(name: &str) -> Option<Self> {
        let mut parts = name.splitn(4, '.');
        let (request, started_at) = (parts.next()?, parts.next()?);
        let (ordinal, target) = (parts.next()?, parts.next()?);
        Some(Self {
            request: Fingerprint::from(request),
            target: TargetName::from(target),
            started_at: started_at.parse().ok()?,
            ordinal: ordinal.parse().ok()?,
        })
    }
}
