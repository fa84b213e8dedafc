//! Tests of load balancing: choice of a target, ejection and retries.
#![allow(clippy::unwrap_used, missing_docs)]

mod traffic_support;

use sardinepath_core::decision::traffic::Action;
use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::domain::declare::WorkspaceSpec;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::target::ServingState;
use sardinepath_core::domain::time::Time;

use crate::traffic_support::FAR_FUTURE;
use crate::traffic_support::SECOND;
use crate::traffic_support::actions;
use crate::traffic_support::ask;
use crate::traffic_support::choose_target;
use crate::traffic_support::failed;
use crate::traffic_support::granted_target;
use crate::traffic_support::report;
use crate::traffic_support::traffic;

/// Guards against a retry storm. If every attempt fails, the number of attempts must stay below 1.1
/// times the number of requests, plus the initial retry budget of a route.
#[test]
fn failing_pool_sees_at_most_a_tenth_more_attempts() {
    let spec = WorkspaceSpec {
        concurrency: 10_000,
        ..WorkspaceSpec::default()
    };
    let mut traffic = traffic(4, 1000, &[("app", spec)]);
    let (mut attempts, requests) = (0_u32, 2000_u32);

    for n in 0..u64::from(requests) {
        let now = Time(n);
        (0..4).for_each(|t| traffic.handle_report(now, report(t, 1000)));
        traffic.admit(now, ask("app", FAR_FUTURE));
        let mut open = actions(&mut traffic);
        while let Some(action) = open.pop() {
            if let Action::Grant(ticket, ..) = action {
                attempts += 1;
                assert!(attempts < 2 * requests, "attempts grow without bound");
                traffic.retry(now, ticket, Failure::from(ErrorKind::TargetBusy));
                open.extend(actions(&mut traffic));
            }
        }
    }

    assert!(attempts > requests, "no retry was made");
    assert!(attempts <= requests * 11 / 10 + 3, "{attempts} attempts");
    assert_eq!(traffic.open(), 0);
}

/// Guards against a target that keeps getting requests although it fails all of them.
#[test]
fn target_that_fails_in_a_row_is_ejected_and_probed_later() {
    let mut traffic = traffic(2, 100, &[("app", WorkspaceSpec::default())]);
    let mut failures = 0;
    for n in 0..50 {
        let ticket = traffic.admit(Time(n), ask("app", FAR_FUTURE));
        let outcome = if granted_target(&mut traffic, ticket) == "t0" {
            failures += 1;
            failed(ErrorKind::TargetFailed)
        } else {
            Outcome::Complete(10)
        };
        traffic.finish(Time(n), ticket, &outcome);
    }
    let later = Time(1200);
    (0..2).for_each(|t| traffic.handle_report(later, report(t, 100)));

    let chosen: Vec<_> = (0..20)
        .map(|_| choose_target(&mut traffic, later, ask("app", FAR_FUTURE)))
        .collect();

    assert_eq!(
        failures, 3,
        "requests went to the target after its ejection"
    );
    let probes = chosen.iter().filter(|name| *name == "t0").count();
    assert_eq!(probes, 1, "one request probes the target: {chosen:?}");
}

/// Guards against requests to a target that is leaving or whose agent sends no more reports.
#[test]
fn silent_and_leaving_targets_get_no_request() {
    let mut traffic = traffic(3, 100, &[("app", WorkspaceSpec::default())]);
    let now = Time(5 * SECOND);
    let leaving = Report {
        state: ServingState::Leaving,
        ..report(1, 100)
    };
    traffic.handle_report(now, leaving);
    traffic.handle_report(now, report(2, 100));

    let chosen: Vec<_> = (0..30)
        .map(|_| choose_target(&mut traffic, now, ask("app", FAR_FUTURE)))
        .collect();

    assert!(chosen.iter().all(|name| name == "t2"), "{chosen:?}");
}

/// Guards against a choice by load alone, which ignores cached prefixes, and against a frequent
/// prefix that fills its target while another one is idle.
#[test]
fn prompt_goes_where_its_prefix_is_cached_unless_that_target_is_loaded() {
    let mut traffic = traffic(2, 10, &[("app", WorkspaceSpec::default())]);
    let cached = Report {
        cached: vec![1, 2, 3, 4],
        ..report(1, 10)
    };
    traffic.handle_report(Time(0), cached);
    let prompt = || AdmissionRequest {
        prefixes: vec![1, 2, 3, 4],
        ..ask("app", FAR_FUTURE)
    };

    let chosen: Vec<_> = (0..12)
        .map(|_| choose_target(&mut traffic, Time(0), prompt()))
        .collect();

    assert!(chosen[..4].iter().all(|name| name == "t1"), "{chosen:?}");
    assert!(chosen.iter().any(|name| name == "t0"), "{chosen:?}");
}

/// Guards against a request that is refused because its only target was briefly unavailable, and
/// against a retry that is blocked because it counts as running itself.
#[test]
fn retry_waits_for_a_target_that_returns() {
    let spec = WorkspaceSpec {
        concurrency: 1,
        ..WorkspaceSpec::default()
    };
    let mut traffic = traffic(1, 1, &[("app", spec)]);
    let ticket = traffic.admit(Time(0), ask("app", FAR_FUTURE));
    granted_target(&mut traffic, ticket);

    traffic.retry(
        Time(5 * SECOND),
        ticket,
        Failure::from(ErrorKind::AgentLost),
    );
    let meanwhile = actions(&mut traffic);
    traffic.handle_report(Time(6 * SECOND), report(0, 1));

    assert_eq!(meanwhile, vec![]);
    granted_target(&mut traffic, ticket);
}
