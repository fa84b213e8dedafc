//! Items and scoring requests that always fail, while the runner of their job changes.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use sardinepath_core::decision::batch::RunEnd;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::domain::name::ItemId;

use crate::gateway_support::STEP_MS;
use crate::gateway_support::Simulation;
use crate::gateway_support::StoreFault;
use crate::gateway_support::batch_id;
use crate::gateway_support::workspace;

/// Number of gateways.
const GATEWAYS: usize = 4;

/// Number of items of a job.
const ITEMS: usize = 8;

/// Item that no target can do, and item at which each target fails.
const IMPOSSIBLE: &str = "i1";
const FAILING: &str = "i2";

/// Number of failed attempts after which an item is given up (`maxAttempts`).
const MAX_ATTEMPTS: usize = 3;

/// Time between two stops of runners in milliseconds.
const GAP_MS: u64 = 1_300;

/// Duration of a generation in milliseconds, longer than the runners change.
const GENERATION_MS: u64 = 20_000;

/// How a runner ends.
#[derive(Clone, Copy, Debug)]
enum Stop {
    /// It drains, and ends a moment later.
    Drain,
    /// It is killed.
    Kill,
}

/// Starts gateways and targets at which two items of a job always fail.
fn failing_job() -> Simulation {
    let mut sim = Simulation::new(GATEWAYS);
    sim.generation_ms = GENERATION_MS;
    let ends = [(IMPOSSIBLE, RunEnd::Impossible), (FAILING, RunEnd::Failed)];
    let ends = ends.map(|(item, end)| (ItemId::from(item), end));
    sim.failing_items = ends.into_iter().collect();
    sim.submit(0, ITEMS);
    sim
}

/// Stops the gateway that runs the job, if there is one, and starts it again.
fn replace_runner(sim: &mut Simulation, stop: Stop) {
    let Some(runner) = sim.runner() else {
        return;
    };
    if let Stop::Drain = stop {
        sim.message(runner, Message::Drain);
        sim.run(GAP_MS / 2);
    }
    sim.kill(runner);
    sim.start(runner);
}

fn starts(sim: &Simulation, item: &str) -> usize {
    sim.starts.get(&ItemId::from(item)).map_or(0, Vec::len)
}

/// Guards against items that are sent again by each new runner, because it counts their failures anew.
#[test]
fn the_next_runner_goes_on_counting_failures() {
    for stop in [Stop::Drain, Stop::Kill] {
        let mut sim = failing_job();

        for _ in 0..6 {
            sim.run(GAP_MS);
            replace_runner(&mut sim, stop);
        }
        sim.run(GAP_MS);

        assert_eq!(starts(&sim, IMPOSSIBLE), 1, "{stop:?}");
        assert_eq!(starts(&sim, FAILING), MAX_ATTEMPTS, "{stop:?}");
    }
}

/// Guards against failures that are lost because the runner ends between an answer and its record: an item goes
/// out again only once its failure is stored, so each end costs at most one.
#[test]
fn a_runner_that_ends_at_any_moment_loses_one_failure_at_most() {
    for stop in [Stop::Drain, Stop::Kill] {
        for offset in (0..600).step_by(20) {
            let mut sim = failing_job();

            let mut stops = 0;
            sim.run(offset);
            for _ in 0..3 {
                stops += 1;
                replace_runner(&mut sim, stop);
                while sim.runner().is_none_or(|runner| !sim.runs_jobs(runner)) {
                    sim.run(STEP_MS);
                }
                sim.run(offset % 100);
            }
            sim.run(GAP_MS);

            let what = format!("{stop:?} after {offset} ms");
            let impossible = starts(&sim, IMPOSSIBLE);
            assert!(impossible <= 1 + stops, "{impossible}, {what}");
            let failing = starts(&sim, FAILING);
            assert!(failing <= MAX_ATTEMPTS + stops, "{failing}, {what}");
        }
    }
}

/// Guards against failed items that wait for the end of an outage of the store, although no other gateway can
/// run them meanwhile, and against failures of that time that are not counted after it.
#[test]
fn failures_in_an_outage_count_after_it() {
    let mut sim = failing_job();
    let failing = std::mem::take(&mut sim.failing_items);
    sim.run(GAP_MS);
    for node in &mut sim.nodes {
        node.fault = StoreFault::Unavailable;
    }
    sim.run(GAP_MS);
    sim.failing_items = failing;
    let runner = sim.runner().unwrap();
    sim.break_runs(runner);
    sim.run(GAP_MS);
    let before = (starts(&sim, IMPOSSIBLE), starts(&sim, FAILING));
    for node in &mut sim.nodes {
        node.fault = StoreFault::None;
    }
    sim.run(GAP_MS);
    replace_runner(&mut sim, Stop::Kill);
    sim.run(2 * GAP_MS);

    assert_eq!(before, (2, 1 + MAX_ATTEMPTS));
    assert_eq!((starts(&sim, IMPOSSIBLE), starts(&sim, FAILING)), before);
}

/// Guards against scoring requests that are repeated by each new runner, because it counts their failures
/// anew.
#[test]
fn the_next_runner_goes_on_counting_failed_scores() {
    let mut sim = Simulation::new(GATEWAYS);
    sim.failing_scores = true;
    // The other items of the group never run, so that its results wait.
    let others = ["i1", "i2", "i3"].map(|item| (ItemId::from(item), RunEnd::Refused));
    sim.failing_items = others.into_iter().collect();
    sim.submit(0, 4);

    for _ in 0..8 {
        sim.run(GAP_MS);
        replace_runner(&mut sim, Stop::Kill);
    }
    sim.run(GAP_MS);

    assert_eq!(sim.crashing.scored.len(), MAX_ATTEMPTS);
}

/// Guards against the record of failures staying in the store for good.
#[test]
fn the_record_of_failures_is_removed_with_the_job() {
    let mut sim = failing_job();
    sim.run(GAP_MS);
    let recorded = sim.holds(Kind::Failures, batch_id().as_str());
    let end = Question::EndJob {
        id: batch_id(),
        workspace: workspace(),
    };
    sim.ask(0, end);
    while sim.objects() > 0 && sim.now < 200_000 {
        sim.run(1_000);
    }

    assert!(recorded);
    assert!(!sim.holds(Kind::Failures, batch_id().as_str()));
}
