//! Fixtures for tests of traffic decisions: configurations, reports and requests.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;

use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::decision::traffic::Action;
use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::domain::declare::Access;
use sardinepath_core::domain::declare::KeySpec;
use sardinepath_core::domain::declare::PoolSpec;
use sardinepath_core::domain::declare::Priority;
use sardinepath_core::domain::declare::RepeatPolicy;
use sardinepath_core::domain::declare::RouteSpec;
use sardinepath_core::domain::declare::Scheme;
use sardinepath_core::domain::declare::TargetKind;
use sardinepath_core::domain::declare::TargetSpec;
use sardinepath_core::domain::declare::TeamTree;
use sardinepath_core::domain::declare::WorkspaceSpec;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::domain::name::PoolId;
use sardinepath_core::domain::name::RouteId;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::target::ServingState;
use sardinepath_core::domain::time::Time;

pub const SECOND: u64 = 1000;

/// Time in milliseconds, longer than any wait in a test.
pub const FAR_FUTURE: u64 = 900 * SECOND;

pub fn workspace(name: &str) -> WorkspaceId {
    WorkspaceId {
        team: "print".into(),
        name: name.into(),
    }
}

pub fn key(name: &str) -> KeyDigest {
    KeyDigest::of(name.as_bytes())
}

pub fn target_spec() -> TargetSpec {
    TargetSpec {
        agent: "127.0.0.1:7000".parse().unwrap(),
        centre: "cx1".into(),
        fences: false,
    }
}

pub fn tree(targets: usize, workspaces: &[(&str, WorkspaceSpec)], withdrawn: bool) -> TeamTree {
    let names = workspaces.iter().map(|(name, _)| *name);
    let pool = PoolSpec {
        kind: TargetKind::Plain,
        model: None,
        targets: (0..targets)
            .map(|n| (format!("t{n}").into(), target_spec()))
            .collect(),
        floor: 0,
    };
    let route = RouteSpec {
        pool: "pool".into(),
        access: Access::Workspaces(names.clone().map(Into::into).collect()),
        repeat: RepeatPolicy::Always,
        deadline: 60,
        body: 1024,
    };
    let keys = names.map(|name| {
        let spec = KeySpec {
            workspace: name.into(),
            digest: key(name),
            withdrawn,
        };
        (name.into(), spec)
    });
    TeamTree {
        scheme: Scheme::Slug,
        keys: keys.collect(),
        workspaces: workspaces
            .iter()
            .map(|(name, spec)| ((*name).into(), spec.clone()))
            .collect(),
        pools: BTreeMap::from([("pool".into(), pool)]),
        routes: BTreeMap::from([("route".into(), route)]),
    }
}

pub fn config(revision: u64, tree: TeamTree) -> Arc<Config> {
    let mut config = Config::default();
    let state = TeamState {
        revision: Revision(revision),
        tree: Some(Arc::new(tree)),
    };
    config.merge("print".into(), state);
    Arc::new(config)
}

pub fn report(target: usize, capacity: u32) -> Report {
    Report {
        incarnation: Incarnation(1),
        target: format!("t{target}").into(),
        version: WeightVersion(1),
        running: 0,
        queued: 0,
        capacity,
        state: ServingState::Serving,
        cached: vec![],
        evicted: vec![],
        cache_gap: false,
    }
}

pub fn ask(name: &str, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        route: RouteId {
            team: "print".into(),
            name: "route".into(),
        },
        pool: PoolId {
            team: "print".into(),
            name: "pool".into(),
        },
        workspace: workspace(name),
        key: Some(key(name)),
        priority: Priority::Interactive,
        prefixes: vec![],
        max_tokens: 1000,
        min_version: WeightVersion(0),
        deadline: Time(deadline),
    }
}

/// Returns the state of an entry with one pool whose targets all report the given capacity.
pub fn traffic(targets: usize, capacity: u32, workspaces: &[(&str, WorkspaceSpec)]) -> Traffic {
    let mut traffic = Traffic::new("cx1".into(), 7);
    traffic.configure(Time(0), config(1, tree(targets, workspaces, false)));
    for target in 0..targets {
        traffic.handle_report(Time(0), report(target, capacity));
    }
    traffic
}

/// Removes and returns all queued actions.
pub fn actions(traffic: &mut Traffic) -> Vec<Action> {
    std::iter::from_fn(|| traffic.next_action()).collect()
}

/// Returns the target that the next action grants to a ticket. Panics on any other action.
pub fn granted_target(traffic: &mut Traffic, ticket: TicketKey) -> String {
    match traffic.next_action() {
        Some(Action::Grant(key, choice, _)) if key == ticket => choice.target.to_string(),
        other => panic!("expected a grant of {ticket:?}, got {other:?}"),
    }
}

/// Submits a request and returns the target that it is granted at once.
pub fn choose_target(traffic: &mut Traffic, now: Time, ask: AdmissionRequest) -> String {
    let ticket = traffic.admit(now, ask);
    granted_target(traffic, ticket)
}

pub fn failed(kind: ErrorKind) -> Outcome {
    Outcome::Failed(Failure::from(kind))
}
