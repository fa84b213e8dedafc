//! Port to the clocks of the host.

use crate::domain::time::Time;
use crate::domain::time::WallTime;

/// Clocks of the host.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, which includes time while the host is suspended.
    fn now(&self) -> Time;

    /// Returns the wall-clock time, which may jump forward or back.
    fn wall_time(&self) -> WallTime;
}
