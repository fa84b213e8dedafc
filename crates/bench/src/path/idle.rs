//! Measurement of the resources that a fleet uses without calls.

use std::path::Path;
use std::thread;
use std::time::Duration;

use sardinepath_standins::engine::EngineSettings;
use sardinepath_standins::object_api::Calls;

use crate::path::fleet::Fleet;
use crate::path::process::Process;

/// Time between the start of a fleet and the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Length of a measurement in seconds.
const WINDOW_SECONDS: u32 = 60;

/// Numbers of entries of the measured fleets.
const ENTRY_COUNTS: [usize; 3] = [2, 4, 8];

/// Measures idle fleets of several sizes and prints a table.
pub(super) fn run(program: &Path) -> anyhow::Result<()> {
    println!(
        "| entries | object API calls/h | of these watches | lists | bytes/s to and from one entry \
         | entry CPU | entry RSS | agent CPU | agent RSS |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for entries in ENTRY_COUNTS {
        let fleet = Fleet::start(program, entries, EngineSettings::default())?;
        thread::sleep(SETTLE_TIME);
        let (before, relayed_bytes) = (fleet.api.calls(), relayed_bytes(&fleet));
        let entry = fleet.entries[0].cpu_time()?;
        let agent = fleet.agents[0].cpu_time()?;
        thread::sleep(Duration::from_secs(u64::from(WINDOW_SECONDS)));
        let after = fleet.api.calls();
        let per_hour = |calls: u64| calls * 3600 / u64::from(WINDOW_SECONDS);
        // Each byte counts twice: it leaves one entry and arrives at another.
        let byte_rate = (self::relayed_bytes(&fleet) - relayed_bytes) * 2
            / u64::from(WINDOW_SECONDS)
            / entries as u64;
        println!(
            "| {entries} | {} | {} | {} | {byte_rate} | {} | {} | {} | {} |",
            per_hour(total_calls(after) - total_calls(before)),
            per_hour(after.watch - before.watch),
            per_hour(after.list - before.list),
            cpu_share(&fleet.entries[0], entry)?,
            mebibytes(&fleet.entries[0])?,
            cpu_share(&fleet.agents[0], agent)?,
            mebibytes(&fleet.agents[0])?,
        );
    }
    Ok(())
}

fn total_calls(calls: Calls) -> u64 {
    calls.get + calls.list + calls.put + calls.delete + calls.watch
}

fn relayed_bytes(fleet: &Fleet) -> u64 {
    fleet.relays.iter().map(|relay| relay.bytes()).sum()
}

/// Returns the percentage of a core that a process used during the measurement. `before` is its CPU
/// time at the start.
fn cpu_share(process: &Process, before: Duration) -> anyhow::Result<String> {
    let used = process.cpu_time()? - before;
    let cpu_share = used.as_secs_f64() / f64::from(WINDOW_SECONDS) * 100.0;
    Ok(format!("{cpu_share:.2} %"))
}

fn mebibytes(process: &Process) -> anyhow::Result<String> {
    let tenths = process.resident_memory()? * 10 / (1 << 20);
    Ok(format!("{}.{} MiB", tenths / 10, tenths % 10))
}
