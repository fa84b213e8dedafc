//! The two deployments with their sizes and their mix of clients.

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

/// Team that owns everything in a run.
pub const TEAM: &str = "team";

/// Requests of a workspace that may wait over all entries. A trainer posts a whole step at once.
const QUEUE: u32 = 4096;

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// Steps of samples from a trainer.
    Steps,
    /// Single completions.
    Calls,
    /// Calls of a plain service.
    Plain,
}

/// One workspace and how it behaves.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// Name of the workspace.
    pub name: &'static str,
    /// Weight in the fair queue.
    pub share: u32,
    /// What it asks for.
    pub demand: Demand,
    /// Priority class.
    pub priority: Priority,
}

/// Sizes and mix of one deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the operator.
    pub name: &'static str,
    /// Data centres. Each has one entry.
    pub centres: usize,
    /// Model replicas.
    pub engines: usize,
    /// Replicas of the plain service.
    pub plains: usize,
    /// Workspaces. The last client with single completions is the greedy one.
    pub clients: Vec<Client>,
}

impl Deployment {
    /// Returns the print shop.
    pub fn bortolini() -> Self {
        let clients = vec![
            client("diary-trainer", 30, Demand::Steps, Priority::Training),
            client("cover-trainer", 15, Demand::Steps, Priority::Training),
            client("diary-web", 25, Demand::Calls, Priority::Interactive),
            client("order-hints", 15, Demand::Calls, Priority::Interactive),
            client("archive", 10, Demand::Calls, Priority::Batch),
            client("guest", 5, Demand::Calls, Priority::Interactive),
            client("orders", 3, Demand::Plain, Priority::Interactive),
            client("binding-line", 1, Demand::Plain, Priority::Interactive),
        ];
        Self {
            name: "bortolini",
            centres: 4,
            engines: 10,
            plains: 4,
            clients,
        }
    }

    /// Returns the pump service.
    pub fn condamine() -> Self {
        let clients = vec![
            client("report-trainer", 35, Demand::Steps, Priority::Training),
            client("quote-trainer", 15, Demand::Steps, Priority::Training),
            client("note-trainer", 10, Demand::Steps, Priority::Training),
            client("crew-notes", 20, Demand::Calls, Priority::Interactive),
            client("history", 15, Demand::Calls, Priority::Batch),
            client("quotes", 5, Demand::Calls, Priority::Interactive),
            client("crew-lookup", 3, Demand::Plain, Priority::Interactive),
            client("dispatch", 2, Demand::Plain, Priority::Interactive),
        ];
        Self {
            name: "condamine",
            centres: 3,
            engines: 10,
            plains: 3,
            clients,
        }
    }

    /// Returns the data centre of a target or entry by its number.
    pub fn centre(&self, number: usize) -> CentreName {
        format!("dc{}", number % self.centres).into()
    }

    /// Returns the names of the targets of one kind with their data centres.
    pub fn targets(&self, kind: TargetKind) -> Vec<(TargetName, CentreName)> {
        let (prefix, count) = match kind {
            TargetKind::Model => ("engine", self.engines),
            TargetKind::Plain => ("plain", self.plains),
        };
        let name = |n| (format!("{prefix}{n}").into(), self.centre(n));
        (0..count).map(name).collect()
    }

    /// Returns the configuration that the entries have.
    pub fn config(&self) -> Arc<Config> {
        let workspaces = self.clients.iter().map(|client| {
            let spec = WorkspaceSpec {
                share: client.share,
                concurrency: QUEUE,
                queue: QUEUE,
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
    pub fn kind(&self) -> TargetKind {
        match self.demand {
            Demand::Steps | Demand::Calls => TargetKind::Model,
            Demand::Plain => TargetKind::Plain,
        }
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "bortolini" => Ok(Self::bortolini()),
            "condamine" => Ok(Self::condamine()),
            _ => Err(format!("deployment {text:?} does not exist")),
        }
    }
}

/// Returns the name of the pool and of the route for a kind of target.
pub fn pool_name(kind: TargetKind) -> &'static str {
    match kind {
        TargetKind::Model => "models",
        TargetKind::Plain => "plain",
    }
}

fn client(name: &'static str, share: u32, demand: Demand, priority: Priority) -> Client {
    Client {
        name,
        share,
        demand,
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
