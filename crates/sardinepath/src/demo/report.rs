//! Results of the demo and the guarantees that they are checked against.

use std::fmt;

use serde::Serialize;

/// Results of one run. Executions and true values come from the records of the stand-ins.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// Number of requests that callers sent, without samples.
    pub requests: u64,
    /// Number of complete answers that belong to their request.
    pub answered: u64,
    /// Number of expected refusals.
    pub refused: u64,
    /// Number of requests with neither a complete answer nor an expected refusal.
    pub lost: u64,
    /// Number of requests that got the answer to another request.
    pub crossed: u64,
    /// Number of non-idempotent calls that were sent.
    pub orders: u64,
    /// Number of executions of these calls that the services recorded.
    pub orders_executed: u64,
    /// Number of calls at targets that contained the secret of a key.
    pub keys_seen: u64,
    /// Time from the withdrawal of a key to the end of its stream, in milliseconds.
    pub withdrawal_millis: u64,
    /// Number of samples that the trainer requested.
    pub samples_requested: u64,
    /// Number of different samples that the trainer received.
    pub samples_delivered: u64,
    /// Number of samples that the trainer received more than once.
    pub samples_doubled: u64,
    /// Number of samples whose weight versions differ from the record of the engine.
    pub samples_mislabelled: u64,
    /// Maximum age of a sample in weight versions, relative to the newest version.
    pub stalest_versions: u64,
    /// Maximum age of a sample that the step allows, in weight versions.
    pub staleness_bound: u64,
    /// Number of closed usage windows with a report.
    pub usage_windows: u64,
    /// Number of reports that differ from an earlier report of the same window.
    pub usage_contradictions: u64,
    /// Number of tokens in the reports.
    pub usage_reported_tokens: u64,
    /// Number of tokens of complete answers that the engines recorded.
    pub usage_true_tokens: u64,
}

/// Maximum time from the withdrawal of a key to the end of its streams, in milliseconds.
const MAX_WITHDRAWAL_MS: u64 = 5_000;

impl Summary {
    /// Returns a description of each guarantee that the run violated.
    pub fn violations(&self) -> Vec<&'static str> {
        let checks = [
            (
                self.lost == 0,
                "a request got neither a complete answer nor an expected refusal",
            ),
            (
                self.crossed == 0,
                "a request got the answer to another request",
            ),
            (
                self.requests == self.answered + self.refused,
                "requests do not add up to answers and refusals",
            ),
            (
                self.orders == self.orders_executed,
                "a non-idempotent call did not run exactly once",
            ),
            (self.keys_seen == 0, "a target received the key of a caller"),
            (
                self.withdrawal_millis <= MAX_WITHDRAWAL_MS,
                "a stream outlived the withdrawal of its key for too long",
            ),
            (
                self.samples_requested == self.samples_delivered,
                "a sample was not delivered",
            ),
            (self.samples_doubled == 0, "a sample was delivered twice"),
            (
                self.samples_mislabelled == 0,
                "a sample names other weight versions than the engine recorded",
            ),
            (
                self.stalest_versions <= self.staleness_bound,
                "a sample exceeded the staleness bound",
            ),
            (self.usage_windows > 0, "no usage window was reported"),
            (
                self.usage_contradictions == 0,
                "a usage window was reported twice with different token counts",
            ),
            (
                self.usage_reported_tokens == self.usage_true_tokens,
                "reported tokens differ from generated tokens",
            ),
        ];
        checks
            .into_iter()
            .filter(|(holds, _)| !holds)
            .map(|(_, violation)| violation)
            .collect()
    }

    /// Returns the results as one JSON object.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "requests   {} sent, {} answered, {} refused, {} lost, {} crossed",
            self.requests, self.answered, self.refused, self.lost, self.crossed
        )?;
        writeln!(
            f,
            "orders     {} sent, {} executed (non-idempotent)",
            self.orders, self.orders_executed
        )?;
        writeln!(
            f,
            "keys       {} seen by targets, stream ended {} ms after the withdrawal",
            self.keys_seen, self.withdrawal_millis
        )?;
        writeln!(
            f,
            "samples    {} requested, {} delivered, {} doubled, {} mislabelled, stalest {} of {} versions",
            self.samples_requested,
            self.samples_delivered,
            self.samples_doubled,
            self.samples_mislabelled,
            self.stalest_versions,
            self.staleness_bound
        )?;
        writeln!(
            f,
            "usage      {} tokens reported in {} windows, {} tokens recorded by the engines",
            self.usage_reported_tokens, self.usage_windows, self.usage_true_tokens
        )?;
        match self.violations().as_slice() {
            [] => writeln!(f, "all guarantees held"),
            violations => writeln!(f, "VIOLATED: {}", violations.join("; ")),
        }
    }
}
