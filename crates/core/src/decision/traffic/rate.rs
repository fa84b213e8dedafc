//! Token rate limit of a workspace.

use std::time::Duration;

use crate::domain::time::Time;

/// Capacity of a bucket, as the number of seconds of its rate.
const BURST_SECONDS: u64 = 10;

/// A token bucket whose level may become negative, since the size of an answer is known only at
/// its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// Level in thousandths of a token. New requests are refused while it is not positive.
    level: i64,
    refilled: Time,
}

impl TokenBucket {
    /// Creates a full bucket for a rate in tokens a second.
    pub(super) fn new(now: Time, rate: u64) -> Self {
        Self {
            level: max_level(rate),
            refilled: now,
        }
    }

    /// Returns the time until the next request is allowed, or `None` if it is allowed now. A rate
    /// of zero means no limit.
    pub(super) fn wait_time(&mut self, now: Time, rate: u64) -> Option<Duration> {
        if rate == 0 {
            return None;
        }
        self.refill(now, rate);
        let deficit = u64::try_from(1 - self.level).unwrap_or(0);
        (deficit > 0).then(|| Duration::from_millis(deficit.div_ceil(rate)))
    }

    /// Removes tokens, or returns them if the number is negative.
    pub(super) fn charge(&mut self, tokens: i64) {
        self.level = self.level.saturating_sub(tokens.saturating_mul(1000));
    }

    fn refill(&mut self, now: Time, rate: u64) {
        let millis = u64::try_from(now.since(self.refilled).as_millis()).unwrap_or(u64::MAX);
        let gain = i64::try_from(millis.saturating_mul(rate)).unwrap_or(i64::MAX);
        self.level = self.level.saturating_add(gain).min(max_level(rate));
        self.refilled = now;
    }
}

/// Returns the level of a full bucket for a rate in tokens a second.
fn max_level(rate: u64) -> i64 {
    i64::try_from(rate.saturating_mul(BURST_SECONDS * 1000)).unwrap_or(i64::MAX)
}
