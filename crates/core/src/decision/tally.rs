//! Number of requests by workspace and usage window.
//!
//! Windows are numbered from the Unix epoch: window `k` starts `k` times the window length after
//! it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::name::HostName;
use crate::domain::name::WorkspaceName;
use crate::domain::time::WallTime;

/// Number of windows that are kept after their end, so that a late collector finds their counts.
const KEPT_WINDOWS: u64 = 6;

/// Number of requests of each workspace.
pub type Counts = BTreeMap<WorkspaceName, u64>;

/// Number of requests that this process forwarded, by window.
#[derive(Debug)]
pub struct Tally {
    length: Duration,
    windows: BTreeMap<u64, Counts>,
}

/// Usage of one window as it is reported. It is stored before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Number of requests of each workspace.
    pub counts: Counts,
    /// Hosts whose counts are missing, as information for operators.
    pub missing: Vec<HostName>,
}

impl Tally {
    /// Creates an empty tally with windows of this length.
    pub fn new(length: Duration) -> Self {
        let windows = BTreeMap::new();
        Self { length, windows }
    }

    /// Returns the number of the window that contains a time.
    pub fn window(&self, wall: WallTime) -> u64 {
        wall.0 / self.length_millis()
    }

    /// Returns the time at which a window ends.
    pub fn end(&self, window: u64) -> WallTime {
        WallTime((window + 1) * self.length_millis())
    }

    /// Counts a request that started to run.
    pub fn count(&mut self, wall: WallTime, workspace: WorkspaceName) {
        let window = self.window(wall);
        let counts = self.windows.entry(window).or_default();
        *counts.entry(workspace).or_default() += 1;
        self.windows.retain(|w, _| w + KEPT_WINDOWS >= window);
    }

    /// Returns the counts of a window, empty if it has none or is no longer kept.
    pub fn counts(&self, window: u64) -> Counts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }

    /// Returns the length of a window in milliseconds, at least one.
    fn length_millis(&self) -> u64 {
        let millis = u64::try_from(self.length.as_millis()).unwrap_or(u64::MAX);
        millis.max(1)
    }
}
