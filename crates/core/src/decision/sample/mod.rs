//! Samples of a trainer's step: generation, record, delivery.
//!
//! The unit is the group. Its object is created by the first complete result and changes state
//! only by conditional update.
//!
//! Call sequence for one group:
//!
//! ```
//! use sardinepath_core::decision::sample::{Freshness, Group, GroupId, GroupState, Recording};
//! use sardinepath_core::decision::sample::{Sample, collect};
//! use sardinepath_core::domain::ids::{Revision, WeightVersion};
//! use sardinepath_core::domain::name::TrainerName;
//!
//! let id = GroupId { trainer: TrainerName::from("t1"), step: 4, group: 0 };
//! let sample = Sample { index: 0, versions: vec![WeightVersion(8)], tokens: 5, score: 0.5,
//!     text: "answer".into() };
//! let fresh = Freshness { trainer: WeightVersion(9), bound: 1 };
//! // When all members have answered and are scored:
//! let group = Group::first(id.clone(), 1).generated(vec![sample])?;
//! let write = group.record(fresh)?;
//! let Recording::Recorded(revision, record) = group.answered(&write, &Ok(Revision(3)))
//! else { panic!() };
//! // When the trainer polls with its version and its cursor:
//! let step = Group::recorded(id.clone(), revision, record).deliver(fresh);
//! assert_eq!(step.record.state, GroupState::Delivered);
//! // After the writes are answered: list `samples/t1/4/` again and answer the poll from it.
//! let reply = collect(vec![(id, Revision(4), step.record)], Revision(0), fresh);
//! assert_eq!((reply.groups.len(), reply.cursor), (1, Revision(4)));
//! # Ok::<(), sardinepath_core::decision::sample::Refusal>(())
//! ```
//!
//! # Remaining window
//!
//! A trainer that did not receive the answer to a poll and then moves to a newer version can make
//! a delivered group too old. Such a group is named in `Reply::withheld` and is neither sent nor
//! generated again, because the trainer may hold the first answer. The length is the time from the
//! write that delivers the group to the receipt of the answer.

mod fact;
mod group;
mod plan;
mod poll;
mod run;
mod step;

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

pub use crate::decision::sample::fact::DropReason;
pub use crate::decision::sample::fact::Fact;
pub use crate::decision::sample::group::Generated;
pub use crate::decision::sample::group::Group;
pub use crate::decision::sample::group::Open;
pub use crate::decision::sample::group::Recorded;
pub use crate::decision::sample::group::Recording;
pub use crate::decision::sample::group::Refusal;
pub use crate::decision::sample::plan::Member;
pub use crate::decision::sample::plan::Plan;
pub use crate::decision::sample::plan::PlanStep;
pub use crate::decision::sample::plan::Run;
pub use crate::decision::sample::poll::Reply;
pub use crate::decision::sample::poll::collect;
pub use crate::decision::sample::run::RunLimits;
pub use crate::decision::sample::run::RunStep;
pub use crate::decision::sample::run::StepRun;
pub use crate::decision::sample::step::GroupSpec;
pub use crate::decision::sample::step::StepKey;
pub use crate::decision::sample::step::StepRecord;
pub use crate::decision::sample::step::qualified;
pub use crate::decision::sample::step::steps_prefix;
use crate::domain::ids::Revision;
use crate::domain::ids::WeightVersion;
use crate::domain::name::TrainerName;
use crate::port::object::Expect;

/// Names a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId {
    /// The trainer.
    pub trainer: TrainerName,
    /// The trainer's step.
    pub step: u64,
    /// Index of the group in the step.
    pub group: u32,
}

/// One scored answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// Index in the group.
    pub index: u32,
    /// Weight versions that produced the answer. Never empty.
    pub versions: Vec<WeightVersion>,
    /// Tokens of the answer.
    pub tokens: u64,
    /// Score from the scoring service.
    pub score: f64,
    /// The answer.
    pub text: Arc<str>,
}

/// State of a group as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupState {
    /// Complete and not yet given to the trainer.
    Recorded,
    /// Given to the trainer. Never changes again.
    Delivered,
    /// Too old at the poll. Generated again in the next round.
    Expired,
}

/// A group as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupRecord {
    /// State of the group.
    pub state: GroupState,
    /// Counts the generations, from 0.
    pub round: u32,
    /// Samples by index. Empty once expired.
    pub samples: Vec<Sample>,
}

/// A conditional write of a group object.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupWrite {
    /// Path of the object.
    pub path: Arc<str>,
    /// New content.
    pub record: GroupRecord,
    /// Condition of the write.
    pub expect: Expect,
}

/// The trainer's version and its bound on staleness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Version of the trainer's weights.
    pub trainer: WeightVersion,
    /// Highest difference to a sample's lowest version.
    pub bound: u64,
}

impl Freshness {
    /// Tells whether a sample of these versions may be used. A sample without a version may not.
    pub fn allows(self, versions: &[WeightVersion]) -> bool {
        let lowest = versions.iter().min();
        lowest.is_some_and(|lowest| self.trainer.0.saturating_sub(lowest.0) <= self.bound)
    }

    /// Tells whether a sample that starts now on a target with this version can still be used
    /// when it is whole, if the trainer's version grows by one in each `interval`.
    pub fn allows_start(self, target: WeightVersion, run: Duration, interval: Duration) -> bool {
        let interval = interval.as_millis().max(1);
        let growth = u64::try_from(run.as_millis().div_ceil(interval)).unwrap_or(u64::MAX);
        let trainer = WeightVersion(self.trainer.0.saturating_add(growth));
        Self { trainer, ..self }.allows(&[target])
    }
}

impl GroupId {
    /// Returns the path of the group object. The number is padded so that paths sort by number.
    pub fn path(&self) -> Arc<str> {
        let prefix = prefix(&self.trainer, self.step);
        Arc::from(format!("{prefix}{:06}", self.group))
    }
}

/// Returns the prefix of a step's groups.
pub fn prefix(trainer: &TrainerName, step: u64) -> Arc<str> {
    Arc::from(format!("samples/{trainer}/{step}/"))
}

/// A stored group with its id and revision.
pub type Stored = (GroupId, Revision, GroupRecord);
