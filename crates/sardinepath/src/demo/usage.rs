//! Compares the usage reports with the tokens that the engines recorded.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use sardinepath_standins::engine::Ending;

use crate::demo::fleet::Fleet;
use crate::demo::report::Summary;

/// Timeout for all usage windows to close and be reported.
const REPORT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until the reports cover all generated tokens or the timeout passes, and records the
/// results.
pub fn run(fleet: &Fleet, summary: &mut Summary) -> anyhow::Result<()> {
    let end = Instant::now() + REPORT_TIMEOUT;
    let generated = generated_tokens(fleet);
    while reported_tokens(fleet) < generated && Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
    }
    let (windows, contradictions) = fleet.usage.ask(|state| {
        let contradictions = state.log.iter().filter(|entry| entry.contradicts);
        (state.billed().len(), contradictions.count())
    });
    summary.usage_windows = u64::try_from(windows)?;
    summary.usage_contradictions = u64::try_from(contradictions)?;
    summary.usage_reported_tokens = reported_tokens(fleet);
    summary.usage_true_tokens = generated;
    Ok(())
}

/// Returns the number of tokens of all complete answers that the engines recorded.
fn generated_tokens(fleet: &Fleet) -> u64 {
    let executions = fleet.engines.iter().flat_map(|e| e.log().executions);
    executions
        .filter(|execution| execution.ending == Ending::Completed)
        .map(|execution| execution.tokens)
        .sum()
}

/// Returns the number of tokens in all reports.
fn reported_tokens(fleet: &Fleet) -> u64 {
    fleet.usage.ask(|state| state.billed().values().sum())
}
