//! Steps of long texts on targets of two speeds, in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use gateway_support::STEP_MS;
use gateway_support::Simulation;
use gateway_support::submission;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::SubmitRequest;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::TargetName;

/// Duration of a generation at a fast target in milliseconds.
const FAST_MS: u64 = 4_000;

/// Factor of that duration at a slow target.
const SLOW_FACTOR: f64 = 1.5;

/// Time in milliseconds in which a step must complete: its first eight texts run at the fast target,
/// which has eight slots, and then take in the last third of the others. Scoring and listing come on top.
const STEP_TARGET_MS: u64 = FAST_MS + FAST_MS / 3 + 400;

/// Number of items of a step that fills all targets, by which they are all measured.
const FULL_STEP: usize = 32;

/// Number of items of the step whose time counts.
const STEP: usize = 12;

/// Submits a step and returns the time until all of its items are listed.
fn run_step(sim: &mut Simulation, name: &str, items: usize) -> u64 {
    let start = sim.now;
    let before = sim.texts().len();
    let submit = SubmitRequest {
        id: BatchId::from(name),
        ..submission(items)
    };
    sim.ask(0, Question::Submit(submit));
    while sim.texts().len() < before + items {
        assert!(sim.now < start + 60_000, "step {name} does not complete");
        sim.run(STEP_MS);
    }
    sim.now - start
}

/// Returns the time of a step on targets that were measured before, of which one is fast.
fn step_time(fast: &str) -> u64 {
    let mut sim = Simulation::new(1);
    sim.generation_ms = FAST_MS;
    let slow = ["t0", "t1", "t2", "t3"].into_iter().filter(|t| *t != fast);
    sim.speeds = slow.map(|t| (TargetName::from(t), SLOW_FACTOR)).collect();
    run_step(&mut sim, "b1", FULL_STEP);
    run_step(&mut sim, "b2", STEP)
}

/// Fails if the texts of a step stay at slow targets because most targets that its runner has measured
/// are slow.
#[test]
fn a_step_is_not_held_back_by_slow_targets() {
    let times = ["t0", "t1", "t2", "t3"].map(step_time);

    assert!(
        times.iter().all(|time| *time <= STEP_TARGET_MS),
        "the steps took {times:?} ms"
    );
}
