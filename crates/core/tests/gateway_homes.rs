//! Homes of routes and workspaces, in virtual time: which targets get requests, and which gateways get
//! bodies.
#![allow(clippy::unwrap_used, missing_docs)]

mod gateway_support;

use std::sync::Arc;

use sardinepath_core::decision::gateway::message::Question;
use sardinepath_core::decision::gateway::message::Reply;
use sardinepath_core::domain::name::BatchId;
use sardinepath_core::domain::name::PoolName;
use sardinepath_core::domain::name::RouteName;
use sardinepath_core::domain::place::Closure;
use sardinepath_core::domain::place::Homes;
use sardinepath_core::domain::table::RouteTable;

use crate::gateway_support::AWAY;
use crate::gateway_support::HOME;
use crate::gateway_support::Simulation;
use crate::gateway_support::address;
use crate::gateway_support::route;
use crate::gateway_support::table;
use crate::gateway_support::workspace;

fn homes(regions: &[&str]) -> Homes {
    regions.iter().map(|region| (*region).into()).collect()
}

/// Creates the configuration in which a route has these homes.
fn homed_route(name: &str, regions: &[&str]) -> Arc<RouteTable> {
    let mut table = (*table()).clone();
    table.version += 1;
    for known in table.hosts.values_mut().flatten() {
        if known.name == RouteName::from(name) {
            Arc::make_mut(known).homes = Some(homes(regions));
        }
    }
    Arc::new(table)
}

/// Creates the configuration in which the workspace of the jobs has these homes.
fn homed_workspace(regions: &[&str]) -> Arc<RouteTable> {
    let mut table = (*table()).clone();
    table.version += 1;
    table
        .workspace_homes
        .insert(workspace().unwrap(), homes(regions));
    Arc::new(table)
}

/// Starts gateways in these regions, with targets in both regions, under a configuration.
fn fleet(gateways: &[&str], table: &Arc<RouteTable>) -> Simulation {
    let mut sim = Simulation::with_places(gateways, &["c1", "far"]);
    for index in 0..gateways.len() {
        sim.configure(index, table.clone());
        sim.nodes[index].table = Some(table.clone());
    }
    sim.run(200);
    sim
}

fn ask_target(sim: &mut Simulation, homes: Option<Homes>) -> Reply {
    let question = Question::ChooseTarget {
        pool: PoolName::from("engines"),
        request: None,
        tried: Vec::new(),
        software: None,
        homes,
    };
    let call = sim.ask(0, question);
    sim.run(40);
    sim.reply(0, call).unwrap().clone()
}

/// Asks where a submission goes that arrives at the gateway at `index`.
fn ask_runner(sim: &mut Simulation, index: usize, regions: &[&str]) -> Reply {
    let question = Question::ChooseRunner {
        id: BatchId::from("new"),
        route: route(),
        homes: Some(homes(regions)),
    };
    let call = sim.ask(index, question);
    sim.run(40);
    sim.reply(index, call).unwrap().clone()
}

/// Guards against plain requests that leave their homes, also if their targets are busy.
#[test]
fn a_plain_request_stays_at_home() {
    let mut sim = fleet(&[AWAY], &table());

    let replies: Vec<Reply> = (0..30)
        .map(|_| ask_target(&mut sim, Some(homes(&[HOME]))))
        .collect();

    let at_home = |reply: &Reply| match reply {
        Reply::Target(choice) => ["t0", "t2"].contains(&choice.name.as_str()),
        _ => false,
    };
    assert!(replies.iter().all(at_home), "{replies:?}");
}

/// Guards against requests that no region may serve and that wait, or go anywhere.
#[test]
fn a_request_without_a_home_is_refused_at_once() {
    let mut sim = fleet(&[HOME], &table());

    let replies = [&[][..], &["nowhere"]].map(|names| ask_target(&mut sim, Some(homes(names))));

    assert_eq!(replies, [const { Reply::Closed(Closure::NoHome) }; 2]);
}

/// Guards against requests that leave their homes while these are evacuated.
#[test]
fn an_evacuated_home_is_not_left() {
    let mut sim = fleet(&[HOME], &table());
    sim.evacuate("c1");
    sim.run(100);

    let reply = ask_target(&mut sim, Some(homes(&[HOME])));

    assert_eq!(reply, Reply::Closed(Closure::Evacuated));
}

/// Guards against items and continuations that leave the homes of their route or workspace.
#[test]
fn items_stay_at_home() {
    for table in [homed_route("dreams", &[HOME]), homed_workspace(&[HOME])] {
        let mut sim = fleet(&[HOME, AWAY], &table);
        sim.break_after = Some(5);

        sim.submit(0, 60);
        sim.run(8_000);

        assert_eq!(sim.starts.len(), 60);
        assert!(sim.starts.values().all(|starts| starts.len() >= 2));
        assert_eq!(sim.generated_in("far"), 0);
    }
}

/// Guards against scoring requests that follow the homes of the job instead of their own.
#[test]
fn scoring_requests_follow_the_homes_of_their_own_route() {
    let mut sim = fleet(&[HOME], &homed_route("scores", &[AWAY]));

    sim.submit(0, 24);
    sim.run(6_000);

    assert_eq!(sim.listed().len(), 24);
    assert!(sim.generated_in("c1") > 0);
    assert_eq!(sim.scored_in("c1"), 0);
    assert!(sim.scored_in("far") >= 24);
}

/// Guards against bodies of submissions that are passed on to a gateway outside the homes.
#[test]
fn a_submission_is_passed_on_within_its_homes() {
    for home in 0..4 {
        let mut regions = [AWAY; 4];
        regions[home] = HOME;
        let mut sim = fleet(&regions, &table());

        for index in 0..4 {
            let placed = ask_runner(&mut sim, index, &[HOME]);

            let expected = match index == home {
                true => Reply::Local,
                false => Reply::Forward(address(home)),
            };
            assert_eq!(placed, expected, "from {index} to {home}");
        }
    }
}

/// Guards against a submission that is refused, or passed on, because no gateway lies at home although
/// targets do.
#[test]
fn a_submission_without_a_gateway_at_home_stays_where_it_arrived() {
    let mut sim = fleet(&[AWAY, AWAY], &table());

    let placed = [0, 1].map(|index| ask_runner(&mut sim, index, &[HOME]));

    assert_eq!(placed, [Reply::Local, Reply::Local]);
}

/// Guards against jobs that are accepted although no region may serve them.
#[test]
fn a_submission_without_a_home_is_refused() {
    let mut sim = fleet(&[HOME], &table());

    let placed = [&[][..], &["nowhere"]].map(|names| ask_runner(&mut sim, 0, names));

    assert_eq!(placed, [const { Reply::Closed(Closure::NoHome) }; 2]);
}

/// Guards against a job whose bodies are read by a gateway outside its homes when its runner dies.
#[test]
fn a_job_is_taken_over_within_its_homes() {
    let table = homed_workspace(&[HOME]);
    let mut sim = fleet(&[HOME, AWAY, AWAY, HOME], &table);
    sim.submit(0, 400);
    sim.run(600);
    sim.kill(0);

    sim.run(8_000);

    assert!(!sim.runs_jobs(1) && !sim.runs_jobs(2));
    assert!(sim.runs_jobs(3) || sim.listed().len() == 400);
}

/// Guards against a job that no gateway at home is left for and that is taken over elsewhere, and
/// against one that its own host does not run again.
#[test]
fn a_job_waits_for_its_host_if_no_gateway_is_at_home() {
    let table = homed_workspace(&[HOME]);
    let mut sim = fleet(&[AWAY, AWAY], &table);
    sim.submit(0, 400);
    sim.run(600);
    sim.kill(0);
    sim.run(6_000);
    let elsewhere = sim.runs_jobs(1);

    sim.start(0);
    sim.run(3_000);

    assert!(!elsewhere);
    assert!(sim.runs_jobs(0) || sim.listed().len() == 400);
}

/// Guards against parts of submissions that are relayed through gateways outside their homes.
#[test]
fn parts_of_a_submission_are_relayed_within_its_homes() {
    let mut sim = fleet(&[HOME, AWAY], &homed_workspace(&[HOME]));

    sim.submit(0, 8);
    sim.run(500);

    assert_eq!(sim.places.relayed, [(0, homes(&[HOME]))]);
}

/// Guards against homes that bind in a deployment without them.
#[test]
fn homes_bind_only_with_the_contract() {
    let mut sim = Simulation::new(1);

    let reply = ask_target(&mut sim, Some(homes(&["nowhere"])));
    let placed = ask_runner(&mut sim, 0, &["nowhere"]);

    assert!(matches!(reply, Reply::Target(_)), "{reply:?}");
    assert_eq!(placed, Reply::Local);
}
