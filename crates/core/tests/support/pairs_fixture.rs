//! Declarations, requests and callers of the runs with two failures.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sardinepath_core::decision::authorize::Completion;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::domain::call::HeaderField;
use sardinepath_core::domain::declare::Access;
use sardinepath_core::domain::declare::KeySpec;
use sardinepath_core::domain::declare::PoolSpec;
use sardinepath_core::domain::declare::RepeatPolicy;
use sardinepath_core::domain::declare::RouteSpec;
use sardinepath_core::domain::declare::Scheme;
use sardinepath_core::domain::declare::TargetKind;
use sardinepath_core::domain::declare::TargetSpec;
use sardinepath_core::domain::declare::TeamTree;
use sardinepath_core::domain::declare::WorkspaceSpec;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::domain::name::WorkspaceId;

use crate::support::pairs::Caller;
use crate::support::pairs::REQUEST_COUNT;

/// Team of all declarations.
pub const TEAM: &str = "print";

/// Names of the workspaces. Each has one key of the same name.
pub const WORKSPACES: [&str; 2] = ["bindery", "press"];

/// Deadline of the routes in seconds.
const DEADLINE_SECONDS: u32 = 10;

/// Number of parts in an answer.
pub const PART_COUNT: u8 = 3;

/// Returns a configuration of this revision in which the keys of these workspaces are withdrawn.
pub fn config(revision: u64, withdrawn: &[&str]) -> (Revision, Arc<Config>) {
    let mut config = Config::default();
    let state = TeamState {
        revision: Revision(revision),
        tree: Some(Arc::new(team_tree(withdrawn))),
    };
    config.merge(TEAM.into(), state);
    (Revision(revision), Arc::new(config))
}

/// Returns the id of a workspace.
pub fn workspace_id(name: &str) -> WorkspaceId {
    WorkspaceId {
        team: TEAM.into(),
        name: name.into(),
    }
}

/// Returns the digest of a workspace's key.
pub fn key_digest(name: &str) -> KeyDigest {
    KeyDigest::of(key_text(name).as_bytes())
}

/// Draws the callers of one run.
pub fn draw_callers(rng: &mut ChaCha8Rng) -> Vec<Caller> {
    let draw = |_| Caller {
        workspace: WORKSPACES[rng.random_range(0..WORKSPACES.len())],
        idempotent: rng.random(),
        streamed: rng.random(),
        part_time: rng.random_range(10..1_500),
        bytes: Vec::new(),
        complete: false,
        failure: None,
        disconnected: false,
    };
    (0..REQUEST_COUNT).map(draw).collect()
}

/// Returns the request of a caller.
pub fn inbound(caller: &Caller) -> Inbound {
    let route = if caller.idempotent { "read" } else { "write" };
    let field = HeaderField {
        name: "x-api-key".into(),
        value: key_text(caller.workspace).into_bytes().into(),
    };
    Inbound {
        method: "POST".into(),
        path: format!("/{TEAM}/{route}/job").into(),
        fields: [field].into(),
        body: [].into(),
        texts: vec![],
        completion: Some(Completion {
            streamed: caller.streamed,
            ..Completion::default()
        }),
    }
}

/// Returns a part of the answer to a request. It contains the numbers of the request and of the
/// part.
pub fn answer_part(request: usize, number: u8) -> Vec<u8> {
    vec![u8::try_from(request).unwrap(), number]
}

/// Returns the complete answer to a request.
pub fn whole_answer(request: usize) -> Vec<u8> {
    (0..PART_COUNT)
        .flat_map(|n| answer_part(request, n))
        .collect()
}

fn key_text(name: &str) -> String {
    format!("key-of-workspace-{name}")
}

fn team_tree(withdrawn: &[&str]) -> TeamTree {
    let keys = WORKSPACES.map(|name| {
        let spec = KeySpec {
            workspace: name.into(),
            digest: key_digest(name),
            withdrawn: withdrawn.contains(&name),
        };
        (name.into(), spec)
    });
    let targets = ["t0", "t1"].map(|name| {
        let spec = TargetSpec {
            agent: format!("127.0.0.1:700{}", &name[1..]).parse().unwrap(),
            centre: "cx1".into(),
            fences: false,
        };
        (name.into(), spec)
    });
    let pool = PoolSpec {
        kind: TargetKind::Plain,
        model: None,
        targets: BTreeMap::from(targets),
        floor: 0,
    };
    let routes = [
        named_route("read", RepeatPolicy::Always),
        named_route("write", RepeatPolicy::Never),
    ];
    let workspaces = WORKSPACES.map(|name| (name.into(), WorkspaceSpec::default()));
    TeamTree {
        scheme: Scheme::Slug,
        keys: BTreeMap::from(keys),
        workspaces: BTreeMap::from(workspaces),
        pools: BTreeMap::from([("pool".into(), pool)]),
        routes: routes
            .into_iter()
            .map(|(name, route)| (name.into(), route))
            .collect(),
    }
}

fn named_route(name: &'static str, repeat: RepeatPolicy) -> (&'static str, RouteSpec) {
    let spec = RouteSpec {
        pool: "pool".into(),
        access: Access::Workspaces(WORKSPACES.map(Into::into).into_iter().collect()),
        repeat,
        deadline: DEADLINE_SECONDS,
        body: 1024,
    };
    (name, spec)
}
