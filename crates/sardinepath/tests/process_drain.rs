//! Tests of entries and agents that are drained under load.

#![allow(clippy::unwrap_used, missing_docs)]

mod process_support;

use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use sardinepath_core::domain::event::Event;

use crate::process_support::Fleet;
use crate::process_support::load::Call;
use crate::process_support::load::Load;
use crate::process_support::load::Outcome;
use crate::process_support::load::count_executions;
use crate::process_support::load::unanswered;
use crate::process_support::load::verify_calls;
use crate::process_support::start_fleet;

/// Number of concurrent callers.
const CALLERS: usize = 16;

/// Number of calls that must be answered before and after the drain.
const ANSWERS: usize = 200;

/// Time that a call takes while a process drains. It is longer than the second that a process
/// gives its tasks to end after the drain.
const SLOW_CALL_TIME: Duration = Duration::from_secs(4);

/// Makes calls slow and waits until each caller has a running call.
fn slow_down(fleet: &Fleet) {
    set_delay(fleet, SLOW_CALL_TIME);
    thread::sleep(SLOW_CALL_TIME / 4);
}

fn set_delay(fleet: &Fleet, delay: Duration) {
    for service in &fleet.services {
        service.set_faults(move |faults| faults.delay = delay);
    }
}

/// Returns `true` if the caller knows that its call was not run.
fn is_refused(call: &Call) -> bool {
    match &call.outcome {
        Outcome::Failed(_, run) => run == "not_run",
        Outcome::NotConnected => true,
        _ => false,
    }
}

/// Guards against a drain of an entry that aborts running calls, and against a failure exit code
/// after a complete drain.
#[test]
fn drained_entry_cuts_no_call() {
    let mut fleet = start_fleet("drained-entry", 2, 2);
    let load = Load::start(&fleet, CALLERS);
    load.await_answers(ANSWERS);
    slow_down(&fleet);

    fleet.entries[0].signal(Signal::TERM);
    let status = fleet.entries[0].wait();
    set_delay(&fleet, Duration::ZERO);
    load.await_answers(ANSWERS);
    let calls = load.stop();

    verify_calls(&fleet, &calls);
    fleet.entries[0].await_event(Event::DrainFinished);
    assert_eq!(status.code(), Some(0));
    let runs = count_executions(&fleet);
    for call in unanswered(&calls) {
        // The operating system resets connections that the entry has not accepted.
        let not_executed = !runs.contains_key(&format!("/{}", call.path));
        let is_reset = matches!(call.outcome, Outcome::Lost(_)) && not_executed;
        assert!(
            call.entry == 0 && (is_refused(call) || is_reset),
            "{call:?}"
        );
    }
}

/// Guards against calls that fail because the agent of one of two targets is drained.
#[test]
fn drained_agent_costs_no_call() {
    let mut fleet = start_fleet("drained-agent", 2, 2);
    let load = Load::start(&fleet, CALLERS);
    load.await_answers(ANSWERS);
    slow_down(&fleet);

    fleet.agents[0].signal(Signal::TERM);
    let status = fleet.agents[0].wait();
    set_delay(&fleet, Duration::ZERO);
    let before = fleet.services[0].executed().len();
    load.await_answers(ANSWERS);
    let calls = load.stop();

    verify_calls(&fleet, &calls);
    assert_eq!(status.code(), Some(0));
    assert_eq!(fleet.services[0].executed().len(), before);
    assert!(unanswered(&calls).is_empty(), "{:?}", unanswered(&calls));
}
