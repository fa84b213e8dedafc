//! HTTP client of the scoring service.

use std::net::SocketAddr;
use std::time::Duration;

use sardinepath_core::port::score::ScorePort;
use serde::Deserialize;
use serde_json::json;

use crate::platform::fetch_json;

/// HTTP client of the scoring service.
#[derive(Clone, Copy, Debug)]
pub struct HttpScores {
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct ScoreBody {
    score: f64,
}

impl HttpScores {
    /// Creates a client for the scoring service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl ScorePort for HttpScores {
    fn score(&self, prompt: &str, answer: &str, limit: Duration) -> Result<f64, String> {
        let body = json!({"prompt": prompt, "answer": answer}).to_string();
        let url = format!("http://{}/score", self.address);
        let score: ScoreBody = fetch_json(minreq::post(url).with_body(body), limit)?;
        Ok(score.score)
    }
}
