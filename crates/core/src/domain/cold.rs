//! Request rates of cold targets, which have just started and are slow for some time.

use std::time::Duration;

/// Largest rate that a pool may state, in requests a second.
const MAX_RATE: f64 = 1_000_000.0;

/// Rate of requests that a cold target tolerates, in requests a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ColdRate(f64);

/// Number of requests above its rate that a cold target may get within a second, as the platform
/// states it for all pools.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor on the rate.
    pub overage: f64,
    /// Number of requests added to it.
    pub slack: f64,
}

/// Settings of a pool of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolSettings {
    /// Longest time for which a target is cold.
    pub cold_time: Duration,
    /// Rate of requests that a cold target tolerates, or `None` if it tolerates any.
    pub cold_rate: Option<ColdRate>,
}

impl Default for ColdTolerance {
    /// Returns the tolerance of a platform that states none: the rate itself.
    fn default() -> Self {
        Self {
            overage: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdRate {
    /// Returns the rate, or `None` if the number is not above zero or not finite. Larger ones than a
    /// target can serve are reduced.
    pub fn new(per_second: f64) -> Option<Self> {
        let valid = per_second.is_finite() && per_second > 0.0;
        valid.then_some(Self(per_second.min(MAX_RATE)))
    }

    /// Returns the number of requests a second that a cold target tolerates.
    pub fn tolerated(self) -> u32 {
        whole(self.0)
    }

    /// Returns the largest number of requests that a target may get in a second.
    pub fn most(self, tolerance: ColdTolerance) -> u32 {
        whole(self.0 * tolerance.overage + tolerance.slack)
    }
}

/// Returns the integer part of a number, at least one.
fn whole(number: f64) -> u32 {
    // The conversion saturates at the bounds of the integer type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = number as u32;
    whole.max(1)
}
