//! Compares the usage reports with the books of the engines.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use sardinepath_standins::engine::Ending;

use crate::demo::fleet::Fleet;
use crate::demo::report::Summary;

/// Time for the windows that hold all usage to close and be reported.
const REPORT_LIMIT: Duration = Duration::from_secs(60);

/// Waits until the reports hold all usage, and notes the figures as they are then.
pub fn play(fleet: &Fleet, summary: &mut Summary) -> anyhow::Result<()> {
    let end = Instant::now() + REPORT_LIMIT;
    let generated = generated(fleet);
    while reported(fleet) < generated && Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
    }
    let (windows, contradictions) = fleet.usage.ask(|state| {
        let contradictions = state.log.iter().filter(|entry| entry.contradicts);
        (state.billed().len(), contradictions.count())
    });
    summary.usage_windows = u64::try_from(windows)?;
    summary.usage_contradictions = u64::try_from(contradictions)?;
    summary.usage_reported_tokens = reported(fleet);
    summary.usage_true_tokens = generated;
    Ok(())
}

/// Returns the tokens of all whole answers in the books of the engines.
fn generated(fleet: &Fleet) -> u64 {
    let executions = fleet.engines.iter().flat_map(|e| e.log().executions);
    executions
        .filter(|execution| execution.ending == Ending::Completed)
        .map(|execution| execution.tokens)
        .sum()
}

/// Returns the tokens of all reports.
fn reported(fleet: &Fleet) -> u64 {
    fleet.usage.ask(|state| state.billed().values().sum())
}
