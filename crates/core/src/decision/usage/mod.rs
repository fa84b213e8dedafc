//! Usage: cumulative counters, frozen windows and reports.
//!
//! Call sequence of the holder of `usage/{shard}` for one workspace:
//!
//! ```
//! use sardinepath_core::decision::usage::{Closing, Counters, OpenStep, Outcome, Resumption};
//! use sardinepath_core::decision::usage::{origin, resume};
//! use sardinepath_core::domain::ids::{Incarnation, Revision};
//! use sardinepath_core::domain::name::{TeamName, WorkspaceId, WorkspaceName};
//!
//! let workspace = WorkspaceId { team: TeamName::from("press"), name: WorkspaceName::from("a") };
//! // Once in the life of a workspace: create the origin, then list `usage/press/a/`.
//! let write = origin(&workspace, 41);
//! let Some(Resumption { open, unreported }) = resume(&workspace, vec![(Revision(1), write.record)])
//! else { panic!() };
//! assert!(unreported.is_empty());
//! assert_eq!(open.number(), 42);
//! // When window 43 has begun: collect the counters of all entries and agents.
//! let counters = Counters::from([(Incarnation(7), 900)]);
//! // The incarnation is not in window 41, so older windows must be looked at.
//! assert!(matches!(open.close(&counters, None), OpenStep::LookUp(_)));
//! let OpenStep::Freeze(write) = open.close(&counters, Some(&Counters::new())) else { panic!() };
//! let Closing::Frozen(window) = open.answered(&write, &Ok(Revision(2))) else { panic!() };
//! assert_eq!((window.report().id.as_str(), window.report().tokens), ("press/a/42", 900));
//! // The sending thread checks the permit of the lease as its last step.
//! let Outcome::Reported(window) = window.sent(&Ok(())) else { panic!() };
//! let _mark = window.mark();
//! ```
//!
//! # Why figures are exact
//!
//! Windows of a workspace form one chain: each is created conditionally under the number after
//! the previous one, and its figure is the growth of each counter over all earlier windows. A
//! counter that the previous window does not name is looked up in all older ones, so a counter may
//! be dropped at any time once it is frozen. A clock that jumps moves the end of a window but
//! neither loses nor doubles tokens.
//!
//! # Remaining windows
//!
//! - Tokens are lost if an agent and every entry that holds its last counter end before the next
//!   collection. The length is the time between two collections.
//! - A host whose clock is wrong when its process starts can close windows early; later usage then
//!   falls into later windows. [`WindowClock`] holds back jumps while the process runs.
//! - A paused holder can repeat a report with the same id and the same figure, at any time.
//! - Frozen windows must be kept as long as an entry can be cut off with an old counter in memory.
//!   Nothing here deletes them.

mod clock;
mod shard;
mod tally;
mod window;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

pub use crate::decision::usage::clock::WindowClock;
pub use crate::decision::usage::shard::SHARDS;
pub use crate::decision::usage::shard::shard;
pub use crate::decision::usage::tally::Tally;
pub use crate::decision::usage::window::Closing;
pub use crate::decision::usage::window::Frozen;
pub use crate::decision::usage::window::Open;
pub use crate::decision::usage::window::OpenStep;
pub use crate::decision::usage::window::Outcome;
pub use crate::decision::usage::window::Reported;
pub use crate::decision::usage::window::Resumption;
pub use crate::decision::usage::window::Window;
pub use crate::decision::usage::window::origin;
pub use crate::decision::usage::window::resume;
use crate::domain::ids::Incarnation;
use crate::domain::name::WorkspaceId;
use crate::port::object::Expect;

/// Cumulative tokens of one workspace by agent incarnation.
pub type Counters = BTreeMap<Incarnation, u64>;

/// A closed window as it is stored. Only `reported` changes after its creation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowRecord {
    /// Number of the window: its start in Unix seconds divided by its length.
    pub window: u64,
    /// Tokens of the window.
    pub tokens: u64,
    /// Counters that were collected for the window.
    pub counters: Counters,
    /// True once the usage interface has accepted the report.
    pub reported: bool,
}

/// A conditional write of a window object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowWrite {
    /// Path of the object.
    pub path: Arc<str>,
    /// New content.
    pub record: WindowRecord,
    /// Condition of the write.
    pub expect: Expect,
}

/// Returns the prefix of a workspace's windows.
pub fn prefix(workspace: &WorkspaceId) -> Arc<str> {
    Arc::from(format!("usage/{workspace}/"))
}

/// Returns the highest value of each counter in all given windows.
pub fn history<'a>(records: impl IntoIterator<Item = &'a WindowRecord>) -> Counters {
    let mut all = Counters::new();
    for record in records {
        tally::merge(&mut all, &record.counters);
    }
    all
}
