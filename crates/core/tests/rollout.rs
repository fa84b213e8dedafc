//! Simulates a roll-out with failed and hanging swaps, and checks the resulting pool.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use sardinepath_core::decision::rollout::Replica;
use sardinepath_core::decision::rollout::Rollout;
use sardinepath_core::decision::rollout::RolloutStep;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::time::Time;

const INTERVAL: Duration = Duration::from_millis(200);

fn pool(size: usize) -> Vec<Replica> {
    let replica = |index| Replica {
        target: TargetName::from(format!("e{index}")),
        version: WeightVersion(1),
        serving: true,
    };
    (0..size).map(replica).collect()
}

fn rollout(floor: usize) -> Rollout {
    Rollout::new(WeightVersion(2), floor, INTERVAL)
}

/// Index of the swapped replica, end of the swap in milliseconds, and whether it succeeds.
type Swap = (usize, u64, bool);

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Guards against more concurrent swaps than a quarter of the pool, fewer serving replicas than
    /// the floor, loads above the rate of the weight store, and failed swaps that are never
    /// retried.
    #[test]
    fn a_roll_out_keeps_its_limits_and_ends(
        size in 4..20usize,
        slack in 0..8usize,
        swaps in prop::collection::vec((100..9_000u64, any::<bool>()), 1..30),
    ) {
        let (mut pool, floor) = (pool(size), (size - size / 4).saturating_sub(slack));
        let mut rollout = rollout(floor);
        let mut outcomes = swaps.into_iter();
        let mut running: Vec<Swap> = Vec::new();
        let (mut last, mut done) = (None, false);
        for now in (0..600_000).step_by(100) {
            let (ended, rest) = running.into_iter().partition::<Vec<Swap>, _>(|s| s.1 <= now);
            running = rest;
            for (index, _, success) in ended {
                pool[index].serving = true;
                match success {
                    true => pool[index].version = WeightVersion(2),
                    false => rollout.failed(Time(now), &pool[index].target),
                }
            }
            match rollout.next(Time(now), &pool) {
                RolloutStep::Load(target, _) => {
                    prop_assert!(last.is_none_or(|last| now - last >= 200), "above the rate");
                    last = Some(now);
                    let (time, success) = outcomes.next().unwrap_or((500, true));
                    let index = pool.iter().position(|r| r.target == target).unwrap();
                    pool[index].serving = false;
                    running.push((index, now + time, success));
                }
                RolloutStep::Done => done = true,
                RolloutStep::Wait(_) | RolloutStep::AtFloor => {}
            }
            prop_assert!(running.len() <= size / 4, "more than a quarter");
            prop_assert!(pool.iter().filter(|r| r.serving).count() >= floor, "below the floor");
        }
        prop_assert!(done, "not ended");
    }
}

/// Guards against a pool that swaps its last serving replica.
#[test]
fn nothing_swaps_at_the_floor() {
    let mut pool = pool(8);
    assert_eq!(rollout(8).next(Time(0), &pool), RolloutStep::AtFloor);
    pool[0].serving = false;
    assert_eq!(rollout(7).next(Time(0), &pool), RolloutStep::AtFloor);
    assert!(matches!(
        rollout(6).next(Time(0), &pool),
        RolloutStep::Load(..)
    ));
}

/// Guards against a swap that hangs forever and blocks further swaps.
#[test]
fn a_swap_without_an_end_counts_as_failed() {
    let pool = pool(4);
    let mut rollout = rollout(1);
    let first = rollout.next(Time(0), &pool);
    assert_eq!(
        rollout.next(Time(29_900), &pool),
        RolloutStep::Wait(Time(30_900))
    );
    let second = rollout.next(Time(30_000), &pool);
    assert!(matches!(&first, RolloutStep::Load(..)) && matches!(&second, RolloutStep::Load(..)));
    assert_ne!(first, second);
}

/// Guards against a failed swap that is retried only after the timeout of a hanging one.
#[test]
fn a_failed_swap_is_tried_again_after_a_pause() {
    let pool = pool(1);
    let mut rollout = rollout(0);
    let first = rollout.next(Time(0), &pool);
    rollout.failed(Time(500), &pool[0].target);
    assert_eq!(
        rollout.next(Time(600), &pool),
        RolloutStep::Wait(Time(1_500))
    );
    assert_eq!(rollout.next(Time(1_500), &pool), first);
}
