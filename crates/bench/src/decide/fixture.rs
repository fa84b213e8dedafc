//! Traffic states, reports and requests for the measurements of the decision code.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::domain::declare::KeySpec;
use sardinepath_core::domain::declare::PoolSpec;
use sardinepath_core::domain::declare::Priority;
use sardinepath_core::domain::declare::Scheme;
use sardinepath_core::domain::declare::TargetKind;
use sardinepath_core::domain::declare::TargetSpec;
use sardinepath_core::domain::declare::TeamTree;
use sardinepath_core::domain::declare::WorkspaceSpec;
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

/// Number of requests that a target runs concurrently.
pub(super) const TARGET_SLOTS: u32 = 16;

/// Limit that no measurement reaches.
const UNLIMITED: u32 = 1_000_000;

/// Number of prefix hashes of one prompt.
const PREFIX_HASHES: u64 = 16;

/// Returns the traffic state of an entry whose targets each report `running` requests.
pub(super) fn loaded_traffic(targets: usize, workspaces: usize, running: u32) -> Traffic {
    let mut traffic = Traffic::new("dc0".into(), 1);
    traffic.configure(Time(0), config(targets, workspaces, 0));
    for target in 0..targets {
        traffic.handle_report(Time(0), report(target, running));
    }
    traffic
}

/// Returns a configuration with one pool.
pub(super) fn config(targets: usize, workspaces: usize, keys: usize) -> Arc<Config> {
    let target = |n: usize| {
        let spec = TargetSpec {
            agent: SocketAddr::from(([127, 0, 0, 1], 1)),
            centre: format!("dc{}", n % 4).into(),
            fences: true,
        };
        (format!("engine{n}").into(), spec)
    };
    let spec = WorkspaceSpec {
        concurrency: UNLIMITED,
        queue: UNLIMITED,
        ..WorkspaceSpec::default()
    };
    let pool = PoolSpec {
        kind: TargetKind::Model,
        model: Some("small".into()),
        targets: (0..targets).map(target).collect(),
        floor: 0,
    };
    let key = |n: usize| {
        let spec = KeySpec {
            workspace: name(n % workspaces.max(1)).into(),
            digest: KeyDigest::of(&n.to_le_bytes()),
            withdrawn: false,
        };
        (format!("key{n}").into(), spec)
    };
    let tree = TeamTree {
        scheme: Scheme::Slug,
        workspaces: (0..workspaces)
            .map(|n| (name(n).into(), spec.clone()))
            .collect(),
        keys: (0..keys).map(key).collect(),
        pools: BTreeMap::from([("models".into(), pool)]),
        routes: BTreeMap::new(),
    };
    let mut config = Config::default();
    let state = TeamState {
        revision: Revision(1),
        tree: Some(Arc::new(tree)),
    };
    config.merge("team".into(), state);
    Arc::new(config)
}

/// Returns a report of a target with `running` requests.
pub(super) fn report(target: usize, running: u32) -> Report {
    Report {
        incarnation: Incarnation(1),
        target: format!("engine{target}").into(),
        version: WeightVersion(1),
        running,
        queued: 0,
        capacity: TARGET_SLOTS,
        state: ServingState::Serving,
        cached: vec![],
        evicted: vec![],
        cache_gap: false,
    }
}

/// Returns a request of a workspace.
pub(super) fn request(workspace: usize) -> AdmissionRequest {
    AdmissionRequest {
        route: RouteId {
            team: "team".into(),
            name: "models".into(),
        },
        pool: PoolId {
            team: "team".into(),
            name: "models".into(),
        },
        workspace: WorkspaceId {
            team: "team".into(),
            name: name(workspace).into(),
        },
        key: None,
        priority: Priority::Interactive,
        prefixes: (0..PREFIX_HASHES)
            .map(|n| (workspace as u64) << 8 | n)
            .collect(),
        max_tokens: 1000,
        min_version: WeightVersion(0),
        deadline: Time(600_000),
    }
}

fn name(workspace: usize) -> String {
    format!("workspace{workspace}")
}
