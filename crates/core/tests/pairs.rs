//! Two failures at random times in one entry and two agents, in virtual time.
//! `docs/notes/pairs.md` lists what is drawn and judged.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;

use crate::support::pairs::World;
use crate::support::pairs_fault::Fault;
use crate::support::pairs_fault::Kind;
use crate::support::pairs_fault::pair;
use crate::support::pairs_judge::judge;
use crate::support::pairs_judge::no_late_dispatch;

/// Pairs of one test run. `PROPTEST_CASES` sets another number.
const CASES: u32 = 2_200;

fn outcome(seed: u64, faults: &[Fault]) -> Result<(), String> {
    judge(&World::new(seed, faults).run())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), ..ProptestConfig::default() })]

    /// Guards against two failures that together break what each alone does not.
    #[test]
    fn promises_hold_under_two_failures(seed in any::<u64>(), faults in pair()) {
        let judged = outcome(seed, &faults);

        prop_assert!(judged.is_ok(), "{:?}", judged);
    }
}

/// Guards against a part of a crossed stream that is passed on although no head came before it.
#[test]
fn parts_without_a_head_are_refused() {
    let faults = [at(300, Kind::DelayExecute(0)), at(900, Kind::CrossStreams)];

    let judged = outcome(128, &faults);

    assert_eq!(judged, Ok(()));
}

/// Guards against the second copy of an attempt that runs after the first was refused.
#[test]
fn copies_of_refused_attempts_do_not_run() {
    let faults = [at(0, Kind::DoubleExecute(576)), at(0, Kind::CrashBefore(1))];

    let judged = outcome(1, &faults);

    assert_eq!(judged, Ok(()));
}

/// Guards against a ticket that stays open when the caller hangs up before its grant is read.
#[test]
fn unread_grants_leave_no_ticket() {
    let faults = [at(288, Kind::HangUp(3)), at(0, Kind::DoubleUpdate)];

    let judged = outcome(11_008_252_864_660_585_562, &faults);

    assert_eq!(judged, Ok(()));
}

/// Guards against a ticket that stays open when its key is withdrawn while a retry is on its way.
#[test]
fn withdrawal_before_a_retry_leaves_no_ticket() {
    let faults = [at(2030, Kind::RestartAgent(0)), at(2035, Kind::Withdraw(0))];

    let judged = outcome(10_991_695_442_716_674_702, &faults);

    assert_eq!(judged, Ok(()));
}

/// Guards against old reports, queued while the entry was paused, that count as new when it
/// resumes, so that it sends work to a target that left long before.
#[test]
fn reports_queued_during_a_pause_are_not_new() {
    let faults = [
        at(1000, Kind::Pause(7000)),
        at(1100, Kind::LeaveUnreported(0)),
    ];

    let world = World::new(31, &faults).run();

    assert_eq!(no_late_dispatch(&world), Ok(()));
}

/// Guards against a grant that waited through a pause of the entry and then sends the request to a
/// target that left long before.
#[test]
fn grants_that_waited_through_a_pause_are_not_used() {
    let faults = [
        at(2006, Kind::LeaveUnreported(1)),
        at(3681, Kind::Pause(3326)),
    ];

    let world = World::new(6_190_454_914_345_911_136, &faults).run();

    assert_eq!(no_late_dispatch(&world), Ok(()));
    assert_eq!(judge(&world), Ok(()));
}

/// Guards against a request that waits for the delay of its next attempt while its key is
/// withdrawn, and then runs.
#[test]
fn withdrawal_before_a_pause_stops_the_next_attempt() {
    let faults = [at(3519, Kind::Withdraw(0)), at(3525, Kind::Pause(3986))];

    let judged = outcome(3_543_521_611_623_339_716, &faults);

    assert_eq!(judged, Ok(()));
}

fn at(at: u64, kind: Kind) -> Fault {
    Fault { at, kind }
}

fn cases() -> u32 {
    let cases = std::env::var("PROPTEST_CASES").ok();
    cases.map_or(CASES, |cases| cases.parse().unwrap())
}
