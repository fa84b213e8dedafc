//! Calls through the whole request path in one process: caller, entry, agent and plain service.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_node::agent::Agent;
use sardinepath_node::entry::Entry;
use sardinepath_standins::objects::MemoryObjects;
use sardinepath_standins::plain::PlainService;
use serde_json::json;

use crate::common::agent_settings;
use crate::common::entry_settings;
use crate::common::loopback;

const KEY: &str = "key-of-dream-diary-0001";

/// A running request path with one target.
struct RequestPath {
    entry: Entry,
    _agent: Agent,
    service: PlainService,
}

/// Returns the configuration of a team whose only target has this agent.
fn team_tree(agent: SocketAddr) -> String {
    let digest = String::from(KeyDigest::of(KEY.as_bytes()));
    json!({
        "scheme": "slug",
        "workspaces": {"dream-diary": {}},
        "keys": {"diary-app": {"workspace": "dream-diary", "digest": digest}},
        "pools": {"orders": {
            "kind": "plain",
            "targets": {"orders-1": {"agent": agent, "centre": "cx1"}},
        }},
        "routes": {
            "orders": {"pool": "orders", "access": {"workspaces": ["dream-diary"]}},
            "catalogue": {"pool": "orders", "access": {"open": "dream-diary"}},
        },
    })
    .to_string()
}

fn start_path() -> RequestPath {
    let service = PlainService::start().unwrap();
    let agent = Agent::start(&agent_settings("orders-1", service.address)).unwrap();
    let objects = Arc::new(MemoryObjects::default());
    objects
        .put(
            "config/print",
            &team_tree(agent.address),
            Precondition::Absent,
        )
        .unwrap();
    let entry = Entry::start(&entry_settings("host-2", loopback()), objects).unwrap();
    let path = RequestPath {
        entry,
        _agent: agent,
        service,
    };
    wait_until_ready(&path);
    path
}

/// Waits until the entry has read its configuration and the first report of the agent.
fn wait_until_ready(path: &RequestPath) {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        let url = format!("http://{}/print/catalogue/ready", path.entry.address);
        let ready = minreq::get(url).send().is_ok_and(|a| a.status_code == 200);
        if ready {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("the entry did not serve within ten seconds");
}

/// Guards against a call that is lost or repeated on its way, and against a key that is passed on
/// to the target.
#[test]
fn keyed_call_runs_once_and_hides_the_key() {
    let path = start_path();
    let url = format!("http://{}/print/orders/book/7?copies=2", path.entry.address);

    let answer = minreq::post(url)
        .with_header("authorization", format!("Bearer {KEY}"))
        .with_body("{\"pages\": 40}")
        .send()
        .unwrap();

    assert_eq!(answer.status_code, 200);
    assert_eq!(answer.as_str().unwrap(), "executed POST /book/7?copies=2");
    let executed: Vec<_> = path
        .service
        .executed()
        .into_iter()
        .filter(|call| call.path.starts_with("/book"))
        .collect();
    assert_eq!(executed.len(), 1);
    assert!(!format!("{executed:?}").contains(KEY));
}

/// Guards against a call without a key that runs on a route that needs one.
#[test]
fn call_without_key_is_refused_and_does_not_run() {
    let path = start_path();
    let url = format!("http://{}/print/orders/book/8", path.entry.address);

    let answer = minreq::post(url).send().unwrap();

    assert_eq!(answer.status_code, 401);
    assert!(answer.as_str().unwrap().contains("not_run"));
    let executed = path.service.executed();
    assert!(executed.iter().all(|call| call.path != "/book/8"));
}
