//! Metrics of the duties. `docs/metrics.md` lists them for operators.

use std::time::Duration;

use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use sardinepath_core::domain::name::DutyName;

use crate::metrics::Metrics;

/// Metrics of the duties of an entry.
#[derive(Clone, Debug)]
pub struct DutyMetrics {
    held: IntGaugeVec,
    orders: IntCounterVec,
    open: IntGauge,
    unreported: IntGauge,
    age: IntGauge,
}

impl DutyMetrics {
    /// Creates the metrics and registers them with those of the process.
    pub fn new(process: &Metrics) -> prometheus::Result<Self> {
        let metrics = Self {
            held: IntGaugeVec::new(
                Opts::new("sardinepath_duty_held", "1 if the duty is held, else 0."),
                &["duty"],
            )?,
            orders: IntCounterVec::new(
                Opts::new(
                    "sardinepath_orders_sent_total",
                    "Orders that took effect, by action.",
                ),
                &["action"],
            )?,
            open: IntGauge::new(
                "sardinepath_usage_windows_open",
                "Open usage windows of the held shards.",
            )?,
            unreported: IntGauge::new(
                "sardinepath_usage_windows_unreported",
                "Frozen usage windows whose report was not accepted yet.",
            )?,
            age: IntGauge::new(
                "sardinepath_usage_unreported_age_seconds",
                "Time since the end of the oldest unreported usage window.",
            )?,
        };
        for action in ["start", "stop", "load"] {
            metrics.orders.with_label_values(&[action]);
        }
        process.register(metrics.held.clone())?;
        process.register(metrics.orders.clone())?;
        process.register(metrics.open.clone())?;
        process.register(metrics.unreported.clone())?;
        process.register(metrics.age.clone())?;
        Ok(metrics)
    }

    /// Sets whether a duty is held.
    pub fn set_held(&self, duty: &DutyName, held: bool) {
        let gauge = self.held.with_label_values(&[duty.as_str()]);
        gauge.set(i64::from(held));
    }

    /// Counts an order that took effect.
    pub fn count_order(&self, action: &str) {
        self.orders.with_label_values(&[action]).inc();
    }

    /// Sets the numbers of open and unreported usage windows, and the age of the oldest unreported
    /// one.
    pub fn set_backlog(&self, open: usize, unreported: usize, age: Duration) {
        let number = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.open.set(number(open));
        self.unreported.set(number(unreported));
        self.age
            .set(i64::try_from(age.as_secs()).unwrap_or(i64::MAX));
    }
}
