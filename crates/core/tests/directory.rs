//! Tests of the directory of targets: the choice of a target and the expiry of entries.
#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeSet;
use std::time::Duration;

use sardinepath_core::decision::directory::CallEnd;
use sardinepath_core::decision::directory::Directory;
use sardinepath_core::decision::directory::TargetNeeds;
use sardinepath_core::decision::directory::ToldPace;
use sardinepath_core::domain::fleet::TargetEntry;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::name::SoftwareVersion;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::time::Time;

fn listed(name: &str, version: u64) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(name),
        pool: PoolName::from("engines"),
        address: "127.0.0.1:1".parse().unwrap(),
        centre: CentreName::from("here"),
        slots: 2,
        leaving: false,
        models: vec![(ModelName::from("m"), WeightVersion(version))],
        software: SoftwareVersion::from("v1"),
        started_at: 1,
        cold: Duration::ZERO,
    }
}

fn directory(targets: &[TargetEntry]) -> Directory {
    let mut directory = Directory::default();
    directory.limits.set_listed();
    for target in targets {
        directory.insert(target.clone());
    }
    directory
}

fn run(least: u64) -> TargetNeeds {
    TargetNeeds {
        model: Some((ModelName::from("m"), WeightVersion(least))),
        free_slot: true,
        ..TargetNeeds::default()
    }
}

fn choose(directory: &mut Directory, now: u64, need: &TargetNeeds) -> Option<String> {
    let pool = PoolName::from("engines");
    let choice = directory.choose(Time(now), &pool, need, &CentreName::from("here"));
    choice.map(|c| c.name.to_string())
}

/// Fails if a run goes to a target whose weights are too old.
#[test]
fn a_target_with_older_weights_gets_no_run() {
    let mut directory = directory(&[listed("old", 3), listed("new", 4)]);

    let chosen: Vec<_> = (0..3).map(|_| choose(&mut directory, 0, &run(4))).collect();

    assert_eq!(chosen, [Some("new".into()), Some("new".into()), None]);
}

/// Fails if runs spread over all targets, so that loading a version always interrupts some.
#[test]
fn runs_are_packed() {
    let mut directory = directory(&[listed("a", 1), listed("b", 1)]);

    let first = choose(&mut directory, 0, &run(1));
    let second = choose(&mut directory, 0, &run(1));

    assert_eq!(first, second);
}

/// Fails if plain requests accumulate at one target.
#[test]
fn plain_requests_spread() {
    let mut directory = directory(&[listed("a", 1), listed("b", 1)]);

    let first = choose(&mut directory, 0, &TargetNeeds::default());
    let second = choose(&mut directory, 0, &TargetNeeds::default());

    assert_ne!(first, second);
}

/// Fails if a leaving target gets new work.
#[test]
fn a_leaving_target_is_not_chosen() {
    let mut leaving = listed("a", 1);
    leaving.leaving = true;
    let mut directory = directory(&[leaving]);

    assert_eq!(choose(&mut directory, 0, &TargetNeeds::default()), None);
}

/// Fails if an entry of an earlier run of a target replaces the current one.
#[test]
fn an_entry_of_an_earlier_run_is_left_out() {
    let mut present = listed("a", 2);
    present.started_at = 20;
    let mut earlier = listed("a", 9);
    earlier.started_at = 10;
    let directory = directory(&[present.clone(), earlier]);

    assert_eq!(directory.get(&present.name), Some(&present));
}

/// Fails if a target is used again immediately after a failure, or never again.
#[test]
fn a_failed_target_pauses() {
    let mut directory = directory(&[listed("a", 1)]);
    let name = TargetName::from(choose(&mut directory, 0, &TargetNeeds::default()).unwrap());

    directory.release(Time(0), &name, CallEnd::Failed);

    assert_eq!(choose(&mut directory, 249, &TargetNeeds::default()), None);
    assert!(choose(&mut directory, 250, &TargetNeeds::default()).is_some());
}

/// Fails if a target is removed because its entry expired during an outage of the object API, or if
/// a target that does not come back is kept.
#[test]
fn an_entry_that_lapsed_in_an_outage_has_two_seconds_to_come_back() {
    let mut directory = directory(&[listed("a", 1), listed("b", 1)]);
    directory.replace(Vec::new(), true);
    directory.insert(listed("a", 1));

    let away = directory.expire(Time(60_000), None);
    let early = directory.expire(Time(61_999), Some(Time(60_000)));
    let late = directory.expire(Time(62_000), Some(Time(60_000)));

    assert_eq!((away, early), (Vec::new(), Vec::new()));
    assert_eq!(late, [TargetName::from("b")]);
    assert!(directory.get(&TargetName::from("a")).is_some());
}

/// Fails if a target that is much slower than the others is not detected or not chosen last.
#[test]
fn a_slow_target_is_noticed_and_comes_last() {
    let mut directory = directory(&[listed("a", 1), listed("b", 1), listed("c", 1)]);
    for (name, millis) in [("a", 40.0), ("b", 40.0), ("c", 150.0)] {
        directory.record_pace(Time(0), &TargetName::from(name), millis);
    }

    let chosen: Vec<_> = (0..5)
        .filter_map(|_| choose(&mut directory, 0, &run(1)))
        .collect();

    assert!(directory.is_slow(&TargetName::from("c")));
    assert_eq!(chosen.last(), Some(&"c".to_owned()));
    assert_eq!(chosen.iter().filter(|name| *name == "c").count(), 1);
}

/// Fails if slow targets are not noticed where they are most of those that were measured, as for a
/// runner whose share of the pool has more slow targets than fast ones.
#[test]
fn slow_targets_are_noticed_where_most_are_slow() {
    let names = ["a", "b", "c", "d"];
    let mut directory = directory(&names.map(|name| listed(name, 1)));
    for (name, millis) in [("a", 49.0), ("b", 50.0), ("c", 49.0), ("d", 38.0)] {
        directory.record_pace(Time(0), &TargetName::from(name), millis);
    }

    let slow = names.map(|name| directory.is_slow(&TargetName::from(name)));

    assert_eq!(slow, [true, true, true, false]);
    assert_eq!(choose(&mut directory, 0, &run(1)).as_deref(), Some("d"));
}

/// Fails if the measurements of another process are not used, replace a newer one, or spoil the paces.
#[test]
fn paces_of_other_processes_are_used_unless_older() {
    let mut told = directory(&["a", "b"].map(|name| listed(name, 1)));
    told.record_pace(Time(5_000), &TargetName::from("a"), 50.0);
    told.record_pace(Time(5_000), &TargetName::from("b"), 38.0);
    let mut paces = told.recent_paces(Time(5_400));
    let spoiled = paces.iter().map(|pace| ToldPace {
        millis: f64::NAN,
        age: 0,
        ..pace.clone()
    });
    let spoiled: Vec<_> = spoiled.collect();
    paces.extend(spoiled);

    let mut unmeasured = directory(&["a", "b"].map(|name| listed(name, 1)));
    unmeasured.learn_paces(Time(90_400), &paces);
    let mut newer = directory(&["a", "b"].map(|name| listed(name, 1)));
    newer.record_pace(Time(90_300), &TargetName::from("a"), 38.0);
    newer.learn_paces(Time(90_400), &paces);

    let a = TargetName::from("a");
    assert!(unmeasured.is_slow(&a));
    assert!(!newer.is_slow(&a));
    assert!(
        told.recent_paces(Time(9_000)).is_empty(),
        "old measurements are not told"
    );
}

/// Fails if a stalled target holds an item for seconds although others produce an event every
/// 50 ms, or if streams of slow engines count as stalled between two events.
#[test]
fn the_stall_timeout_of_a_stream_follows_the_pace_of_its_pool() {
    let names = ["a", "b", "c"];
    let stall_timeout = |millis: Option<f64>| {
        let mut directory = directory(&names.map(|name| listed(name, 1)));
        for name in names {
            if let Some(millis) = millis {
                directory.record_pace(Time(0), &TargetName::from(name), millis);
            }
        }
        directory.stall_timeout(&TargetName::from("a")).as_millis()
    };

    assert_eq!(stall_timeout(None), 2_000);
    assert_eq!(stall_timeout(Some(20.0)), 600);
    assert_eq!(stall_timeout(Some(100.0)), 1_200);
    assert_eq!(stall_timeout(Some(900.0)), 2_000);
}

/// Guards against streams that are cut at once because the entry of their target is not known.
#[test]
fn streams_of_a_target_without_an_entry_are_not_cut() {
    let mut directory = directory(&[]);

    let timeout = directory.stall_timeout(&TargetName::from("a"));

    assert_eq!(timeout.as_millis(), 2_000);
}

/// Fails if a target that answers every request with an error attracts all of them because it
/// always has free slots.
#[test]
fn a_target_that_only_answers_errors_pauses_and_gets_one_request_at_a_time() {
    let mut directory = directory(&[listed("faulty", 1)]);
    let faulty = TargetName::from("faulty");
    for _ in 0..2 {
        assert!(choose(&mut directory, 0, &run(1)).is_some());
        directory.release(Time(0), &faulty, CallEnd::Error);
    }
    let after_two = choose(&mut directory, 0, &run(1));
    directory.release(Time(0), &faulty, CallEnd::Error);

    let paused = choose(&mut directory, 0, &run(1));
    let first = choose(&mut directory, 10_000, &run(1));
    let second = choose(&mut directory, 10_000, &run(1));
    directory.release(Time(10_000), &faulty, CallEnd::Answered);
    let trusted = [(); 2].map(|()| choose(&mut directory, 10_000, &run(1)));

    assert!(after_two.is_some(), "a few requests fail at every target");
    assert_eq!((paused, second), (None, None));
    assert!(first.is_some());
    assert!(trusted.iter().all(Option::is_some));
}

/// Fails if a target is paused for seconds because several requests fail there at the same time.
#[test]
fn failures_of_one_moment_count_once() {
    let mut directory = directory(&[listed("a", 1)]);
    let target = TargetName::from("a");
    for _ in 0..6 {
        directory.release(Time(0), &target, CallEnd::Failed);
    }

    let soon = choose(&mut directory, 300, &run(1));

    assert!(soon.is_some());
}

/// Fails if the jobs of two models start on the same targets although each could use separate ones.
/// Their processes are informed of each other's runs with a delay.
#[test]
fn models_fill_different_targets_first() {
    let models = ["a", "b"].map(|m| (ModelName::from(m), WeightVersion(1)));
    let targets: Vec<TargetEntry> = (0..12)
        .map(|index| TargetEntry {
            models: models.to_vec(),
            ..listed(&format!("i-{index}"), 1)
        })
        .collect();
    let first = |model: &str| -> BTreeSet<String> {
        let mut directory = directory(&targets);
        let need = TargetNeeds {
            model: Some((ModelName::from(model), WeightVersion(1))),
            ..run(1)
        };
        (0..6)
            .filter_map(|_| choose(&mut directory, 0, &need))
            .collect()
    };

    let (a, b) = (first("a"), first("b"));

    assert!(a.is_disjoint(&b), "{a:?} {b:?}");
}

/// Fails if a process that has just started sends requests before it knows the limits that targets
/// stated to other processes.
#[test]
fn no_target_is_chosen_before_the_limits_are_listed() {
    let mut directory = Directory::default();
    directory.insert(listed("t", 1));

    let before = choose(&mut directory, 0, &run(1));
    directory.limits.set_listed();
    let after = choose(&mut directory, 0, &run(1));

    assert_eq!((before, after), (None, Some("t".into())));
}
