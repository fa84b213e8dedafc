//! Tests of the weight roll-out: which targets load, how many concurrently, and when.
#![allow(clippy::unwrap_used, missing_docs)]

use sardinepath_core::decision::weights::Load;
use sardinepath_core::decision::weights::OrderEnd;
use sardinepath_core::decision::weights::Replica;
use sardinepath_core::decision::weights::Weights;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::time::Time;

/// Time by which the loads of a version announced at time zero have started.
const AFTER_DELAY: Time = Time(1_000);

fn replica(target: usize, model: &str, version: u64, busy: u32) -> Replica {
    Replica {
        target: TargetName::from(format!("t{target:02}")),
        model: ModelName::from(model),
        version: WeightVersion(version),
        busy,
        version_fixed: false,
    }
}

fn fleet(targets: usize, models: &[&str], version: u64) -> Vec<Replica> {
    let each = |target| models.iter().map(move |m| replica(target, m, version, 0));
    (0..targets).flat_map(each).collect()
}

fn announced(models: &[&str], version: u64) -> Weights {
    let mut weights = Weights::default();
    for model in models {
        weights.announce(Time(0), ModelName::from(*model), WeightVersion(version));
    }
    weights
}

/// Carries out orders until none is left, and returns them.
fn complete(weights: &mut Weights, fleet: &mut [Replica]) -> Vec<Load> {
    let mut all = Vec::new();
    for round in 0..200 {
        let now = Time(AFTER_DELAY.0 + round * 1_000);
        let loads = weights.next(now, fleet);
        for load in &loads {
            weights.order_ended(now, &load.target, OrderEnd::Accepted);
            let done = |r: &&mut Replica| r.target == load.target && r.model == load.model;
            fleet.iter_mut().find(done).unwrap().version = load.version;
        }
        all.extend(loads);
    }
    all
}

/// Guards against a small fleet with too many concurrent loads, and a large fleet with too few.
#[test]
fn a_fifth_of_the_targets_load_at_once() {
    for (targets, most) in [(1, 1), (9, 2), (44, 9)] {
        let mut weights = announced(&["m"], 2);

        let loads = weights.next(AFTER_DELAY, &fleet(targets, &["m"], 1));

        assert_eq!(loads.len(), most, "{targets} targets");
    }
}

/// Fails if every target loads the versions of every model.
#[test]
fn targets_are_shared_by_the_models() {
    let models = ["a", "b", "c", "d"];
    let mut weights = announced(&models, 2);
    let mut fleet = fleet(44, &models, 1);

    let loads = complete(&mut weights, &mut fleet);

    for model in models {
        let count = loads.iter().filter(|l| l.model.as_str() == model).count();
        assert_eq!(count, 11, "{model}");
    }
}

/// Fails if a lost target leaves its model without targets for good.
#[test]
fn targets_move_to_a_model_that_lost_its_own() {
    let models = ["a", "b"];
    let mut weights = announced(&models, 2);
    let mut all = fleet(8, &models, 1);
    complete(&mut weights, &mut all);
    let serves = |r: &Replica| r.model.as_str() == "a" && r.version.0 == 2;
    let gone: Vec<TargetName> = all
        .iter()
        .filter(|r| serves(r))
        .map(|r| r.target.clone())
        .collect();
    all.retain(|r| !gone.contains(&r.target));

    let loads = complete(&mut weights, &mut all);

    assert!(loads.iter().filter(|l| l.model.as_str() == "a").count() >= 2);
}

/// Fails if the load of a version occupies a target before the step that arrives with the version.
#[test]
fn a_load_waits_for_the_step_of_its_version() {
    let mut weights = announced(&["m"], 2);
    let fleet = fleet(9, &["m"], 1);

    let at_once = weights.next(Time(10), &fleet);
    let later = weights.next(AFTER_DELAY, &fleet);

    assert_eq!(at_once, Vec::new());
    assert_eq!(later.len(), 2);
}

/// Fails if a load interrupts runs that are fixed to a version although enough targets can serve
/// the next step.
#[test]
fn a_busy_target_of_fixed_runs_loads_only_if_too_few_serve() {
    let mut weights = announced(&["m"], 3);
    let mut fleet = fleet(4, &["m"], 2);
    fleet[0] = replica(0, "m", 1, 3);
    for replica in &mut fleet {
        replica.busy = 1;
        replica.version_fixed = true;
    }

    let enough = weights.next(AFTER_DELAY, &fleet);
    for replica in &mut fleet[..3] {
        replica.version = WeightVersion(1);
    }
    let too_few = weights.next(AFTER_DELAY, &fleet);

    assert_eq!(enough, Vec::new());
    assert_eq!(too_few.len(), 1);
}

/// Fails if a load waits until a target is idle although the runs continue during a load.
#[test]
fn a_busy_target_loads() {
    let mut weights = announced(&["m"], 2);
    let mut fleet = fleet(9, &["m"], 1);
    for replica in &mut fleet {
        replica.busy = 6;
    }

    let loads = weights.next(AFTER_DELAY, &fleet);

    assert_eq!(loads.len(), 2);
}

/// Fails if all targets that the current step can use load at the same time and delay its items.
#[test]
fn half_of_the_useful_targets_stay_open() {
    let models = ["a", "b", "c", "d"];
    let mut weights = announced(&["a"], 2);
    let fleet = fleet(44, &models, 1);

    let loads = weights.next(AFTER_DELAY, &fleet);

    assert_eq!(loads.len(), 6, "of the 11 targets of the model");
}

/// Fails if a model whose targets the current step cannot use waits for another model.
#[test]
fn targets_without_use_load_first() {
    let models = ["a", "b"];
    let mut weights = announced(&["a"], 2);
    weights.announce(Time(0), ModelName::from("b"), WeightVersion(9));
    let mut fleet = fleet(10, &models, 1);
    for replica in fleet.iter_mut().filter(|r| r.model.as_str() == "b") {
        replica.version = WeightVersion(7);
    }

    let loads = weights.next(AFTER_DELAY, &fleet);

    assert_eq!(loads.len(), 2);
    assert!(
        loads.iter().all(|load| load.model.as_str() == "b"),
        "{loads:?}"
    );
}

/// Fails if the loads of one model delay those of another with fewer loaded targets.
#[test]
fn the_model_with_the_fewest_loaded_targets_is_next() {
    let models = ["a", "b"];
    let mut weights = announced(&["a"], 2);
    let mut fleet = fleet(20, &models, 1);
    let first = weights.next(AFTER_DELAY, &fleet);
    for load in &first {
        weights.order_ended(AFTER_DELAY, &load.target, OrderEnd::Accepted);
        let done = |r: &&mut Replica| r.target == load.target && r.model == load.model;
        fleet.iter_mut().find(done).unwrap().version = load.version;
    }
    weights.announce(Time(0), ModelName::from("b"), WeightVersion(2));

    let then = weights.next(AFTER_DELAY, &fleet);

    assert_eq!(then.len(), 4);
    assert!(
        then.iter().all(|load| load.model.as_str() == "b"),
        "{then:?}"
    );
}

/// Fails if an unanswered order is repeated while it may still be carried out, or is never
/// repeated.
#[test]
fn an_order_without_an_answer_is_repeated_after_its_time() {
    let mut weights = announced(&["m"], 2);
    let fleet = fleet(1, &["m"], 1);
    let first = weights.next(AFTER_DELAY, &fleet);

    weights.order_ended(AFTER_DELAY, &first[0].target, OrderEnd::Unknown);

    assert_eq!(
        weights.next(Time(AFTER_DELAY.0 + 4_999), &fleet),
        Vec::new()
    );
    assert_eq!(weights.next(Time(AFTER_DELAY.0 + 5_001), &fleet).len(), 1);
}

/// Fails if an older version that arrives late replaces a newer one.
#[test]
fn versions_only_grow() {
    let mut weights = announced(&["m"], 5);

    let newer = weights.announce(Time(9), ModelName::from("m"), WeightVersion(4));

    assert!(!newer);
    assert_eq!(
        weights.newest(&ModelName::from("m")),
        Some(WeightVersion(5))
    );
}
