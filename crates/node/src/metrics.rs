//! Metrics of an entry or agent. `docs/metrics.md` lists them for operators.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use sardinepath_core::decision::sample::DropReason;
use sardinepath_core::domain::error::ErrorKind;

/// Name of the label with the code of an error kind.
const CODE_LABEL: &str = "code";

/// Name of the label with the new state of a group.
const STATE_LABEL: &str = "state";

/// Name of the label with the reason for which samples were dropped.
const REASON_LABEL: &str = "reason";

/// Metrics of one process, in a registry of their own.
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

/// Guard that counts a request as running until it is dropped.
#[derive(Debug)]
pub struct RunningGuard {
    gauge: IntGauge,
}

impl Metrics {
    /// Creates all metrics. Every label value is present from the start, with the value 0.
    pub fn new() -> prometheus::Result<Self> {
        let metrics = Self {
            registry: Registry::new(),
            refusals: IntCounterVec::new(
                Opts::new(
                    "sardinepath_refusals_total",
                    "Requests refused or failed, by error kind.",
                ),
                &[CODE_LABEL],
            )?,
            retries: IntCounterVec::new(
                Opts::new(
                    "sardinepath_retries_total",
                    "Repeated attempts, by the error kind of the attempt before.",
                ),
                &[CODE_LABEL],
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
                &[STATE_LABEL],
            )?,
            dropped: IntCounterVec::new(
                Opts::new(
                    "sardinepath_samples_dropped_total",
                    "Samples dropped, by reason.",
                ),
                &[REASON_LABEL],
            )?,
        };
        metrics.register_all()?;
        Ok(metrics)
    }

    /// Registers a further metric of a part of the process.
    pub fn register(&self, metric: impl Collector + 'static) -> prometheus::Result<()> {
        self.registry.register(Box::new(metric))
    }

    /// Counts a received request, and counts it as running until the guard is dropped.
    pub fn count_request(&self) -> RunningGuard {
        self.requests.inc();
        self.running.inc();
        RunningGuard {
            gauge: self.running.clone(),
        }
    }

    /// Counts a refused or failed request.
    pub fn count_refusal(&self, kind: ErrorKind) {
        self.refusals.with_label_values(&[kind.answer().code]).inc();
    }

    /// Counts a retry after an attempt with this kind of error.
    pub fn count_retry(&self, kind: ErrorKind) {
        self.retries.with_label_values(&[kind.answer().code]).inc();
    }

    /// Adds the tokens of a complete answer.
    pub fn count_tokens(&self, tokens: u64) {
        self.tokens.inc_by(tokens);
    }

    /// Counts a group that this process recorded.
    pub fn count_recorded_group(&self) {
        self.groups.with_label_values(&["recorded"]).inc();
    }

    /// Adds the groups that a poll delivered and expired.
    pub fn count_deliveries(&self, delivered: u64, expired: u64) {
        let count = |state: &str, count| self.groups.with_label_values(&[state]).inc_by(count);
        count("delivered", delivered);
        count("expired", expired);
    }

    /// Adds samples that were dropped.
    pub fn count_dropped_samples(&self, reason: DropReason, count: u64) {
        self.dropped
            .with_label_values(&[reason.code()])
            .inc_by(count);
    }

    /// Returns the metrics in the Prometheus text format. `queued` is the length of the control
    /// queue.
    pub fn text(&self, queued: usize) -> String {
        self.control.set(i64::try_from(queued).unwrap_or(i64::MAX));
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|e| format!("# the metrics cannot be encoded: {e}\n"))
    }

    fn register_all(&self) -> prometheus::Result<()> {
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

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}
