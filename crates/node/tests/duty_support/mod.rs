//! Fixtures of the duty tests: entries behind relays to the HTTP object API, and the platform's
//! other interfaces.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sardinepath_adapters::clock::HostClock;
use sardinepath_adapters::platform::object::HttpObjects;
use sardinepath_core::decision::lease::LeaseRecord;
use sardinepath_core::decision::process::Process;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_node::agent::Agent;
use sardinepath_node::config::EntrySettings;
use sardinepath_node::entry::Entry;
use sardinepath_standins::engine::Engine;
use sardinepath_standins::engine::EngineSettings;
use sardinepath_standins::object_api::ObjectApi;
use sardinepath_standins::objects::MemoryObjects;
use sardinepath_standins::relay::Relay;
use sardinepath_standins::usage::Usage;
use sardinepath_standins::usage::UsageState;
use serde_json::Value;
use serde_json::json;

use crate::common::agent_settings;
use crate::common::entry_settings;
use crate::common::loopback;

/// Time that every awaited condition gets, also on a busy machine.
pub const WAIT_LIMIT: Duration = Duration::from_secs(90);

/// Length of a usage window in seconds.
pub const WINDOW: u64 = 2;

/// The platform, an engine and its agent.
pub struct World {
    pub api: ObjectApi,
    pub usage: Usage,
    pub engine: Engine,
    pub agent: Option<Agent>,
}

/// An entry and its path to the object API.
pub struct Member {
    pub entry: Entry,
    pub relay: Relay,
}

pub fn start_world() -> World {
    let engine = Engine::start(EngineSettings::default()).unwrap();
    let agent = Agent::start(&agent_settings("e1", engine.address)).unwrap();
    let api = ObjectApi::start(Arc::new(MemoryObjects::default())).unwrap();
    let tree = json!({
        "scheme": "slug",
        "workspaces": {"dream-diary": {}, "quote-check": {}},
        "pools": {"small": {
            "kind": "model",
            "model": "small",
            "targets": {"e1": {"agent": agent.address, "centre": "cx1"}},
        }},
        "routes": {
            "diary": {"pool": "small", "access": {"open": "dream-diary"}, "repeat": "always"},
            "quote": {"pool": "small", "access": {"open": "quote-check"}, "repeat": "always"},
        },
    });
    let tree = tree.to_string();
    api.objects
        .put("config/print", &tree, Precondition::Absent)
        .unwrap();
    World {
        api,
        usage: Usage::serve(UsageState::default()).unwrap(),
        engine,
        agent: Some(agent),
    }
}

/// Starts an entry with the duties whose interfaces `change` adds to the settings.
pub fn start_with(world: &World, host: &str, change: impl Fn(&mut EntrySettings)) -> Member {
    let relay = Relay::start(world.api.address).unwrap();
    let mut settings = entry_settings(host, loopback());
    settings.window = WINDOW;
    change(&mut settings);
    let objects = Arc::new(HttpObjects::new(relay.address));
    let entry = Entry::start(&settings, objects).unwrap();
    Member { entry, relay }
}

/// Starts an entry with the usage duties.
pub fn start_member(world: &World, host: &str) -> Member {
    let usage = world.usage.address;
    let member = start_with(world, host, |settings| settings.usage = Some(usage));
    await_true("the first answer", || {
        complete(&member, "diary", 1).is_some()
    });
    member
}

/// Starts two entries that know each other. The first one holds all usage duties.
pub fn start_pair(world: &World) -> [Member; 2] {
    let first = start_member(world, "host-1");
    await_true("the usage duties", || held(&first, "usage/") == 16);
    let second = start_member(world, "host-2");
    let known: Vec<(HostName, SocketAddr)> = vec![
        (HostName::from("host-1"), first.entry.peer),
        (HostName::from("host-2"), second.entry.peer),
    ];
    first.entry.set_entries(known.clone());
    second.entry.set_entries(known);
    [first, second]
}

/// Sends a completion and returns its text, if the answer was whole.
pub fn complete(member: &Member, route: &str, tokens: u64) -> Option<String> {
    let url = format!(
        "http://{}/print/{route}/v1/completions",
        member.entry.address
    );
    let body = json!({"model": "small", "prompt": "tag:x", "max_tokens": tokens}).to_string();
    let answer = minreq::post(url).with_body(body);
    let answer = answer.with_timeout(WAIT_LIMIT.as_secs()).send().ok()?;
    let text = answer.as_str().unwrap().to_owned();
    (answer.status_code == 200).then_some(text)
}

/// Returns the value of a metric, with its labels as written, or 0.
pub fn metric(member: &Member, name: &str) -> f64 {
    let url = format!("http://{}/metrics", member.entry.admin);
    let text = minreq::get(url)
        .send()
        .unwrap()
        .as_str()
        .unwrap()
        .to_owned();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0.0, |value| value.trim().parse().unwrap())
}

/// Counts the held duties whose name starts with a text.
pub fn held(member: &Member, start: &str) -> usize {
    let url = format!("http://{}/metrics", member.entry.admin);
    let text = minreq::get(url)
        .send()
        .unwrap()
        .as_str()
        .unwrap()
        .to_owned();
    let mark = format!("sardinepath_duty_held{{duty=\"{start}");
    let lines = text.lines().filter(|line| line.starts_with(&mark));
    lines.filter(|line| line.ends_with(" 1")).count()
}

/// Cuts an entry off from the object API until `heal`.
pub fn cut_off(member: &Member) {
    // A port that was free a moment ago refuses connections.
    let closed = TcpListener::bind(loopback()).unwrap().local_addr().unwrap();
    member.relay.redirect(closed);
    member.relay.cut();
}

/// Connects an entry with the object API again.
pub fn heal(world: &World, member: &Member) {
    member.relay.redirect(world.api.address);
}

/// Ends an entry as the end of its process does.
pub fn drain(member: &Member) {
    let process = Process::new(WAIT_LIMIT).serve();
    member.entry.drain(process, &HostClock);
}

/// Returns the stored lease of a duty.
pub fn lease(world: &World, duty: &str) -> Option<LeaseRecord> {
    let object = world.api.objects.get(&format!("leases/{duty}")).unwrap()?;
    Some(serde_json::from_str(&object.value).unwrap())
}

/// Returns the tokens that the engine generated in whole answers.
pub fn generated(world: &World) -> u64 {
    let executions = world.engine.book().executions;
    executions.iter().map(|execution| execution.tokens).sum()
}

/// Returns the tokens in all accepted reports.
pub fn billed(world: &World) -> u64 {
    world.usage.ask(|state| state.billed().values().sum())
}

/// Waits until at least this much is billed, and then for two more windows, so that a figure
/// that is billed twice shows.
pub fn await_billed(world: &World, tokens: u64) {
    await_true("the reports", || billed(world) >= tokens);
    thread::sleep(Duration::from_secs(2 * WINDOW + 1));
}

/// Returns the number of reports that contradict an earlier one.
pub fn contradictions(world: &World) -> usize {
    let book = world.usage.ask(|state| state.book.clone());
    book.iter().filter(|entry| entry.contradicts).count()
}

/// Returns the stored windows under a prefix.
pub fn windows(world: &World, prefix: &str) -> Vec<Value> {
    let listing = world.api.objects.list(prefix).unwrap();
    let windows = listing
        .objects
        .iter()
        .filter(|o| !o.path.ends_with("origin"));
    windows
        .map(|object| serde_json::from_str(&object.value).unwrap())
        .collect()
}

pub fn await_true(what: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !check() {
        assert!(Instant::now() < end, "waited too long for {what}");
        thread::sleep(Duration::from_millis(50));
    }
}
