//! Two failures at random times in a simulation of one entry and two agents in virtual time.
//! `docs/notes/pairs.md` lists the failures that are drawn and the promises that are checked.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;

use crate::support::pairs::Simulation;
use crate::support::pairs_fault::Fault;
use crate::support::pairs_fault::FaultKind;
use crate::support::pairs_fault::fault_pair;
use crate::support::pairs_judge::judge;
use crate::support::pairs_judge::no_late_dispatch;

/// Number of pairs in one test run. `PROPTEST_CASES` sets another number.
const DEFAULT_CASES: u32 = 2_200;

/// Runs the simulation and returns the first broken promise as an error.
fn run_and_judge(seed: u64, faults: &[Fault]) -> Result<(), String> {
    judge(&Simulation::new(seed, faults).run())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: case_count(), ..ProptestConfig::default() })]

    /// Guards against promises that hold under each single failure, but not under two failures
    /// together.
    #[test]
    fn promises_hold_under_two_failures(seed in any::<u64>(), faults in fault_pair()) {
        let judged = run_and_judge(seed, &faults);

        prop_assert!(judged.is_ok(), "{:?}", judged);
    }
}

/// Guards against parts of another request's answer that are passed on to a caller, because streams
/// were exchanged and the parts came before any head.
#[test]
fn parts_without_a_head_are_refused() {
    let faults = [
        fault_at(300, FaultKind::DelayAttempt(0)),
        fault_at(900, FaultKind::CrossStreams),
    ];

    let judged = run_and_judge(128, &faults);

    assert_eq!(judged, Ok(()));
}

/// Guards against a duplicated attempt whose second copy runs after the first copy was refused.
#[test]
fn copies_of_refused_attempts_do_not_run() {
    let faults = [
        fault_at(0, FaultKind::DuplicateAttempt(576)),
        fault_at(0, FaultKind::CrashBefore(1)),
    ];

    let judged = run_and_judge(1, &faults);

    assert_eq!(judged, Ok(()));
}

/// Guards against a ticket that is never closed because the caller hangs up before its task reads
/// the grant.
#[test]
fn unread_grants_leave_no_ticket() {
    let faults = [
        fault_at(288, FaultKind::HangUp(3)),
        fault_at(0, FaultKind::DuplicateUpdate),
    ];

    let judged = run_and_judge(11_008_252_864_660_585_562, &faults);

    assert_eq!(judged, Ok(()));
}

/// Guards against a ticket that is never closed because its key is withdrawn while a retry is on
/// its way to the control state.
#[test]
fn withdrawal_before_a_retry_leaves_no_ticket() {
    let faults = [
        fault_at(2030, FaultKind::RestartAgent(0)),
        fault_at(2035, FaultKind::WithdrawKey(0)),
    ];

    let judged = run_and_judge(10_991_695_442_716_674_702, &faults);

    assert_eq!(judged, Ok(()));
}

/// Guards against reports that were queued during a pause of the entry and count as new when it
/// resumes. The entry then sends attempts to a target that left long before.
#[test]
fn reports_queued_during_a_pause_are_not_new() {
    let faults = [
        fault_at(1000, FaultKind::Pause(7000)),
        fault_at(1100, FaultKind::LeaveUnreported(0)),
    ];

    let simulation = Simulation::new(31, &faults).run();

    assert_eq!(no_late_dispatch(&simulation), Ok(()));
}

/// Guards against a grant that was queued during a pause of the entry and is used afterwards, for a
/// target that left long before.
#[test]
fn grants_that_waited_through_a_pause_are_not_used() {
    let faults = [
        fault_at(2006, FaultKind::LeaveUnreported(1)),
        fault_at(3681, FaultKind::Pause(3326)),
    ];

    let simulation = Simulation::new(6_190_454_914_345_911_136, &faults).run();

    assert_eq!(no_late_dispatch(&simulation), Ok(()));
    assert_eq!(judge(&simulation), Ok(()));
}

/// Guards against a request that runs after its key was withdrawn while the request waited for the
/// delay before its next attempt.
#[test]
fn withdrawal_before_a_pause_stops_the_next_attempt() {
    let faults = [
        fault_at(3519, FaultKind::WithdrawKey(0)),
        fault_at(3525, FaultKind::Pause(3986)),
    ];

    let judged = run_and_judge(3_543_521_611_623_339_716, &faults);

    assert_eq!(judged, Ok(()));
}

/// Returns a failure of this kind at a time in milliseconds.
fn fault_at(at: u64, kind: FaultKind) -> Fault {
    Fault { at, kind }
}

/// Returns the number of pairs to test.
fn case_count() -> u32 {
    let cases = std::env::var("PROPTEST_CASES").ok();
    cases.map_or(DEFAULT_CASES, |cases| cases.parse().unwrap())
}
