//! Usage accounting: cumulative token counters, frozen windows and reports.
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
//! // Once per workspace: create the origin, then list `usage/press/a/`.
//! let write = origin(&workspace, 41);
//! let Some(Resumption { open, unreported }) = resume(&workspace, vec![(Revision(1), write.record)])
//! else { panic!() };
//! assert!(unreported.is_empty());
//! assert_eq!(open.number(), 42);
//! // Once window 43 has started: collect the counters of all entries and agents.
//! let counters = Counters::from([(Incarnation(7), 900)]);
//! // Window 41 does not contain the incarnation, so older windows must be read.
//! assert!(matches!(open.close(&counters, None), OpenStep::LookUp(_)));
//! let OpenStep::Freeze(write) = open.close(&counters, Some(&Counters::new())) else { panic!() };
//! let Closing::Frozen(window) = open.answered(&write, &Ok(Revision(2))) else { panic!() };
//! assert_eq!((window.report().id.as_str(), window.report().tokens), ("press/a/42", 900));
//! // The sending thread checks the permit of the lease last.
//! let Outcome::Reported(window) = window.sent(&Ok(())) else { panic!() };
//! let _mark = window.mark();
//! ```
//!
//! # Accounting guarantees
//!
//! The windows of a workspace form one chain. Each is created conditionally under the number after
//! the previous one, and its token count is the growth of each counter since all earlier windows.
//! If the previous window does not contain a counter, all older ones are read, so a counter may be
//! dropped at any time once it is frozen. A clock jump moves the end of a window, but neither
//! loses nor duplicates tokens.
//!
//! # Known limitations
//!
//! - Tokens are lost if an agent and every entry that holds its last counter end between two
//!   collections.
//! - If the clock of a host is wrong when its process starts, windows can close early and later
//!   usage is attributed to later windows. [`WindowClock`] delays jumps while the process runs.
//! - A paused holder can repeat a report at any time, with the same id and the same token count.
//! - Frozen windows must be kept for as long as a disconnected entry can hold an old counter in
//!   memory. This module never deletes them.

mod clock;
mod shard;
mod tally;
mod window;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

pub use crate::decision::usage::clock::WindowClock;
pub use crate::decision::usage::shard::SHARD_COUNT;
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
use crate::port::object::Precondition;

/// Cumulative token counts of one workspace, by agent incarnation.
pub type Counters = BTreeMap<Incarnation, u64>;

/// Stored content of a closed window. Only `reported` changes after its creation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowRecord {
    /// Number of the window: its start in Unix seconds, divided by its length.
    pub window: u64,
    /// Number of tokens used in the window.
    pub tokens: u64,
    /// Counters at the end of the window.
    pub counters: Counters,
    /// Whether the usage interface has accepted the report.
    pub reported: bool,
}

/// A conditional write of a window object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowWrite {
    /// Path of the object.
    pub path: Arc<str>,
    /// Content to write.
    pub record: WindowRecord,
    /// Condition under which the write takes effect.
    pub expect: Precondition,
}

/// Returns the path prefix of a workspace's windows.
pub fn prefix(workspace: &WorkspaceId) -> Arc<str> {
    Arc::from(format!("usage/{workspace}/"))
}

/// Returns the highest value of each counter over all given windows.
pub fn history<'a>(records: impl IntoIterator<Item = &'a WindowRecord>) -> Counters {
    let mut highest = Counters::new();
    for record in records {
        tally::merge(&mut highest, &record.counters);
    }
    highest
}
