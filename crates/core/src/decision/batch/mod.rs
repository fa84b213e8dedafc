//! Batch jobs: which item runs next, and the list of results.
//!
//! The list of results grows by pages. A page is an object whose name carries the position of its
//! first result, and it is only ever created. Two processes that run the same job by mistake
//! therefore agree on each position: the first page at a position stands, and the other process
//! reads it and goes on behind it. An item may be generated twice, but it is listed once.

mod drafts;
mod journal;
mod results;
mod run;
mod runner;

pub use crate::decision::batch::drafts::Written;
pub use crate::decision::batch::journal::Journal;
pub use crate::decision::batch::results::Completed;
pub use crate::decision::batch::run::Generating;
pub use crate::decision::batch::run::Run;
pub use crate::decision::batch::run::Scoring;
pub use crate::decision::batch::run::Texted;
pub use crate::decision::batch::run::Waiting;
pub use crate::decision::batch::runner::EndedRun;
pub use crate::decision::batch::runner::Pace;
pub use crate::decision::batch::runner::Runner;
pub use crate::decision::batch::runner::RunnerTerms;
pub use crate::decision::batch::runner::Task;

use crate::domain::batch::Partial;
use crate::domain::ids::WeightVersion;

/// Identifies one attempt of this process to run or score an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// How the generation of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The text is whole.
    Complete,
    /// The target did not run it.
    Refused,
    /// Another target has the address.
    Misdirected,
    /// The target failed while running it.
    Failed,
    /// The item can never be done.
    Impossible,
    /// This process ended it to move it to a faster target.
    Moved,
    /// The connection broke or went silent, or the bytes were no proper stream.
    Broken(String),
    /// The target's weights are too old, or differ from those of the text so far.
    WrongVersion,
}

/// How a scoring request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoreEnd {
    /// With this score.
    Scored(std::sync::Arc<str>),
    /// The target failed while running it.
    Failed,
    /// The target did not run it.
    Refused,
    /// Another target has the address.
    Misdirected,
    /// Without an answer.
    Lost(String),
}

/// Which versions a text may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionTerms {
    /// Oldest permitted version.
    pub least: WeightVersion,
    /// True if all events must come from one version.
    pub single: bool,
}

/// Why an event does not belong to a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventFault {
    /// The event is not the next one.
    OutOfOrder,
    /// The version is not permitted.
    WrongVersion,
}

impl VersionTerms {
    /// Tells whether a text may be used under these terms.
    pub fn fit(self, partial: &Partial) -> bool {
        let versions = &partial.versions;
        versions.iter().all(|v| *v >= self.least.0) && (!self.single || versions.len() <= 1)
    }

    /// Adds an event to a text. `id` counts from 1.
    pub fn push(
        self,
        partial: &mut Partial,
        id: u64,
        version: u64,
        data: &str,
    ) -> Result<(), EventFault> {
        if id != partial.events + 1 {
            return Err(EventFault::OutOfOrder);
        }
        if version < self.least.0 || (self.single && partial.versions.iter().any(|v| *v != version))
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
