//! Tests of entries and agents that are killed, paused or disconnected under load.

#![allow(clippy::unwrap_used, missing_docs)]

mod process_support;

use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use sardinepath_standins::relay::Direction;

use crate::process_support::Fleet;
use crate::process_support::await_serving;
use crate::process_support::await_true;
use crate::process_support::load::Call;
use crate::process_support::load::Load;
use crate::process_support::load::Outcome;
use crate::process_support::load::unanswered;
use crate::process_support::load::verify_calls;
use crate::process_support::restart_agent;
use crate::process_support::start_fleet;

/// Number of concurrent callers.
const CALLERS: usize = 8;

/// Number of calls that must be answered before and after a failure.
const ANSWERS: usize = 100;

/// Time for which a process is paused. It is longer than the ping timeout (4 s) and the contact
/// limit of keys (5 s).
const PAUSE_TIME: Duration = Duration::from_secs(7);

/// Waits until a target executes further calls.
fn await_target(fleet: &Fleet, index: usize) {
    let before = fleet.services[index].executed().len();
    await_true("a target to receive calls", || {
        fleet.services[index].executed().len() > before + 10
    });
}

fn error_codes(calls: &[Call]) -> Vec<&str> {
    let is_failed = |call: &&Call| matches!(&call.outcome, Outcome::Failed(..));
    let failed = unanswered(calls).into_iter().filter(is_failed);
    let codes = failed.map(|call| match &call.outcome {
        Outcome::Failed(code, _) => code.as_str(),
        _ => "",
    });
    codes.collect()
}

/// Guards against entries and agents that only work within one process, and against answers that
/// are swapped between concurrent callers.
#[test]
fn calls_are_answered_through_every_entry_and_target() {
    let fleet = start_fleet("whole", 2, 2);

    let load = Load::start(&fleet, CALLERS);
    load.await_answers(4 * ANSWERS);
    let calls = load.stop();

    verify_calls(&fleet, &calls);
    assert!(unanswered(&calls).is_empty(), "{:?}", unanswered(&calls));
    for service in &fleet.services {
        assert!(service.executed().len() > ANSWERS / 2);
    }
}

/// Guards against a call that is repeated or wrongly reported as "not run" because its agent was
/// killed, and against an agent that is not used again after its restart.
#[test]
fn killed_agent_costs_only_its_running_calls() {
    let mut fleet = start_fleet("killed-agent", 2, 2);
    let load = Load::start(&fleet, CALLERS);
    load.await_answers(ANSWERS);

    fleet.agents[0].kill();
    fleet.relays[0].cut();
    load.await_answers(ANSWERS);
    restart_agent(&mut fleet, 0);
    await_target(&fleet, 0);
    let calls = load.stop();

    verify_calls(&fleet, &calls);
    // Only running calls and calls sent before the failure is detected may be lost.
    assert!(unanswered(&calls).len() < 10 * CALLERS, "{calls:?}");
}

/// Guards against a paused agent that later executes calls which the entry has reported as "not
/// run", and against a resumed agent that gets no calls.
#[test]
fn paused_agent_runs_no_call_that_was_called_not_run() {
    let fleet = start_fleet("paused-agent", 2, 2);
    let load = Load::start(&fleet, CALLERS);
    load.await_answers(ANSWERS);

    fleet.agents[0].signal(Signal::STOP);
    thread::sleep(PAUSE_TIME);
    load.await_answers(ANSWERS);
    fleet.agents[0].signal(Signal::CONT);
    await_target(&fleet, 0);
    let calls = load.stop();

    verify_calls(&fleet, &calls);
    assert!(!error_codes(&calls).contains(&"internal"), "{calls:?}");
}

/// Guards against calls of a killed entry that run twice, and against other entries that fail
/// because of it.
#[test]
fn killed_entry_leaves_the_others_serving() {
    let mut fleet = start_fleet("killed-entry", 3, 2);
    let load = Load::start(&fleet, CALLERS);
    load.await_answers(ANSWERS);

    fleet.entries[0].kill();
    load.await_answers(4 * ANSWERS);
    let calls = load.stop();

    verify_calls(&fleet, &calls);
    let others = calls.into_iter().filter(|call| call.entry != 0);
    let others: Vec<_> = others.collect();
    assert!(unanswered(&others).is_empty(), "{:?}", unanswered(&others));
}

/// Guards against an entry that, after a pause, relies on calls, peer contacts or keys from before
/// the pause.
#[test]
fn paused_entry_serves_again_and_repeats_nothing() {
    let fleet = start_fleet("paused-entry", 3, 2);
    let load = Load::start(&fleet, CALLERS);
    load.await_answers(ANSWERS);

    fleet.entries[0].signal(Signal::STOP);
    thread::sleep(PAUSE_TIME);
    fleet.entries[0].signal(Signal::CONT);
    await_serving(&fleet.entries[0]);
    load.await_answers(ANSWERS);
    let calls = load.stop();

    verify_calls(&fleet, &calls);
    let others = calls.into_iter().filter(|call| call.entry != 0);
    let others: Vec<_> = others.collect();
    assert!(unanswered(&others).is_empty(), "{:?}", unanswered(&others));
}

/// Guards against a target that stays unreachable because its connection transfers no data any
/// more, although new connections work.
#[test]
fn silent_connection_is_replaced() {
    const DIRECTIONS: [&[Direction]; 3] = [
        &[Direction::Forward],
        &[Direction::Backward],
        &[Direction::Forward, Direction::Backward],
    ];
    for (i, directions) in DIRECTIONS.iter().enumerate() {
        let fleet = start_fleet(&format!("silent-{i}"), 1, 1);
        let load = Load::start(&fleet, CALLERS);
        load.await_answers(ANSWERS);

        for direction in *directions {
            fleet.relays[0].freeze(*direction);
        }
        load.await_answers(ANSWERS);
        let calls = load.stop();

        verify_calls(&fleet, &calls);
        assert!(
            !unanswered(&calls).is_empty(),
            "the connection was not used"
        );
    }
}
