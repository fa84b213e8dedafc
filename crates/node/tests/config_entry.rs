//! Configuration on running entries: withdrawal of keys, outages, restarts and faulty watches.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sardinepath_adapters::platform::object::HttpObjects;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_node::agent::Agent;
use sardinepath_node::entry::Entry;
use sardinepath_standins::object_api::Availability;
use sardinepath_standins::object_api::ObjectApi;
use sardinepath_standins::objects::MemoryObjects;
use sardinepath_standins::plain::PlainService;
use serde_json::Value;
use serde_json::json;

use crate::common::agent_settings;
use crate::common::entry_settings;
use crate::common::loopback;

const KEY: &str = "key-of-dream-diary-0001";
const CONFIG_PATH: &str = "config/print";

/// Maximum time to wait for a condition. It is far above the guaranteed 5 s, because a busy machine
/// can exceed those although the code is correct.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// An object API and one target, for any number of entries.
struct Fixture {
    api: ObjectApi,
    agent: Agent,
    _service: Option<PlainService>,
}

fn start_agent(target: SocketAddr) -> Agent {
    Agent::start(&agent_settings("orders-1", target)).unwrap()
}

fn start_fixture() -> Fixture {
    let service = PlainService::start().unwrap();
    let mut fixture = start_fixture_with(service.address);
    fixture._service = Some(service);
    fixture
}

fn start_fixture_with(target: SocketAddr) -> Fixture {
    let api = ObjectApi::start(Arc::new(MemoryObjects::default())).unwrap();
    let agent = start_agent(target);
    let tree = team_tree(agent.address, false).to_string();
    api.objects
        .put(CONFIG_PATH, &tree, Precondition::Absent)
        .unwrap();
    Fixture {
        api,
        agent,
        _service: None,
    }
}

fn start_entry(fixture: &Fixture, host: &str) -> Entry {
    let settings = entry_settings(host, fixture.api.address);
    let objects = Arc::new(HttpObjects::new(fixture.api.address));
    Entry::start(&settings, objects).unwrap()
}

fn team_tree(agent: SocketAddr, withdrawn: bool) -> Value {
    let digest = String::from(KeyDigest::of(KEY.as_bytes()));
    json!({
        "scheme": "slug",
        "workspaces": {"dream-diary": {}},
        "keys": {"app": {
            "workspace": "dream-diary", "digest": digest, "withdrawn": withdrawn}},
        "pools": {"orders": {"kind": "plain", "targets": {
            "orders-1": {"agent": agent, "centre": "cx1"}}}},
        "routes": {
            "orders": {"pool": "orders", "access": {"workspaces": ["dream-diary"]}},
            "catalogue": {"pool": "orders", "access": {"open": "dream-diary"}},
        },
    })
}

/// Withdraws the key in the stored configuration and returns the new revision.
fn withdraw_key(fixture: &Fixture) -> Revision {
    let now = fixture
        .api
        .objects
        .get(CONFIG_PATH)
        .unwrap()
        .unwrap()
        .revision;
    let tree = team_tree(fixture.agent.address, true).to_string();
    let put = fixture
        .api
        .objects
        .put(CONFIG_PATH, &tree, Precondition::At(now));
    put.unwrap()
}

/// Posts to the route that needs a key and returns the status and body.
fn post_with_key(entry: &Entry) -> (u16, String) {
    let url = format!("http://{}/print/orders/book", entry.address);
    let request = minreq::post(url).with_header("x-api-key", KEY);
    let answer = request.with_timeout(20).send().unwrap();
    (answer.status_code, answer.as_str().unwrap().to_owned())
}

/// Returns the status of a request to the open route.
fn open_route_status(entry: &Entry) -> u16 {
    let url = format!("http://{}/print/catalogue/list", entry.address);
    minreq::get(url)
        .with_timeout(20)
        .send()
        .unwrap()
        .status_code
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < end,
            "timed out after {WAIT_TIMEOUT:?} while waiting until {what}"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

fn wait_until_serving(entry: &Entry) {
    wait_until("a keyed request succeeds", || post_with_key(entry).0 == 200);
}

/// Starts a target that streams an event every 100 ms, for at most a minute.
fn start_streaming_target() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_stream(&stream));
        }
    });
    address
}

/// Answers one call of the status or of a stream. Returns `None` if the connection was closed.
fn answer_stream(mut stream: &TcpStream) -> Option<()> {
    let mut lines = BufReader::new(stream).lines();
    let first = lines.next()?.ok()?;
    lines
        .find(|line| line.as_ref().is_ok_and(String::is_empty))?
        .ok()?;
    if first.contains("/status") {
        let body = r#"{"version":0,"running":0,"queued":0,"capacity":64,"sequence":0}"#;
        let size = body.len();
        let head =
            format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\nconnection: close\r\n\r\n");
        return stream.write_all(format!("{head}{body}").as_bytes()).ok();
    }
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).ok()?;
    for _ in 0..600 {
        stream.write_all(b"data: {\"text\":\"fish\"}\n\n").ok()?;
        thread::sleep(Duration::from_millis(100));
    }
    Some(())
}

/// Guards against a stream that continues after its key was withdrawn (promise P6).
#[test]
fn withdrawal_ends_a_running_stream() {
    let fixture = start_fixture_with(start_streaming_target());
    let entry = start_entry(&fixture, "host-1");
    let body = json!({"prompt": "a", "stream": true}).to_string();
    let open = || {
        let url = format!("http://{}/print/orders/v1/completions", entry.address);
        let request = minreq::post(url).with_header("x-api-key", KEY);
        request.with_body(body.clone()).with_timeout(60).send_lazy()
    };
    wait_until("a stream opens", || {
        open().is_ok_and(|a| a.status_code == 200)
    });
    let mut stream = open().unwrap();
    let mut text = vec![0; 16];
    stream.read_exact(&mut text).unwrap();
    let start = Instant::now();

    withdraw_key(&fixture);
    // The entry aborts the connection after the error event.
    let _ = stream.read_to_end(&mut text);

    let text = String::from_utf8(text).unwrap();
    assert!(
        text.contains("event: error") && text.contains("key_withdrawn"),
        "{text}"
    );
    assert!(start.elapsed() < WAIT_TIMEOUT, "{:?}", start.elapsed());
    assert_eq!(post_with_key(&entry).0, 401);
}

/// Guards against an entry that accepts keys while it cannot reach the object API and so does not
/// learn of withdrawals, and against refusals on open routes in this state.
#[test]
fn entry_without_contact_refuses_keys_and_serves_open_routes() {
    let fixture = start_fixture();
    let entry = start_entry(&fixture, "host-1");
    wait_until_serving(&entry);

    fixture
        .api
        .set_faults(|faults| faults.availability = Availability::Silent);

    wait_until("keys become stale", || post_with_key(&entry).0 == 503);
    let (_, text) = post_with_key(&entry);
    assert!(
        text.contains("keys_stale") && text.contains("not_run"),
        "{text}"
    );
    assert_eq!(open_route_status(&entry), 200);
    fixture
        .api
        .set_faults(|faults| faults.availability = Availability::Up);
    wait_until_serving(&entry);
}

/// Guards against an entry that cannot start or refuses requests with a key while the object API is
/// down, although a peer has the configuration.
#[test]
fn restarted_entry_reads_from_a_peer_while_the_platform_is_down() {
    let fixture = start_fixture();
    let first = start_entry(&fixture, "host-1");
    wait_until_serving(&first);
    fixture
        .api
        .set_faults(|faults| faults.availability = Availability::Refusing);
    wait_until("keys become stale", || post_with_key(&first).0 == 503);

    let second = start_entry(&fixture, "host-2");
    assert_eq!(open_route_status(&second), 503);
    let entries = vec![
        ("host-1".into(), first.peer),
        ("host-2".into(), second.peer),
    ];
    first.set_entries(entries.clone());
    second.set_entries(entries);

    wait_until_serving(&second);
    wait_until_serving(&first);
}

/// Guards against a withdrawal that an entry misses because the object API fails after only its
/// peer has read it.
#[test]
fn withdrawal_reaches_an_entry_through_a_peer_in_an_outage() {
    let fixture = start_fixture();
    let other_api = ObjectApi::start(fixture.api.objects.clone()).unwrap();
    let other = Fixture {
        api: other_api,
        agent: start_agent(loopback()),
        _service: None,
    };
    let first = start_entry(&fixture, "host-1");
    let second = start_entry(&other, "host-2");
    let entries = vec![
        ("host-1".into(), first.peer),
        ("host-2".into(), second.peer),
    ];
    first.set_entries(entries.clone());
    second.set_entries(entries);
    wait_until_serving(&first);
    wait_until_serving(&second);
    other
        .api
        .set_faults(|faults| faults.availability = Availability::Refusing);

    withdraw_key(&fixture);
    wait_until("the first entry refuses the key", || {
        post_with_key(&first).0 == 401
    });
    fixture
        .api
        .set_faults(|faults| faults.availability = Availability::Refusing);

    wait_until("the second entry refuses the key", || {
        post_with_key(&second).0 == 401
    });
}

/// Guards against a withdrawal that is lost or reverted because a watch skips it, repeats older
/// changes, or fails after a compaction of the history.
#[test]
fn faulty_watches_do_not_lose_or_revert_a_withdrawal() {
    let fixture = start_fixture();
    let entry = start_entry(&fixture, "host-1");
    wait_until_serving(&entry);
    fixture.api.set_faults(|faults| faults.omitted_changes = 1);

    let withdrawn = withdraw_key(&fixture);
    wait_until("the skipped change arrives", || {
        post_with_key(&entry).0 == 401
    });

    assert_eq!(fixture.api.faults().omitted_changes, 0);
    fixture.api.set_faults(|faults| faults.repeated_history = 1);
    let tree = team_tree(fixture.agent.address, true).to_string();
    fixture
        .api
        .objects
        .put(CONFIG_PATH, &tree, Precondition::At(withdrawn))
        .unwrap();
    wait_until("the history is repeated", || {
        fixture.api.faults().repeated_history == 0
    });
    fixture.api.objects.compact();
    for _ in 0..20 {
        assert_eq!(post_with_key(&entry).0, 401);
        thread::sleep(Duration::from_millis(50));
    }
}
