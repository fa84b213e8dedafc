//! Monotonic and wall-clock times.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Milliseconds on a monotonic clock that also counts time while the host is suspended.
///
/// The origin is arbitrary, so times of different hosts cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

/// Milliseconds since the Unix epoch. The clock can be set forward or back at any time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl Time {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(millis))
    }
}
