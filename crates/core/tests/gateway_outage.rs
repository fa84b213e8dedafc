//! Submissions while the store is away, in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::time::Duration;

use gateway_support::Simulation;
use gateway_support::StoreFault;
use gateway_support::address;
use gateway_support::batch_id;
use gateway_support::submission;
use gateway_support::workspace;
use sardinepath_core::decision::gateway::message::CallId;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::decision::gateway::message::SubmitRequest;
use sardinepath_core::domain::time::Time;

/// Number of items of the job, which the targets run at once.
const ITEMS: usize = 16;

/// Patience of a trainer in milliseconds.
const PATIENCE_MS: u64 = 10_000;

/// Length of the outage in milliseconds.
const OUTAGE_MS: u64 = 6_000;

/// Time after the return of the store in which a held submission is stored and its complete results
/// are listed, in milliseconds.
const RETURN_MS: u64 = 900;

/// Time in which a job completes without faults, in milliseconds.
const FAULT_FREE_MS: u64 = 6_000;

fn simulation(gateways: usize, fault: StoreFault) -> Simulation {
    let mut sim = Simulation::new(gateways);
    set_fault(&mut sim, fault);
    sim
}

fn set_fault(sim: &mut Simulation, fault: StoreFault) {
    for node in &mut sim.nodes {
        node.fault = fault;
    }
}

fn submit_patiently(sim: &mut Simulation, index: usize, patience: u64) -> CallId {
    let request = SubmitRequest {
        until: Some(Time(sim.now + patience)),
        ..submission(ITEMS)
    };
    sim.ask(index, Question::Submit(request))
}

fn starts(sim: &Simulation) -> usize {
    sim.starts.values().map(Vec::len).sum()
}

/// Fails if a step is lost because the store is away for half of its time: silent, busy, or with its
/// answers lost.
#[test]
fn a_submission_is_held_until_the_store_returns() {
    for fault in [StoreFault::Silent, StoreFault::Unavailable] {
        let mut sim = simulation(2, fault);

        let call = submit_patiently(&mut sim, 0, PATIENCE_MS);
        sim.run(OUTAGE_MS);
        let (early, listed) = (sim.reply(0, call).cloned(), sim.listed().len());
        set_fault(&mut sim, StoreFault::None);
        sim.run(RETURN_MS);

        assert_eq!(early, None, "{fault:?}: answered during the outage");
        assert_eq!(listed, 0, "{fault:?}: listed before it was stored");
        assert_eq!(sim.reply(0, call), Some(&Reply::Accepted), "{fault:?}");
        assert_eq!(sim.listed().len(), ITEMS, "{fault:?}: results are late");
        assert_eq!(starts(&sim), ITEMS, "{fault:?}: an item was begun again");
    }
}

/// Fails if the caller of a job that is stored, but whose answers are lost, is refused, or if the job
/// runs twice.
#[test]
fn a_submission_whose_answers_are_lost_is_accepted() {
    let mut sim = simulation(2, StoreFault::AnswerLost);

    let call = submit_patiently(&mut sim, 0, PATIENCE_MS);
    sim.run(1_500);
    set_fault(&mut sim, StoreFault::None);
    sim.run(FAULT_FREE_MS);

    assert_eq!(sim.reply(0, call), Some(&Reply::Accepted));
    assert_eq!(sim.listed().len(), ITEMS);
    assert_eq!(starts(&sim), ITEMS, "an item was begun again");
}

/// Fails if a submission whose items have run is answered with the promise that they have not, or
/// runs on after the answer.
#[test]
fn a_submission_that_is_not_stored_in_time_promises_nothing() {
    let mut sim = simulation(2, StoreFault::Silent);
    sim.generation_ms = 60_000;

    let call = submit_patiently(&mut sim, 0, PATIENCE_MS);
    sim.run(PATIENCE_MS);

    assert_eq!(starts(&sim), ITEMS);
    assert_eq!(sim.reply(0, call), Some(&Reply::Unsure));
    assert!(!sim.runs_jobs(0), "items run after the answer");
}

/// Fails if texts of a held submission are lost that its caller submits again.
#[test]
fn a_second_submission_continues_the_texts_of_the_first() {
    let mut sim = simulation(1, StoreFault::Unavailable);
    sim.generation_ms = 4_000;
    submit_patiently(&mut sim, 0, 3_400);
    sim.run(3_400);

    let call = submit_patiently(&mut sim, 0, PATIENCE_MS);
    sim.run(1_000);
    set_fault(&mut sim, StoreFault::None);
    sim.run(FAULT_FREE_MS);

    assert_eq!(sim.reply(0, call), Some(&Reply::Accepted));
    assert!(sim.begun.values().all(|events| *events > 0));
    assert_eq!(sim.listed().len(), ITEMS);
}

/// Fails if a submission is held whose caller leaves before an answer is possible, or if its rejection
/// names no time.
#[test]
fn a_caller_without_patience_is_rejected_at_once() {
    let mut sim = simulation(1, StoreFault::Unavailable);

    let call = submit_patiently(&mut sim, 0, 1_200);
    sim.run(200);

    let Some(Reply::Rejected(delay)) = sim.reply(0, call) else {
        panic!("{:?}", sim.reply(0, call));
    };
    assert!(*delay > Duration::ZERO);
    sim.run(FAULT_FREE_MS);
    assert_eq!(starts(&sim), 0, "an item of a rejected job ran");
}

/// Fails if a job that two gateways hold is accepted or listed twice, or if both run on after it is
/// stored.
#[test]
fn of_two_gateways_that_hold_a_job_one_runs_on() {
    let mut sim = simulation(2, StoreFault::Unavailable);
    sim.generation_ms = 9_000;

    let calls = [0, 1].map(|index| submit_patiently(&mut sim, index, PATIENCE_MS));
    sim.run(3_000);
    let held = (0..2).filter(|index| sim.runs_jobs(*index)).count();
    set_fault(&mut sim, StoreFault::None);
    sim.run(RETURN_MS);
    let running = (0..2).filter(|index| sim.runs_jobs(*index)).count();
    sim.run(2 * FAULT_FREE_MS);

    assert_eq!((held, running), (2, 1));
    for (index, call) in calls.into_iter().enumerate() {
        assert_eq!(sim.reply(index, call), Some(&Reply::Accepted));
    }
    assert_eq!(sim.listed().len(), ITEMS);
}

/// Fails if a gateway runs items of a submission that it passed to one that may hold it.
#[test]
fn a_gateway_runs_no_items_that_another_one_may_run() {
    let mut sim = simulation(2, StoreFault::Unavailable);
    let request = SubmitRequest {
        until: Some(Time(sim.now + PATIENCE_MS)),
        passed_to: Some(address(1)),
        ..submission(ITEMS)
    };

    let call = sim.ask(0, Question::Submit(request));
    submit_patiently(&mut sim, 1, PATIENCE_MS);
    sim.run(2_000);
    set_fault(&mut sim, StoreFault::None);
    sim.run(FAULT_FREE_MS);

    assert_eq!(sim.reply(0, call), Some(&Reply::Accepted));
    assert_eq!(starts(&sim), ITEMS, "an item was begun twice");
    assert_eq!(sim.listed().len(), ITEMS);
}

/// Fails if a job that is not stored yet can be read or ended.
#[test]
fn a_held_job_is_not_shown() {
    let mut sim = simulation(1, StoreFault::Unavailable);
    submit_patiently(&mut sim, 0, PATIENCE_MS);
    sim.run(2_000);

    let read = Question::Read {
        id: batch_id(),
        workspace: workspace(),
        after: 0,
        wait: Duration::ZERO,
        local: true,
    };
    let end = Question::EndJob {
        id: batch_id(),
        workspace: workspace(),
    };
    let calls = [read, end].map(|question| sim.ask(0, question));
    sim.run(4_000);

    for call in calls {
        assert_eq!(sim.reply(0, call), Some(&Reply::Unsure));
    }
}

/// Fails if a process that ends while it holds a job leaves something behind that keeps the job from
/// being accepted by another process.
#[test]
fn a_job_of_a_killed_holder_is_accepted_elsewhere() {
    let mut sim = simulation(2, StoreFault::Unavailable);
    submit_patiently(&mut sim, 0, PATIENCE_MS);
    sim.run(2_000);

    sim.kill(0);
    let call = submit_patiently(&mut sim, 1, PATIENCE_MS);
    sim.run(2_000);
    set_fault(&mut sim, StoreFault::None);
    sim.run(FAULT_FREE_MS);

    assert_eq!(sim.reply(1, call), Some(&Reply::Accepted));
    assert_eq!(sim.listed().len(), ITEMS);
}

/// Fails if a process that drains while it holds a job ends without an answer, or keeps the job.
#[test]
fn a_drain_ends_held_submissions() {
    for back in [false, true] {
        let mut sim = simulation(2, StoreFault::Unavailable);
        let call = submit_patiently(&mut sim, 0, PATIENCE_MS);
        sim.run(2_000);

        sim.message(0, Message::Drain);
        if back {
            set_fault(&mut sim, StoreFault::None);
        }
        sim.run(2_500);

        let expected = if back { Reply::Accepted } else { Reply::Unsure };
        assert_eq!(sim.reply(0, call), Some(&expected), "back {back}");
        assert!(!sim.runs_jobs(0), "back {back}");
        sim.run(FAULT_FREE_MS);
        assert_eq!(sim.listed().len(), if back { ITEMS } else { 0 });
    }
}
