//! Pace of orders, so that an outage does not end in a burst.

use std::time::Duration;

use crate::domain::time::Time;

/// Time over which processes spread their first calls after an outage.
const SPREAD: Duration = Duration::from_secs(5);

/// Limits the rate of calls and delays the first call after an outage.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    interval: Duration,
    free: Time,
}

impl Pacer {
    /// Creates a pacer that lets one call pass in each interval.
    pub fn new(interval: Duration) -> Self {
        let free = Time::default();
        Self { interval, free }
    }

    /// Takes a turn, or tells when the next turn is.
    pub fn take(&mut self, now: Time) -> Result<(), Time> {
        if now < self.free {
            return Err(self.free);
        }
        self.free = now + self.interval;
        Ok(())
    }

    /// Delays the next turn after an outage. `random` is uniform in `0.0..1.0`.
    pub fn resume(&mut self, now: Time, random: f64) {
        let delay = SPREAD.mul_f64(random.clamp(0.0, 1.0));
        self.free = self.free.max(now + delay);
    }
}
