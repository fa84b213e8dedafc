//! The scoring service.

use std::net::SocketAddr;
use std::time::Duration;

use sardinepath_core::port::score::ScorePort;
use serde::Deserialize;
use serde_json::json;

use crate::platform::read;

/// The scoring service over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpScores {
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Score {
    score: f64,
}

impl HttpScores {
    /// Creates access to the service at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl ScorePort for HttpScores {
    fn score(&self, prompt: &str, answer: &str, limit: Duration) -> Result<f64, String> {
        let body = json!({"prompt": prompt, "answer": answer}).to_string();
        let url = format!("http://{}/score", self.address);
        let score: Score = read(minreq::post(url).with_body(body), limit)?;
        Ok(score.score)
    }
}
