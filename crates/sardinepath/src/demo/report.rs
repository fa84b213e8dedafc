//! Figures of the demo and the promises that they are held against.

use std::fmt;

use serde::Serialize;

/// Figures of one run. The true ones come from the books of the stand-ins.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// Requests that callers sent, samples not included.
    pub requests: u64,
    /// Whole answers that belong to their request.
    pub answered: u64,
    /// Refusals, each with its own reason.
    pub refused: u64,
    /// Requests without a whole answer and without a refusal that was expected.
    pub lost: u64,
    /// Answers of another request.
    pub crossed: u64,
    /// Non-idempotent calls sent.
    pub orders: u64,
    /// Executions of these calls in the logs of the services.
    pub orders_executed: u64,
    /// Keys found in what targets saw.
    pub keys_seen: u64,
    /// Milliseconds from the withdrawal of a key to the end of its stream.
    pub withdrawal_millis: u64,
    /// Samples that the trainer asked for.
    pub samples_requested: u64,
    /// Samples that it received.
    pub samples_delivered: u64,
    /// Samples that it received more than once.
    pub samples_doubled: u64,
    /// Samples whose versions differ from the engine's book.
    pub samples_mislabelled: u64,
    /// Most versions between a sample and its trainer.
    pub stalest_versions: u64,
    /// Staleness bound of the step.
    pub staleness_bound: u64,
    /// Closed usage windows with a report.
    pub usage_windows: u64,
    /// Reports with other figures than an earlier one of the same window.
    pub usage_contradictions: u64,
    /// Tokens in the reports.
    pub usage_reported_tokens: u64,
    /// Tokens of whole answers in the books of the engines.
    pub usage_true_tokens: u64,
}

/// Longest accepted time from a withdrawal to the end of the key's streams in milliseconds.
const WITHDRAWAL_MOST: u64 = 5_000;

impl Summary {
    /// Returns the promises that the run broke.
    pub fn broken(&self) -> Vec<&'static str> {
        let checks = [
            (
                self.lost == 0,
                "a caller got neither its answer nor a true refusal",
            ),
            (
                self.crossed == 0,
                "a caller got the answer of another request",
            ),
            (
                self.requests == self.answered + self.refused,
                "a request was not accounted for",
            ),
            (
                self.orders == self.orders_executed,
                "a non-idempotent call did not run exactly once",
            ),
            (self.keys_seen == 0, "a target saw a caller's key"),
            (
                self.withdrawal_millis <= WITHDRAWAL_MOST,
                "a withdrawn key worked for too long",
            ),
            (
                self.samples_requested == self.samples_delivered,
                "a sample was not delivered",
            ),
            (self.samples_doubled == 0, "a sample was delivered twice"),
            (
                self.samples_mislabelled == 0,
                "a sample names other versions than the engine's book",
            ),
            (
                self.stalest_versions <= self.staleness_bound,
                "a sample was too old",
            ),
            (self.usage_windows > 0, "no usage window was reported"),
            (
                self.usage_contradictions == 0,
                "a usage window was reported with two figures",
            ),
            (
                self.usage_reported_tokens == self.usage_true_tokens,
                "usage was not billed exactly",
            ),
        ];
        checks
            .into_iter()
            .filter(|(holds, _)| !holds)
            .map(|(_, promise)| promise)
            .collect()
    }

    /// Returns the figures as one JSON object.
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
            "orders     {} sent, {} executed (not to be repeated)",
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
            "usage      {} tokens reported in {} windows, {} tokens in the engines' books",
            self.usage_reported_tokens, self.usage_windows, self.usage_true_tokens
        )?;
        match self.broken().as_slice() {
            [] => writeln!(f, "all promises were kept"),
            broken => writeln!(f, "BROKEN: {}", broken.join("; ")),
        }
    }
}
