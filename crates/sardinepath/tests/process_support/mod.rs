//! Fixtures that start entries and agents as separate processes, with stand-ins in the process of
//! the test.

#![allow(dead_code)]

pub mod load;
pub mod node;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sardinepath_adapters::platform::object::HttpObjects;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_node::operate;
use sardinepath_node::operate::report::Applied;
use sardinepath_node::operate::report::OperateError;
use sardinepath_standins::engine::Engine;
use sardinepath_standins::engine::EngineSettings;
use sardinepath_standins::object_api::ObjectApi;
use sardinepath_standins::objects::MemoryObjects;
use sardinepath_standins::plain::PlainService;
use sardinepath_standins::relay::Relay;
use serde_json::Value;
use serde_json::json;

use crate::process_support::node::Node;
use crate::process_support::node::start_agent;
use crate::process_support::node::start_entry;

/// Timeout for each awaited condition. It is long enough for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Key of all callers. No target may receive it.
pub const KEY: &str = "key-of-the-press-4f1b9c77";

/// Time between the arrival of a call at a plain service and its execution. A call whose caller was
/// told "not run" too early is executed after this time.
pub const HOLD_TIME: Duration = Duration::from_millis(30);

/// Entry and agent processes with their stand-ins.
pub struct Fleet {
    pub api: ObjectApi,
    pub services: Vec<PlainService>,
    pub engine: Engine,
    pub agents: Vec<Node>,
    pub entries: Vec<Node>,
    /// Relays between entries and agents, in the order of the agents.
    pub relays: Vec<Relay>,
    pub name: String,
}

/// Starts entries, plain services and one engine, with an agent for each target. The agent of the
/// engine is the last one.
pub fn start_fleet(name: &str, entries: usize, targets: usize) -> Fleet {
    let services: Vec<_> = (0..targets)
        .map(|_| PlainService::start().unwrap())
        .collect();
    for service in &services {
        service.set_faults(|faults| faults.hold = HOLD_TIME);
    }
    let engine = Engine::start(EngineSettings {
        token_time: Duration::from_millis(20),
        ..EngineSettings::default()
    });
    let engine = engine.unwrap();
    let addresses = services.iter().map(|service| service.address);
    let addresses = addresses.chain([engine.address]).enumerate();
    let agents: Vec<_> = addresses
        .map(|(i, address)| start_agent(name, i, address))
        .collect();
    let relays: Vec<_> = agents
        .iter()
        .map(|agent| Relay::start(agent.address).unwrap())
        .collect();
    let api = ObjectApi::start(Arc::new(MemoryObjects::default())).unwrap();
    let fleet = Fleet {
        services,
        engine,
        agents,
        relays,
        entries: start_entries(name, entries, api.address),
        api,
        name: name.to_owned(),
    };
    apply(&fleet, "first", &tree(&fleet)).unwrap();
    for entry in &fleet.entries {
        await_serving(entry);
    }
    fleet
}

/// Starts entries that know each other's addresses.
fn start_entries(name: &str, count: usize, objects: SocketAddr) -> Vec<Node> {
    // The relays start first, because the settings of each entry name the addresses of all.
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 9));
    let relays: Vec<_> = (0..count)
        .map(|_| Relay::start(placeholder).unwrap())
        .collect();
    let peers = |(i, relay): (usize, &Relay)| (format!("entry-{i}"), relay.address);
    let peers: BTreeMap<_, _> = relays.iter().enumerate().map(peers).collect();
    let start = |(i, relay): (usize, Relay)| {
        let extra = json!({"entries": peers});
        let mut node = start_entry(name, i, objects, &extra);
        relay.redirect(node.peer.unwrap());
        node.relay = Some(relay);
        node
    };
    relays.into_iter().enumerate().map(start).collect()
}

/// Starts a new process in place of an agent that has ended.
pub fn restart_agent(fleet: &mut Fleet, index: usize) {
    let address = match fleet.services.get(index) {
        Some(service) => service.address,
        None => fleet.engine.address,
    };
    let agent = start_agent(&fleet.name, index, address);
    fleet.relays[index].redirect(agent.address);
    fleet.agents[index] = agent;
}

/// Returns the declarations of the team `print`.
pub fn tree(fleet: &Fleet) -> Value {
    let plain = fleet.services.len();
    let target = |i: usize| {
        let spec = json!({"agent": fleet.relays[i].address, "centre": "cx1"});
        (format!("target-{i}"), spec)
    };
    let orders: BTreeMap<_, _> = (0..plain).map(target).collect();
    let small: BTreeMap<_, _> = [target(plain)].into();
    json!({
        "scheme": "slug",
        "workspaces": {"dream-diary": {"concurrency": 1000, "queue": 1000}},
        "keys": {"app": {"workspace": "dream-diary", "digest": KeyDigest::of(KEY.as_bytes())}},
        "pools": {
            "orders": {"kind": "plain", "targets": orders},
            "small": {"kind": "model", "model": "small", "targets": small},
        },
        "routes": {
            "orders": {"pool": "orders", "access": {"workspaces": ["dream-diary"]}},
            "diary": {
                "pool": "small", "access": {"workspaces": ["dream-diary"]}, "repeat": "always",
            },
        },
    })
}

/// Applies the declarations of the team, based on the stored revision.
pub fn apply(fleet: &Fleet, file: &str, tree: &Value) -> Result<Applied, OperateError> {
    let base = operate::get("teams/print", &HttpObjects::new(fleet.api.address));
    let base = base.map(|found| json!({"print": found.revision}));
    apply_at(fleet, file, tree, base.unwrap_or(json!({})))
}

/// Applies the declarations of the team, based on the given revisions.
pub fn apply_at(
    fleet: &Fleet,
    file: &str,
    tree: &Value,
    base: Value,
) -> Result<Applied, OperateError> {
    let path = scratch_file(&format!("{}-{file}", fleet.name));
    let content = json!({"base": base, "teams": {"print": tree}});
    fs::write(&path, content.to_string()).unwrap();
    operate::apply(&path, &HttpObjects::new(fleet.api.address))
}

/// Waits until an entry serves calls.
pub fn await_serving(entry: &Node) {
    await_true("an entry to serve calls", || {
        let outcome = load::call(entry, "GET", "ready");
        matches!(outcome, load::Outcome::Answered(_))
    });
}

pub fn await_true(condition: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !check() {
        assert!(Instant::now() < end, "timed out waiting for {condition}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the path of a JSON file in the temporary folder of the tests.
pub fn scratch_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"))
}
