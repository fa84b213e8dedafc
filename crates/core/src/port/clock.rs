//! Port to the clocks of the host.

use crate::domain::time::Time;
use crate::domain::time::WallTime;

/// Reads clocks.
pub trait Clock: Send + Sync {
    /// Returns a time that never goes back and counts suspended time.
    fn now(&self) -> Time;

    /// Returns the wall-clock time.
    fn wall(&self) -> WallTime;
}
