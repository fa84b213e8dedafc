//! Reads of results while the runner of a job changes, in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::time::Duration;

use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;

use crate::gateway_support::Simulation;
use crate::gateway_support::batch_id;
use crate::gateway_support::workspace;

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
