//! Shares of gateways whose jobs compete for the slots of one pool, in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::collections::BTreeMap;
use std::time::Duration;

use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::Pong;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::SubmitRequest;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::decision::share::Claim;
use sardinepath_core::decision::share::Claimant;
use sardinepath_core::domain::fleet::TargetEntry;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::name::SoftwareVersion;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::name::WorkspaceName;

use crate::gateway_support::Simulation;
use crate::gateway_support::address;
use crate::gateway_support::submission;

/// Slots of all targets of the simulation.
const SLOTS: u32 = 32;

/// Number of items of a job, enough to fill all slots for the whole test.
const ITEMS: usize = 400;

/// Time in milliseconds within which shares follow a change.
const SETTLE_MS: u64 = 2_000;

/// Time in milliseconds within which a gateway sees the end of a job of another one and uses its slots,
/// less than the age to which claims are used.
const WATCH_MS: u64 = 300;

/// Duration of a generation in milliseconds.
const GENERATION_MS: u64 = 500;

/// Number of samples of the running items, and the time between two of them in milliseconds.
const SAMPLES: (u32, u64) = (50, 60);

/// Starts a simulation of two gateways.
fn simulation() -> Simulation {
    let mut sim = Simulation::new(2);
    sim.generation_ms = GENERATION_MS;
    sim
}

/// Creates the entry of a target that serves another model than that of the jobs.
fn other_target(index: usize) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(format!("t{index}")),
        pool: PoolName::from("engines"),
        address: address(500 + index),
        centre: CentreName::from("c"),
        slots: SLOTS / 4,
        leaving: false,
        models: vec![(ModelName::from("other"), WeightVersion(1))],
        software: SoftwareVersion::from("v1"),
        started_at: 2,
        cold: Duration::ZERO,
    }
}

/// Creates the answer of a gateway whose jobs want so many slots.
fn pong(waiting: u32) -> Pong {
    Pong {
        incarnation: Incarnation(1_001),
        silence: 0,
        load: BTreeMap::new(),
        leaving: Vec::new(),
        paces: Vec::new(),
        claims: vec![Claim {
            pool: PoolName::from("engines"),
            claimant: Claimant {
                rank: 0,
                workspace: Some(WorkspaceName::from("other")),
            },
            waiting,
            running: 0,
        }],
    }
}

/// Submits a job of a workspace at a gateway.
fn submit(sim: &mut Simulation, index: usize, workspace: &str) {
    let question = Question::Submit(SubmitRequest {
        id: BatchId::from(workspace),
        workspace: Some(WorkspaceName::from(workspace)),
        ..submission(ITEMS)
    });
    sim.ask(index, question);
}

/// Returns the mean number of requests that each gateway runs.
fn mean_load(sim: &mut Simulation) -> [u32; 2] {
    let mut sums = [0, 0];
    for _ in 0..SAMPLES.0 {
        sim.run(SAMPLES.1);
        sums = [sums[0] + sim.running(0), sums[1] + sim.running(1)];
    }
    sums.map(|sum| sum / SAMPLES.0)
}

/// Fails if a workspace whose job comes later waits for all items of an earlier job of another gateway.
#[test]
fn a_later_job_of_another_gateway_gets_its_share() {
    let mut sim = simulation();
    submit(&mut sim, 0, "early");
    sim.run(SETTLE_MS);

    submit(&mut sim, 1, "late");
    sim.run(SETTLE_MS);
    let [early, late] = mean_load(&mut sim);

    let fair = SLOTS * 2 / 5..=SLOTS * 3 / 5;
    assert!(fair.contains(&early), "early {early}, late {late}");
    assert!(fair.contains(&late), "early {early}, late {late}");
}

/// Fails if the slots of a gateway that died stay unused although its claims are out of date.
#[test]
fn the_share_of_a_dead_gateway_is_used() {
    let mut sim = simulation();
    submit(&mut sim, 0, "left");
    submit(&mut sim, 1, "lost");
    sim.run(SETTLE_MS);

    sim.kill(1);
    sim.run(SETTLE_MS);
    let [left, _] = mean_load(&mut sim);

    assert!(left >= SLOTS * 9 / 10, "{left} of {SLOTS} slots are used");
}

/// Fails if the slots of a job that ended stay reserved for it, although its end is known.
#[test]
fn the_share_of_an_ended_job_is_used_at_once() {
    let mut sim = simulation();
    submit(&mut sim, 0, "left");
    submit(&mut sim, 1, "ended");
    sim.run(SETTLE_MS);

    let end = Question::EndJob {
        id: BatchId::from("ended"),
        workspace: Some(WorkspaceName::from("ended")),
    };
    sim.ask(1, end);
    sim.run(WATCH_MS);

    let left = sim.running(0);
    assert!(left >= SLOTS * 9 / 10, "{left} of {SLOTS} slots are used");
}

/// Fails if a job gives up slots for jobs of another model that has targets of its own.
#[test]
fn jobs_of_models_with_targets_of_their_own_do_not_compete() {
    let mut sim = simulation();
    for index in 1..4 {
        sim.message(
            0,
            Message::Changed(WatchedObject::Target(other_target(index))),
        );
    }
    submit(&mut sim, 1, "known");
    sim.run(SETTLE_MS);
    sim.nodes[0].cut = true;

    submit(&mut sim, 0, "own");
    sim.run(WATCH_MS);
    sim.message(0, Message::PingEnded(HostName::from("g1"), Some(pong(16))));
    sim.run(WATCH_MS);

    let own = sim.running(0);
    assert_eq!(own, SLOTS / 4, "slots of the only target of the model");
}
