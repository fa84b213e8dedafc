//! Fixtures of the request tests: a scripted target, and a request path with a relay in front of
//! each agent.

#![allow(dead_code)]

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_node::agent::Agent;
use sardinepath_node::entry::Entry;
use sardinepath_standins::objects::MemoryObjects;
use sardinepath_standins::relay::Relay;
use serde_json::json;

use crate::common::agent_settings;
use crate::common::entry_settings;
use crate::common::loopback;

/// Key of the test workspace.
pub const KEY: &str = "key/of+dream-diary-0001";

/// Maximum time to wait for a condition. A test waits this long only if it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Calls that a scripted target received, and values that its answers depend on.
#[derive(Debug, Default)]
pub struct TargetLog {
    /// Text of each executed call: head and body.
    pub executed: Mutex<Vec<String>>,
    /// Paths of calls whose connection was closed before the end of the answer.
    pub cancelled: Mutex<Vec<String>>,
    /// Weight version that the status reports.
    pub version: AtomicU64,
    /// Text of each order to load a version: head and body.
    pub loads: Mutex<Vec<String>>,
    /// Number of calls of `/busy` that are still to be refused.
    pub busy: AtomicU64,
}

/// A target whose answer depends on the first segment of the path.
pub struct ScriptedTarget {
    pub address: SocketAddr,
    pub log: Arc<TargetLog>,
}

impl ScriptedTarget {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let log = Arc::new(TargetLog::default());
        let shared = log.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let log = shared.clone();
                thread::spawn(move || serve_call(stream.unwrap(), &log));
            }
        });
        Self { address, log }
    }

    /// Returns the number of executed calls whose request line contains a text.
    pub fn count_runs(&self, text: &str) -> usize {
        let executed = self.log.executed.lock().unwrap();
        let lines = executed.iter().filter_map(|call| call.lines().next());
        lines.filter(|line| line.contains(text)).count()
    }
}

/// Serves one call and closes the connection.
fn serve_call(mut stream: TcpStream, log: &TargetLog) {
    let Some(call) = read_call(&stream) else {
        return;
    };
    let path = call.split(' ').nth(1).unwrap().to_owned();
    let kind = path.split(['/', '?']).nth(1).unwrap().to_owned();
    let kind = kind.as_str();
    if kind == "status" {
        let version = log.version.load(Ordering::SeqCst);
        let body = json!({"version": version, "capacity": 64}).to_string();
        return reply(&mut stream, "200 OK", "", &body);
    }
    if kind == "orders" {
        log.loads.lock().unwrap().push(call);
        return reply(&mut stream, "200 OK", "", "{}");
    }
    let decrement = |left: u64| left.checked_sub(1);
    if kind == "busy"
        && log
            .busy
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
    {
        return reply(&mut stream, "503 Busy", "x-not-run: 1\r\n", "");
    }
    log.executed.lock().unwrap().push(call);
    match kind {
        "error" => reply(&mut stream, "500 Broken", "", "{\"error\":\"mine\"}"),
        "plain503" => reply(&mut stream, "503 Later", "", "ran"),
        "crossed" => reply(&mut stream, "200 OK", "x-request-id: 0badcafe\r\n", "other"),
        "truncated" => write(
            &mut stream,
            "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\npart",
        ),
        "unframed" => write(
            &mut stream,
            "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart",
        ),
        "crash" => {}
        "doubled" => {
            let one = |n| {
                let body = format!("{n} of {path}");
                format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                )
            };
            write(&mut stream, &(one(1) + &one(2)));
            wait_for_close(stream, path, log);
        }
        "hang" => wait_for_close(stream, path, log),
        "late" => {
            thread::sleep(Duration::from_millis(1500));
            reply(&mut stream, "200 OK", "", &format!("late {path}"));
        }
        "stream" | "swap" | "drop" | "endless" | "flood" | "firehose" => {
            stream_events(stream, kind, path, log)
        }
        _ => reply(&mut stream, "200 OK", "", &format!("ran {path}")),
    }
}

/// Answers with a stream of events of this kind.
fn stream_events(mut stream: TcpStream, kind: &str, path: String, log: &TargetLog) {
    write(
        &mut stream,
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n",
    );
    match kind {
        "swap" => {
            write(&mut stream, "data: {\"weight_version\":7}\n\n");
            log.version.store(8, Ordering::SeqCst);
            write(&mut stream, "data: {\"weight_version\":8}\r\n\r\n");
        }
        "drop" => return write(&mut stream, "data: {\"weight_version\":7}\n\n"),
        "endless" => {
            write(&mut stream, "data: {\"text\":\"first\"}\n\n");
            return wait_for_close(stream, path, log);
        }
        "flood" => {
            // 8 MiB exceed the window of a stream, so the write blocks if the reader stalls.
            let event = format!("data: {}\n\n", "x".repeat(16 << 10));
            for _ in 0..512 {
                write(&mut stream, &event);
            }
        }
        "firehose" => {
            while stream.write_all(b"data: {\"text\":\"more\"}\n\n").is_ok() {}
            return;
        }
        _ => {}
    }
    write(
        &mut stream,
        "data: {\"usage\":{\"completion_tokens\":5}}\n\ndata: [DONE]\n\n",
    );
}

/// Waits until the agent closes the connection and logs the call as cancelled.
fn wait_for_close(mut stream: TcpStream, path: String, log: &TargetLog) {
    let mut byte = [0];
    let _ = stream.read(&mut byte);
    log.cancelled.lock().unwrap().push(path);
}

/// Reads a call, or returns `None` if the connection closes before its end.
fn read_call(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let found = name.eq_ignore_ascii_case("content-length");
        found.then(|| value.trim().parse().unwrap())
    });
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8(body).unwrap())
}

fn reply(stream: &mut TcpStream, status: &str, fields: &str, body: &str) {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{fields}content-length: {length}\r\n");
    write(stream, &format!("{head}connection: close\r\n\r\n{body}"));
}

fn write(stream: &mut TcpStream, text: &str) {
    // The agent may already have closed the connection.
    let _ = stream.write_all(text.as_bytes());
}

/// Entry, relays, agents and targets of one pool.
pub struct RequestPath {
    pub entry: Entry,
    pub objects: Arc<MemoryObjects>,
    pub relays: Vec<Relay>,
    pub agents: Vec<Agent>,
    pub targets: Vec<ScriptedTarget>,
}

/// Starts the agent of a target.
pub fn start_agent(target: SocketAddr, number: usize) -> Agent {
    let settings = agent_settings(&format!("target-{number}"), target);
    Agent::start(&settings).unwrap()
}

fn start_entry(objects: Arc<MemoryObjects>) -> Entry {
    let settings = entry_settings("host-2", loopback());
    Entry::start(&settings, objects).unwrap()
}

/// Returns the configuration of a team whose targets are reached through these relays.
fn team_tree(relays: &[Relay]) -> String {
    let target = |(n, relay): (usize, &Relay)| {
        let spec = json!({"agent": relay.address, "centre": "cx1"});
        (format!("target-{n}"), spec)
    };
    let targets: serde_json::Map<_, _> = relays.iter().enumerate().map(target).collect();
    let digest = String::from(KeyDigest::of(KEY.as_bytes()));
    let route = |repeat: &str, deadline: u32| {
        json!({
            "pool": "pool", "access": {"workspaces": ["diary"]},
            "repeat": repeat, "deadline": deadline,
        })
    };
    json!({
        "scheme": "slug",
        "workspaces": {"diary": {}},
        "keys": {"app": {"workspace": "diary", "digest": digest}},
        "pools": {"pool": {"kind": "plain", "targets": targets}},
        "routes": {
            "once": route("never", 60), "again": route("always", 60), "hasty": route("never", 2),
            "open": {"pool": "pool", "access": {"open": "diary"}},
        },
    })
    .to_string()
}

/// Starts a request path with this number of targets and waits until it serves.
pub fn start_path(count: usize) -> RequestPath {
    let targets: Vec<_> = (0..count).map(|_| ScriptedTarget::start()).collect();
    let numbered = targets.iter().enumerate();
    let agents: Vec<_> = numbered.map(|(n, t)| start_agent(t.address, n)).collect();
    let relays: Vec<_> = agents
        .iter()
        .map(|a| Relay::start(a.address).unwrap())
        .collect();
    let objects = Arc::new(MemoryObjects::default());
    objects
        .put("config/print", &team_tree(&relays), Precondition::Absent)
        .unwrap();
    let path = RequestPath {
        entry: start_entry(objects.clone()),
        objects,
        relays,
        agents,
        targets,
    };
    wait_until("the path serves", || path.get("open", "ready").0 == 200);
    path
}

/// Waits until the condition holds. Panics after `WAIT_TIMEOUT`.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "gave up waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

impl RequestPath {
    /// Posts to a route and returns the status and body.
    pub fn post(&self, route: &str, rest: &str) -> (i32, String) {
        let url = format!("http://{}/print/{route}/{rest}", self.entry.address);
        send(minreq::post(url).with_body("{}"))
    }

    /// Gets from a route and returns the status and body.
    pub fn get(&self, route: &str, rest: &str) -> (i32, String) {
        send(minreq::get(format!(
            "http://{}/print/{route}/{rest}",
            self.entry.address
        )))
    }

    /// Sends a streaming call and returns its connection.
    pub fn open_stream(&self, route: &str, rest: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.entry.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let body = "{\"prompt\":\"p\",\"stream\":true}";
        let length = body.len();
        let head = format!("POST /print/{route}/{rest} HTTP/1.1\r\nhost: e\r\nx-api-key: {KEY}");
        write!(stream, "{head}\r\ncontent-length: {length}\r\n\r\n{body}").unwrap();
        stream
    }

    /// Sends bytes on a new connection and returns all bytes of the answer.
    pub fn send_raw(&self, bytes: &str) -> String {
        let mut stream = TcpStream::connect(self.entry.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// Withdraws the key in the configuration.
    pub fn withdraw_key(&self) {
        let object = self.objects.get("config/print").unwrap().unwrap();
        let mut tree: serde_json::Value = serde_json::from_str(&object.value).unwrap();
        tree["keys"]["app"]["withdrawn"] = true.into();
        let expect = Precondition::At(object.revision);
        self.objects
            .put("config/print", &tree.to_string(), expect)
            .unwrap();
    }

    /// Returns the number of executed calls at all targets whose request line contains a text.
    pub fn count_runs(&self, text: &str) -> usize {
        self.targets
            .iter()
            .map(|target| target.count_runs(text))
            .sum()
    }
}

fn send(request: minreq::Request) -> (i32, String) {
    let answer = request
        .with_header("x-api-key", KEY)
        .with_timeout(WAIT_TIMEOUT.as_secs())
        .send()
        .unwrap();
    (
        answer.status_code.into(),
        answer.as_str().unwrap().to_owned(),
    )
}

/// Reads from a connection until the answer contains a text.
pub fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut answer = String::new();
    let mut buffer = [0; 1024];
    while !answer.contains(text) {
        let n = stream.read(&mut buffer).unwrap();
        assert_ne!(n, 0, "connection closed after {answer:?}");
        answer.push_str(std::str::from_utf8(&buffer[..n]).unwrap());
    }
    answer
}
