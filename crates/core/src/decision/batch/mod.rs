//! Batch jobs: scheduling of items and the list of results.
//!
//! The list of results grows by pages. The name of a page contains the position of its first
//! result, and a page is created but never updated. If two processes run the same job by mistake,
//! the first page at a position is kept; the other process reads it and continues after it. An item
//! may therefore be generated twice, but it is listed once.

mod drafts;
mod failures;
mod groups;
mod journal;
mod loaded;
mod order;
mod pace;
mod page;
mod results;
mod retained;
mod retry;
mod run;
mod runner;
mod task;

pub use crate::decision::batch::drafts::WrittenDrafts;
pub use crate::decision::batch::failures::FailureVersion;
pub use crate::decision::batch::groups::by_group;
pub use crate::decision::batch::journal::Journal;
pub use crate::decision::batch::loaded::LoadedJob;
pub use crate::decision::batch::pace::Pace;
pub use crate::decision::batch::page::EncodedPage;
pub use crate::decision::batch::results::Completed;
pub use crate::decision::batch::retained::RetainedTexts;
pub use crate::decision::batch::run::Generated;
pub use crate::decision::batch::run::Generating;
pub use crate::decision::batch::run::Run;
pub use crate::decision::batch::run::Scoring;
pub use crate::decision::batch::run::Waiting;
pub use crate::decision::batch::runner::Runner;
pub use crate::decision::batch::task::EndedRun;
pub use crate::decision::batch::task::Generation;
pub use crate::decision::batch::task::RunnerLimits;
pub use crate::decision::batch::task::Task;

use crate::domain::batch::PartialText;
use crate::domain::ids::WeightVersion;

/// Identifies one attempt to generate or score an item, unique within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// Outcome of an attempt to generate an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The text is complete.
    Complete,
    /// The target refused the item without running it.
    Refused,
    /// Another target answered at the address.
    Misdirected,
    /// The target failed while running the item.
    Failed,
    /// The item can never be generated, so it is given up.
    Impossible,
    /// This process aborted the attempt to move the item to a faster target.
    Moved,
    /// The connection broke or timed out, or the stream was malformed.
    Broken(String),
    /// The target crashed while it ran the item.
    Crashed(String),
    /// The weight version of the target is too old, or differs from the one of the text so far.
    WrongVersion,
}

/// Outcome of a scoring request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoreEnd {
    /// The target returned this score.
    Scored(std::sync::Arc<str>),
    /// The target failed while running the request.
    Failed,
    /// The target refused the request without running it.
    Refused,
    /// Another target answered at the address.
    Misdirected,
    /// There was no complete answer, for this reason.
    Lost(String),
    /// The target crashed while it ran the request.
    Crashed(String),
}

/// Weight versions from which a text may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionLimits {
    /// Lowest permitted version.
    pub min_version: WeightVersion,
    /// Whether all events of a text must come from one version.
    pub single: bool,
}

/// Reason why an event cannot be appended to a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventFault {
    /// The ID of the event does not follow the last one.
    OutOfOrder,
    /// The weight version of the event is not permitted.
    WrongVersion,
}

impl VersionLimits {
    /// Returns `true` if all versions of a text are permitted.
    pub fn permits(self, partial: &PartialText) -> bool {
        let versions = &partial.versions;
        versions.iter().all(|v| *v >= self.min_version.0) && (!self.single || versions.len() <= 1)
    }

    /// Appends an event to a text. Event IDs count from 1. Fails if the event is not the next one
    /// or its version is not permitted.
    pub fn push(
        self,
        partial: &mut PartialText,
        id: u64,
        version: u64,
        data: &str,
    ) -> Result<(), EventFault> {
        if id != partial.events + 1 {
            return Err(EventFault::OutOfOrder);
        }
        if version < self.min_version.0
            || (self.single && partial.versions.iter().any(|v| *v != version))
        {
            return Err(EventFault::WrongVersion);
        }
        if partial.events > 0 {
            partial.text.push('\n');
        }
        partial.text.push_str(data);
        partial.events = id;
        if !partial.versions.contains(&version) {
            partial.versions.push(version);
        }
        Ok(())
    }
}
