//! Stand-in of the scoring service.

use std::time::Instant;

use serde::Deserialize;
use serde_json::json;

use crate::http::ReceivedRequest;
use crate::service::Protocol;
use crate::service::Reply;
use crate::service::Service;

/// Length in bytes from which an answer gets the full score of 1.
const FULL_SCORE_BYTES: f64 = 1000.0;

/// Running scoring service that stops when dropped.
pub type Scoring = Service<ScoreState>;

/// Call to score an answer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScoreCall {
    /// Prompt of the sample, which does not affect the score.
    pub prompt: String,
    /// Answer of the model.
    pub answer: String,
}

/// State of the scoring service.
#[derive(Debug, Default)]
pub struct ScoreState {
    /// All scored calls in order of arrival.
    pub log: Vec<ScoreCall>,
}

/// Returns the score of an answer from 0 to 1, which grows with its length.
pub fn score(answer: &str) -> f64 {
    let length = u32::try_from(answer.len()).unwrap_or(u32::MAX);
    (f64::from(length) / FULL_SCORE_BYTES).min(1.0)
}

impl Protocol for ScoreState {
    fn handle(&mut self, request: &ReceivedRequest, _now: Instant) -> Reply {
        if (request.method.as_str(), request.route()) != ("POST", "/score") {
            return Reply::Json(404, json!({"error": "unknown path"}));
        }
        match serde_json::from_slice::<ScoreCall>(&request.body) {
            Ok(call) => {
                let score = score(&call.answer);
                self.log.push(call);
                Reply::Json(200, json!({"score": score}))
            }
            Err(e) => Reply::Json(400, json!({"error": e.to_string()})),
        }
    }
}
