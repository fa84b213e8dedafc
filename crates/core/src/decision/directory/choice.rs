//! What a request needs of its target, the target that was chosen for it, and how it ended there.

use std::net::SocketAddr;

use crate::domain::ids::WeightVersion;
use crate::domain::name::ModelName;
use crate::domain::name::SoftwareVersion;
use crate::domain::name::TargetName;
use crate::domain::place::Homes;
use crate::domain::time::Time;

/// Requirements and preferences of a request for its target.
#[derive(Clone, Debug, Default)]
pub struct TargetNeeds {
    /// Model and its oldest permitted version, or `None` for plain requests.
    pub model: Option<(ModelName, WeightVersion)>,
    /// Software version that the target must have, or `None` if any will do.
    pub software: Option<SoftwareVersion>,
    /// Regions in which the target must lie, or `None` if any will do.
    pub homes: Option<Homes>,
    /// Targets that must not be chosen.
    pub excluded: Vec<TargetName>,
    /// Targets that have a part of the prompt cached.
    pub preferred: Vec<TargetName>,
    /// `true` if the request can wait, so that it leaves permits for limited targets to others.
    pub deferrable: bool,
    /// `true` if the target must have a free slot.
    pub free_slot: bool,
    /// `true` if a target that is paused after a failure may be chosen too.
    pub allow_paused: bool,
    /// `true` if a target has crashed under the request, so that it should run apart from others.
    pub suspect: bool,
    /// Whether the request may share its target with requests from which it should run apart.
    pub sharing: Sharing,
    /// Number that differs between processes, by which ties between targets are broken.
    pub seed: u64,
}

/// Whether a request may share its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sharing {
    /// Suspects run alone, and other requests keep away from targets that run a suspect.
    #[default]
    Apart,
    /// The request may run on any target.
    Any,
}

/// Result of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The target answered.
    Answered,
    /// The target answered with an error.
    Error,
    /// The target refused the request without running it.
    Refused,
    /// Another target answered at the address.
    Misdirected,
    /// The request got no answer.
    Failed,
    /// The caller or this process cancelled the request.
    Cancelled,
}

/// Target chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Name of the target.
    pub name: TargetName,
    /// Address to which the request is sent.
    pub address: SocketAddr,
    /// Software version of the target.
    pub software: SoftwareVersion,
    /// Start of the run of the target, as in its entry.
    pub started_at: u64,
    /// Time until which the request may be sent. Later the target has to be chosen again.
    pub valid_until: Time,
    /// True if the target limits its requests.
    pub limited: bool,
}

impl Choice {
    /// Returns `true` if the request may still be sent to the target.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.valid_until
    }
}
