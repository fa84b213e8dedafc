//! Measures how `tiny_http` and the server for callers handle a slow head and a failed accept.
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

/// Time limit for the server to close a connection with a slow head. The server for callers has a
/// head timeout of 10 s.
const SLOW_HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Time limit for the response to a plain request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of connections with an incomplete head.
const SLOW_CONNECTIONS: usize = 50;

/// Limit on open file descriptors during the failed accept.
const MAX_DESCRIPTORS: u64 = 256;

/// Front that responds to every request at once.
struct ImmediateFront;

struct NoopGuard;

impl CallGuard for NoopGuard {}

impl CallerFront for ImmediateFront {
    fn submit(&self, _inbound: Inbound, events: Sender<CallEvent>) -> Box<dyn CallGuard> {
        let head = CallEvent::Head {
            status: 200,
            fields: Vec::new(),
        };
        // The channel has room for both events.
        let _ = events.try_send(head);
        let _ = events.try_send(CallEvent::End(AnswerSummary::default()));
        Box::new(NoopGuard)
    }

    fn record_refusal(&self, _kind: Refusal) {}
}

fn main() -> anyhow::Result<()> {
    let runtime = Runtime::start(2)?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let limits = CallerLimits::default();
    let caller_server = CallerServer::start(
        &runtime.spawner(),
        listener,
        limits,
        Arc::new(ImmediateFront),
    )?;
    measure("caller server", caller_server.address)?;
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
    println!("{name}: responsive before: {}", is_responsive(address));
    measure_slow_heads(name, address)?;
    // Waits until the server has closed the slow connections and freed their descriptors.
    thread::sleep(Duration::from_secs(1));
    measure_failed_accept(name, address)?;
    println!(
        "{name}: responsive after the failed accept: {}",
        is_responsive(address)
    );
    Ok(())
}

/// Sends an incomplete head on many connections. Counts the threads that they occupy, and waits for
/// the first connection to close.
fn measure_slow_heads(name: &str, address: SocketAddr) -> anyhow::Result<()> {
    let before = thread_count()?;
    let mut slow = Vec::new();
    for _ in 0..SLOW_CONNECTIONS {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost:")?;
        slow.push(stream);
    }
    thread::sleep(Duration::from_millis(500));
    let held = thread_count()?.saturating_sub(before);
    println!("{name}: threads added by {SLOW_CONNECTIONS} slow heads: {held}");
    let start = Instant::now();
    slow[0].set_read_timeout(Some(SLOW_HEAD_TIMEOUT))?;
    let mut answer = String::new();
    match slow[0].read_to_string(&mut answer) {
        Err(e) if e.kind() == ErrorKind::WouldBlock => {
            println!("{name}: slow head still open after {SLOW_HEAD_TIMEOUT:?}");
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

/// Uses up all file descriptors, so that the next accept fails, and frees them again.
fn measure_failed_accept(name: &str, address: SocketAddr) -> anyhow::Result<()> {
    let old = getrlimit(Resource::Nofile);
    let lower = Rlimit {
        current: Some(MAX_DESCRIPTORS),
        maximum: old.maximum,
    };
    setrlimit(Resource::Nofile, lower)?;
    let mut fill = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        fill.push(file);
    }
    // Frees one descriptor for the client, which leaves none for the server.
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

/// Returns `true` if the server responds with status 200 to a request on a new connection.
fn is_responsive(address: SocketAddr) -> bool {
    let request = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n")?;
        let mut first = [0; 12];
        stream.read_exact(&mut first)?;
        Ok(&first == b"HTTP/1.1 200")
    };
    request().unwrap_or(false)
}

fn thread_count() -> anyhow::Result<usize> {
    Ok(std::fs::read_dir("/proc/self/task")?.count())
}
