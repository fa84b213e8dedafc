//! Batch jobs at gateways that do not know the route, and routes that change while jobs run.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::sync::Arc;
use std::time::Duration;

use sardinepath_core::decision::gateway::message::Message;
use sardinepath_core::decision::gateway::stored::WatchedObject;
use sardinepath_core::domain::batch::Outcome;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::table::BatchSettings;
use sardinepath_core::domain::table::Route;
use sardinepath_core::domain::table::RouteKind;
use sardinepath_core::domain::table::RouteTable;

use crate::gateway_support::STEP_MS;
use crate::gateway_support::Simulation;
use crate::gateway_support::route;
use crate::gateway_support::score_route;
use crate::gateway_support::table;

/// Time in which a job is taken over and loaded, in milliseconds.
const TAKEOVER_MS: u64 = 6_000;

/// Time in which any job of these tests completes, in milliseconds.
const COMPLETION_MS: u64 = 10_000;

/// Number of items of each job.
const ITEMS: usize = 8;

/// Returns a version of the configuration with these routes.
fn table_with(version: u64, routes: Vec<Arc<Route>>) -> Arc<RouteTable> {
    let mut table = RouteTable {
        version,
        ..(*table()).clone()
    };
    table.hosts.insert(Arc::from("dreams.example"), routes);
    Arc::new(table)
}

/// Returns the route of the jobs with another number of attempts.
fn route_with_attempts(attempts: u32) -> Arc<Route> {
    Arc::new(Route {
        attempts: Some(attempts),
        ..(*route()).clone()
    })
}

/// Returns the route of the jobs with other settings for them.
fn route_with_settings(settings: BatchSettings) -> Arc<Route> {
    Arc::new(Route {
        kind: RouteKind::Batch(settings),
        ..(*route()).clone()
    })
}

/// Starts a gateway with a job, and restarts it without a configuration.
fn restarted_without_table() -> Simulation {
    let mut sim = Simulation::new(1);
    sim.submit(0, ITEMS);
    sim.run(200);
    sim.kill(0);
    sim.nodes[0].table = None;
    sim.start(0);
    sim
}

/// Returns the number of generations that have started.
fn starts(sim: &Simulation) -> usize {
    sim.starts.values().map(Vec::len).sum()
}

/// Advances the time until so many generations have started.
fn run_until_started(sim: &mut Simulation, count: usize) {
    while starts(sim) < count {
        sim.run(STEP_MS);
    }
}

fn complete(outcomes: &[Arc<Outcome>]) -> usize {
    outcomes.iter().filter(|outcome| outcome.complete).count()
}

/// Guards against items that a runner gives up after one failure because it started before it knew
/// how many attempts the route allows.
#[test]
fn no_item_is_given_up_by_a_runner_that_started_without_the_route() {
    let mut sim = restarted_without_table();
    sim.run(TAKEOVER_MS);
    sim.failing = true;
    sim.configure(0, table());
    let before = starts(&sim);
    run_until_started(&mut sim, before + ITEMS);
    sim.failing = false;
    sim.run(COMPLETION_MS);

    let outcomes = sim.read_all(0);

    assert_eq!((outcomes.len(), complete(&outcomes)), (ITEMS, ITEMS));
}

/// Guards against a deadline that a runner makes up for a job whose route it does not know.
#[test]
fn no_item_is_given_up_by_time_while_the_route_is_unknown() {
    let mut sim = restarted_without_table();
    sim.run(60_000);
    sim.configure(0, table());
    sim.run(COMPLETION_MS);

    let outcomes = sim.read_all(0);

    assert_eq!((outcomes.len(), complete(&outcomes)), (ITEMS, ITEMS));
}

/// Guards against a job that a process without the route takes from those that could run it.
#[test]
fn a_job_is_taken_over_only_where_its_route_is_known() {
    let mut sim = Simulation::new(2);
    sim.nodes[1].table = None;
    sim.kill(1);
    sim.start(1);
    sim.run(200);
    sim.submit(0, ITEMS);
    sim.run(200);
    sim.kill(0);
    sim.run(TAKEOVER_MS);
    let idle = sim.runs_jobs(1);
    sim.start(0);
    sim.run(TAKEOVER_MS);

    let outcomes = sim.read_all(0);

    assert!(!idle, "a process without the route runs the job");
    assert_eq!((outcomes.len(), complete(&outcomes)), (ITEMS, ITEMS));
}

/// Guards against a job that is accepted, loses its route before it runs, and is never run or is run
/// without limits.
#[test]
fn a_loaded_job_waits_for_its_route() {
    let mut sim = Simulation::new(1);
    sim.configure(0, table_with(2, vec![score_route()]));
    sim.run(200);
    sim.submit(0, ITEMS);
    sim.run(60_000);
    let early = sim.starts.len();
    let listed = sim.listed().len();
    sim.configure(0, table_with(3, vec![route(), score_route()]));
    sim.run(COMPLETION_MS);

    let outcomes = sim.read_all(0);

    assert_eq!((early, listed), (0, 0));
    assert_eq!((outcomes.len(), complete(&outcomes)), (ITEMS, ITEMS));
}

/// Guards against a runner that goes by the number of attempts of an old configuration.
#[test]
fn a_changed_number_of_attempts_holds_for_running_jobs() {
    for (before, after) in [(3, 5), (5, 3)] {
        let mut sim = Simulation::new(1);
        let routes = vec![route_with_attempts(before), score_route()];
        sim.configure(0, table_with(2, routes));
        sim.run(200);
        sim.failing = true;
        sim.submit(0, ITEMS);
        run_until_started(&mut sim, ITEMS);
        let routes = vec![route_with_attempts(after), score_route()];
        sim.configure(0, table_with(3, routes));
        sim.run(COMPLETION_MS);

        let outcomes = sim.read_all(0);

        let attempts: Vec<usize> = sim.starts.values().map(Vec::len).collect();
        assert_eq!(attempts, vec![usize::try_from(after).unwrap(); ITEMS]);
        assert_eq!((outcomes.len(), complete(&outcomes)), (ITEMS, 0));
    }
}

/// Guards against items that are given up by a retention time that no longer holds, or never.
#[test]
fn a_changed_retention_time_holds_for_running_jobs() {
    let mut sim = Simulation::new(1);
    sim.failing = true;
    let settings = |seconds| BatchSettings {
        retention: Some(Duration::from_secs(seconds)),
        single: false,
    };
    let endless = |seconds| Route {
        attempts: Some(u32::MAX),
        ..(*route_with_settings(settings(seconds))).clone()
    };
    let configured =
        |version, seconds| table_with(version, vec![Arc::new(endless(seconds)), score_route()]);
    sim.configure(0, configured(2, 5));
    sim.run(200);
    sim.submit(0, ITEMS);
    sim.run(200);
    sim.configure(0, configured(3, 20));

    sim.run(10_000);
    let early = sim.listed().len();
    sim.run(15_000);
    let outcomes = sim.read_all(0);

    assert_eq!(early, 0);
    assert_eq!((outcomes.len(), complete(&outcomes)), (ITEMS, 0));
}

/// Guards against a job without limits: a route that names no retention time and no number of
/// attempts sets none.
#[test]
fn a_route_without_limits_gives_no_item_up() {
    let mut sim = Simulation::new(1);
    let unlimited = Route {
        attempts: None,
        ..(*route_with_settings(BatchSettings {
            retention: None,
            single: false,
        }))
        .clone()
    };
    sim.configure(0, table_with(2, vec![Arc::new(unlimited), score_route()]));
    sim.run(200);
    sim.failing = true;
    sim.submit(0, ITEMS);
    sim.run(60_000);
    let early = sim.listed().len();
    sim.failing = false;
    sim.run(COMPLETION_MS);

    let outcomes = sim.read_all(0);

    assert_eq!(early, 0);
    assert_eq!((outcomes.len(), complete(&outcomes)), (ITEMS, ITEMS));
}

/// Guards against weights that are loaded on a target while it generates texts of one version, because
/// the configuration that says so is not known yet.
#[test]
fn no_weights_are_ordered_before_the_configuration_is_known() {
    let mut sim = Simulation::new(1);
    sim.kill(0);
    sim.nodes[0].table = None;
    sim.start(0);
    let version = WatchedObject::Version(ModelName::from("m"), WeightVersion(2));
    sim.message(0, Message::Changed(version));
    sim.run(TAKEOVER_MS);
    let early = sim.orders.len();
    sim.configure(0, table());
    sim.run(TAKEOVER_MS);

    let orders = sim.orders.len();

    assert_eq!(early, 0);
    assert!(orders > 0);
}

/// Guards against items that are given up after failures of scoring requests whose route is unknown.
#[test]
fn no_item_is_given_up_while_the_route_of_its_scorer_is_unknown() {
    let mut sim = Simulation::new(1);
    let lenient = Arc::new(Route {
        attempts: Some(100),
        ..(*score_route()).clone()
    });
    sim.configure(0, table_with(2, vec![route(), lenient.clone()]));
    sim.failing_scores = true;
    sim.run(200);
    sim.submit(0, ITEMS);
    sim.run(5_000);
    sim.configure(0, table_with(3, vec![route()]));
    sim.run(20_000);
    let early = sim.listed().len();
    sim.failing_scores = false;
    sim.configure(0, table_with(4, vec![route(), lenient]));
    sim.run(COMPLETION_MS);

    let outcomes = sim.read_all(0);

    assert_eq!(early, 0);
    assert_eq!((outcomes.len(), complete(&outcomes)), (ITEMS, ITEMS));
}
