//! Tests of the life cycle of a process with simulated times.

#![allow(clippy::unwrap_used, missing_docs)]

use std::time::Duration;

use sardinepath_core::decision::process::DrainStep;
use sardinepath_core::decision::process::Draining;
use sardinepath_core::decision::process::Process;
use sardinepath_core::decision::process::TimerPanics;
use sardinepath_core::decision::process::TimerStep;
use sardinepath_core::domain::time::Time;

fn draining(start: Time, limit: Duration) -> Process<Draining> {
    Process::new(limit).serve().drain(start)
}

/// Guards against a drain that gives up before its limit or waits past it.
#[test]
fn drain_waits_exactly_until_its_limit() {
    let process = draining(Time(1_000), Duration::from_secs(2));

    let steps = [1_000, 2_999, 3_000, 9_000].map(|now| process.step(Time(now)));

    let wait = |millis| DrainStep::Wait(Duration::from_millis(millis));
    let expected = [wait(2_000), wait(1), DrainStep::GiveUp, DrainStep::GiveUp];
    assert_eq!(steps, expected);
}

/// Guards against a process that ends because of a few panics of its timers, and against one that
/// goes on for ever with a broken state.
#[test]
fn a_process_ends_only_if_its_timers_panic_again_and_again() {
    let mut panics = TimerPanics::default();

    let scattered = (0..1_000).map(|run| panics.record(run % 3 != 0));
    let scattered: Vec<TimerStep> = scattered.collect();
    let ended = (0..100).position(|_| panics.record(true) == TimerStep::GiveUp);

    assert!(scattered.iter().all(|step| *step == TimerStep::Continue));
    assert!(ended.is_some_and(|runs| runs >= 10));
}
