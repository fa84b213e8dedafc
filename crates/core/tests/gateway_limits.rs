//! Request limits of targets over all gateways, in virtual time, with faults.
#![allow(clippy::unwrap_used, missing_docs)]

#[allow(dead_code)]
mod gateway_support;

use gateway_support::Simulation;
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
