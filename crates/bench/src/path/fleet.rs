//! Entry and agent processes under measurement, with stand-ins as targets.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::anyhow;
use anyhow::bail;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_standins::engine::Engine;
use sardinepath_standins::engine::EngineSettings;
use sardinepath_standins::object_api::ObjectApi;
use sardinepath_standins::objects::MemoryObjects;
use sardinepath_standins::plain::PlainService;
use sardinepath_standins::relay::Relay;
use serde_json::Value;
use serde_json::json;

use crate::path::client::Caller;
use crate::path::client::Destination;
use crate::path::process::Process;

/// Key of all callers.
const KEY: &str = "key-of-the-benchmark-51c07a";

/// Timeout for each entry of a new fleet to serve both routes.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of concurrent requests of the workspace. No measurement reaches it.
const MAX_CONCURRENCY: u32 = 10_000;

/// Entry and agent processes with their stand-ins.
pub(super) struct Fleet {
    pub(super) api: ObjectApi,
    pub(super) entries: Vec<Process>,
    pub(super) agents: Vec<Process>,
    pub(super) service: PlainService,
    pub(super) engine: Engine,
    /// Relays through which the entries connect to each other. They count the bytes.
    pub(super) relays: Vec<Relay>,
}

impl Fleet {
    /// Starts entries, one plain service and one engine with the given settings.
    pub(super) fn start(
        program: &Path,
        entries: usize,
        engine: EngineSettings,
    ) -> anyhow::Result<Self> {
        let service = PlainService::start()?;
        let engine = Engine::start(engine)?;
        let api = ObjectApi::start(Arc::new(MemoryObjects::default()))?;
        let targets = [("orders-1", service.address), ("small-1", engine.address)];
        let agents = targets.map(|(target, address)| {
            let settings = json!({
                "role": "agent", "host": format!("host-of-{target}"), "centre": "cx1",
                "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "target": target,
                "address": address,
            });
            Process::start(program, "agent", &settings)
        });
        let agents = agents.into_iter().collect::<Result<Vec<_>, _>>()?;
        let tree = tree(&agents);
        let put = api.objects.put("config/print", &tree, Precondition::Absent);
        put.map_err(|e| anyhow!("could not store the declarations: {e:?}"))?;
        let (entries, relays) = start_entries(program, entries, &api)?;
        let fleet = Self {
            api,
            entries,
            agents,
            service,
            engine,
            relays,
        };
        for entry in &fleet.entries {
            await_serving(entry)?;
        }
        Ok(fleet)
    }

    /// Returns the destination of direct calls to the plain service.
    pub(super) fn direct_service(&self) -> Destination {
        Destination {
            address: self.service.address,
            prefix: "",
            key: None,
        }
    }

    /// Returns the destination of direct calls to the engine.
    pub(super) fn direct_engine(&self) -> Destination {
        Destination {
            address: self.engine.address,
            ..self.direct_service()
        }
    }

    /// Returns the destination of calls to the plain service through the first entry.
    pub(super) fn service_through_entry(&self) -> Destination {
        destination(&self.entries[0], "/print/orders")
    }

    /// Returns the destination of calls to the engine through the first entry.
    pub(super) fn engine_through_entry(&self) -> Destination {
        destination(&self.entries[0], "/print/diary")
    }
}

fn destination(entry: &Process, prefix: &'static str) -> Destination {
    Destination {
        address: entry.address,
        prefix,
        key: Some(KEY),
    }
}

fn start_entries(
    program: &Path,
    count: usize,
    api: &ObjectApi,
) -> anyhow::Result<(Vec<Process>, Vec<Relay>)> {
    // The relays start first, because the settings of each entry name the addresses of all.
    let relays = (0..count).map(|_| Relay::start(api.address));
    let relays = relays.collect::<Result<Vec<_>, _>>()?;
    let peers = relays.iter().enumerate();
    let peers: Value = peers
        .map(|(i, relay)| (format!("entry-{i}"), json!(relay.address)))
        .collect::<serde_json::Map<_, _>>()
        .into();
    let mut entries = Vec::new();
    for (i, relay) in relays.iter().enumerate() {
        let settings = json!({
            "role": "entry", "host": format!("entry-{i}"), "centre": "cx1",
            "listen": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "objects": api.address, "entries": peers,
        });
        let entry = Process::start(program, "entry", &settings)?;
        if let Some(peer) = entry.peer {
            relay.redirect(peer);
        }
        entries.push(entry);
    }
    Ok((entries, relays))
}

fn tree(agents: &[Process]) -> String {
    let target = |agent: &Process| json!({"agent": agent.address, "centre": "cx1"});
    let access = json!({"workspaces": ["dream-diary"]});
    json!({
        "scheme": "slug",
        "workspaces": {"dream-diary": {"concurrency": MAX_CONCURRENCY, "queue": MAX_CONCURRENCY}},
        "keys": {"app": {"workspace": "dream-diary", "digest": KeyDigest::of(KEY.as_bytes())}},
        "pools": {
            "orders": {"kind": "plain", "targets": {"orders-1": target(&agents[0])}},
            "small": {
                "kind": "model", "model": "small", "targets": {"small-1": target(&agents[1])},
            },
        },
        "routes": {
            "orders": {"pool": "orders", "access": access},
            "diary": {"pool": "small", "access": access, "repeat": "always", "deadline": 600},
        },
    })
    .to_string()
}

/// Waits until an entry serves the plain and the model route.
fn await_serving(entry: &Process) -> anyhow::Result<()> {
    let end = Instant::now() + START_TIMEOUT;
    let prompt = json!({"prompt": "ready", "max_tokens": 1}).to_string();
    let calls = [
        ("/print/orders", "/ready", "{}"),
        ("/print/diary", "/v1/completions", prompt.as_str()),
    ];
    for (prefix, path, body) in calls {
        let destination = destination(entry, prefix);
        while let Err(e) = Caller::connect(&destination).and_then(|mut c| c.call(path, body)) {
            if Instant::now() > end {
                bail!("the entry did not serve within {START_TIMEOUT:?}: {e}");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(())
}
