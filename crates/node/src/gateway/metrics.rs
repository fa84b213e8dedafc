//! Metrics of a gateway. `docs/metrics.md` lists them for operators.

use std::collections::BTreeMap;
use std::time::Duration;

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use sardinepath_adapters::panic;
use sardinepath_adapters::web::ExchangeCounts;
use sardinepath_core::domain::event::Event;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// Counters and histograms of one gateway process, in a registry of their own.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    events: IntCounterVec,
    answers: IntCounterVec,
    calls: IntCounterVec,
    callers: IntCounterVec,
    request_time: Histogram,
    store_time: Histogram,
    panics: IntCounter,
    held: IntGaugeVec,
    bodies: IntCounterVec,
    exchanges: IntCounterVec,
}

/// What a process holds for its callers, and what it did not hold.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldBytes {
    /// Bytes of bodies.
    pub bodies: usize,
    /// Bytes of bodies that may be held.
    pub limit: usize,
    /// Number of bodies that were shed because they had stalled.
    pub shed: u64,
    /// Number of bodies that found no room.
    pub refused: u64,
}

impl GatewayMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> prometheus::Result<Self> {
        let counter = |name, help, label| IntCounterVec::new(Opts::new(name, help), &[label]);
        let latency = |name, help| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            Histogram::with_opts(options)
        };
        let metrics = Self {
            registry: Registry::new(),
            events: counter(
                "sardinepath_events_total",
                "Decisions, by the name of their log event.",
                "event",
            )?,
            answers: counter(
                "sardinepath_answers_total",
                "Answers to callers, by status.",
                "status",
            )?,
            calls: counter(
                "sardinepath_store_calls_total",
                "Calls to the object API, by result.",
                "result",
            )?,
            callers: counter(
                "sardinepath_store_callers_total",
                "Calls to the object API with watches, listings and probes, by their purpose.",
                "purpose",
            )?,
            request_time: latency(
                "sardinepath_request_seconds",
                "Time from a request to its whole answer.",
            )?,
            store_time: latency(
                "sardinepath_store_seconds",
                "Time of a call to the object API.",
            )?,
            panics: IntCounter::new(
                "sardinepath_panics_total",
                "Panics of threads and tasks, each of which ended its own work only.",
            )?,
            held: IntGaugeVec::new(
                Opts::new(
                    "sardinepath_held_bytes",
                    "Bytes held for callers, by kind, and their limit.",
                ),
                &["kind"],
            )?,
            bodies: counter(
                "sardinepath_bodies_given_up_total",
                "Bodies that were given up for lack of memory, by reason.",
                "reason",
            )?,
            exchanges: counter(
                "sardinepath_target_exchanges_total",
                "Requests sent to targets, by what their connections did with them.",
                "kind",
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> prometheus::Result<()> {
        let collectors: [Box<dyn Collector>; 10] = [
            Box::new(self.events.clone()),
            Box::new(self.answers.clone()),
            Box::new(self.calls.clone()),
            Box::new(self.callers.clone()),
            Box::new(self.request_time.clone()),
            Box::new(self.store_time.clone()),
            Box::new(self.panics.clone()),
            Box::new(self.held.clone()),
            Box::new(self.bodies.clone()),
            Box::new(self.exchanges.clone()),
        ];
        collectors
            .into_iter()
            .try_for_each(|collector| self.registry.register(collector))
    }

    /// Counts a decision by its log event.
    pub fn count_event(&self, event: Event) {
        self.events.with_label_values(&[event.info().name]).inc();
    }

    /// Counts an answer by its status, and records the time since the request.
    pub fn record_answer(&self, status: u16, time: Duration) {
        self.answers.with_label_values(&[&status.to_string()]).inc();
        self.request_time.observe(time.as_secs_f64());
    }

    /// Counts a call to the object API by its result, and records its duration.
    pub fn record_store_call(&self, result: &str, time: Duration) {
        self.calls.with_label_values(&[result]).inc();
        self.store_time.observe(time.as_secs_f64());
    }

    /// Counts a call to the object API by its purpose.
    pub fn count_store_caller(&self, purpose: &str) {
        self.callers.with_label_values(&[purpose]).inc();
    }

    /// Records what the process holds for its callers.
    pub fn record_held(&self, held: HeldBytes) {
        let bytes = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        let gauge = |kind| self.held.with_label_values(&[kind]);
        gauge("bodies").set(bytes(held.bodies));
        gauge("bodies_limit").set(bytes(held.limit));
        for (reason, count) in [("stalled", held.shed), ("no_room", held.refused)] {
            let counter = self.bodies.with_label_values(&[reason]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    /// Records the requests that were sent to targets so far.
    pub fn record_exchanges(&self, counts: ExchangeCounts) {
        let kinds = [
            ("opened", counts.opened),
            ("reused", counts.reused),
            ("lost", counts.lost),
            ("foreign", counts.foreign),
            ("malformed", counts.malformed),
        ];
        for (kind, count) in kinds {
            let counter = self.exchanges.with_label_values(&[kind]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    /// Returns the number of calls to the object API for each purpose.
    pub fn store_callers(&self) -> BTreeMap<String, f64> {
        let families = self.callers.collect();
        let counted = families.iter().flat_map(|family| family.get_metric());
        let named = counted.filter_map(|metric| {
            let label = metric.get_label().first()?;
            Some((label.value().to_owned(), metric.get_counter().get_value()))
        });
        named.collect()
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let new = panic::count().saturating_sub(self.panics.get());
        self.panics.inc_by(new);
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|e| format!("# the metrics cannot be encoded: {e}\n"))
    }
}
