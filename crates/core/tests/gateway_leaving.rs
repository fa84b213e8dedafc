//! Targets that say in an answer that they are leaving, in virtual time, with faults.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use gateway_support::DRAIN_MS;
use gateway_support::Simulation;
use gateway_support::StoreFault;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::domain::leave::LeaveStatement;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::time::WallTime;

/// Time within which a statement reaches a gateway that pings a runner, in milliseconds.
const TELL_MS: u64 = 1_000;

/// Starts gateways that each get a plain request every 100 ms.
fn loaded(gateways: usize) -> Simulation {
    let mut sim = Simulation::new(gateways);
    sim.plain_interval = Some(100);
    sim.run(1_000);
    sim
}

/// Returns the number of requests that all gateways sent to a target since a time.
fn arrivals(sim: &Simulation, target: &str, since: u64) -> usize {
    let count = |index| sim.arrivals_from(index, target, since);
    (0..sim.nodes.len()).map(count).sum()
}

/// Fails if a gateway that the store does not answer, or that is cut off from the other gateways,
/// goes on sending requests, items or scoring requests to a target that said that it leaves.
#[test]
fn a_target_that_says_that_it_leaves_gets_nothing_more() {
    for away in 0..4 {
        let mut sim = loaded(4);
        sim.submit(0, 60);
        for node in &mut sim.nodes[..away] {
            node.fault = StoreFault::Unavailable;
            node.cut = true;
        }
        sim.run(500);

        sim.say_leaving("t0");
        sim.say_leaving("t2");
        sim.run(8_000);

        assert_eq!(sim.leaving.late, [], "{away} gateways away");
        let end = sim.now - DRAIN_MS;
        assert_eq!(arrivals(&sim, "t0", end), 0);
        assert_ne!(arrivals(&sim, "t1", end), 0);
    }
}

/// Fails if an entry that comes later and says that the target is ready, or one that went and came
/// back, counts more than what the target said.
#[test]
fn the_statement_of_a_target_counts_more_than_its_entry() {
    let mut sim = loaded(3);
    sim.say_leaving("t0");
    sim.run(1_000);

    for slots in [7, 9] {
        sim.register("t0", |entry| entry.slots = slots);
        sim.run(1_500);
    }
    sim.set_targets(true, &["v1"]);
    sim.run(3_000);
    sim.set_targets(false, &["v1", "v1", "v1", "v1"]);
    sim.run(3_000);

    assert_eq!(sim.leaving.late, []);
}

/// Fails if a target that started anew under its name gets no requests, or gets them only after a
/// pause as after a failure.
#[test]
fn a_target_that_started_anew_serves_again() {
    let mut sim = loaded(3);
    sim.say_leaving("t0");
    sim.run(3_000);

    let started_at = sim.wall_time();
    sim.register("t0", |entry| entry.started_at = started_at);
    let since = sim.now;
    sim.run(2_000);

    assert_ne!(arrivals(&sim, "t0", since), 0);
}

/// Fails if each gateway has to find out by a request of its own that a target is leaving, although
/// the runner of a job knows.
#[test]
fn gateways_tell_each_other_of_leaving_targets() {
    let mut sim = Simulation::new(4);
    for target in ["t0", "t1", "t2"] {
        sim.say_leaving(target);
    }
    sim.generation_ms = 8_000;
    sim.submit(0, 60);
    sim.run(500 + TELL_MS);

    let since = sim.now;
    sim.plain_interval = Some(100);
    sim.run(3_000);

    let runner = (0..4).find(|index| sim.runs_jobs(*index)).unwrap();
    for index in (0..4).filter(|index| *index != runner) {
        for target in ["t0", "t1", "t2"] {
            let sent = sim.arrivals_from(index, target, since);
            assert_eq!(sent, 0, "gateway {index} sent to {target}");
        }
        assert_ne!(sim.arrivals_from(index, "t3", since), 0);
    }
}

/// Fails if a runner, and with it the other gateways, does not learn what a gateway that runs no job
/// was told by a target.
#[test]
fn a_runner_learns_of_leaving_targets_from_other_gateways() {
    let mut sim = Simulation::new(3);
    sim.generation_ms = 20_000;
    sim.submit(0, 1);
    sim.run(500);
    let runner = (0..3).find(|index| sim.runs_jobs(*index)).unwrap();
    let told = (runner + 1) % 3;

    let statement = LeaveStatement {
        target: TargetName::from("t0"),
        started_at: 1,
        stated_at: WallTime(sim.wall_time()),
    };
    sim.message(told, Message::LeavingStated(statement));
    sim.run(2 * TELL_MS);
    let since = sim.now;
    sim.plain_interval = Some(100);
    sim.run(3_000);

    assert_eq!(arrivals(&sim, "t0", since), 0);
    assert_ne!(arrivals(&sim, "t1", since), 0);
}

/// Guards against a request to a target that started anew and said that it leaves before its entry named
/// the new run, so that its words seem to be those of the run before.
#[test]
fn the_statement_of_a_run_without_an_entry_counts_for_that_run() {
    let mut sim = loaded(3);
    let started_at = sim.wall_time();
    sim.run(200);
    sim.say_leaving("t0");
    sim.run(3_000);

    sim.announce_run("t0", started_at);
    sim.run(8_000);

    assert_eq!(sim.leaving.late, []);
}

/// Guards against a target that gets no requests for good because its clock differs from that of the
/// gateways, so that a statement of its earlier run seems to be one of the new run.
#[test]
fn a_target_whose_clock_is_behind_serves_again_after_a_while() {
    let mut sim = loaded(3);
    sim.say_leaving("t0");
    sim.run(3_000);
    let started_at = sim.wall_time() - 3_500;
    sim.register("t0", |entry| entry.started_at = started_at);
    sim.run(60_000);

    let since = sim.now;
    sim.run(2_000);

    assert_ne!(arrivals(&sim, "t0", since), 0);
}

/// Fails if texts that run at a target when it says that it leaves are begun again or given up.
#[test]
fn texts_of_a_leaving_target_run_to_their_end() {
    let mut sim = Simulation::new(2);
    sim.generation_ms = 3_000;
    sim.submit(0, 20);
    sim.run(200);

    for target in ["t0", "t1", "t2"] {
        sim.say_leaving(target);
    }
    sim.run(8_000);

    assert_eq!(sim.listed().len(), 20);
    assert!(sim.starts.values().all(|starts| starts.len() == 1));
}
