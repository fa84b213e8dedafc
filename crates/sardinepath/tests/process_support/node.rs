//! Entry and agent processes.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;

use flume::Receiver;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use sardinepath_core::domain::event::Event;
use sardinepath_standins::relay::Relay;
use serde_json::Value;
use serde_json::json;

use crate::process_support::WAIT_TIMEOUT;
use crate::process_support::await_true;
use crate::process_support::scratch_file;

/// A running entry or agent process, which is killed when dropped.
pub struct Node {
    pub address: SocketAddr,
    pub admin: SocketAddr,
    /// Address for connections from other entries. `None` on an agent.
    pub peer: Option<SocketAddr>,
    /// Relay through which other entries connect, if there is one.
    pub relay: Option<Relay>,
    child: Child,
    log: Receiver<Value>,
}

impl Node {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process has exited and returns its status.
    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        await_true("a process to end", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Waits for a log event.
    pub fn await_event(&self, event: Event) {
        let number = u64::from(event.info().number);
        await_true(event.info().name, || {
            let line = self.log.recv_timeout(WAIT_TIMEOUT).unwrap();
            line["event"].as_u64() == Some(number)
        });
    }

    /// Returns `true` if the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the process ID.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Both calls may fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts an agent beside a target and waits until it is ready.
pub fn start_agent(name: &str, index: usize, target: SocketAddr) -> Node {
    let settings = json!({
        "role": "agent", "host": format!("agent-{index}"), "centre": "cx1",
        "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
        "target": format!("target-{index}"), "address": target, "drain_limit": 60,
    });
    let node = start("agent", &format!("{name}-agent-{index}"), &settings);
    let ready = format!("http://{}/readyz", node.admin);
    // An agent that reports `Starting` to a new entry is not chosen until its next report.
    await_true("an agent to be ready", || {
        let answer = minreq::get(&ready)
            .with_timeout(WAIT_TIMEOUT.as_secs())
            .send();
        answer.is_ok_and(|answer| answer.status_code == 200)
    });
    node
}

/// Starts an entry with extra settings and waits until it listens.
pub fn start_entry(name: &str, index: usize, objects: SocketAddr, extra: &Value) -> Node {
    let mut settings = json!({
        "role": "entry", "host": format!("entry-{index}"), "centre": "cx1",
        "listen": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
        "objects": objects, "drain_limit": 60,
    });
    let fields = settings.as_object_mut().unwrap();
    fields.extend(extra.as_object().unwrap().clone());
    start("entry", &format!("{name}-entry-{index}"), &settings)
}

fn start(role: &str, name: &str, settings: &Value) -> Node {
    let file = scratch_file(name);
    fs::write(&file, settings.to_string()).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_sardinepath"))
        .args([role, "--settings"])
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
    let serving = loop {
        let line = log.recv_timeout(WAIT_TIMEOUT).unwrap();
        if line["address"].is_string() {
            break line;
        }
    };
    let address = |field: &str| {
        let text = serving[field].as_str();
        text.map(|text| text.parse().unwrap())
    };
    Node {
        address: address("address").unwrap(),
        admin: address("admin").unwrap(),
        peer: address("peer"),
        relay: None,
        child,
        log,
    }
}
