//! The scoring service.

use std::time::Instant;

use serde::Deserialize;
use serde_json::json;

use crate::http::Seen;
use crate::service::Protocol;
use crate::service::Reply;
use crate::service::Service;

/// Bytes of the answer that a full score takes.
const FULL_BYTES: f64 = 1000.0;

/// A running scoring service. It stops when dropped.
pub type Scoring = Service<ScoreState>;

/// A call to score an answer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScoreCall {
    /// Prompt of the sample.
    pub prompt: String,
    /// Answer of the model.
    pub answer: String,
}

/// State of the scoring service.
#[derive(Debug, Default)]
pub struct ScoreState {
    /// Every call that was scored, in order.
    pub book: Vec<ScoreCall>,
}

/// Returns the score of an answer: longer is better, up to 1.
pub fn score(answer: &str) -> f64 {
    let length = u32::try_from(answer.len()).unwrap_or(u32::MAX);
    (f64::from(length) / FULL_BYTES).min(1.0)
}

impl Protocol for ScoreState {
    fn handle(&mut self, seen: &Seen, _now: Instant) -> Reply {
        if (seen.method.as_str(), seen.route()) != ("POST", "/score") {
            return Reply::Json(404, json!({"error": "unknown path"}));
        }
        match serde_json::from_slice::<ScoreCall>(&seen.body) {
            Ok(call) => {
                let score = score(&call.answer);
                self.book.push(call);
                Reply::Json(200, json!({"score": score}))
            }
            Err(e) => Reply::Json(400, json!({"error": e.to_string()})),
        }
    }
}
