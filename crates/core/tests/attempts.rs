//! Tests of the attempts of plain requests: limits, hedging, and refusals that say "not run".
#![allow(clippy::unwrap_used, missing_docs)]

use std::time::Duration;

use sardinepath_core::decision::attempts::AttemptEnd;
use sardinepath_core::decision::attempts::AttemptLimits;
use sardinepath_core::decision::attempts::AttemptStep;
use sardinepath_core::decision::attempts::Attempts;
use sardinepath_core::domain::time::Time;

fn terms(safe: bool, most: u32) -> AttemptLimits {
    AttemptLimits {
        safe,
        max_targets: most,
        objective: Duration::from_millis(150),
        arrival: Time(1_000),
        deadline: Time(2_500),
    }
}

/// Fails if a request that may have run is sent again although it must not run twice.
#[test]
fn an_unsafe_request_is_not_repeated_after_it_may_have_run() {
    for end in [AttemptEnd::MayHaveRun, AttemptEnd::Crashed] {
        let mut attempts = Attempts::new(terms(false, 3));
        attempts.started(Time(1_000));

        attempts.ended(Time(1_010), end);

        assert_eq!(attempts.next(Time(1_020)), AttemptStep::Fail, "{end:?}");
    }
}

/// Fails if an unsafe request gets a second attempt while the first one is running.
#[test]
fn an_unsafe_request_has_one_attempt_at_a_time() {
    let mut attempts = Attempts::new(terms(false, 3));

    attempts.started(Time(1_000));

    assert_eq!(attempts.next(Time(2_000)), AttemptStep::Wait(Time(2_500)));
}

/// Fails if a slow target delays a safe request until its deadline.
#[test]
fn a_safe_request_gets_a_second_attempt_after_two_objectives() {
    let mut attempts = Attempts::new(terms(true, 2));
    attempts.started(Time(1_000));

    let early = attempts.next(Time(1_299));
    let due = attempts.next(Time(1_300));

    assert_eq!(early, AttemptStep::Wait(Time(1_300)));
    assert_eq!(due, AttemptStep::Send);
}

/// Fails if a request runs on more targets than its route allows.
#[test]
fn a_safe_request_stops_at_its_most_attempts() {
    let mut attempts = Attempts::new(terms(true, 2));
    for start in [1_000, 1_010] {
        assert_eq!(attempts.next(Time(start)), AttemptStep::Send);
        attempts.started(Time(start));
        attempts.ended(Time(start + 5), AttemptEnd::MayHaveRun);
    }

    assert_eq!(attempts.next(Time(1_020)), AttemptStep::Fail);
}

/// Fails if a refusal says "not run" although a connection that was lost may have delivered the request.
#[test]
fn a_refusal_is_given_only_if_nothing_may_have_run() {
    let mut refused = Attempts::new(terms(true, 2));
    let mut lost = Attempts::new(terms(true, 2));
    lost.started(Time(1_000));
    lost.ended(Time(1_001), AttemptEnd::MayHaveRun);
    for attempts in [&mut refused, &mut lost] {
        attempts.record_no_target(Time(1_002));
    }

    assert_eq!(refused.next(Time(1_200)), AttemptStep::Refuse);
    assert_eq!(lost.next(Time(1_200)), AttemptStep::Fail);
}

/// Fails if a request without a target is held until its deadline.
#[test]
fn a_request_without_a_target_is_refused_within_a_quarter_of_its_objective() {
    let mut attempts = Attempts::new(terms(true, 2));

    attempts.record_no_target(Time(1_000));

    assert_eq!(attempts.next(Time(1_001)), AttemptStep::Wait(Time(1_008)));
    assert_eq!(attempts.next(Time(1_037)), AttemptStep::Refuse);
}

/// Fails if a caller gets no answer by the deadline.
#[test]
fn a_request_ends_with_its_time() {
    let mut attempts = Attempts::new(terms(true, 2));
    attempts.started(Time(1_000));

    assert_eq!(attempts.next(Time(2_500)), AttemptStep::TimeOut);
}
