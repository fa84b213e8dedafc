//! Tests of an agent in its own process, with an entry in the process of the test.

#![allow(clippy::unwrap_used, missing_docs)]

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use sardinepath_core::domain::event::Event;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_node::config::EntrySettings;
use sardinepath_node::entry::Entry;
use sardinepath_standins::objects::MemoryObjects;
use sardinepath_standins::plain::PlainService;
use serde_json::Value;
use serde_json::json;

/// Timeout for each awaited condition. It is long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A running agent process, which is killed when dropped.
struct AgentProcess {
    child: Child,
    address: SocketAddr,
    admin: SocketAddr,
    log: Receiver<Value>,
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        // Both calls may fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_agent(name: &str, target: SocketAddr, drain_limit: u32) -> AgentProcess {
    let settings = json!({
        "role": "agent", "host": "host-1", "centre": "cx1", "listen": "127.0.0.1:0",
        "admin": "127.0.0.1:0", "target": "orders-1", "address": target, "drain_limit": drain_limit,
    });
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    fs::write(&file, settings.to_string()).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_sardinepath"))
        .args(["agent", "--settings"])
        .arg(&file)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let (sender, log) = flume::unbounded::<Value>();
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            // Sending fails if the test has ended.
            let _ = sender.send(serde_json::from_str(&line).unwrap());
        }
    });
    let serving = log.recv_timeout(WAIT_TIMEOUT).unwrap();
    AgentProcess {
        child,
        address: serving["address"].as_str().unwrap().parse().unwrap(),
        admin: serving["admin"].as_str().unwrap().parse().unwrap(),
        log,
    }
}

fn start_entry(agent: SocketAddr) -> Entry {
    let settings: EntrySettings = serde_json::from_value(json!({
        "role": "entry", "host": "host-2", "centre": "cx1", "listen": "127.0.0.1:0",
        "peer": "127.0.0.1:0", "admin": "127.0.0.1:0", "objects": "127.0.0.1:0",
    }))
    .unwrap();
    let tree = json!({
        "scheme": "slug",
        "workspaces": {"dream-diary": {}},
        "pools": {"orders": {
            "kind": "plain",
            "targets": {"orders-1": {"agent": agent, "centre": "cx1"}},
        }},
        "routes": {"catalogue": {"pool": "orders", "access": {"open": "dream-diary"}}},
    });
    let objects = Arc::new(MemoryObjects::default());
    let path = "config/print";
    objects
        .put(path, &tree.to_string(), Precondition::Absent)
        .unwrap();
    Entry::start(&settings, objects).unwrap()
}

fn get(url: &str) -> Option<(u16, String)> {
    let answer = minreq::get(url).with_timeout(WAIT_TIMEOUT.as_secs()).send();
    let answer = answer.ok()?;
    Some((answer.status_code, answer.as_str().ok()?.to_owned()))
}

fn await_true(condition: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !check() {
        assert!(Instant::now() < end, "timed out waiting for {condition}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn terminate(agent: &AgentProcess) {
    kill_process(Pid::from_child(&agent.child), Signal::TERM).unwrap();
}

fn await_event(agent: &AgentProcess, event: Event) {
    let number = u64::from(event.info().number);
    await_true(event.info().name, || {
        let line = agent.log.recv_timeout(WAIT_TIMEOUT).unwrap();
        line["event"].as_u64() == Some(number)
    });
}

/// Starts four slow calls and waits until the target runs all of them.
fn start_calls(
    service: &PlainService,
    entry: &Entry,
    delay: Duration,
) -> Vec<thread::JoinHandle<Option<(u16, String)>>> {
    let base = format!("http://{}/print/catalogue", entry.address);
    await_true("the first answer", || {
        get(&format!("{base}/ready")).is_some_and(|answer| answer.0 == 200)
    });
    service.set_faults(move |faults| faults.delay = delay);
    let call = |i| {
        let url = format!("{base}/slow/{i}");
        thread::spawn(move || get(&url))
    };
    let calls = (0..4).map(call).collect();
    await_true("slow calls to start", || {
        let executed = service.executed();
        executed
            .iter()
            .filter(|c| c.path.starts_with("/slow"))
            .count()
            == 4
    });
    calls
}

/// Guards against a SIGTERM that aborts running requests, a second SIGTERM that ends the drain
/// early, and a failure exit code after a complete drain.
#[test]
fn terminated_agent_finishes_its_requests() {
    let service = PlainService::start().unwrap();
    let mut agent = start_agent("finishes", service.address, 60);
    let entry = start_entry(agent.address);
    let calls = start_calls(&service, &entry, Duration::from_secs(5));

    terminate(&agent);
    await_event(&agent, Event::DrainStarted);
    let ready = get(&format!("http://{}/readyz", agent.admin));
    terminate(&agent);
    await_event(&agent, Event::SignalIgnored);
    let answers: Vec<_> = calls.into_iter().map(|c| c.join().unwrap()).collect();
    let status = agent.child.wait().unwrap();

    let expected = |i| Some((200, format!("executed GET /slow/{i}")));
    assert_eq!(answers, (0..4).map(expected).collect::<Vec<_>>());
    assert_eq!(status.code(), Some(0));
    await_event(&agent, Event::DrainFinished);
    assert_eq!(ready, Some((503, "draining\n".to_owned())));
}

/// Guards against a process that outlives its drain limit, or that aborts requests and still exits
/// with code 0.
#[test]
fn drain_limit_ends_the_process_with_code_1() {
    let service = PlainService::start().unwrap();
    let mut agent = start_agent("limit", service.address, 1);
    let entry = start_entry(agent.address);
    let _calls = start_calls(&service, &entry, Duration::from_secs(50));

    terminate(&agent);
    await_event(&agent, Event::DrainLimitReached);
    let status = agent.child.wait().unwrap();

    assert_eq!(status.code(), Some(1));
}

/// Guards against a port in use that is reported as invalid settings or not at all.
#[test]
fn failed_start_is_logged_and_ends_with_code_1() {
    let service = PlainService::start().unwrap();
    let settings = json!({
        "role": "agent", "host": "host-1", "centre": "cx1", "listen": service.address,
        "admin": "127.0.0.1:0", "target": "orders-1", "address": service.address,
    });
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("in_use.json");
    fs::write(&file, settings.to_string()).unwrap();

    let output = Command::new(env!("CARGO_BIN_EXE_sardinepath"))
        .args(["agent", "--settings"])
        .arg(&file)
        .output()
        .unwrap();

    let line: Value = serde_json::from_slice(&output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(line["event"], Event::ProcessFailed.info().number);
    assert_eq!(line["level"], "error");
}
