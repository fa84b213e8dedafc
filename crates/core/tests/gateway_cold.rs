//! Requests to cold targets over all gateways, in virtual time, with faults.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::sync::Arc;
use std::time::Duration;

use gateway_support::Simulation;
use gateway_support::StoreFault;
use gateway_support::submission;
use gateway_support::table;
use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::SubmitRequest;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::domain::cold::ColdRate;
use sardinepath_core::domain::cold::PoolSettings;
use sardinepath_core::domain::fleet::UNREADABLE_COLD_TIME;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::table::RouteTable;

/// Window in which the requests at a target are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Rate that a cold target tolerates, in requests a second.
const COLD_RATE: f64 = 11.0;

/// Largest number of requests that a target may get in a window: the rate with an overage of a half
/// and a slack of five.
const BOUND: usize = 21;

/// Time in milliseconds within which all gateways in touch know the entry of a target, with the time
/// for which a request that was sent before counts.
const KNOWN_MS: u64 = 1_700;

const TARGETS: [&str; 4] = ["t0", "t1", "t2", "t3"];

/// Returns a configuration in which cold targets tolerate a rate.
fn cold_table() -> Arc<RouteTable> {
    let settings = PoolSettings {
        cold_time: Duration::from_secs(3),
        cold_rate: ColdRate::new(COLD_RATE),
    };
    let mut table = (*table()).clone();
    table.version = 2;
    table.pools.insert(PoolName::from("engines"), settings);
    Arc::new(table)
}

/// Starts gateways, each of which gets a plain request every 200 ms.
fn loaded(gateways: usize) -> Simulation {
    let mut sim = Simulation::new(gateways);
    for node in &mut sim.nodes {
        node.table = Some(cold_table());
    }
    for index in 0..gateways {
        sim.configure(index, cold_table());
    }
    sim.run(500);
    sim.plain_interval = Some(200);
    sim
}

/// Submits a batch job to a gateway, which runs it.
fn submit(sim: &mut Simulation, gateway: usize, items: usize) {
    let name = format!("b{gateway}-{}", sim.now);
    let request = SubmitRequest {
        id: BatchId::from(name),
        ..submission(items)
    };
    sim.ask(gateway, Question::Submit(request));
}

/// Restarts all targets, which are cold for some time according to their entries.
fn return_cold(sim: &mut Simulation, cold: Duration) {
    let started_at = sim.wall_time();
    for target in TARGETS {
        sim.register(target, |entry| {
            entry.started_at = started_at;
            entry.cold = cold;
        });
    }
}

/// Fails if a target got more than `most` requests in any window after a time. A target may become
/// cold at any moment, so the bound holds at all times.
fn assert_bound(sim: &Simulation, since: u64, most: usize) {
    for target in TARGETS {
        let got = sim.most_arrivals(target, since, WINDOW_MS);
        assert!(
            got <= most,
            "{target} got {got} requests in a window, allowed are {most}"
        );
    }
}

/// Fails if the gateways together send a target more than it tolerates while it turns cold, however
/// many of them run jobs.
#[test]
fn the_bound_holds_over_all_gateways() {
    let crowds = [(1, 1), (2, 2), (5, 4), (9, 1), (13, 7), (26, 4)];
    for (gateways, runners) in crowds {
        let mut sim = loaded(gateways);
        let since = sim.now;

        for gateway in 0..runners {
            submit(&mut sim, gateway, 80);
        }
        sim.run(4_000);

        assert_bound(&sim, since, BOUND);
    }
}

/// Fails if jobs that start one after the other take shares that the gateways before them still use.
#[test]
fn the_bound_holds_while_runners_join() {
    for delay in [20, 100, 300, 900] {
        let mut sim = loaded(12);
        let since = sim.now;

        for gateway in 0..8 {
            sim.nodes[gateway].watch_lag = delay;
            submit(&mut sim, gateway, 80);
            sim.run(delay);
        }
        sim.run(4_000);

        assert_bound(&sim, since, BOUND);
    }
}

/// Fails if targets that all come back cold at once get more than a cold target tolerates once their
/// entries are known.
#[test]
fn targets_that_return_cold_get_the_lower_rate() {
    let mut sim = loaded(8);
    for gateway in 0..4 {
        submit(&mut sim, gateway, 80);
    }
    sim.run(2_000);

    return_cold(&mut sim, Duration::from_secs(3));
    let known = sim.now + KNOWN_MS;
    sim.run(2_900);

    assert_bound(&sim, known, 11);
}

/// Fails if a cold time that cannot be read counts as none.
#[test]
fn an_unreadable_cold_time_counts_as_the_longest_one() {
    let mut sim = loaded(8);
    for gateway in 0..4 {
        submit(&mut sim, gateway, 80);
    }
    sim.run(2_000);

    return_cold(&mut sim, UNREADABLE_COLD_TIME);
    let known = sim.now + KNOWN_MS;
    sim.run(3_000 - 100);
    let during = sim.now;

    assert_bound(&sim, known, 11);
    sim.run(5_000);
    let after: usize = TARGETS
        .iter()
        .map(|target| sim.most_arrivals(target, during + 1_000, WINDOW_MS))
        .sum();
    assert!(after > 44, "the targets stay cold for ever: {after}");
}

/// Cuts gateways off, restarts one without a memory of what it sent, and fails if they add to the
/// requests of the others. The watches of those that are cut off say so if they are `reported`.
fn cut_off_and_restart(reported: bool) {
    for seed in 0..6 {
        let mut sim = loaded(9);
        let since = sim.now;
        for gateway in 0..3 {
            submit(&mut sim, (gateway + seed) % 9, 80);
        }
        sim.run(500);

        for gateway in 0..3 {
            let index = (2 * gateway + seed) % 9;
            sim.nodes[index].cut = true;
            sim.nodes[index].fault = StoreFault::Unavailable;
            if reported {
                sim.message(index, Message::WatchContact(Kind::Targets, false));
            }
        }
        sim.run(1_500);
        sim.kill(seed);
        sim.run(300);
        sim.start(seed);
        return_cold(&mut sim, Duration::from_secs(3));
        sim.run(2_000);
        for index in 0..9 {
            sim.nodes[index].cut = false;
            sim.nodes[index].fault = StoreFault::None;
            if reported {
                sim.message(index, Message::WatchContact(Kind::Targets, true));
            }
        }
        sim.run(4_000);

        assert_bound(&sim, since, BOUND);
    }
}

/// Fails if gateways that are cut off while their watches stay silent, or that restart, add to the
/// requests of the others.
#[test]
fn the_bound_holds_while_gateways_are_cut_off_and_restart() {
    cut_off_and_restart(false);
}

/// Fails if gateways whose watches report that they are cut off, or that restart, add to the requests
/// of the others.
#[test]
fn the_bound_holds_while_gateways_know_that_they_are_cut_off() {
    cut_off_and_restart(true);
}

/// Fails if the bound keeps a job from its targets although they could serve it.
#[test]
fn a_job_ends_under_the_bound() {
    let mut sim = loaded(8);
    sim.plain_interval = None;

    let call = sim.submit(0, 64);
    sim.run(20_000);

    assert!(sim.reply(0, call).is_some());
    assert_eq!(sim.listed().len(), 64, "the job has not ended");
}
