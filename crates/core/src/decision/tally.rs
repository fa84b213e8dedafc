//! Counts of requests by workspace and usage window.
//!
//! A window is numbered by its start: number `k` begins `k` lengths after the Unix epoch.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::name::HostName;
use crate::domain::name::WorkspaceName;
use crate::domain::time::WallTime;

/// Windows that are kept after their end, so that a late collector finds them.
const KEPT: u64 = 6;

/// Requests of each workspace.
pub type Counts = BTreeMap<WorkspaceName, u64>;

/// The requests that this process passed on, by window.
#[derive(Debug)]
pub struct Tally {
    length: Duration,
    windows: BTreeMap<u64, Counts>,
}

/// The figures of a window as they are reported. They are stored before they are sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// Requests of each workspace.
    pub counts: Counts,
    /// Processes whose counts are missing, for operators.
    pub missing: Vec<HostName>,
}

impl Tally {
    /// Starts without counts.
    pub fn new(length: Duration) -> Self {
        let windows = BTreeMap::new();
        Self { length, windows }
    }

    /// Returns the number of the window that holds a time.
    pub fn window(&self, wall: WallTime) -> u64 {
        wall.0 / self.millis()
    }

    /// Returns the time at which a window ends.
    pub fn end(&self, window: u64) -> WallTime {
        WallTime((window + 1) * self.millis())
    }

    /// Counts a request that began to run.
    pub fn count(&mut self, wall: WallTime, workspace: WorkspaceName) {
        let window = self.window(wall);
        let counts = self.windows.entry(window).or_default();
        *counts.entry(workspace).or_default() += 1;
        self.windows.retain(|w, _| w + KEPT >= window);
    }

    /// Returns the counts of a window.
    pub fn counts(&self, window: u64) -> Counts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }

    fn millis(&self) -> u64 {
        let millis = u64::try_from(self.length.as_millis()).unwrap_or(u64::MAX);
        millis.max(1)
    }
}
