//! Measurements of the request path from callers to targets.

use std::fmt;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::anyhow;
use sardinepath_standins::engine::EngineSettings;
use serde_json::json;

use crate::path::client::Caller;
use crate::path::client::Destination;
use crate::path::fleet::Fleet;

/// Maximum number of calls of one measurement, divided among its callers.
const MAX_CALLS: usize = 20_000;

/// Maximum time of one measurement.
const MAX_TIME: Duration = Duration::from_secs(8);

/// Number of calls that each caller sends before the measurement to open connections and fill
/// caches.
const WARM_UP_CALLS: usize = 20;

/// Number of concurrently open streams.
const STREAM_COUNT: usize = 1000;

/// Number of calls for which the time to the first token is measured.
const FIRST_TOKEN_CALLS: usize = 300;

/// Time for the resident memory of a process to become stable.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Results of a load measurement.
pub(super) struct LoadResult {
    pub(super) median: Duration,
    pub(super) p99: Duration,
    /// Calls per second.
    pub(super) rate: f64,
    /// Calls per second of CPU time of the entry. `None` for direct calls.
    pub(super) efficiency: Option<f64>,
}

/// Memory use of an entry with open streams.
pub(super) struct StreamMemory {
    pub(super) streams: usize,
    /// Resident memory in bytes before the streams are opened and while they are open.
    pub(super) before: u64,
    pub(super) after: u64,
}

/// Measures calls to a plain service from concurrent callers.
pub(super) fn load(
    fleet: &Fleet,
    destination: &Destination,
    callers: usize,
) -> anyhow::Result<LoadResult> {
    let entry = destination.key.and(fleet.entries.first());
    let before = entry.map(|entry| entry.cpu_time()).transpose()?;
    let start = Instant::now();
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            let destination = destination.clone();
            thread::spawn(move || run(&destination, MAX_CALLS / callers))
        })
        .collect();
    let mut latencies = Vec::new();
    for thread in threads {
        let measured = thread.join().map_err(|_| anyhow!("a caller panicked"))?;
        latencies.extend(measured?);
    }
    let elapsed = start.elapsed();
    let after = entry.map(|entry| entry.cpu_time()).transpose()?;
    latencies.sort_unstable();
    let sent = latencies.len() + callers * WARM_UP_CALLS;
    let efficiency = before.zip(after).map(|(before, after)| {
        let used = (after - before).as_secs_f64();
        to_float(sent) / used
    });
    Ok(LoadResult {
        median: percentile(&latencies, 50),
        p99: percentile(&latencies, 99),
        rate: to_float(sent) / elapsed.as_secs_f64(),
        efficiency,
    })
}

fn run(destination: &Destination, calls: usize) -> anyhow::Result<Vec<Duration>> {
    let mut caller = Caller::connect(destination)?;
    for _ in 0..WARM_UP_CALLS {
        caller.call("/x", "{}")?;
    }
    let end = Instant::now() + MAX_TIME;
    let mut latencies = Vec::with_capacity(calls);
    while latencies.len() < calls && Instant::now() < end {
        latencies.push(caller.call("/x", "{}")?);
    }
    Ok(latencies)
}

/// Measures the time to the first token of sequential calls. Returns the median and the 99th
/// percentile.
pub(super) fn first_token(destination: &Destination) -> anyhow::Result<(Duration, Duration)> {
    let mut latencies = Vec::new();
    for i in 0..FIRST_TOKEN_CALLS {
        let body = json!({"prompt": format!("tag:{i}"), "max_tokens": 2, "stream": true});
        let mut caller = Caller::connect(destination)?;
        latencies.push(caller.open_stream("/v1/completions", &body.to_string())?);
    }
    latencies.sort_unstable();
    Ok((percentile(&latencies, 50), percentile(&latencies, 99)))
}

/// Measures the resident memory of the first entry before and with open streams.
pub(super) fn stream_memory(fleet: &Fleet) -> anyhow::Result<StreamMemory> {
    let entry = &fleet.entries[0];
    let destination = fleet.engine_through_entry();
    thread::sleep(SETTLE_TIME);
    let before = entry.resident_memory()?;
    let mut callers = Vec::new();
    for i in 0..STREAM_COUNT {
        let body = json!({"prompt": format!("tag:{i}"), "max_tokens": 4000, "stream": true});
        let mut caller = Caller::connect(&destination)?;
        caller.send("/v1/completions", &body.to_string())?;
        callers.push(caller);
    }
    for caller in &mut callers {
        caller.await_token()?;
    }
    thread::sleep(SETTLE_TIME);
    Ok(StreamMemory {
        streams: callers.len(),
        before,
        after: entry.resident_memory()?,
    })
}

/// Returns the settings of an engine that keeps all measured streams running for minutes.
pub(super) fn slow_engine() -> EngineSettings {
    EngineSettings {
        capacity: 2 * STREAM_COUNT,
        token_time: Duration::from_millis(200),
        ..EngineSettings::default()
    }
}

impl fmt::Display for LoadResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            median, p99, rate, ..
        } = self;
        write!(f, "{} | {} | {rate:.0} |", millis(*median), millis(*p99))?;
        match self.efficiency {
            Some(efficiency) => write!(f, " {efficiency:.0} |"),
            None => write!(f, " |"),
        }
    }
}

/// Formats a duration in milliseconds.
pub(super) fn millis(time: Duration) -> String {
    format!("{:.3} ms", time.as_secs_f64() * 1000.0)
}

/// Returns a percentile of sorted durations, or zero if there are none.
fn percentile(latencies: &[Duration], percent: usize) -> Duration {
    let index = latencies.len() * percent / 100;
    latencies
        .get(index)
        .or(latencies.last())
        .copied()
        .unwrap_or_default()
}

/// Converts a number of calls to `f64`. It is far below the limit of exact integers.
#[allow(clippy::cast_precision_loss)]
fn to_float(calls: usize) -> f64 {
    calls as f64
}
