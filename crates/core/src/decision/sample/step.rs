//! A trainer's step as it is posted and stored.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::decision::sample::Freshness;
use crate::decision::sample::GroupId;
use crate::domain::error::ErrorKind;
use crate::domain::ids::WeightVersion;
use crate::domain::name::RouteId;
use crate::domain::name::TrainerName;
use crate::domain::name::WorkspaceId;

/// Most samples of one step: sixteen times the size in two years.
const SAMPLES_MOST: u64 = 65_536;

/// Longest name of a trainer in bytes.
const NAME_MOST: usize = 64;

/// Names a step. The trainer's name is qualified, see [`qualified`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    /// The trainer, with team and workspace.
    pub trainer: TrainerName,
    /// Number of the step.
    pub step: u64,
}

/// A group that a trainer asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// Name of the group within the step.
    pub group: Arc<str>,
    /// Prompt of all its samples.
    pub prompt: Arc<str>,
    /// Number of samples, from 1.
    pub samples: u32,
    /// Most tokens of a sample.
    pub max_tokens: u32,
}

/// A step as it is stored under `steps/{trainer}/{step}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepRecord {
    /// Route to the engines.
    pub route: RouteId,
    /// Workspace for which the samples are generated.
    pub workspace: WorkspaceId,
    /// The trainer's version when it posted the step.
    pub version: WeightVersion,
    /// Largest difference between the trainer's version and a sample's lowest version.
    pub staleness: u64,
    /// The groups.
    pub groups: Vec<GroupSpec>,
}

impl StepKey {
    /// Returns the path of the step object.
    pub fn path(&self) -> Arc<str> {
        Arc::from(format!("{}{}", steps_prefix(&self.trainer), self.step))
    }

    /// Returns the id of the group with this index.
    pub fn group(&self, group: u32) -> GroupId {
        GroupId {
            trainer: self.trainer.clone(),
            step: self.step,
            group,
        }
    }
}

impl StepRecord {
    /// Refuses a step that cannot be run.
    pub fn check(&self) -> Result<(), ErrorKind> {
        let names: BTreeSet<_> = self.groups.iter().map(|group| &group.group).collect();
        let samples: u64 = self.groups.iter().map(|g| u64::from(g.samples)).sum();
        let empty = self.groups.iter().any(|group| group.samples == 0);
        if names.len() != self.groups.len() || names.is_empty() || empty || samples > SAMPLES_MOST {
            return Err(ErrorKind::BadRequest);
        }
        Ok(())
    }

    /// Tells whether another post asks for the same samples. The version may differ, because a
    /// trainer that posts again may have moved on.
    pub fn is_same(&self, other: &Self) -> bool {
        let version = self.version;
        *self
            == Self {
                version,
                ..other.clone()
            }
    }

    /// Returns the freshness rule for a version of the trainer.
    pub fn fresh(&self, trainer: WeightVersion) -> Freshness {
        let bound = self.staleness;
        Freshness { trainer, bound }
    }
}

/// Returns the prefix of a trainer's step objects.
pub fn steps_prefix(trainer: &TrainerName) -> Arc<str> {
    Arc::from(format!("steps/{trainer}/"))
}

/// Qualifies a trainer's own name with its workspace, so that trainers of two workspaces never
/// share a step, a lease or a sample.
pub fn qualified(workspace: &WorkspaceId, trainer: &str) -> Result<TrainerName, ErrorKind> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let known = !trainer.is_empty() && trainer.len() <= NAME_MOST && trainer.bytes().all(plain);
    // A segment of dots could be taken for a relative path.
    if !known || trainer.bytes().all(|byte| byte == b'.') {
        return Err(ErrorKind::BadRequest);
    }
    Ok(TrainerName::from(format!("{workspace}/{trainer}")))
}
