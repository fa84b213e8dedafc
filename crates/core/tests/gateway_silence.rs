//! Targets, runners and other gateways that are silent for a while, in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use gateway_support::Simulation;
use gateway_support::StoreFault;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::domain::name::TargetName;

/// Number of items of the job.
const ITEMS: usize = 20;

/// Duration of a generation in milliseconds, longer than any of the silences.
const GENERATION_MS: u64 = 6_000;

/// Starts gateways, of which one runs a job whose items have all begun. Returns the runner too.
fn running_job(gateways: usize) -> (Simulation, usize) {
    let mut sim = Simulation::new(gateways);
    sim.generation_ms = GENERATION_MS;
    sim.submit(0, ITEMS);
    sim.run(500);
    let runner = (0..gateways).find(|index| sim.runs_jobs(*index)).unwrap();
    assert_eq!(sim.starts.len(), ITEMS);
    (sim, runner)
}

/// Fails if an item was begun more than once, or is not listed.
fn assert_undisturbed(sim: &Simulation, what: &str) {
    assert!(
        sim.starts.values().all(|starts| starts.len() == 1),
        "{what}: an item was begun again"
    );
    assert_eq!(sim.listed().len(), ITEMS, "{what}");
}

/// Fails if the texts that run at targets are begun elsewhere or given up because the entries of the
/// targets lapse, with or without an outage of the store, and come back later or not at all.
#[test]
fn texts_go_on_at_targets_whose_entries_lapse() {
    for (outage, back) in [(false, false), (false, true), (true, true)] {
        let (mut sim, _) = running_job(3);
        for index in 0..3 {
            if outage {
                sim.nodes[index].fault = StoreFault::Unavailable;
            }
            // One target stays for the scores.
            for target in ["t0", "t1", "t2"] {
                let gone = WatchedObject::TargetGone(TargetName::from(target));
                sim.message(index, Message::Changed(gone));
            }
        }
        sim.run(3_000);

        for index in 0..3 {
            sim.nodes[index].fault = StoreFault::None;
        }
        if back {
            sim.set_targets(false, &["v1", "v1", "v1", "v1"]);
        }
        sim.run(2 * GENERATION_MS);

        assert_undisturbed(&sim, &format!("outage {outage}, back {back}"));
    }
}

/// Fails if a job is taken over from a runner that does not answer for a moment, or that only the
/// store does not answer.
#[test]
fn a_runner_that_is_silent_for_a_moment_keeps_its_job() {
    for silence in [500, 1_000, 1_500] {
        let (mut sim, runner) = running_job(3);

        sim.nodes[runner].frozen = true;
        sim.run(silence);
        sim.nodes[runner].frozen = false;
        sim.run(2 * GENERATION_MS);

        assert_undisturbed(&sim, &format!("silent for {silence} ms"));
    }
}

/// Fails if a gateway that lost contact with all others gives up or repeats what it runs.
#[test]
fn a_runner_that_is_cut_off_from_other_gateways_keeps_its_job() {
    let (mut sim, runner) = running_job(3);

    sim.nodes[runner].cut = true;
    sim.run(3_000);
    sim.nodes[runner].cut = false;
    sim.run(2 * GENERATION_MS);

    assert_undisturbed(&sim, "cut off");
}
