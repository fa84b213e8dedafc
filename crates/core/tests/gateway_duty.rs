//! Orders and usage reports of the holder of the duty, with kills, freezes and outages.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;

use crate::gateway_support::STEP_MS;
use crate::gateway_support::Simulation;
use crate::gateway_support::StoreFault;
use crate::gateway_support::host;

/// Length of a lease in the simulation, in milliseconds.
const LEASE_MS: u64 = 3_000;

/// Creates gateways on a platform that does not check fencing tokens.
fn unfenced(gateways: usize) -> Simulation {
    let mut sim = Simulation::new(gateways);
    sim.fence_checked = false;
    for index in 0..gateways {
        sim.kill(index);
        sim.start(index);
    }
    sim.run(1_000);
    sim
}

/// Announces a version of the model at all gateways.
fn name_version(sim: &mut Simulation, version: u64) {
    let named = WatchedObject::Version(ModelName::from("m"), WeightVersion(version));
    for index in 0..sim.nodes.len() {
        sim.message(index, Message::Changed(named.clone()));
    }
}

/// Fails if a token is lower than an earlier one or used by two hosts, or if a host acts again
/// within the length of a lease after it acted and another one did.
fn assert_one_holder(calls: &[(usize, u64, u64)]) {
    for pair in calls.windows(2) {
        let ((first, token, _), (second, next, _)) = (pair[0], pair[1]);
        assert!(token <= next, "a lower token after a higher one: {pair:?}");
        assert!(
            token < next || first == second,
            "one token, two hosts: {pair:?}"
        );
    }
    for (place, (host, _, at)) in calls.iter().enumerate() {
        let recent = calls[..place].iter().rev();
        let recent = recent.take_while(|(_, _, before)| at - before < LEASE_MS);
        let mut others = false;
        for (before, _, _) in recent {
            others |= before != host;
            assert!(
                !others || before != host,
                "host {host} acted again at {at} after another one: {calls:?}"
            );
        }
    }
}

/// Time in milliseconds after which a gateway that drains is gone.
const DRAIN_MS: u64 = 100;

/// Stops each holder of the duty some time after its first order, with or without a drain, and
/// restarts it later.
fn stop_holders(sim: &mut Simulation, drain: bool, tenure: u64, outage: u64) {
    let mut stops: Vec<(u64, usize)> = Vec::new();
    let mut kills: Vec<(u64, usize)> = Vec::new();
    let mut starts: Vec<(u64, usize)> = Vec::new();
    let mut newest = 0;
    for step in 0..1_000 {
        if step % 5 == 0 {
            name_version(sim, 2 + step / 5);
        }
        sim.run(STEP_MS);
        if let Some((holder, token, _)) = sim.orders.last().copied()
            && token > newest
        {
            newest = token;
            stops.push((sim.now + tenure, holder));
        }
        let now = sim.now;
        for (_, index) in stops.extract_if(.., |(at, _)| *at <= now) {
            if drain {
                sim.message(index, Message::Drain);
            }
            kills.push((now + if drain { DRAIN_MS } else { 0 }, index));
        }
        for (_, index) in kills.extract_if(.., |(at, _)| *at <= now) {
            sim.kill(index);
            starts.push((now + outage, index));
        }
        for (_, index) in starts.extract_if(.., |(at, _)| *at <= now) {
            sim.start(index);
        }
    }
}

/// Fails if a host acts, is restarted, and acts again shortly after another host that acted
/// meanwhile and was restarted too, where nothing checks fencing tokens.
#[test]
fn restarted_holders_do_not_take_turns() {
    for drain in [false, true] {
        for tenure in [20, 200, 1_000, 1_600] {
            for outage in [100, 300, 700, 1_100, 2_000] {
                let mut sim = unfenced(3);

                stop_holders(&mut sim, drain, tenure, outage);

                assert!(sim.orders.len() > 3, "{tenure} ms held, {outage} ms down");
                assert_one_holder(&sim.orders);
            }
        }
    }
}

/// Fails if a holder that was frozen at any moment, for less or more than its lease, sends an order
/// or a report that another holder may have overtaken.
#[test]
fn a_holder_that_was_frozen_at_any_step_does_not_act_after_another_one() {
    for offset in (0..1_400).step_by(60) {
        for frozen in [1_000, 2_500, 4_500] {
            let mut sim = unfenced(3);
            name_version(&mut sim, 2);
            sim.run(6_000 + offset);
            let Some((holder, ..)) = sim.orders.last().copied() else {
                panic!("no order");
            };
            name_version(&mut sim, 3);
            sim.run(2 * STEP_MS);
            sim.nodes[holder].frozen = true;
            sim.run(frozen);
            sim.nodes[holder].frozen = false;
            for version in 4..30 {
                name_version(&mut sim, version);
                sim.run(200);
            }

            assert_one_holder(&sim.orders);
            assert_one_holder(&sim.report_times);
        }
    }
}

/// Fails if a holder that is cut off from the store between its renewal and its call acts after
/// another one.
#[test]
fn a_holder_that_lost_the_store_does_not_act_after_another_one() {
    for offset in (0..1_400).step_by(100) {
        let mut sim = unfenced(3);
        name_version(&mut sim, 2);
        sim.run(6_000 + offset);
        let (holder, ..) = *sim.orders.last().unwrap();
        sim.nodes[holder].fault = StoreFault::Unavailable;
        for version in 3..40 {
            name_version(&mut sim, version);
            sim.run(200);
            if version == 30 {
                sim.nodes[holder].fault = StoreFault::None;
            }
        }

        assert_one_holder(&sim.orders);
        assert_one_holder(&sim.report_times);
    }
}

/// Fails if a window is reported with different counts, or by two gateways with one fencing token.
#[test]
fn a_window_is_reported_once() {
    let mut sim = Simulation::new(3);
    sim.run(12_000);
    let holder = sim.orders.last().map_or(0, |o| o.0);
    sim.kill(holder);
    sim.run(20_000);

    assert!(sim.reports.len() >= 4, "{:?}", sim.reports);
    for reports in sim.reports.values() {
        assert!(reports.iter().all(|r| r.2 == reports[0].2));
        let token = |r: &(usize, u64, _)| (r.0, r.1);
        assert!(
            reports
                .iter()
                .all(|a| reports.iter().all(|b| a.1 != b.1 || token(a) == token(b)))
        );
    }
}

/// Fails if two gateways send orders with one fencing token, or if a token is lower than an earlier
/// one.
#[test]
fn orders_come_from_one_holder_at_a_time() {
    let mut sim = Simulation::new(3);
    for version in 2..12 {
        let named = WatchedObject::Version(ModelName::from("m"), WeightVersion(version));
        for node in 0..3 {
            sim.message(node, Message::Changed(named.clone()));
        }
        sim.run(1_500);
        if version == 5
            && let Some((holder, ..)) = sim.orders.last().copied()
        {
            sim.nodes[holder].frozen = true;
        }
        if version == 9 {
            for node in &mut sim.nodes {
                node.frozen = false;
            }
        }
    }

    assert!(sim.orders.len() > 3);
    for pair in sim.orders.windows(2) {
        assert!(
            pair[0].1 <= pair[1].1,
            "a lower token after a higher one: {pair:?}"
        );
        assert!(
            pair[0].1 < pair[1].1 || pair[0].0 == pair[1].0,
            "one token, two holders"
        );
    }
}

/// Length of a usage window, and time after its end until its report is due, in milliseconds.
const WINDOW_MS: u64 = 5_000;
const REPORT_MS: u64 = 10_000;

/// Fails if the report of a window is missed after an outage that leaves less time than the collection
/// of counts may take, while a process does not answer, or if it is sent twice with other figures.
#[test]
fn a_window_is_reported_in_the_time_that_an_outage_leaves() {
    for left in [2_400, 3_000, 4_000] {
        let mut sim = Simulation::new(3);
        sim.run(2 * WINDOW_MS - 200 - sim.now % WINDOW_MS);
        let end = sim.wall_time().next_multiple_of(WINDOW_MS);
        let window = end / WINDOW_MS - 1;
        let silent = (0..3).find(|index| sim.report_times.iter().all(|(host, ..)| host != index));

        for node in &mut sim.nodes {
            node.fault = StoreFault::Unavailable;
        }
        sim.nodes[silent.unwrap()].frozen = true;
        sim.run(end + REPORT_MS - left - sim.wall_time());
        for index in 0..3 {
            sim.nodes[index].fault = StoreFault::None;
            sim.relist(index);
        }
        sim.run(left);

        let reports = sim.reports.get(&window);
        let reports = reports.unwrap_or_else(|| panic!("not reported, {left} ms left"));
        assert!(reports.iter().all(|(_, _, counts)| *counts == reports[0].2));
    }
}

/// Fails if a process that is gone, but whose entry is left, delays the sums of each window. They are then
/// not stored before an outage that begins two seconds after the end of the window.
#[test]
fn a_process_that_is_gone_delays_one_window_only() {
    let mut sim = Simulation::new(3);
    sim.run(WINDOW_MS - sim.now % WINDOW_MS);
    let idle = (0..3).find(|index| sim.report_times.iter().all(|(host, ..)| host != index));
    sim.kill(idle.unwrap());

    sim.run(3 * WINDOW_MS);
    let end = sim.wall_time() / WINDOW_MS * WINDOW_MS;
    sim.run(end + 2_700 - sim.wall_time());

    assert!(sim.reports.contains_key(&(end / WINDOW_MS - 1)));
}

/// Fails if the last holder waits for the end of its own lease after an outage.
#[test]
fn the_last_holder_acts_soon_after_an_outage() {
    let mut sim = Simulation::new(3);
    sim.run(WINDOW_MS);
    for node in &mut sim.nodes {
        node.fault = StoreFault::Unavailable;
    }
    sim.run(LEASE_MS + 2_000);
    for index in 0..3 {
        sim.nodes[index].fault = StoreFault::None;
        sim.relist(index);
    }

    name_version(&mut sim, 2);
    sim.run(1_000);

    assert!(!sim.orders.is_empty());
    assert_one_holder(&sim.orders);
}

/// Time in milliseconds that an order takes on a path that loses packets.
const SLOW_ORDER_MS: u64 = 1_000;

/// Guards against an order or a report of a stopped holder that arrives after the next holder has acted, since
/// the lease was released while it was on its way.
#[test]
fn a_stopped_holder_lets_go_only_when_its_calls_have_ended() {
    for after in (0..1_000).step_by(100) {
        let mut sim = unfenced(3);
        name_version(&mut sim, 2);
        sim.run(3 * LEASE_MS);
        let (holder, _, _) = *sim.orders.last().unwrap();
        sim.nodes[holder].duty_delay = SLOW_ORDER_MS;
        name_version(&mut sim, 3);
        sim.run(after + STEP_MS);

        sim.message(holder, Message::Drain);
        sim.run(3 * LEASE_MS);

        let (last, _, _) = *sim.orders.last().unwrap();
        assert_ne!(last, holder, "stopped after {after} ms");
        assert_one_holder(&sim.orders);
        assert_one_holder(&sim.report_times);
    }
}

/// Guards against a lease that runs to its end after its holder has ended without releasing it, because the
/// holder had removed its entry before its next run wrote one.
#[test]
fn a_new_run_ends_the_lease_of_the_one_before_also_if_the_entry_was_removed() {
    let mut sim = Simulation::new(3);
    name_version(&mut sim, 2);
    sim.run(2 * LEASE_MS);
    let (holder, token, _) = *sim.orders.last().unwrap();
    sim.kill(holder);
    sim.remove(Kind::Peers, host(holder).as_str());
    sim.run(200);
    sim.start(holder);
    let start = sim.now;
    name_version(&mut sim, 3);

    sim.run(LEASE_MS);

    let next = sim.orders.iter().find(|(_, next, _)| *next > token);
    let (_, _, at) = *next.expect("nobody holds the duty");
    assert!(at < start + LEASE_MS / 2, "after {} ms", at - start);
}
