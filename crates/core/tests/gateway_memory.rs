//! Memory of the submissions that a gateway keeps.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::sync::Arc;

use sardinepath_core::decision::gateway::message::CallId;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::decision::gateway::message::SubmitRequest;
use sardinepath_core::decision::memory::MemoryLimits;
use sardinepath_core::domain::batch::Batch;
use sardinepath_core::domain::batch::Item;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::ItemId;

use crate::gateway_support::Simulation;
use crate::gateway_support::batch;
use crate::gateway_support::submission;
use crate::gateway_support::workspace;

/// Number of submissions that have room at once.
const ROOM: usize = 4;

/// Returns a submission of which `ROOM` fit into the memory for jobs, and one more does not.
fn large(name: &str) -> Arc<Batch> {
    let limit = MemoryLimits::for_host(256 << 20).jobs;
    let item = Item {
        id: ItemId::from(format!("item-of-{name}")),
        body: Arc::from(vec![0; limit / (ROOM + 1) + (1 << 20)]),
        ..(*batch(1).items[0]).clone()
    };
    Arc::new(Batch {
        items: vec![Arc::new(item)],
        ..(*batch(1)).clone()
    })
}

fn submit(sim: &mut Simulation, name: &str) -> CallId {
    let question = Question::Submit(SubmitRequest {
        id: BatchId::from(name),
        batch: large(name),
        ..submission(1)
    });
    let call = sim.ask(0, question);
    sim.run(200);
    call
}

fn end(sim: &mut Simulation, name: &str) {
    let question = Question::EndJob {
        id: BatchId::from(name),
        workspace: workspace(),
    };
    sim.ask(0, question);
    sim.run(200);
}

/// Submits jobs that fill the memory for them.
fn fill(sim: &mut Simulation) {
    for index in 0..ROOM {
        let call = submit(sim, &format!("b{index}"));
        assert_eq!(sim.reply(0, call), Some(&Reply::Accepted), "job {index}");
    }
}

/// Guards against many large submissions that are all kept in memory.
#[test]
fn a_submission_without_room_is_not_accepted() {
    let mut sim = Simulation::new(1);
    fill(&mut sim);

    let call = submit(&mut sim, "more");

    assert_eq!(sim.reply(0, call), Some(&Reply::NotAccepted));
}

/// Guards against ended jobs that keep their memory while others need it.
#[test]
fn ended_jobs_give_way() {
    let mut sim = Simulation::new(1);
    fill(&mut sim);
    end(&mut sim, "b0");

    let call = submit(&mut sim, "more");

    assert_eq!(sim.reply(0, call), Some(&Reply::Accepted));
    let kept = sim.nodes[0].gateway.as_ref().unwrap().kept_bytes();
    assert!(kept <= MemoryLimits::for_host(256 << 20).jobs);
}

/// Guards against a submission of a legal size that no process ever accepts.
#[test]
fn a_submission_of_any_size_is_accepted_in_calm() {
    let mut sim = Simulation::new(1);
    let mut huge = (*large("huge")).clone();
    huge.items = (0..=ROOM * 2).map(|_| huge.items[0].clone()).collect();

    let question = Question::Submit(SubmitRequest {
        id: BatchId::from("huge"),
        batch: Arc::new(huge),
        ..submission(1)
    });
    let call = sim.ask(0, question);
    sim.run(200);

    assert_eq!(sim.reply(0, call), Some(&Reply::Accepted));
}

/// Guards against a text that is held beside the items that were decoded from it.
#[test]
fn the_text_of_a_submission_is_not_kept() {
    let mut sim = Simulation::new(1);
    let mut batch = (*batch(1)).clone();
    batch.source = Arc::from("x".repeat(1 << 20));

    let question = Question::Submit(SubmitRequest {
        id: BatchId::from("b0"),
        batch: Arc::new(batch),
        ..submission(1)
    });
    let call = sim.ask(0, question);
    sim.run(200);

    assert_eq!(sim.reply(0, call), Some(&Reply::Accepted));
    assert!(sim.nodes[0].gateway.as_ref().unwrap().kept_bytes() < 1 << 20);
}
