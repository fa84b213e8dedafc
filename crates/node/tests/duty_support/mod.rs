//! Fixtures of the duty tests: entries that reach the HTTP object API through relays, and the other
//! interfaces of the platform.

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

/// Maximum time to wait for a condition. It is long enough for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Length of a usage window in seconds.
pub const WINDOW_SECONDS: u64 = 2;

/// The platform's interfaces, an engine and its agent.
pub struct Fixture {
    pub api: ObjectApi,
    pub usage: Usage,
    pub engine: Engine,
    pub agent: Option<Agent>,
}

/// An entry and the relay between it and the object API.
pub struct Member {
    pub entry: Entry,
    pub relay: Relay,
}

/// Starts the object API with a configuration, the usage interface, an engine and its agent.
pub fn start_fixture() -> Fixture {
    let engine = Engine::start(EngineSettings::default()).unwrap();
    let agent = Agent::start(&agent_settings("e1", engine.address)).unwrap();
    let api = ObjectApi::start(Arc::new(MemoryObjects::default())).unwrap();
    let team_tree = json!({
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
    let team_tree = team_tree.to_string();
    api.objects
        .put("config/print", &team_tree, Precondition::Absent)
        .unwrap();
    Fixture {
        api,
        usage: Usage::serve(UsageState::default()).unwrap(),
        engine,
        agent: Some(agent),
    }
}

/// Starts an entry after `change` has added the interfaces of its duties to the settings.
pub fn start_entry_with(
    fixture: &Fixture,
    host: &str,
    change: impl Fn(&mut EntrySettings),
) -> Member {
    let relay = Relay::start(fixture.api.address).unwrap();
    let mut settings = entry_settings(host, loopback());
    settings.window = WINDOW_SECONDS;
    change(&mut settings);
    let objects = Arc::new(HttpObjects::new(relay.address));
    let entry = Entry::start(&settings, objects).unwrap();
    Member { entry, relay }
}

/// Starts an entry with the usage duties and waits until it serves.
pub fn start_member(fixture: &Fixture, host: &str) -> Member {
    let usage = fixture.usage.address;
    let member = start_entry_with(fixture, host, |settings| settings.usage = Some(usage));
    wait_for("the first answer", || {
        request_completion(&member, "diary", 1).is_some()
    });
    member
}

/// Starts two entries that know each other's address. The first one holds all usage duties.
pub fn start_pair(fixture: &Fixture) -> [Member; 2] {
    let first = start_member(fixture, "host-1");
    wait_for("the usage duties", || count_held(&first, "usage/") == 16);
    let second = start_member(fixture, "host-2");
    let known: Vec<(HostName, SocketAddr)> = vec![
        (HostName::from("host-1"), first.entry.peer),
        (HostName::from("host-2"), second.entry.peer),
    ];
    first.entry.set_entries(known.clone());
    second.entry.set_entries(known);
    [first, second]
}

/// Sends a completion and returns its text, or `None` if the request failed.
pub fn request_completion(member: &Member, route: &str, tokens: u64) -> Option<String> {
    let url = format!(
        "http://{}/print/{route}/v1/completions",
        member.entry.address
    );
    let body = json!({"model": "small", "prompt": "tag:x", "max_tokens": tokens}).to_string();
    let answer = minreq::post(url).with_body(body);
    let answer = answer.with_timeout(WAIT_TIMEOUT.as_secs()).send().ok()?;
    let text = answer.as_str().unwrap().to_owned();
    (answer.status_code == 200).then_some(text)
}

/// Returns the value of a metric, or 0 if it is absent. The name includes the labels as written on
/// the page.
pub fn read_metric(member: &Member, name: &str) -> f64 {
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

/// Returns the number of held duties whose name starts with a prefix.
pub fn count_held(member: &Member, prefix: &str) -> usize {
    let url = format!("http://{}/metrics", member.entry.admin);
    let text = minreq::get(url)
        .send()
        .unwrap()
        .as_str()
        .unwrap()
        .to_owned();
    let line_start = format!("sardinepath_duty_held{{duty=\"{prefix}");
    let lines = text.lines().filter(|line| line.starts_with(&line_start));
    lines.filter(|line| line.ends_with(" 1")).count()
}

/// Disconnects an entry from the object API until `reconnect` is called.
pub fn disconnect(member: &Member) {
    // Nothing listens on the port any more, so it refuses connections.
    let closed = TcpListener::bind(loopback()).unwrap().local_addr().unwrap();
    member.relay.redirect(closed);
    member.relay.cut();
}

/// Connects an entry with the object API again.
pub fn reconnect(fixture: &Fixture, member: &Member) {
    member.relay.redirect(fixture.api.address);
}

/// Drains an entry, as at the end of its process.
pub fn drain_entry(member: &Member) {
    let process = Process::new(WAIT_TIMEOUT).serve();
    member.entry.drain(process, &HostClock);
}

/// Returns the stored lease of a duty, or `None` if there is none.
pub fn stored_lease(fixture: &Fixture, duty: &str) -> Option<LeaseRecord> {
    let object = fixture
        .api
        .objects
        .get(&format!("leases/{duty}"))
        .unwrap()?;
    Some(serde_json::from_str(&object.value).unwrap())
}

/// Returns the number of tokens that the engine generated.
pub fn generated_tokens(fixture: &Fixture) -> u64 {
    let executions = fixture.engine.log().executions;
    executions.iter().map(|execution| execution.tokens).sum()
}

/// Returns the number of tokens in all accepted usage reports.
pub fn billed_tokens(fixture: &Fixture) -> u64 {
    fixture.usage.ask(|state| state.billed().values().sum())
}

/// Waits until at least this many tokens are billed, and then for two more windows, in which tokens
/// that are billed twice would be reported.
pub fn wait_until_billed(fixture: &Fixture, tokens: u64) {
    wait_for("the reports", || billed_tokens(fixture) >= tokens);
    thread::sleep(Duration::from_secs(2 * WINDOW_SECONDS + 1));
}

/// Returns the number of usage reports that contradict an earlier one.
pub fn count_contradictions(fixture: &Fixture) -> usize {
    let reports = fixture.usage.ask(|state| state.log.clone());
    reports.iter().filter(|entry| entry.contradicts).count()
}

/// Returns the stored windows or intents under a prefix.
pub fn stored_records(fixture: &Fixture, prefix: &str) -> Vec<Value> {
    let listing = fixture.api.objects.list(prefix).unwrap();
    let records = listing
        .objects
        .iter()
        .filter(|o| !o.path.ends_with("origin"));
    records
        .map(|object| serde_json::from_str(&object.value).unwrap())
        .collect()
}

/// Waits until `check` returns `true`. Panics after `WAIT_TIMEOUT`.
pub fn wait_for(what: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !check() {
        assert!(Instant::now() < end, "timed out while waiting for {what}");
        thread::sleep(Duration::from_millis(50));
    }
}
