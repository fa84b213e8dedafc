//! Moving means of the tokens and the duration of a workspace's answers.

use std::time::Duration;

use crate::decision::traffic::MIN_TOKENS;

/// Inverse of the newest answer's weight in an exponential moving mean.
const MEAN_WINDOW: u64 = 8;

/// Exponential moving means over the answers of a workspace.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerMeans {
    tokens: Option<u64>,
    /// Duration in milliseconds from the grant of the last attempt to the end.
    millis: Option<u64>,
}

impl AnswerMeans {
    /// Adds a complete answer.
    pub(super) fn add(&mut self, tokens: u64, time: Duration) {
        self.tokens = Some(moving_mean(self.tokens, tokens));
        self.add_time(time);
    }

    /// Adds only the duration of an answer. Answers cut off by their deadline are added too,
    /// because the mean would otherwise cover short answers alone.
    pub(super) fn add_time(&mut self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.millis = Some(moving_mean(self.millis, millis));
    }

    /// Returns the expected number of tokens of an answer that has at most `max_tokens`.
    pub(super) fn tokens(&self, max_tokens: u64) -> u64 {
        let max_tokens = max_tokens.max(MIN_TOKENS);
        self.tokens
            .unwrap_or(MIN_TOKENS)
            .clamp(MIN_TOKENS, max_tokens)
    }

    /// Returns the expected duration of an answer, or zero before the first one.
    pub(super) fn time(&self) -> Duration {
        Duration::from_millis(self.millis.unwrap_or(0))
    }
}

fn moving_mean(mean: Option<u64>, value: u64) -> u64 {
    let old = mean.unwrap_or(value);
    (old.saturating_mul(MEAN_WINDOW - 1).saturating_add(value)) / MEAN_WINDOW
}
