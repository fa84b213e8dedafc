//! Generation, storage and delivery of the samples of a trainer's step.
//!
//! Samples are stored by group. The first complete result creates the group object, and later
//! state changes are conditional updates.
//!
//! Call sequence for one group:
//!
//! ```
//! use sardinepath_core::decision::sample::{Group, GroupId, GroupState, Recording, Sample};
//! use sardinepath_core::decision::sample::{StalenessLimit, answer_poll};
//! use sardinepath_core::domain::ids::{Revision, WeightVersion};
//! use sardinepath_core::domain::name::TrainerName;
//!
//! let id = GroupId { trainer: TrainerName::from("t1"), step: 4, group: 0 };
//! let sample = Sample { index: 0, versions: vec![WeightVersion(8)], tokens: 5, score: 0.5,
//!     text: "answer".into() };
//! let limit = StalenessLimit { trainer: WeightVersion(9), bound: 1 };
//! // When all members have answered and are scored:
//! let group = Group::first(id.clone(), 1).generated(vec![sample])?;
//! let write = group.record(limit)?;
//! let Recording::Recorded(revision, record) = group.answered(&write, &Ok(Revision(3)))
//! else { panic!() };
//! // When the trainer polls with its version and its cursor:
//! let step = Group::recorded(id.clone(), revision, record).deliver(limit);
//! assert_eq!(step.record.state, GroupState::Delivered);
//! // After all writes have been answered: list `samples/t1/4/` again and answer the poll from it.
//! let reply = answer_poll(vec![(id, Revision(4), step.record)], Revision(0), limit);
//! assert_eq!((reply.groups.len(), reply.cursor), (1, Revision(4)));
//! # Ok::<(), sardinepath_core::decision::sample::RecordError>(())
//! ```
//!
//! # Known limitation
//!
//! If the answer to a poll is lost and the trainer then moves to a newer version, a delivered group
//! can exceed the staleness bound. Such a group is listed in `Reply::withheld`. It is neither sent
//! nor generated again, because the trainer may have received the first answer. This can happen
//! between the write that delivers the group and the receipt of the answer.

mod event;
mod group;
mod limits;
mod plan;
mod poll;
mod run;
mod step;

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

pub use crate::decision::sample::event::DropReason;
pub use crate::decision::sample::event::StepEvent;
pub use crate::decision::sample::group::Generated;
pub use crate::decision::sample::group::Group;
pub use crate::decision::sample::group::Open;
pub use crate::decision::sample::group::RecordError;
pub use crate::decision::sample::group::Recorded;
pub use crate::decision::sample::group::Recording;
pub use crate::decision::sample::limits::RunLimits;
pub use crate::decision::sample::plan::Member;
pub use crate::decision::sample::plan::Plan;
pub use crate::decision::sample::plan::PlanStep;
pub use crate::decision::sample::plan::Run;
pub use crate::decision::sample::poll::Reply;
pub use crate::decision::sample::poll::answer_poll;
pub use crate::decision::sample::run::RunStep;
pub use crate::decision::sample::run::StepRun;
pub use crate::decision::sample::step::GroupSpec;
pub use crate::decision::sample::step::StepKey;
pub use crate::decision::sample::step::StepRecord;
pub use crate::decision::sample::step::qualify_trainer;
pub use crate::decision::sample::step::steps_prefix;
use crate::domain::ids::Revision;
use crate::domain::ids::WeightVersion;
use crate::domain::name::TrainerName;
use crate::port::object::Precondition;

/// Identifies a group of samples.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId {
    /// Trainer that posted the step, qualified with team and workspace.
    pub trainer: TrainerName,
    /// Number of the step.
    pub step: u64,
    /// Index of the group in the step.
    pub group: u32,
}

/// One generated and scored answer to a prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// Index of the sample within its group, from 0.
    pub index: u32,
    /// Weight versions that produced the answer. Never empty.
    pub versions: Vec<WeightVersion>,
    /// Number of tokens in the answer.
    pub tokens: u64,
    /// Score that the scoring service assigned.
    pub score: f64,
    /// Generated text.
    pub text: Arc<str>,
}

/// Stored state of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupState {
    /// Complete, but not yet delivered to the trainer.
    Recorded,
    /// Delivered to the trainer. This state is final.
    Delivered,
    /// Exceeded the staleness bound when the trainer polled. The next round generates it again.
    Expired,
}

/// Stored content of a group object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupRecord {
    /// Whether the group is recorded, delivered or expired.
    pub state: GroupState,
    /// Number of times the group expired and was generated again.
    pub round: u32,
    /// Samples ordered by index. Empty if the group expired.
    pub samples: Vec<Sample>,
}

/// A conditional write of a group object.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupWrite {
    /// Path of the object.
    pub path: Arc<str>,
    /// Content to write.
    pub record: GroupRecord,
    /// Condition under which the write takes effect.
    pub expect: Precondition,
}

/// Staleness bound of a trainer at its current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessLimit {
    /// Version of the trainer's weights.
    pub trainer: WeightVersion,
    /// Largest allowed difference between the trainer's version and the lowest version of a sample.
    pub bound: u64,
}

impl StalenessLimit {
    /// Returns `true` if a sample generated by these versions is within the staleness bound. A
    /// sample without a version is not.
    pub fn allows(self, versions: &[WeightVersion]) -> bool {
        let lowest = versions.iter().min();
        lowest.is_some_and(|lowest| self.trainer.0.saturating_sub(lowest.0) <= self.bound)
    }

    /// Returns `true` if a sample started now on a target with this version will be within the
    /// bound when it completes. `run` is the expected generation time, and the trainer's version
    /// is assumed to grow by one in each `interval`.
    pub fn allows_start(self, target: WeightVersion, run: Duration, interval: Duration) -> bool {
        let interval = interval.as_millis().max(1);
        let growth = u64::try_from(run.as_millis().div_ceil(interval)).unwrap_or(u64::MAX);
        let trainer = WeightVersion(self.trainer.0.saturating_add(growth));
        Self { trainer, ..self }.allows(&[target])
    }
}

impl GroupId {
    /// Returns the path of the group object. The index is zero-padded so that paths sort by index.
    pub fn path(&self) -> Arc<str> {
        let prefix = prefix(&self.trainer, self.step);
        Arc::from(format!("{prefix}{:06}", self.group))
    }
}

/// Returns the path prefix of a step's group objects.
pub fn prefix(trainer: &TrainerName, step: u64) -> Arc<str> {
    Arc::from(format!("samples/{trainer}/{step}/"))
}

/// Id, revision and content of a stored group.
pub type Stored = (GroupId, Revision, GroupRecord);
