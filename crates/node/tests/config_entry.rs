//! Configuration on running entries: withdrawal, outages, restarts and faulty watches.

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
use sardinepath_standins::object_api::ObjectApi;
use sardinepath_standins::object_api::Service;
use sardinepath_standins::objects::MemoryObjects;
use sardinepath_standins::plain::PlainService;
use serde_json::Value;
use serde_json::json;

use crate::common::agent_settings;
use crate::common::entry_settings;
use crate::common::loopback;

const KEY: &str = "key-of-dream-diary-0001";
const PATH: &str = "config/print";

/// Longest wait for a condition. It is far above the 5 s of the promises, which a busy machine
/// may miss without a fault of the code.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// One platform with one target, for any number of entries.
struct Site {
    api: ObjectApi,
    agent: Agent,
    _service: Option<PlainService>,
}

fn start_agent(target: SocketAddr) -> Agent {
    Agent::start(&agent_settings("orders-1", target)).unwrap()
}

fn start_site() -> Site {
    let service = PlainService::start().unwrap();
    let mut site = start_site_with(service.address);
    site._service = Some(service);
    site
}

fn start_site_with(target: SocketAddr) -> Site {
    let api = ObjectApi::start(Arc::new(MemoryObjects::default())).unwrap();
    let agent = start_agent(target);
    let tree = tree(agent.address, false).to_string();
    api.objects.put(PATH, &tree, Precondition::Absent).unwrap();
    Site {
        api,
        agent,
        _service: None,
    }
}

fn start_entry(site: &Site, host: &str) -> Entry {
    let settings = entry_settings(host, site.api.address);
    let objects = Arc::new(HttpObjects::new(site.api.address));
    Entry::start(&settings, objects).unwrap()
}

fn tree(agent: SocketAddr, withdrawn: bool) -> Value {
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

/// Withdraws the key at the platform and returns the revision.
fn withdraw(site: &Site) -> Revision {
    let now = site.api.objects.get(PATH).unwrap().unwrap().revision;
    let tree = tree(site.agent.address, true).to_string();
    let put = site.api.objects.put(PATH, &tree, Precondition::At(now));
    put.unwrap()
}

fn keyed(entry: &Entry) -> (u16, String) {
    let url = format!("http://{}/print/orders/book", entry.address);
    let request = minreq::post(url).with_header("x-api-key", KEY);
    let answer = request.with_timeout(20).send().unwrap();
    (answer.status_code, answer.as_str().unwrap().to_owned())
}

fn open_status(entry: &Entry) -> u16 {
    let url = format!("http://{}/print/catalogue/list", entry.address);
    minreq::get(url)
        .with_timeout(20)
        .send()
        .unwrap()
        .status_code
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "{what} within {WAIT_LIMIT:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

fn wait_until_serving(entry: &Entry) {
    wait_until("a keyed request succeeds", || keyed(entry).0 == 200);
}

/// Starts a target that streams an event every 100 ms, for at most a minute.
fn start_stream() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_stream(&stream));
        }
    });
    address
}

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

/// Guards against a stream that goes on after its key was withdrawn (P6).
#[test]
fn withdrawal_ends_a_running_stream() {
    let site = start_site_with(start_stream());
    let entry = start_entry(&site, "host-1");
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

    withdraw(&site);
    // The entry aborts the connection after the error event.
    let _ = stream.read_to_end(&mut text);

    let text = String::from_utf8(text).unwrap();
    assert!(
        text.contains("event: error") && text.contains("key_withdrawn"),
        "{text}"
    );
    assert!(start.elapsed() < WAIT_LIMIT, "{:?}", start.elapsed());
    assert_eq!(keyed(&entry).0, 401);
}

/// Guards against an entry without contact that accepts keys, or refuses open routes.
#[test]
fn entry_without_contact_refuses_keys_and_serves_open_routes() {
    let site = start_site();
    let entry = start_entry(&site, "host-1");
    wait_until_serving(&entry);

    site.api.set(|faults| faults.service = Service::Silent);

    wait_until("keys become stale", || keyed(&entry).0 == 503);
    let (_, text) = keyed(&entry);
    assert!(
        text.contains("keys_stale") && text.contains("not_run"),
        "{text}"
    );
    assert_eq!(open_status(&entry), 200);
    site.api.set(|faults| faults.service = Service::Up);
    wait_until_serving(&entry);
}

/// Guards against an entry that cannot start, or keyed requests refused, in an outage.
#[test]
fn restarted_entry_reads_from_a_peer_while_the_platform_is_down() {
    let site = start_site();
    let first = start_entry(&site, "host-1");
    wait_until_serving(&first);
    site.api.set(|faults| faults.service = Service::Refusing);
    wait_until("keys become stale", || keyed(&first).0 == 503);

    let second = start_entry(&site, "host-2");
    assert_eq!(open_status(&second), 503);
    let entries = vec![
        ("host-1".into(), first.peer),
        ("host-2".into(), second.peer),
    ];
    first.set_entries(entries.clone());
    second.set_entries(entries);

    wait_until_serving(&second);
    wait_until_serving(&first);
}

/// Guards against a withdrawal that is lost because the platform fails before all have read it.
#[test]
fn withdrawal_reaches_an_entry_through_a_peer_in_an_outage() {
    let site = start_site();
    let cut = ObjectApi::start(site.api.objects.clone()).unwrap();
    let other = Site {
        api: cut,
        agent: start_agent(loopback()),
        _service: None,
    };
    let first = start_entry(&site, "host-1");
    let second = start_entry(&other, "host-2");
    let entries = vec![
        ("host-1".into(), first.peer),
        ("host-2".into(), second.peer),
    ];
    first.set_entries(entries.clone());
    second.set_entries(entries);
    wait_until_serving(&first);
    wait_until_serving(&second);
    other.api.set(|faults| faults.service = Service::Refusing);

    withdraw(&site);
    wait_until("the first entry refuses the key", || keyed(&first).0 == 401);
    site.api.set(|faults| faults.service = Service::Refusing);

    wait_until("the second entry refuses the key", || {
        keyed(&second).0 == 401
    });
}

/// Guards against a change that a watch skips, repeats, or cannot deliver after compaction.
#[test]
fn faulty_watches_do_not_lose_or_revert_a_withdrawal() {
    let site = start_site();
    let entry = start_entry(&site, "host-1");
    wait_until_serving(&entry);
    site.api.set(|faults| faults.skipped = 1);

    let withdrawn = withdraw(&site);
    wait_until("the skipped change arrives", || keyed(&entry).0 == 401);

    assert_eq!(site.api.faults().skipped, 0);
    site.api.set(|faults| faults.replayed = 1);
    let tree = tree(site.agent.address, true).to_string();
    site.api
        .objects
        .put(PATH, &tree, Precondition::At(withdrawn))
        .unwrap();
    wait_until("the history is repeated", || {
        site.api.faults().replayed == 0
    });
    site.api.objects.compact();
    for _ in 0..20 {
        assert_eq!(keyed(&entry).0, 401);
        thread::sleep(Duration::from_millis(50));
    }
}
