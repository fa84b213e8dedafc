//! Posted and stored form of a trainer's step.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::decision::sample::GroupId;
use crate::decision::sample::StalenessLimit;
use crate::domain::error::ErrorKind;
use crate::domain::ids::WeightVersion;
use crate::domain::name::RouteId;
use crate::domain::name::TrainerName;
use crate::domain::name::WorkspaceId;

/// Maximum number of samples in one step. 16 times the step size expected in two years.
const MAX_STEP_SAMPLES: u64 = 65_536;

/// Maximum length of a trainer's name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Identifies a step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    /// Trainer name, qualified with team and workspace by [`qualify_trainer`].
    pub trainer: TrainerName,
    /// Number of the step.
    pub step: u64,
}

/// Group of samples that a trainer requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// Name of the group within the step.
    pub group: Arc<str>,
    /// Prompt from which every sample is generated.
    pub prompt: Arc<str>,
    /// Number of samples to generate, at least 1.
    pub samples: u32,
    /// Maximum number of tokens in a sample.
    pub max_tokens: u32,
}

/// Content of the step object at `steps/{trainer}/{step}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepRecord {
    /// Route through which the samples are generated.
    pub route: RouteId,
    /// Workspace that the samples are accounted to.
    pub workspace: WorkspaceId,
    /// Weight version of the trainer when it posted the step.
    pub version: WeightVersion,
    /// Largest difference between the trainer's version and a sample's lowest version.
    pub staleness: u64,
    /// Requested groups, with unique names.
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
    /// Fails with `BadRequest` if the step has no groups, duplicate group names, an empty group or
    /// too many samples.
    pub fn check(&self) -> Result<(), ErrorKind> {
        let names: BTreeSet<_> = self.groups.iter().map(|group| &group.group).collect();
        let samples: u64 = self.groups.iter().map(|g| u64::from(g.samples)).sum();
        let empty = self.groups.iter().any(|group| group.samples == 0);
        if names.len() != self.groups.len()
            || names.is_empty()
            || empty
            || samples > MAX_STEP_SAMPLES
        {
            return Err(ErrorKind::BadRequest);
        }
        Ok(())
    }

    /// Returns `true` if another step requests the same samples. The version may differ, because a
    /// trainer can post a step again after moving to a newer version.
    pub fn is_same(&self, other: &Self) -> bool {
        let version = self.version;
        *self
            == Self {
                version,
                ..other.clone()
            }
    }

    /// Returns the step's staleness bound at a version of the trainer.
    pub fn staleness_limit(&self, trainer: WeightVersion) -> StalenessLimit {
        let bound = self.staleness;
        StalenessLimit { trainer, bound }
    }
}

/// Returns the path prefix of a trainer's step objects.
pub fn steps_prefix(trainer: &TrainerName) -> Arc<str> {
    Arc::from(format!("steps/{trainer}/"))
}

/// Qualifies a trainer's name with its workspace, so that trainers of different workspaces never
/// share a step, a lease or a sample. Fails with `BadRequest` if the name is not valid.
pub fn qualify_trainer(workspace: &WorkspaceId, trainer: &str) -> Result<TrainerName, ErrorKind> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let valid =
        !trainer.is_empty() && trainer.len() <= MAX_NAME_BYTES && trainer.bytes().all(is_allowed);
    // A name of dots only could be interpreted as a relative path.
    if !valid || trainer.bytes().all(|byte| byte == b'.') {
        return Err(ErrorKind::BadRequest);
    }
    Ok(TrainerName::from(format!("{workspace}/{trainer}")))
}
