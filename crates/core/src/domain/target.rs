//! What is known of a target.

use crate::domain::ids::Incarnation;
use crate::domain::ids::WeightVersion;
use crate::domain::name::TargetName;

/// Serving state that an agent reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServingState {
    /// Not ready for requests.
    Starting,
    /// Takes requests.
    Serving,
    /// Finishes what runs and takes no new requests.
    Leaving,
}

/// Which weight versions a part of an answer names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Naming {
    /// The part holds no generated text.
    #[default]
    Nothing,
    /// The part names every version that produced its text.
    All(Vec<WeightVersion>),
    /// The part names some or none of the versions that produced its text.
    Some(Vec<WeightVersion>),
}

/// A target's state as its agent reports it. Source: `TargetReport` messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The reporting run of the agent.
    pub incarnation: Incarnation,
    /// The target.
    pub target: TargetName,
    /// Version of the loaded weights.
    pub version: WeightVersion,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the target.
    pub queued: u32,
    /// Requests that the target can run at once.
    pub capacity: u32,
    /// Serving state.
    pub state: ServingState,
    /// Hashes of prompt prefixes added to the cache since the last report.
    pub cached: Vec<u64>,
    /// Hashes of prompt prefixes evicted since the last report.
    pub evicted: Vec<u64>,
    /// True if cache events were missed, so earlier knowledge of the cache is void.
    pub cache_gap: bool,
}
