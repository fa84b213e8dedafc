//! Metrics of a role. `docs/metrics.md` lists them for operators.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use sardinepath_core::decision::sample::DropReason;
use sardinepath_core::domain::error::ErrorKind;

/// Label that carries the code of an error kind.
const CODE: &str = "code";

/// Label that carries the new state of a group.
const STATE: &str = "state";

/// Label that carries the reason of a drop.
const REASON: &str = "reason";

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
    groups: IntCounterVec,
    dropped: IntCounterVec,
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
            groups: IntCounterVec::new(
                Opts::new(
                    "sardinepath_step_groups_total",
                    "Groups of steps, by new state.",
                ),
                &[STATE],
            )?,
            dropped: IntCounterVec::new(
                Opts::new(
                    "sardinepath_samples_dropped_total",
                    "Samples dropped, by reason.",
                ),
                &[REASON],
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

    /// Counts a group that this process recorded.
    pub fn record_group(&self) {
        self.groups.with_label_values(&["recorded"]).inc();
    }

    /// Counts groups that a poll delivered and expired.
    pub fn deliver_groups(&self, delivered: u64, expired: u64) {
        let count = |state: &str, count| self.groups.with_label_values(&[state]).inc_by(count);
        count("delivered", delivered);
        count("expired", expired);
    }

    /// Counts samples that were dropped.
    pub fn drop_samples(&self, reason: DropReason, count: u64) {
        self.dropped
            .with_label_values(&[reason.code()])
            .inc_by(count);
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
        for state in ["recorded", "delivered", "expired"] {
            self.groups.with_label_values(&[state]);
        }
        for reason in DropReason::ALL {
            self.dropped.with_label_values(&[reason.code()]);
        }
        self.registry.register(Box::new(self.groups.clone()))?;
        self.registry.register(Box::new(self.dropped.clone()))?;
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
