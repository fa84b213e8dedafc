//! What a fleet costs when nobody calls.

use std::path::Path;
use std::thread;
use std::time::Duration;

use sardinepath_standins::engine::EngineSettings;
use sardinepath_standins::object_api::Calls;

use crate::path::fleet::Fleet;
use crate::path::process::Process;

/// Time before a measurement, in which a fleet settles.
const SETTLE: Duration = Duration::from_secs(5);

/// Seconds of a measurement.
const WINDOW: u32 = 60;

/// Sizes of the measured fleets.
const ENTRIES: [usize; 3] = [2, 4, 8];

/// Measures idle fleets and prints the rows of a table.
pub(super) fn run(program: &Path) -> anyhow::Result<()> {
    println!(
        "| entries | object API calls/h | of these watches | lists | bytes/s to and from one entry \
         | entry CPU | entry RSS | agent CPU | agent RSS |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for entries in ENTRIES {
        let fleet = Fleet::start(program, entries, EngineSettings::default())?;
        thread::sleep(SETTLE);
        let (before, bytes) = (fleet.api.calls(), bytes(&fleet));
        let entry = fleet.entries[0].processor()?;
        let agent = fleet.agents[0].processor()?;
        thread::sleep(Duration::from_secs(u64::from(WINDOW)));
        let after = fleet.api.calls();
        let hour = |calls: u64| calls * 3600 / u64::from(WINDOW);
        // Each byte leaves one entry and arrives at another.
        let passed = (self::bytes(&fleet) - bytes) * 2 / u64::from(WINDOW) / entries as u64;
        println!(
            "| {entries} | {} | {} | {} | {passed} | {} | {} | {} | {} |",
            hour(total(after) - total(before)),
            hour(after.watch - before.watch),
            hour(after.list - before.list),
            share(&fleet.entries[0], entry)?,
            megabytes(&fleet.entries[0])?,
            share(&fleet.agents[0], agent)?,
            megabytes(&fleet.agents[0])?,
        );
    }
    Ok(())
}

fn total(calls: Calls) -> u64 {
    calls.get + calls.list + calls.put + calls.delete + calls.watch
}

fn bytes(fleet: &Fleet) -> u64 {
    fleet.relays.iter().map(|relay| relay.bytes()).sum()
}

/// Returns the share of a core that a process used since it had used `before`.
fn share(process: &Process, before: Duration) -> anyhow::Result<String> {
    let used = process.processor()? - before;
    let share = used.as_secs_f64() / f64::from(WINDOW) * 100.0;
    Ok(format!("{share:.2} %"))
}

fn megabytes(process: &Process) -> anyhow::Result<String> {
    let tenths = process.memory()? * 10 / (1 << 20);
    Ok(format!("{}.{} MiB", tenths / 10, tenths % 10))
}
