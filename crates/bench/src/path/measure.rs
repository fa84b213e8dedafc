//! Measurements of the path from callers to targets.

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

/// Calls of one measurement, shared among its callers.
const CALLS: usize = 20_000;

/// Longest time of one measurement.
const TIME_LIMIT: Duration = Duration::from_secs(8);

/// Calls of each caller that are not measured: they open connections and fill caches.
const WARM_UP: usize = 20;

/// Streams that are open at once.
const STREAMS: usize = 1000;

/// Streamed answers for the time to the first token.
const FIRST_TOKENS: usize = 300;

/// Time for the memory of a process to settle.
const SETTLE: Duration = Duration::from_secs(3);

/// Results of one load.
pub(super) struct Load {
    pub(super) median: Duration,
    pub(super) high: Duration,
    /// Calls a second.
    pub(super) rate: f64,
    /// Calls a second of processor time of the entry, or none for direct calls.
    pub(super) efficiency: Option<f64>,
}

/// Memory of an entry with open streams.
pub(super) struct StreamMemory {
    pub(super) streams: usize,
    /// Bytes of resident memory before and with the streams.
    pub(super) before: u64,
    pub(super) with: u64,
}

/// Sends calls of a plain route from concurrent callers.
pub(super) fn load(
    fleet: &Fleet,
    destination: &Destination,
    callers: usize,
) -> anyhow::Result<Load> {
    let entry = destination.key.and(fleet.entries.first());
    let before = entry.map(|entry| entry.processor()).transpose()?;
    let start = Instant::now();
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            let destination = destination.clone();
            thread::spawn(move || run(&destination, CALLS / callers))
        })
        .collect();
    let mut times = Vec::new();
    for thread in threads {
        let measured = thread.join().map_err(|_| anyhow!("a caller panicked"))?;
        times.extend(measured?);
    }
    let taken = start.elapsed();
    let after = entry.map(|entry| entry.processor()).transpose()?;
    times.sort_unstable();
    let sent = times.len() + callers * WARM_UP;
    let efficiency = before.zip(after).map(|(before, after)| {
        let used = (after - before).as_secs_f64();
        count(sent) / used
    });
    Ok(Load {
        median: quantile(&times, 50),
        high: quantile(&times, 99),
        rate: count(sent) / taken.as_secs_f64(),
        efficiency,
    })
}

fn run(destination: &Destination, calls: usize) -> anyhow::Result<Vec<Duration>> {
    let mut caller = Caller::connect(destination)?;
    for _ in 0..WARM_UP {
        caller.call("/x", "{}")?;
    }
    let end = Instant::now() + TIME_LIMIT;
    let mut times = Vec::with_capacity(calls);
    while times.len() < calls && Instant::now() < end {
        times.push(caller.call("/x", "{}")?);
    }
    Ok(times)
}

/// Measures the time to the first token, one answer at a time.
pub(super) fn first_token(destination: &Destination) -> anyhow::Result<(Duration, Duration)> {
    let mut times = Vec::new();
    for i in 0..FIRST_TOKENS {
        let body = json!({"prompt": format!("tag:{i}"), "max_tokens": 2, "stream": true});
        let mut caller = Caller::connect(destination)?;
        times.push(caller.open("/v1/completions", &body.to_string())?);
    }
    times.sort_unstable();
    Ok((quantile(&times, 50), quantile(&times, 99)))
}

/// Opens streams and measures what they add to the memory of the entry.
pub(super) fn stream_memory(fleet: &Fleet) -> anyhow::Result<StreamMemory> {
    let entry = &fleet.entries[0];
    let destination = fleet.through_engine();
    thread::sleep(SETTLE);
    let before = entry.memory()?;
    let mut open = Vec::new();
    for i in 0..STREAMS {
        let body = json!({"prompt": format!("tag:{i}"), "max_tokens": 4000, "stream": true});
        let mut caller = Caller::connect(&destination)?;
        caller.send("/v1/completions", &body.to_string())?;
        open.push(caller);
    }
    for caller in &mut open {
        caller.await_token()?;
    }
    thread::sleep(SETTLE);
    Ok(StreamMemory {
        streams: open.len(),
        before,
        with: entry.memory()?,
    })
}

/// Settings of an engine that runs all measured streams at once for minutes.
pub(super) fn slow_engine() -> EngineSettings {
    EngineSettings {
        capacity: 2 * STREAMS,
        token_time: Duration::from_millis(200),
        ..EngineSettings::default()
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            median, high, rate, ..
        } = self;
        write!(f, "{} | {} | {rate:.0} |", millis(*median), millis(*high))?;
        match self.efficiency {
            Some(efficiency) => write!(f, " {efficiency:.0} |"),
            None => write!(f, " |"),
        }
    }
}

/// Formats a time in milliseconds.
pub(super) fn millis(time: Duration) -> String {
    format!("{:.3} ms", time.as_secs_f64() * 1000.0)
}

/// Returns a quantile of sorted times.
fn quantile(times: &[Duration], percent: usize) -> Duration {
    let index = times.len() * percent / 100;
    times
        .get(index)
        .or(times.last())
        .copied()
        .unwrap_or_default()
}

/// Turns a number of calls into a float. It stays far below the exact range.
#[allow(clippy::cast_precision_loss)]
fn count(calls: usize) -> f64 {
    calls as f64
}
