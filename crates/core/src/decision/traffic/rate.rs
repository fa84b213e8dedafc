//! Token rate of a workspace.

use std::time::Duration;

use crate::domain::time::Time;

/// Seconds of the rate that a workspace may use at once.
const BURST: u64 = 10;

/// A token bucket that may go into debt, since the size of an answer is known only at its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    /// Tokens times one thousand. Negative while the workspace is in debt.
    level: i64,
    filled: Time,
}

impl Bucket {
    /// Creates a full bucket for a rate in tokens per second.
    pub(super) fn new(now: Time, rate: u64) -> Self {
        Self {
            level: ceiling(rate),
            filled: now,
        }
    }

    /// Returns how long the workspace has to wait before its next request, or none if it may go.
    pub(super) fn wait(&mut self, now: Time, rate: u64) -> Option<Duration> {
        if rate == 0 {
            return None;
        }
        self.fill(now, rate);
        let missing = u64::try_from(1 - self.level).unwrap_or(0);
        (missing > 0).then(|| Duration::from_millis(missing.div_ceil(rate)))
    }

    /// Charges tokens, or gives them back if negative.
    pub(super) fn charge(&mut self, tokens: i64) {
        self.level = self.level.saturating_sub(tokens.saturating_mul(1000));
    }

    fn fill(&mut self, now: Time, rate: u64) {
        let millis = u64::try_from(now.since(self.filled).as_millis()).unwrap_or(u64::MAX);
        let gain = i64::try_from(millis.saturating_mul(rate)).unwrap_or(i64::MAX);
        self.level = self.level.saturating_add(gain).min(ceiling(rate));
        self.filled = now;
    }
}

/// Returns the highest level for a rate in tokens per second.
fn ceiling(rate: u64) -> i64 {
    i64::try_from(rate.saturating_mul(BURST * 1000)).unwrap_or(i64::MAX)
}
