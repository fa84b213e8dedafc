//! Metrics of a role. `docs/metrics.md` lists them for operators.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use sardinepath_core::domain::error::ErrorKind;

/// Label that carries the code of an error kind.
const CODE: &str = "code";

/// Metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    requests: IntCounter,
    running: IntGauge,
    tokens: IntCounter,
    control: IntGauge,
}

/// Counts a request as running until dropped.
#[derive(Debug)]
pub struct Running {
    gauge: IntGauge,
}

impl Metrics {
    /// Creates all metrics. Every error kind is present with the value 0.
    pub fn new() -> prometheus::Result<Self> {
        let metrics = Self {
            registry: Registry::new(),
            refusals: IntCounterVec::new(
                Opts::new(
                    "sardinepath_refusals_total",
                    "Requests refused or failed, by error kind.",
                ),
                &[CODE],
            )?,
            retries: IntCounterVec::new(
                Opts::new(
                    "sardinepath_retries_total",
                    "Repeated attempts, by the error kind of the attempt before.",
                ),
                &[CODE],
            )?,
            requests: IntCounter::new("sardinepath_requests_total", "Requests received.")?,
            running: IntGauge::new("sardinepath_requests_running", "Requests that run or wait.")?,
            tokens: IntCounter::new("sardinepath_tokens_total", "Tokens of whole answers.")?,
            control: IntGauge::new(
                "sardinepath_control_queue_length",
                "Messages that wait for the control thread.",
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// Adds a metric of a part of the process.
    pub fn add(&self, metric: impl Collector + 'static) -> prometheus::Result<()> {
        self.registry.register(Box::new(metric))
    }

    /// Counts a request until the guard is dropped.
    pub fn start(&self) -> Running {
        self.requests.inc();
        self.running.inc();
        Running {
            gauge: self.running.clone(),
        }
    }

    /// Counts a refused or failed request.
    pub fn refuse(&self, kind: ErrorKind) {
        self.refusals.with_label_values(&[kind.answer().code]).inc();
    }

    /// Counts an attempt that is repeated because of this failure.
    pub fn retry(&self, kind: ErrorKind) {
        self.retries.with_label_values(&[kind.answer().code]).inc();
    }

    /// Counts the tokens of a whole answer.
    pub fn finish(&self, tokens: u64) {
        self.tokens.inc_by(tokens);
    }

    /// Returns the text format, with the given length of the control queue.
    pub fn text(&self, queued: usize) -> String {
        self.control.set(i64::try_from(queued).unwrap_or(i64::MAX));
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|e| format!("# the metrics cannot be encoded: {e}\n"))
    }

    fn register(&self) -> prometheus::Result<()> {
        for kind in ErrorKind::ALL {
            let code = kind.answer().code;
            self.refusals.with_label_values(&[code]);
            self.retries.with_label_values(&[code]);
        }
        self.registry.register(Box::new(self.refusals.clone()))?;
        self.registry.register(Box::new(self.retries.clone()))?;
        self.registry.register(Box::new(self.requests.clone()))?;
        self.registry.register(Box::new(self.running.clone()))?;
        self.registry.register(Box::new(self.tokens.clone()))?;
        self.registry.register(Box::new(self.control.clone()))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}
