//! Request limits of targets over all gateways, in virtual time, with faults.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use gateway_support::Simulation;
use gateway_support::StoreFault;
use sardinepath_core::decision::gateway::stored::Kind;
use sardinepath_core::domain::name::TargetName;

/// Window in which the requests at a target are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Time after the first statement of a limit from which on it must hold, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Number of requests above one and a half times the limit that a target accepts in a window.
const BURST: f64 = 5.0;

/// Starts gateways that each get a plain request every 100 ms.
fn loaded(gateways: usize) -> Simulation {
    let mut sim = Simulation::new(gateways);
    sim.plain_interval = Some(100);
    sim.run(1_000);
    sim
}

fn limit(sim: &mut Simulation, limits: &[(&str, f64)]) {
    sim.limits = limits
        .iter()
        .map(|(name, limit)| (TargetName::from(*name), *limit))
        .collect();
}

/// Fails if a target got more than one and a half times its limit in a window after a time.
fn assert_limits_hold(sim: &Simulation, since: u64) {
    for (target, limit) in &sim.limits {
        let allowed = 1.5 * limit * 4.0 + BURST;
        let most = sim.most_arrivals(target.as_str(), since, WINDOW_MS);
        let most = f64::from(u32::try_from(most).unwrap());
        assert!(
            most <= allowed,
            "{target} got {most} requests in a window, allowed are {allowed}"
        );
    }
}

/// Fails if a target that names a limit for all gateways together gets more than that from them.
#[test]
fn a_stated_limit_holds_over_all_gateways() {
    let mut sim = loaded(4);
    sim.submit(0, 40);

    limit(&mut sim, &[("t0", 1.6), ("t1", 4.9), ("t2", 0.5)]);
    let since = sim.now + CONTACT_MS;
    sim.run(12_000);

    assert_limits_hold(&sim, since);
}

/// Fails if the limits of all targets at the same time stop the requests, or are exceeded.
#[test]
fn limits_of_all_targets_are_used_but_not_exceeded() {
    let mut sim = loaded(6);

    let limits = [("t0", 1.6), ("t1", 4.9), ("t2", 0.5), ("t3", 3.0)];
    limit(&mut sim, &limits);
    let since = sim.now + CONTACT_MS;
    sim.run(20_000);

    assert_limits_hold(&sim, since);
    for (target, limit) in limits {
        let used = sim.most_arrivals(target, since, 10_000);
        let used = f64::from(u32::try_from(used).unwrap());
        assert!(
            used >= limit * 10.0 * 0.5,
            "{target} got only {used} in 10 s"
        );
    }
}

/// Fails if a gateway that has just started, alone or with all others, sends requests as if no
/// limit were known.
#[test]
fn gateways_that_start_keep_to_the_known_limits() {
    let mut sim = loaded(6);
    let limits = [("t0", 1.6), ("t1", 4.9), ("t2", 0.5), ("t3", 3.0)];
    limit(&mut sim, &limits);
    let since = sim.now + CONTACT_MS;
    sim.run(6_000);

    for round in 0..4 {
        for index in 0..6 {
            if round % 2 == 0 || index == round {
                sim.kill(index);
            }
        }
        sim.run(400);
        for index in 0..6 {
            if round % 2 == 0 || index == round {
                sim.start(index);
            }
        }
        sim.run(2_500);
    }

    assert_limits_hold(&sim, since);
}

/// Fails if gateways that do not reach each other, are frozen or do not reach the store add to the
/// requests that the others send.
#[test]
fn limits_hold_while_gateways_are_cut_off_or_frozen() {
    for cut in 0..6 {
        let mut sim = loaded(6);
        let limits = [("t0", 1.6), ("t1", 4.9), ("t2", 0.5), ("t3", 3.0)];
        limit(&mut sim, &limits);
        let since = sim.now + CONTACT_MS;
        sim.run(4_000);

        for index in 0..6 {
            sim.nodes[index].cut = index <= cut;
        }
        sim.nodes[cut].fault = StoreFault::Unavailable;
        sim.run(6_000);
        sim.nodes[(cut + 1) % 6].frozen = true;
        sim.run(3_000);
        for node in &mut sim.nodes {
            (node.cut, node.frozen, node.fault) = (false, false, StoreFault::None);
        }
        sim.run(6_000);

        assert_limits_hold(&sim, since);
    }
}

/// Fails if a limit is kept after the target no longer states it, or a changed one is not followed.
#[test]
fn limits_that_change_or_end_are_followed() {
    let mut sim = loaded(4);
    let all = |limit: f64| [("t0", limit), ("t1", limit), ("t2", limit), ("t3", limit)];
    limit(&mut sim, &all(1.0));
    sim.run(6_000);

    limit(&mut sim, &all(6.0));
    sim.run(4_000);
    let risen = sim.most_arrivals("t0", sim.now - 2_000, 2_000);
    limit(&mut sim, &all(0.5));
    sim.run(2_000);
    let fallen_at = sim.now;
    sim.run(6_000);
    assert_limits_hold(&sim, fallen_at);
    sim.limits.clear();
    sim.run(6_000);
    let lifted: usize = (0..4)
        .map(|i| sim.most_arrivals(&format!("t{i}"), sim.now - 1_000, 1_000))
        .sum();

    assert!(
        risen >= 6,
        "t0 got {risen} requests in 2 s after its limit rose to 6 a second"
    );
    assert!(
        lifted >= 36,
        "{lifted} of 40 requests a second are sent after the limits ended"
    );
}

/// Fails if a target that states a limit of zero is never asked again whether it still does.
#[test]
fn a_limit_of_zero_ends_when_the_target_lifts_it() {
    let mut sim = loaded(2);
    limit(&mut sim, &[("t0", 0.0)]);
    sim.run(4_000);
    let since = sim.now;
    sim.run(4_000);
    assert_limits_hold(&sim, since);

    sim.limits.clear();
    sim.run(25_000);

    let lifted = sim.most_arrivals("t0", sim.now - 2_000, 2_000);
    assert!(
        lifted >= 4,
        "t0 got {lifted} requests in 2 s after its limit of zero ended"
    );
}

/// Fails if the items of a job, which can wait, take all permits, so that callers are refused.
#[test]
fn waiting_items_leave_permits_to_callers() {
    for gateways in [1, 3] {
        let mut sim = Simulation::new(gateways);
        let limits = [("t0", 2.0), ("t1", 2.0), ("t2", 2.0), ("t3", 2.0)];
        limit(&mut sim, &limits);
        sim.submit(0, 200);
        sim.run(4_000);

        sim.plain_interval = Some(1_000);
        sim.run(20_000);

        let (served, refused) = (sim.plain_served, sim.plain_refused);
        assert!(
            refused * 10 <= served,
            "{served} served and {refused} refused by {gateways} gateways"
        );
    }
}

/// Guards against a stored limit that is removed by the deletion of an earlier one, which had no answer and
/// takes effect late. Gateways that start would not know the limit.
#[test]
fn a_late_deletion_spares_a_new_limit() {
    let mut sim = loaded(3);
    limit(&mut sim, &[("t0", 4.9)]);
    sim.run(3_000);
    for node in &mut sim.nodes {
        node.fault = StoreFault::Delayed;
    }
    limit(&mut sim, &[]);
    sim.run(1_200);
    for node in &mut sim.nodes {
        node.fault = StoreFault::None;
    }
    sim.run(400);
    limit(&mut sim, &[("t0", 4.9)]);
    sim.run(1_400);
    let stored = sim.holds(Kind::Limits, "t0");

    sim.run(2_000);

    assert!(stored, "the new limit was not stored in time");
    assert!(sim.holds(Kind::Limits, "t0"));
}
