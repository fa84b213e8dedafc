//! Requests that the items of a job need next, and how they end.

use std::time::Duration;

use crate::decision::batch::Pace;
use crate::decision::batch::VersionLimits;
use crate::decision::directory::CallEnd;
use crate::domain::batch::Scorer;
use crate::domain::name::GroupName;
use crate::domain::name::ItemId;
use crate::domain::name::SoftwareVersion;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Limits for the items of a job, which its route sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerLimits {
    /// Number of failed attempts after which an item is given up, or `None` if there is no limit.
    pub failures: Option<u32>,
    /// Time at which all unfinished items are given up, or `None` if there is none.
    pub deadline: Option<Time>,
    /// Weight versions from which a text may come.
    pub versions: VersionLimits,
}

impl RunnerLimits {
    /// Returns `true` if an item is given up after so many failed attempts.
    pub fn is_exhausted(&self, failures: u32) -> bool {
        self.failures.is_some_and(|max| failures >= max)
    }

    /// Returns `true` if all unfinished items are given up by now.
    pub fn has_expired(&self, now: Time) -> bool {
        self.deadline.is_some_and(|deadline| now >= deadline)
    }
}

/// Next request that an item needs.
#[derive(Clone, Debug)]
pub enum Task {
    /// Generate the text of the item.
    Generate(Generation),
    /// Score the text of the item.
    Score {
        /// Position of the item in the job.
        index: usize,
        /// Scoring request of the item.
        scorer: Scorer,
    },
}

/// Generation that an item needs next.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Position of the item in the job.
    pub index: usize,
    /// Time since which the generation may start.
    pub due: Time,
    /// Targets of the last failed attempts, which should not get the item again.
    pub avoid: Vec<TargetName>,
    /// Group of items that share a prompt.
    pub group: Option<GroupName>,
    /// Software version that began the text and has to go on with it, or `None` if there is no text
    /// yet.
    pub software: Option<SoftwareVersion>,
}

/// Summary of a generation that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Generated item.
    pub item: ItemId,
    /// Target of the attempt.
    pub target: TargetName,
    /// Outcome of the call from the point of view of the target.
    pub call: CallEnd,
    /// Number of earlier moves of the item to other targets.
    pub moves: u32,
    /// Number of earlier attempts at which a target failed.
    pub failures: u32,
    /// Time since the item was sent to this target.
    pub spent: Duration,
    /// Pace of the events since the last progress message, or `None` if it is not known.
    pub pace: Option<Pace>,
}
