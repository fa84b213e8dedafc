//! Tests of the policy simulation: repeatability, offered load and the ratio of served to entitled
//! share.

#![allow(clippy::unwrap_used, missing_docs)]

use std::time::Duration;

use sardinepath_bench::policy::Settings;
use sardinepath_bench::policy::compare;
use sardinepath_bench::policy::deployment::Deployment;
use sardinepath_bench::policy::fault::FaultKind;
use sardinepath_bench::policy::share::Claim;
use sardinepath_bench::policy::share::Shares;

fn settings(level: f64) -> Settings {
    Settings {
        deployment: Deployment::condamine(),
        level,
        greedy: false,
        fault: FaultKind::None,
        seed: 3,
        minutes: 2,
    }
}

fn claim(weight: f64, running: f64, waiting: f64) -> Claim {
    Claim {
        weight,
        running,
        waiting,
    }
}

fn json(settings: &Settings) -> String {
    serde_json::to_string(&compare(settings)).unwrap()
}

/// Guards against results that depend on the iteration order of a hash map or on the system clock.
#[test]
fn same_seed_gives_the_same_output() {
    let settings = Settings {
        greedy: true,
        ..settings(1.2)
    };

    let (first, second) = (json(&settings), json(&settings));

    assert_eq!(first, second);
}

/// Guards against a seed that has no effect, which would make all repetitions equal.
#[test]
fn another_seed_gives_another_output() {
    let other = Settings {
        seed: 4,
        ..settings(0.7)
    };

    assert_ne!(json(&settings(0.7)), json(&other));
}

/// Guards against an offered load that exceeds its level: well below capacity, nearly all requested
/// work is served and nothing is refused.
#[test]
fn all_offered_work_is_served_below_capacity() {
    let result = compare(&settings(0.3));

    for summary in [result.product, result.baseline] {
        for (name, service) in summary.workspaces {
            let unserved = service.offered - service.served;
            assert!(unserved < service.offered * 0.2, "{name}: {service:?}");
            assert_eq!(service.failed, 0, "{name}: {service:?}");
        }
    }
}

/// Guards against a ratio that hides an unfair division: a workspace of weight 3 that has as many
/// slots as one of weight 1, while both wait for more, gets two thirds of its share.
#[test]
fn waiting_workspace_with_too_few_slots_is_below_its_share() {
    let mut shares = Shares::new(3);
    let claims = [
        (0, claim(3.0, 6.0, 10.0)),
        (1, claim(1.0, 6.0, 10.0)),
        (2, claim(9.0, 0.0, 0.0)),
    ];

    shares.sample(&claims, 1.0);

    let ratio = |workspace| shares.ratio(workspace, &[0, 1, 2]);
    assert!((ratio(0) - 6.0 / 9.0).abs() < 1e-9, "{}", ratio(0));
    assert!((ratio(1) - 6.0 / 3.0).abs() < 1e-9, "{}", ratio(1));
    assert!(
        (ratio(2) - 1.0).abs() < 1e-9,
        "a workspace without claims has ratio 1"
    );
}

/// Guards against slot time that counts as served although its answer was never complete.
#[test]
fn wasted_slot_time_is_not_service() {
    let mut shares = Shares::new(2);
    let claims = [(0, claim(1.0, 4.0, 9.0)), (1, claim(1.0, 4.0, 9.0))];

    shares.sample(&claims, 10.0);
    shares.waste(0, Duration::from_secs(20));

    assert!((shares.ratio(0, &[0, 1]) - 20.0 / 30.0).abs() < 1e-9);
}
