//! The stand-ins, agents and entries of the demo.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use sardinepath_adapters::platform::object::HttpObjects;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_node::agent::Agent;
use sardinepath_node::config::AgentSettings;
use sardinepath_node::config::EntrySettings;
use sardinepath_node::entry::Entry;
use sardinepath_node::operate;
use sardinepath_standins::engine::Engine;
use sardinepath_standins::engine::EngineSettings;
use sardinepath_standins::object_api::ObjectApi;
use sardinepath_standins::objects::MemoryObjects;
use sardinepath_standins::plain::PlainService;
use sardinepath_standins::scoring::ScoreState;
use sardinepath_standins::scoring::Scoring;
use sardinepath_standins::usage::Usage;
use sardinepath_standins::usage::UsageState;
use sardinepath_standins::weights::WeightState;
use sardinepath_standins::weights::Weights;
use serde_json::Value;
use serde_json::json;

/// Model of all engines.
pub const MODEL: &str = "prompter";

/// Length of a usage window in seconds. It is short, so that a window closes during the demo.
const USAGE_WINDOW_SECONDS: u64 = 5;

/// Timeout for the start of all parts.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of a weight version in bytes and transfer rate of the weight store in bytes per second.
const WEIGHT_STORE: (usize, u64) = (1 << 16, 1 << 24);

const CENTRES: [&str; 2] = ["cx1", "cx2"];

const ENGINE_COUNT: usize = 3;

const SERVICE_COUNT: usize = 2;

const ENTRY_COUNT: usize = 2;

/// A workspace with its key. Callers authenticate with the secret.
pub struct DemoWorkspace {
    /// Team of the workspace.
    pub team: &'static str,
    /// Name of the workspace in the naming scheme of its team.
    pub workspace: &'static str,
    /// Name of the key declaration.
    pub key: &'static str,
    /// Secret that callers send. The declarations hold only its digest.
    pub secret: &'static str,
}

/// Workspaces in three naming schemes. The first two share a team, and the second one is used for
/// training.
pub const WORKSPACES: [DemoWorkspace; 4] = [
    DemoWorkspace {
        team: "press",
        workspace: "press.caxias.diary",
        key: "press.caxias.app",
        secret: "demo-key-of-the-dream-diary-4f1c",
    },
    DemoWorkspace {
        team: "press",
        workspace: "press.caxias.training",
        key: "press.caxias.trainer",
        secret: "demo-key-of-the-trainer-91b7",
    },
    DemoWorkspace {
        team: "field",
        workspace: "crew-jobs",
        key: "crew-app",
        secret: "demo-key-of-the-crews-77aa",
    },
    DemoWorkspace {
        team: "orders",
        workspace: "WS-00417",
        key: "KY-00001",
        secret: "demo-key-of-the-shop-30de",
    },
];

/// All stand-ins, agents and entries of the demo.
pub struct Fleet {
    /// Entries, to which callers send requests.
    pub entries: Vec<Entry>,
    /// Engine stand-ins, which record their executions.
    pub engines: Vec<Engine>,
    /// Plain service stand-ins, which record their executions.
    pub services: Vec<PlainService>,
    /// Weight store stand-in.
    pub weights: Weights,
    /// Usage interface stand-in, which records the reports.
    pub usage: Usage,
    /// Object API stand-in.
    pub objects: ObjectApi,
    agents: Vec<Agent>,
    scoring: Scoring,
}

impl Fleet {
    /// Starts all parts, applies the declarations and waits until requests are served.
    pub fn start() -> anyhow::Result<Self> {
        let engines: Vec<_> = (0..ENGINE_COUNT)
            .map(start_engine)
            .collect::<Result<_, _>>()?;
        let services: Vec<_> = (0..SERVICE_COUNT)
            .map(|_| PlainService::start())
            .collect::<Result<_, _>>()?;
        let mut fleet = Self {
            entries: Vec::new(),
            agents: start_agents(&engines, &services)?,
            engines,
            services,
            weights: Weights::serve(WeightState::new(WEIGHT_STORE.0, WEIGHT_STORE.1))?,
            usage: Usage::serve(UsageState::default())?,
            objects: ObjectApi::start(Arc::new(MemoryObjects::default()))?,
            scoring: Scoring::serve(ScoreState::default())?,
        };
        fleet.apply(&[])?;
        for number in 0..ENTRY_COUNT {
            let settings = fleet.entry_settings(number)?;
            let objects = Arc::new(HttpObjects::new(fleet.objects.address));
            fleet.entries.push(Entry::start(&settings, objects)?);
        }
        fleet.connect_entries();
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Returns the address of an entry. The number wraps around at the number of entries.
    pub fn entry(&self, number: usize) -> SocketAddr {
        self.entries[number % self.entries.len()].address
    }

    /// Applies the declarations with the given keys withdrawn.
    pub fn apply(&self, withdrawn: &[&str]) -> anyhow::Result<()> {
        let file = std::env::temp_dir().join(format!("sardinepath-demo-{}", std::process::id()));
        let text = self.declarations(withdrawn).to_string();
        std::fs::write(&file, text).context("could not write the declarations")?;
        let applied = self.apply_file(&file);
        // An error is harmless: a file that stays behind holds no secret.
        let _ = std::fs::remove_file(&file);
        applied
    }

    fn apply_file(&self, file: &Path) -> anyhow::Result<()> {
        let objects = HttpObjects::new(self.objects.address);
        let applied = operate::apply(file, &objects).map_err(|e| anyhow::anyhow!("{e}"))?;
        if !applied.is_complete() {
            bail!("the declarations were not applied:\n{applied}");
        }
        Ok(())
    }

    fn declarations(&self, withdrawn: &[&str]) -> Value {
        let plain = self.agents.iter().skip(self.engines.len());
        let engines = target_specs("engine", self.agents.iter().take(self.engines.len()));
        let services = target_specs("orders", plain);
        let models = json!({"kind": "model", "model": MODEL, "targets": engines});
        let jobs = json!({"kind": "plain", "targets": services});
        json!({"teams": {
            "press": {
                "scheme": "dotted",
                "workspaces": {
                    "press.caxias.diary": {"share": 2, "priority": "interactive"},
                    "press.caxias.training": {"priority": "training"},
                },
                "keys": key_specs("press", withdrawn),
                "pools": {"press.models": models},
                "routes": {"press.suggest": {
                    "pool": "press.models",
                    "access": {"workspaces": ["press.caxias.diary", "press.caxias.training"]},
                    "repeat": "always",
                }},
            },
            "field": {
                "scheme": "slug",
                "workspaces": {"crew-jobs": {}},
                "keys": key_specs("field", withdrawn),
                "pools": {"jobs": jobs},
                "routes": {
                    "dispatch": {
                        "pool": "jobs",
                        "access": {"workspaces": ["crew-jobs"]},
                        "repeat": "never",
                    },
                    "notices": {"pool": "jobs", "access": {"open": "crew-jobs"}},
                },
            },
            "orders": {
                "scheme": "coded",
                "workspaces": {"WS-00417": {}},
                "keys": key_specs("orders", withdrawn),
            },
        }})
    }

    fn entry_settings(&self, number: usize) -> anyhow::Result<EntrySettings> {
        let ephemeral = loopback();
        let settings = json!({
            "role": "entry", "host": format!("entry-{number}"), "centre": CENTRES[number % 2],
            "listen": ephemeral, "peer": ephemeral, "admin": ephemeral,
            "objects": self.objects.address,
            "usage": self.usage.address, "weights": self.weights.address,
            "scoring": self.scoring.address, "window": USAGE_WINDOW_SECONDS,
        });
        serde_json::from_value(settings).context("the entry settings of the demo are invalid")
    }

    fn connect_entries(&self) {
        let all: Vec<_> = self
            .entries
            .iter()
            .enumerate()
            .map(|(n, entry)| (format!("entry-{n}").into(), entry.peer))
            .collect();
        for entry in &self.entries {
            entry.set_entries(all.clone());
        }
    }

    /// Waits until every entry reaches an engine and a plain service.
    fn wait_until_ready(&self) -> anyhow::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            let ready = (0..self.entries.len()).all(|n| self.is_ready(n));
            if ready {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        bail!("the entries were not ready within {READY_TIMEOUT:?}")
    }

    fn is_ready(&self, number: usize) -> bool {
        let entry = self.entry(number);
        let notice = minreq::get(format!("http://{entry}/field/notices/ready")).send();
        let models = minreq::post(format!("http://{entry}/press/press.suggest/v1/completions"))
            .with_header("x-api-key", WORKSPACES[0].secret)
            .with_body(r#"{"prompt":"tag:ready","max_tokens":4}"#)
            .send();
        [notice, models]
            .into_iter()
            .all(|answer| answer.is_ok_and(|a| a.status_code == 200))
    }
}

/// Returns a loopback address with port 0, for which the operating system picks a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start_engine(number: usize) -> anyhow::Result<Engine> {
    Engine::start(EngineSettings {
        model: MODEL.into(),
        checks_fence: number > 0,
        ..EngineSettings::default()
    })
}

fn start_agents(engines: &[Engine], services: &[PlainService]) -> anyhow::Result<Vec<Agent>> {
    let engines = engines.iter().map(|e| ("engine", e.address));
    let services = services.iter().map(|s| ("orders", s.address));
    let mut counts = BTreeMap::new();
    engines
        .chain(services)
        .map(|(kind, address)| {
            let number = counts.entry(kind).or_insert(0);
            let name = format!("{kind}-{number}");
            *number += 1;
            start_agent(&name, address)
        })
        .collect()
}

fn start_agent(target: &str, address: SocketAddr) -> anyhow::Result<Agent> {
    let ephemeral = loopback();
    let settings = json!({
        "role": "agent", "host": format!("host-of-{target}"), "centre": CENTRES[0],
        "listen": ephemeral, "admin": ephemeral, "target": target, "address": address,
    });
    let settings: AgentSettings =
        serde_json::from_value(settings).context("the agent settings of the demo are invalid")?;
    Agent::start(&settings)
}

fn target_specs<'a>(kind: &str, agents: impl Iterator<Item = &'a Agent>) -> Value {
    let targets = agents.enumerate().map(|(number, agent)| {
        let centre = CENTRES[number % CENTRES.len()];
        let spec = json!({"agent": agent.address, "centre": centre});
        (format!("{kind}-{number}"), spec)
    });
    targets.collect()
}

fn key_specs(team: &str, withdrawn: &[&str]) -> Value {
    let owned = WORKSPACES.iter().filter(|item| item.team == team);
    let keys = owned.map(|item| {
        let digest = String::from(KeyDigest::of(item.secret.as_bytes()));
        let spec = json!({
            "workspace": item.workspace,
            "digest": digest,
            "withdrawn": withdrawn.contains(&item.key),
        });
        (item.key.to_owned(), spec)
    });
    keys.collect()
}
