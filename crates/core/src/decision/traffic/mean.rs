//! What the answers of a workspace have cost so far.

use std::time::Duration;

use crate::decision::traffic::LEAST_TOKENS;

/// Weight of the newest answer in a mean is one over this.
const MEMORY: u64 = 8;

/// Moving means over the whole answers of a workspace.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    tokens: Option<u64>,
    /// Milliseconds from the grant to the end.
    millis: Option<u64>,
}

impl Mean {
    /// Takes in a whole answer.
    pub(super) fn add(&mut self, tokens: u64, time: Duration) {
        self.tokens = Some(moved(self.tokens, tokens));
        self.add_time(time);
    }

    /// Takes in the time of an answer that its deadline cut off. Without these the mean would
    /// come from short answers alone.
    pub(super) fn add_time(&mut self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.millis = Some(moved(self.millis, millis));
    }

    /// Returns the tokens to expect of an answer with at most `most`.
    pub(super) fn tokens(&self, most: u64) -> u64 {
        let most = most.max(LEAST_TOKENS);
        self.tokens
            .unwrap_or(LEAST_TOKENS)
            .clamp(LEAST_TOKENS, most)
    }

    /// Returns the time to expect of an answer, zero before the first one.
    pub(super) fn time(&self) -> Duration {
        Duration::from_millis(self.millis.unwrap_or(0))
    }
}

fn moved(mean: Option<u64>, value: u64) -> u64 {
    let old = mean.unwrap_or(value);
    (old.saturating_mul(MEMORY - 1).saturating_add(value)) / MEMORY
}
