//! Targets: which one gets a request, which is left out, and how often attempts are repeated.
#![allow(clippy::unwrap_used, missing_docs)]

mod traffic_support;

use sardinepath_core::decision::traffic::Action;
use sardinepath_core::decision::traffic::Ask;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::domain::declare::WorkspaceSpec;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::target::ServingState;
use sardinepath_core::domain::time::Time;

use crate::traffic_support::FAR;
use crate::traffic_support::SECOND;
use crate::traffic_support::actions;
use crate::traffic_support::ask;
use crate::traffic_support::failed;
use crate::traffic_support::granted;
use crate::traffic_support::place;
use crate::traffic_support::report;
use crate::traffic_support::traffic;

/// Guards against a retry storm: when every attempt fails, attempts stay below 1.1 times the
/// requests, but for the few retries that a quiet route has at hand.
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
        (0..4).for_each(|t| traffic.report(now, report(t, 1000)));
        traffic.ask(now, ask("app", FAR));
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

/// Guards against traffic to a target that fails every request.
#[test]
fn target_that_fails_in_a_row_is_ejected_and_probed_later() {
    let mut traffic = traffic(2, 100, &[("app", WorkspaceSpec::default())]);
    let mut failures = 0;
    for n in 0..50 {
        let ticket = traffic.ask(Time(n), ask("app", FAR));
        let outcome = if granted(&mut traffic, ticket) == "t0" {
            failures += 1;
            failed(ErrorKind::TargetFailed)
        } else {
            Outcome::Whole(10)
        };
        traffic.ended(Time(n), ticket, &outcome);
    }
    let later = Time(1200);
    (0..2).for_each(|t| traffic.report(later, report(t, 100)));

    let chosen: Vec<_> = (0..20)
        .map(|_| place(&mut traffic, later, ask("app", FAR)))
        .collect();

    assert_eq!(
        failures, 3,
        "requests went to the target after its ejection"
    );
    let probes = chosen.iter().filter(|name| *name == "t0").count();
    assert_eq!(probes, 1, "one request probes the target: {chosen:?}");
}

/// Guards against requests to a target whose agent has fallen silent or that is leaving.
#[test]
fn silent_and_leaving_targets_get_no_request() {
    let mut traffic = traffic(3, 100, &[("app", WorkspaceSpec::default())]);
    let now = Time(5 * SECOND);
    let leaving = Report {
        state: ServingState::Leaving,
        ..report(1, 100)
    };
    traffic.report(now, leaving);
    traffic.report(now, report(2, 100));

    let chosen: Vec<_> = (0..30)
        .map(|_| place(&mut traffic, now, ask("app", FAR)))
        .collect();

    assert!(chosen.iter().all(|name| name == "t2"), "{chosen:?}");
}

/// Guards against prompts that lose their cached prefix to a target chosen by load alone, and
/// against a hot prefix that fills its target while another is idle.
#[test]
fn prompt_goes_where_its_prefix_is_cached_unless_that_target_is_loaded() {
    let mut traffic = traffic(2, 10, &[("app", WorkspaceSpec::default())]);
    let cached = Report {
        cached: vec![1, 2, 3, 4],
        ..report(1, 10)
    };
    traffic.report(Time(0), cached);
    let prompt = || Ask {
        prefixes: vec![1, 2, 3, 4],
        ..ask("app", FAR)
    };

    let chosen: Vec<_> = (0..12)
        .map(|_| place(&mut traffic, Time(0), prompt()))
        .collect();

    assert!(chosen[..4].iter().all(|name| name == "t1"), "{chosen:?}");
    assert!(chosen.iter().any(|name| name == "t0"), "{chosen:?}");
}

/// Guards against a request that is given up because its only target was away for a moment, and
/// against one that blocks itself by being counted as running.
#[test]
fn retry_waits_for_a_target_that_returns() {
    let spec = WorkspaceSpec {
        concurrency: 1,
        ..WorkspaceSpec::default()
    };
    let mut traffic = traffic(1, 1, &[("app", spec)]);
    let ticket = traffic.ask(Time(0), ask("app", FAR));
    granted(&mut traffic, ticket);

    traffic.retry(
        Time(5 * SECOND),
        ticket,
        Failure::from(ErrorKind::AgentLost),
    );
    let meanwhile = actions(&mut traffic);
    traffic.report(Time(6 * SECOND), report(0, 1));

    assert_eq!(meanwhile, vec![]);
    granted(&mut traffic, ticket);
}
