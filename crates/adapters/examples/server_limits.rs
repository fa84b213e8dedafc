//! Measures how `tiny_http` and the server for callers treat a slow head and a failed accept.
//!
//! Run `cargo run --release -p sardinepath-adapters --example server_limits`.

use std::fs::File;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::anyhow;
use flume::Sender;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::setrlimit;
use sardinepath_adapters::caller::CallerServer;
use sardinepath_adapters::caller::limits::CallerLimits;
use sardinepath_adapters::runtime::Runtime;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::domain::call::AnswerSummary;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::error::ErrorKind as Refusal;
use sardinepath_core::port::front::CallerFront;
use sardinepath_core::port::target::CallGuard;

/// Longest wait for a server to end a slow head. The limit for callers is 10 s.
const SLOW_WAIT: Duration = Duration::from_secs(15);

/// Time for the answer to a plain request.
const ANSWER_WAIT: Duration = Duration::from_secs(3);

/// Connections with half a head, to count the threads they hold.
const SLOW_CALLERS: usize = 50;

/// File descriptors that the process may have during the failed accept.
const DESCRIPTORS: u64 = 256;

/// Answers every request at once.
struct Prompt;

struct Nothing;

impl CallGuard for Nothing {}

impl CallerFront for Prompt {
    fn submit(&self, _inbound: Inbound, events: Sender<CallEvent>) -> Box<dyn CallGuard> {
        let head = CallEvent::Head {
            status: 200,
            fields: Vec::new(),
        };
        // The channel has room for both events.
        let _ = events.try_send(head);
        let _ = events.try_send(CallEvent::End(AnswerSummary::default()));
        Box::new(Nothing)
    }

    fn note_refusal(&self, _kind: Refusal) {}
}

fn main() -> anyhow::Result<()> {
    let runtime = Runtime::start(2)?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let limits = CallerLimits::default();
    let ours = CallerServer::start(&runtime.spawner(), listener, limits, Arc::new(Prompt))?;
    measure("caller server", ours.address)?;
    measure("tiny_http", start_tiny_http()?)?;
    Ok(())
}

fn start_tiny_http() -> anyhow::Result<SocketAddr> {
    let server = tiny_http::Server::http("127.0.0.1:0").map_err(|e| anyhow!("{e}"))?;
    let address = server.server_addr().to_ip().context("no address")?;
    thread::spawn(move || {
        loop {
            match server.recv() {
                Ok(request) => {
                    let _ = request.respond(tiny_http::Response::from_string("fine"));
                }
                Err(e) => println!("tiny_http: recv failed: {e}"),
            }
        }
    });
    Ok(address)
}

fn measure(name: &str, address: SocketAddr) -> anyhow::Result<()> {
    println!("{name}: answers before: {}", answers(address));
    slow_heads(name, address)?;
    // The server frees the descriptors of the slow connections first.
    thread::sleep(Duration::from_secs(1));
    failed_accept(name, address)?;
    println!(
        "{name}: answers after the failed accept: {}",
        answers(address)
    );
    Ok(())
}

/// Sends half a head on many connections and waits for the first to end.
fn slow_heads(name: &str, address: SocketAddr) -> anyhow::Result<()> {
    let before = threads()?;
    let mut slow = Vec::new();
    for _ in 0..SLOW_CALLERS {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost:")?;
        slow.push(stream);
    }
    thread::sleep(Duration::from_millis(500));
    let held = threads()?.saturating_sub(before);
    println!("{name}: threads added by {SLOW_CALLERS} slow heads: {held}");
    let start = Instant::now();
    slow[0].set_read_timeout(Some(SLOW_WAIT))?;
    let mut answer = String::new();
    match slow[0].read_to_string(&mut answer) {
        Err(e) if e.kind() == ErrorKind::WouldBlock => {
            println!("{name}: slow head still open after {SLOW_WAIT:?}");
        }
        _ => {
            let first = answer.lines().next().unwrap_or("nothing");
            println!(
                "{name}: slow head ended after {:?}: {first}",
                start.elapsed()
            );
        }
    }
    Ok(())
}

/// Uses up the file descriptors, so that the next accept fails, and frees them again.
fn failed_accept(name: &str, address: SocketAddr) -> anyhow::Result<()> {
    let old = getrlimit(Resource::Nofile);
    let lower = Rlimit {
        current: Some(DESCRIPTORS),
        maximum: old.maximum,
    };
    setrlimit(Resource::Nofile, lower)?;
    let mut fill = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        fill.push(file);
    }
    // One descriptor for the client; none is left for the server.
    fill.pop();
    let client = TcpStream::connect(address);
    println!(
        "{name}: connected without a free descriptor: {}",
        client.is_ok()
    );
    thread::sleep(Duration::from_millis(500));
    drop(fill);
    drop(client);
    setrlimit(Resource::Nofile, old)?;
    Ok(())
}

/// Tells whether the server answers a plain request on a new connection.
fn answers(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(ANSWER_WAIT))?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n")?;
        let mut first = [0; 12];
        stream.read_exact(&mut first)?;
        Ok(&first == b"HTTP/1.1 200")
    };
    ask().unwrap_or(false)
}

fn threads() -> anyhow::Result<usize> {
    Ok(std::fs::read_dir("/proc/self/task")?.count())
}
