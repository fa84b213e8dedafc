//! Port to the scoring service.

use std::time::Duration;

/// Client of the scoring service.
pub trait ScorePort: Send + Sync {
    /// Returns the score of an answer to a prompt, waiting at most `limit`. Calls are idempotent.
    fn score(&self, prompt: &str, answer: &str, limit: Duration) -> Result<f64, String>;
}
