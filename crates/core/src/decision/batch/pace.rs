//! Pace of a generation, as its progress messages show it.

use std::time::Duration;

use crate::decision::batch::Generating;
use crate::decision::batch::Run;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Minimum time over which the pace of a target is measured. Over a shorter one, the delays of messages
/// make equal targets look different.
const MIN_PACE_WINDOW: Duration = Duration::from_millis(200);

/// Measured time per event at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// Target that generated the events.
    pub target: TargetName,
    /// Mean time per event in milliseconds.
    pub millis: f64,
    /// Time from which on the events were counted.
    pub since: Time,
}

/// Returns the pace of a generation since its last progress message, or `None` without new events. The
/// events before the first message are not counted, since their time includes the wait for a slot.
pub(super) fn pace(run: &Run<Generating>, now: Time, events: u64) -> Option<Pace> {
    let first = run.state.last_progress == run.state.sent;
    if first || now.since(run.state.last_progress) < MIN_PACE_WINDOW {
        return None;
    }
    let new = events.saturating_sub(run.state.draft.events);
    let count = u32::try_from(new).unwrap_or(u32::MAX);
    let spent = now.since(run.state.last_progress).as_secs_f64() * 1000.0;
    (count > 0).then(|| Pace {
        target: run.state.target.clone(),
        millis: spent / f64::from(count),
        since: run.state.last_progress,
    })
}
