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
use crate::support::pairs::REQUESTS;

/// Team of all declarations.
pub const TEAM: &str = "print";

/// Both workspaces. The key of each has its name.
pub const WORKSPACES: [&str; 2] = ["bindery", "press"];

/// Deadline of the routes in seconds.
const DEADLINE: u32 = 10;

/// Parts of an answer.
pub const PARTS: u8 = 3;

/// Builds a revision of the declarations in which the keys of some workspaces are withdrawn.
pub fn accepted(revision: u64, withdrawn: &[&str]) -> (Revision, Arc<Config>) {
    let mut config = Config::default();
    let state = TeamState {
        revision: Revision(revision),
        tree: Some(Arc::new(tree(withdrawn))),
    };
    config.merge(TEAM.into(), state);
    (Revision(revision), Arc::new(config))
}

/// Names a workspace.
pub fn workspace(name: &str) -> WorkspaceId {
    WorkspaceId {
        team: TEAM.into(),
        name: name.into(),
    }
}

/// Builds the digest of a workspace's key.
pub fn key(name: &str) -> KeyDigest {
    KeyDigest::of(key_text(name).as_bytes())
}

/// Draws the callers of one run.
pub fn callers(random: &mut ChaCha8Rng) -> Vec<Caller> {
    let draw = |_| Caller {
        workspace: WORKSPACES[random.random_range(0..WORKSPACES.len())],
        idempotent: random.random(),
        streamed: random.random(),
        pace: random.random_range(10..1_500),
        bytes: Vec::new(),
        whole: false,
        failure: None,
        gone: false,
    };
    (0..REQUESTS).map(draw).collect()
}

/// Builds the request of a caller.
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

/// Builds a part of the answer to a request.
pub fn part(request: usize, number: u8) -> Vec<u8> {
    vec![u8::try_from(request).unwrap(), number]
}

/// Builds the whole answer to a request.
pub fn whole(request: usize) -> Vec<u8> {
    (0..PARTS).flat_map(|n| part(request, n)).collect()
}

fn key_text(name: &str) -> String {
    format!("key-of-workspace-{name}")
}

fn tree(withdrawn: &[&str]) -> TeamTree {
    let keys = WORKSPACES.map(|name| {
        let spec = KeySpec {
            workspace: name.into(),
            digest: key(name),
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
        route("read", RepeatPolicy::Always),
        route("write", RepeatPolicy::Never),
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

fn route(name: &'static str, repeat: RepeatPolicy) -> (&'static str, RouteSpec) {
    let spec = RouteSpec {
        pool: "pool".into(),
        access: Access::Workspaces(WORKSPACES.map(Into::into).into_iter().collect()),
        repeat,
        deadline: DEADLINE,
        body: 1024,
    };
    (name, spec)
}
