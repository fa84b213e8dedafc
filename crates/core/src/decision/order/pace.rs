//! Rate limit of orders, which also prevents a burst after an outage.

use std::time::Duration;

use crate::domain::time::Time;

/// Maximum random delay of the first call after an outage, so that processes do not call at once.
const MAX_RESUME_DELAY: Duration = Duration::from_secs(5);

/// Limits the rate of calls and delays the first call after an outage.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    interval: Duration,
    next_call: Time,
}

impl Pacer {
    /// Creates a pacer that permits one call per interval.
    pub fn new(interval: Duration) -> Self {
        let next_call = Time::default();
        Self {
            interval,
            next_call,
        }
    }

    /// Permits a call now, or returns the time at which the next call is permitted.
    pub fn take(&mut self, now: Time) -> Result<(), Time> {
        if now < self.next_call {
            return Err(self.next_call);
        }
        self.next_call = now + self.interval;
        Ok(())
    }

    /// Delays the next call after an outage. `random` is uniform in `0.0..1.0`.
    pub fn resume(&mut self, now: Time, random: f64) {
        let delay = MAX_RESUME_DELAY.mul_f64(random.clamp(0.0, 1.0));
        self.next_call = self.next_call.max(now + delay);
    }
}
