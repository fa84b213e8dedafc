//! State of a target and of its answers.

use crate::domain::ids::Incarnation;
use crate::domain::ids::WeightVersion;
use crate::domain::name::TargetName;

/// Serving state of a target, as its agent reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServingState {
    /// The target is not ready for requests yet.
    Starting,
    /// The target takes requests.
    Serving,
    /// The target finishes running requests and takes no new ones.
    Leaving,
}

/// Weight versions that a part of an answer states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StatedVersions {
    /// The part contains no generated text.
    #[default]
    Nothing,
    /// The part states every version that produced its text.
    All(Vec<WeightVersion>),
    /// The part does not state every version that produced its text.
    Some(Vec<WeightVersion>),
}

/// State of a target, as its agent reports it in a `TargetReport` message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Run of the reporting agent.
    pub incarnation: Incarnation,
    /// Target beside the agent.
    pub target: TargetName,
    /// Version of the loaded weights.
    pub version: WeightVersion,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued in the target.
    pub queued: u32,
    /// Maximum number of requests that run at once.
    pub capacity: u32,
    /// Serving state.
    pub state: ServingState,
    /// Hashes of prompt prefixes added to the cache since the last report.
    pub cached: Vec<u64>,
    /// Hashes of prompt prefixes evicted since the last report.
    pub evicted: Vec<u64>,
    /// True if cache events were missed, so that earlier knowledge of the cache is invalid.
    pub cache_gap: bool,
}
