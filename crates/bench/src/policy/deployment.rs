//! The two simulated deployments with their sizes and clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::config::TeamState;
use sardinepath_core::domain::declare::Access;
use sardinepath_core::domain::declare::PoolSpec;
use sardinepath_core::domain::declare::Priority;
use sardinepath_core::domain::declare::RepeatPolicy;
use sardinepath_core::domain::declare::RouteSpec;
use sardinepath_core::domain::declare::Scheme;
use sardinepath_core::domain::declare::TargetKind;
use sardinepath_core::domain::declare::TargetSpec;
use sardinepath_core::domain::declare::TeamTree;
use sardinepath_core::domain::declare::WorkspaceSpec;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::TargetName;

/// Team of all workspaces, pools and routes of a run.
pub const TEAM: &str = "team";

/// Maximum number of waiting and of running requests of a workspace over all entries. It is large
/// because a trainer posts a whole step at once.
const MAX_REQUESTS: u32 = 4096;

/// Kind of requests that a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Training steps, each with many samples.
    Steps,
    /// Single completions.
    Calls,
    /// Calls to a plain service.
    Plain,
}

/// A workspace and the requests that it sends.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// Name of the workspace.
    pub name: &'static str,
    /// Weight of the workspace in fair queueing.
    pub share: u32,
    /// Kind of its requests.
    pub kind: ClientKind,
    /// Priority class of its requests.
    pub priority: Priority,
}

/// Sizes and clients of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the operator, which also selects the deployment on the command line.
    pub name: &'static str,
    /// Number of data centres. Each has one entry.
    pub centres: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Workspaces. The last one with single completions is the greedy workspace.
    pub clients: Vec<Client>,
}

impl Deployment {
    /// Returns the deployment of a print shop.
    pub fn bortolini() -> Self {
        let clients = vec![
            client("diary-trainer", 30, ClientKind::Steps, Priority::Training),
            client("cover-trainer", 15, ClientKind::Steps, Priority::Training),
            client("diary-web", 25, ClientKind::Calls, Priority::Interactive),
            client("order-hints", 15, ClientKind::Calls, Priority::Interactive),
            client("archive", 10, ClientKind::Calls, Priority::Batch),
            client("guest", 5, ClientKind::Calls, Priority::Interactive),
            client("orders", 3, ClientKind::Plain, Priority::Interactive),
            client("binding-line", 1, ClientKind::Plain, Priority::Interactive),
        ];
        Self {
            name: "bortolini",
            centres: 4,
            engines: 10,
            services: 4,
            clients,
        }
    }

    /// Returns the deployment of a pump service.
    pub fn condamine() -> Self {
        let clients = vec![
            client("report-trainer", 35, ClientKind::Steps, Priority::Training),
            client("quote-trainer", 15, ClientKind::Steps, Priority::Training),
            client("note-trainer", 10, ClientKind::Steps, Priority::Training),
            client("crew-notes", 20, ClientKind::Calls, Priority::Interactive),
            client("history", 15, ClientKind::Calls, Priority::Batch),
            client("quotes", 5, ClientKind::Calls, Priority::Interactive),
            client("crew-lookup", 3, ClientKind::Plain, Priority::Interactive),
            client("dispatch", 2, ClientKind::Plain, Priority::Interactive),
        ];
        Self {
            name: "condamine",
            centres: 3,
            engines: 10,
            services: 3,
            clients,
        }
    }

    /// Returns the data centre of the target or entry with the given number.
    pub fn centre(&self, number: usize) -> CentreName {
        format!("dc{}", number % self.centres).into()
    }

    /// Returns the names of the targets of one kind with their data centres.
    pub fn targets(&self, kind: TargetKind) -> Vec<(TargetName, CentreName)> {
        let (prefix, count) = match kind {
            TargetKind::Model => ("engine", self.engines),
            TargetKind::Plain => ("plain", self.services),
        };
        let name = |n| (format!("{prefix}{n}").into(), self.centre(n));
        (0..count).map(name).collect()
    }

    /// Returns the configuration of the entries.
    pub fn config(&self) -> Arc<Config> {
        let workspaces = self.clients.iter().map(|client| {
            let spec = WorkspaceSpec {
                share: client.share,
                concurrency: MAX_REQUESTS,
                queue: MAX_REQUESTS,
                ..WorkspaceSpec::default()
            };
            (client.name.into(), spec)
        });
        let pools = [TargetKind::Model, TargetKind::Plain].map(|kind| {
            let pool = self.pool(kind);
            (pool_name(kind).into(), pool)
        });
        let names = self.clients.iter().map(|client| client.name.into());
        let tree = TeamTree {
            scheme: Scheme::Slug,
            workspaces: workspaces.collect(),
            keys: BTreeMap::new(),
            pools: pools.into(),
            routes: [TargetKind::Model, TargetKind::Plain]
                .map(|kind| (pool_name(kind).into(), route(kind, names.clone().collect())))
                .into(),
        };
        let mut config = Config::default();
        let state = TeamState {
            revision: Revision(1),
            tree: Some(Arc::new(tree)),
        };
        config.merge(TEAM.into(), state);
        Arc::new(config)
    }

    fn pool(&self, kind: TargetKind) -> PoolSpec {
        let spec = |centre| TargetSpec {
            agent: SocketAddr::from(([127, 0, 0, 1], 1)),
            centre,
            fences: true,
        };
        let targets = self.targets(kind).into_iter();
        PoolSpec {
            kind,
            model: (kind == TargetKind::Model).then(|| "small".into()),
            targets: targets.map(|(name, centre)| (name, spec(centre))).collect(),
            floor: 0,
        }
    }
}

impl Client {
    /// Returns the kind of target that serves the client.
    pub fn target_kind(&self) -> TargetKind {
        match self.kind {
            ClientKind::Steps | ClientKind::Calls => TargetKind::Model,
            ClientKind::Plain => TargetKind::Plain,
        }
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "bortolini" => Ok(Self::bortolini()),
            "condamine" => Ok(Self::condamine()),
            _ => Err(format!("unknown deployment {text:?}")),
        }
    }
}

/// Returns the common name of the pool and route for a kind of target.
pub fn pool_name(kind: TargetKind) -> &'static str {
    match kind {
        TargetKind::Model => "models",
        TargetKind::Plain => "plain",
    }
}

fn client(name: &'static str, share: u32, kind: ClientKind, priority: Priority) -> Client {
    Client {
        name,
        share,
        kind,
        priority,
    }
}

fn route(kind: TargetKind, names: Vec<sardinepath_core::domain::name::WorkspaceName>) -> RouteSpec {
    RouteSpec {
        pool: pool_name(kind).into(),
        access: Access::Workspaces(names),
        repeat: RepeatPolicy::Always,
        deadline: 60,
        body: 1 << 20,
    }
}
