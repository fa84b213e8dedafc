//! Reads of results and submissions, in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::time::Duration;

use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;

use crate::gateway_support::Simulation;
use crate::gateway_support::StoreFault;
use crate::gateway_support::batch_id;
use crate::gateway_support::workspace;

/// Time in which any job of these tests completes without faults, in milliseconds.
const FAULT_FREE_MS: u64 = 6_000;

/// Fails if a gateway that took over a job from a frozen one says that there is no result at a
/// position that the other one listed as it woke.
#[test]
fn results_of_a_former_runner_are_not_denied() {
    let mut woken = 0;
    let moments = (360..640).step_by(20);
    for (frozen_after, frozen) in
        moments.flat_map(|at| [2_300, 2_500, 2_700, 2_900].map(|f| (at, f)))
    {
        let mut sim = Simulation::new(3);
        sim.submit(0, 24);
        sim.run(300);
        let runner = (0..3).find(|i| sim.runs_jobs(*i)).unwrap();
        sim.run(frozen_after);
        sim.nodes[runner].frozen = true;
        sim.nodes[runner].watch_lag = 4_000;
        let before = sim.listed().len();
        sim.run(frozen);
        sim.nodes[runner].frozen = false;
        sim.run(100);
        let listed = sim.listed().len();
        if listed == before {
            continue;
        }
        woken += 1;

        for index in 0..3 {
            let call = sim.ask(index, read_from(listed - 1));
            sim.run(100);

            let reply = sim.reply(index, call);
            let denied = matches!(reply, Some(Reply::Results(_, _, found)) if found.is_empty());
            assert!(!denied, "gateway {index} denies position {}", listed - 1);
        }
    }
    assert!(woken > 0, "no gateway listed results as it woke");
}

/// Returns a question for the results from a position on.
fn read_from(after: usize) -> Question {
    Question::Read {
        id: batch_id(),
        workspace: workspace(),
        after,
        wait: Duration::ZERO,
        local: true,
    }
}

/// Guards against a store that is read again and again for a submission which cannot be decoded.
#[test]
fn a_submission_that_cannot_be_decoded_is_read_rarely() {
    let mut sim = Simulation::new(1);
    sim.submit(0, 8);
    sim.run(200);
    sim.kill(0);
    sim.undecodable = true;
    sim.start(0);
    sim.run(10_000);
    let tries = sim.decodes;
    sim.undecodable = false;
    sim.run(10_000);

    let outcomes = sim.read_all(0);

    assert!((1..=3).contains(&tries), "{tries} tries");
    assert_eq!(outcomes.len(), 8);
}

/// Fails if results or their positions differ between gateways.
#[test]
fn every_gateway_reads_the_same_results() {
    let mut sim = Simulation::new(3);
    sim.submit(0, 12);
    sim.run(FAULT_FREE_MS);

    let results: Vec<_> = (0..3).map(|node| sim.read_all(node)).collect();

    assert_eq!(results[0].len(), 12);
    assert!(results.iter().all(|outcomes| *outcomes == results[0]));
}

/// Fails if a caller of another workspace can end a job.
#[test]
fn a_job_is_absent_for_another_workspace() {
    let mut sim = Simulation::new(1);
    sim.submit(0, 4);
    sim.run(FAULT_FREE_MS);

    let call = sim.ask(
        0,
        Question::EndJob {
            id: batch_id(),
            workspace: None,
        },
    );
    sim.run(200);

    assert_eq!(sim.reply(0, call), Some(&Reply::NotFound));
}

/// Fails if a runner whose watch of the store is silent goes on with a job that another gateway ended.
#[test]
fn a_runner_with_a_silent_watch_learns_that_its_job_has_ended() {
    let mut sim = Simulation::new(3);
    sim.submit(0, 200);
    sim.run(300);
    let runner = (0..3).find(|index| sim.runs_jobs(*index)).unwrap();
    sim.nodes[runner].watch_lag = 11_000;
    let end = Question::EndJob {
        id: batch_id(),
        workspace: workspace(),
    };

    let call = sim.ask((runner + 1) % 3, end);
    sim.run(500);

    assert_eq!(sim.reply((runner + 1) % 3, call), Some(&Reply::Ended));
    assert!(!sim.runs_jobs(runner));
}

/// Fails if a job is reported as absent while the store is unavailable.
#[test]
fn an_unknown_job_is_not_absent_while_the_store_is_away() {
    let mut sim = Simulation::new(1);
    sim.nodes[0].fault = StoreFault::Unavailable;

    let call = sim.ask(
        0,
        Question::EndJob {
            id: batch_id(),
            workspace: workspace(),
        },
    );
    sim.run(4_000);

    assert_eq!(sim.reply(0, call), Some(&Reply::Unsure));
}

/// Fails if a gateway that knows all results of an ended job calls the store for more. Each call is
/// priced, and an unavailable store would not answer it.
#[test]
fn a_read_past_the_last_result_needs_no_store() {
    let mut sim = Simulation::new(1);
    sim.submit(0, 4);
    sim.run(FAULT_FREE_MS);
    let end = Question::EndJob {
        id: batch_id(),
        workspace: workspace(),
    };
    sim.ask(0, end);
    sim.run(400);
    sim.nodes[0].fault = StoreFault::Unavailable;

    let read = Question::Read {
        id: batch_id(),
        workspace: workspace(),
        after: 4,
        wait: Duration::ZERO,
        local: true,
    };
    let call = sim.ask(0, read);
    sim.run(200);

    let nothing = Reply::Results(4, 4, Vec::new());
    assert_eq!(sim.reply(0, call), Some(&nothing));
}
