//! Tests the server for callers over TCP with slow, excess, malformed and disconnected callers.

#![allow(clippy::unwrap_used, missing_docs)]

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use sardinepath_adapters::caller::CallerServer;
use sardinepath_adapters::caller::limits::CallerLimits;
use sardinepath_adapters::runtime::Runtime;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::domain::call::AnswerSummary;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::port::front::CallerFront;
use sardinepath_core::port::target::CallGuard;

/// Time limit for each wait of a test. A wait reaches it only if the test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limits of the server in tests with slow callers.
const SERVER_TIMEOUT: Duration = Duration::from_millis(400);

/// Behaviour of the test front for each request.
#[derive(Clone, Copy)]
enum Behaviour {
    /// Sends a complete response with the path as its body.
    Echo,
    /// Sends the head and one part, and then nothing.
    OnePart,
    /// Sends parts until the caller is gone.
    Endless,
    /// Sends nothing.
    Silent,
    /// Sends the head, one part and a failure.
    Broken,
}

struct TestFront {
    kind: Behaviour,
    spawner: Spawner,
    submitted: Sender<()>,
    dropped: Sender<()>,
}

/// Guard that reports the cancellation of its request.
struct Guard {
    _task: Box<dyn CallGuard>,
    dropped: Sender<()>,
}

impl CallGuard for Guard {}

impl Drop for Guard {
    fn drop(&mut self) {
        let _ = self.dropped.send(());
    }
}

impl CallerFront for TestFront {
    fn submit(&self, inbound: Inbound, events: Sender<CallEvent>) -> Box<dyn CallGuard> {
        let _ = self.submitted.send(());
        let task = self.spawner.spawn(send_events(self.kind, inbound, events));
        Box::new(Guard {
            _task: Box::new(task),
            dropped: self.dropped.clone(),
        })
    }

    fn record_refusal(&self, _kind: ErrorKind) {}
}

async fn send_events(kind: Behaviour, inbound: Inbound, events: Sender<CallEvent>) {
    let head = CallEvent::Head {
        status: 200,
        fields: Vec::new(),
    };
    if !matches!(kind, Behaviour::Silent) {
        events.send_async(head).await.unwrap();
    }
    let part = CallEvent::Chunk(inbound.path.as_bytes().to_vec());
    match kind {
        Behaviour::Echo => {
            events.send_async(part).await.unwrap();
            let end = CallEvent::End(AnswerSummary::default());
            events.send_async(end).await.unwrap();
        }
        Behaviour::Broken => {
            events.send_async(part).await.unwrap();
            let failure = Failure::from(ErrorKind::AgentLost);
            events.send_async(CallEvent::Failed(failure)).await.unwrap();
        }
        Behaviour::OnePart => events.send_async(part).await.unwrap(),
        Behaviour::Endless => {
            while events
                .send_async(CallEvent::Chunk(vec![b'x'; 1 << 16]))
                .await
                .is_ok()
            {}
        }
        Behaviour::Silent => {}
    }
    std::future::pending::<()>().await;
}

struct Fixture {
    server: CallerServer,
    submitted: Receiver<()>,
    dropped: Receiver<()>,
    _runtime: Runtime,
}

fn start_server(kind: Behaviour, limits: CallerLimits) -> Fixture {
    let runtime = Runtime::start(2).unwrap();
    let (sender, dropped) = flume::unbounded();
    let (submit_sender, submitted) = flume::unbounded();
    let front = TestFront {
        kind,
        spawner: runtime.spawner(),
        submitted: submit_sender,
        dropped: sender,
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let front = Arc::new(front);
    let server = CallerServer::start(&runtime.spawner(), listener, limits, front).unwrap();
    Fixture {
        server,
        submitted,
        dropped,
        _runtime: runtime,
    }
}

/// Returns limits with short timeouts.
fn short_timeouts() -> CallerLimits {
    CallerLimits {
        head_timeout: SERVER_TIMEOUT,
        body_timeout: SERVER_TIMEOUT,
        write_timeout: SERVER_TIMEOUT,
        ..CallerLimits::default()
    }
}

fn connect(fixture: &Fixture) -> TcpStream {
    let stream = TcpStream::connect(fixture.server.address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

/// Sends bytes and returns everything that the server sends until it closes the connection.
fn exchange(fixture: &Fixture, bytes: &[u8]) -> String {
    let mut stream = connect(fixture);
    // The write fails if the server refuses the request before it has read all of it.
    let _ = stream.write_all(bytes);
    read_all(&mut stream)
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    stream.read_to_end(&mut response).unwrap();
    String::from_utf8(response).unwrap()
}

/// Reads until the received data contains `text`, and returns the data.
fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut response = String::new();
    let mut buffer = [0; 1024];
    while !response.contains(text) {
        let n = stream.read(&mut buffer).unwrap();
        assert_ne!(n, 0, "closed after {response:?}");
        response.push_str(std::str::from_utf8(&buffer[..n]).unwrap());
    }
    response
}

fn assert_refused(response: &str, status: u16, code: &str) {
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")),
        "{response}"
    );
    assert!(
        response.contains(&format!("\"code\":\"{code}\"")),
        "{response}"
    );
    assert!(response.contains("\"run\":\"not_run\""), "{response}");
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
}

fn streamed_request(path: &str) -> String {
    let body = r#"{"prompt":"p","stream":true}"#;
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: e\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Guards against an incomplete head that occupies a connection, or is ended without a response.
#[test]
fn slow_head_is_refused() {
    let fixture = start_server(Behaviour::Echo, short_timeouts());

    let response = exchange(&fixture, b"GET /a HTTP/1.1\r\nhost:");

    assert_refused(&response, 408, "slow_caller");
}

/// Guards against a head timeout that restarts with each byte, so that a caller that sends single
/// bytes can occupy a connection.
#[test]
fn trickled_head_is_refused() {
    let fixture = start_server(Behaviour::Echo, short_timeouts());
    let mut stream = connect(&fixture);
    let mut writer = stream.try_clone().unwrap();

    let trickle = std::thread::spawn(move || {
        for byte in b"GET /a HTTP/1.1\r\nx: ".iter().chain([b'y'; 2000].iter()) {
            if writer.write_all(&[*byte]).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    let response = read_until(&mut stream, "}}");
    drop(stream);
    trickle.join().unwrap();

    assert_refused(&response, 408, "slow_caller");
}

/// Guards against an incomplete body that occupies a connection.
#[test]
fn slow_body_is_refused() {
    let fixture = start_server(Behaviour::Echo, short_timeouts());

    let response = exchange(
        &fixture,
        b"POST /a HTTP/1.1\r\nhost: e\r\ncontent-length: 9\r\n\r\nhalf",
    );

    assert_refused(&response, 408, "slow_caller");
}

/// Guards against an unlimited head, and against a response of `hyper` without an error body.
#[test]
fn oversized_head_is_refused() {
    let fixture = start_server(Behaviour::Echo, CallerLimits::default());
    let head = format!("GET /a HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 << 10));

    let response = exchange(&fixture, head.as_bytes());

    assert_refused(&response, 431, "head_too_large");
}

/// Guards against an unlimited body, with a declared length or chunked, and against a connection
/// reset that overtakes the error response.
#[test]
fn oversized_body_is_refused() {
    let fixture = start_server(Behaviour::Echo, CallerLimits::default());
    let size = 2 << 20;
    let head = "POST /a HTTP/1.1\r\nhost: e\r\nconnection: close\r\n";
    let body = "y".repeat(size);
    let declared = format!("{head}content-length: {size}\r\n\r\n{body}");
    let chunked =
        format!("{head}transfer-encoding: chunked\r\n\r\n{size:x}\r\n{body}\r\n0\r\n\r\n");

    for request in [declared, chunked] {
        let response = exchange(&fixture, request.as_bytes());

        assert_refused(&response, 413, "body_too_large");
    }
}

/// Guards against a response without an error body to a malformed head.
#[test]
fn malformed_head_is_refused() {
    let fixture = start_server(Behaviour::Echo, CallerLimits::default());
    let heads = [
        "\u{1}\u{2}\u{3}\r\n\r\n",
        "GET /a HTTP/9.9\r\n\r\n",
        "GET /a HTTP/1.1\r\nno colon\r\n\r\n",
        "GET /a b c HTTP/1.1\r\n\r\n",
        "POST /a HTTP/1.1\r\ncontent-length: x\r\n\r\n",
        "POST /a HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
    ];
    for head in heads {
        let response = exchange(&fixture, head.as_bytes());

        assert_refused(&response, 400, "bad_request");
    }
}

/// Guards against a malformed chunk that is treated as the end of the body.
#[test]
fn malformed_chunk_is_refused() {
    let fixture = start_server(Behaviour::Echo, CallerLimits::default());
    let request = "POST /a HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";

    let response = exchange(&fixture, request.as_bytes());

    assert_refused(&response, 400, "bad_request");
}

/// Guards against responses that are lost or delayed if a malformed head follows them.
#[test]
fn answers_before_a_malformed_head_arrive() {
    let fixture = start_server(Behaviour::Echo, CallerLimits::default());
    let mut stream = connect(&fixture);

    let mut responses = Vec::new();
    for path in ["/first", "/second"] {
        let request = format!("GET {path} HTTP/1.1\r\nhost: e\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
        responses.push(read_until(&mut stream, path));
    }
    stream.write_all(b"no request\r\n\r\n").unwrap();
    let last = read_all(&mut stream);

    assert!(responses.iter().all(|a| a.starts_with("HTTP/1.1 200")));
    assert_refused(&last, 400, "bad_request");
}

/// Guards against connections above the limit, and against a closed connection that still counts.
#[test]
fn connection_above_the_limit_is_refused() {
    let limits = CallerLimits {
        max_connections: 2,
        ..CallerLimits::default()
    };
    let fixture = start_server(Behaviour::Echo, limits);
    let request = b"GET /a HTTP/1.1\r\nhost: e\r\n\r\n";
    let mut held: Vec<_> = (0..2).map(|_| connect(&fixture)).collect();
    for stream in &mut held {
        stream.write_all(request).unwrap();
        read_until(stream, "/a");
    }

    let refused = exchange(&fixture, request);
    drop(held);
    let mut later = String::new();
    for _ in 0..100 {
        later = exchange(
            &fixture,
            b"GET /a HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n",
        );
        if later.starts_with("HTTP/1.1 200") {
            break;
        }
        std::thread::sleep(Duration::from_millis(50));
    }

    assert_refused(&refused, 503, "overloaded");
    assert!(later.starts_with("HTTP/1.1 200"), "{later}");
}

/// Guards against a caller that stops reading and so keeps its request running at the target.
#[test]
fn caller_that_stops_reading_is_cancelled() {
    let fixture = start_server(Behaviour::Endless, short_timeouts());
    let mut stream = connect(&fixture);

    stream.write_all(streamed_request("/a").as_bytes()).unwrap();

    assert_eq!(fixture.dropped.recv_timeout(WAIT_TIMEOUT), Ok(()));
    drop(stream);
}

/// Guards against a request that keeps running after its caller disconnects, before the first
/// event or in the middle of a stream.
#[test]
fn caller_that_hangs_up_is_cancelled() {
    for kind in [Behaviour::Silent, Behaviour::OnePart] {
        let fixture = start_server(kind, CallerLimits::default());
        let mut stream = connect(&fixture);
        stream
            .write_all(streamed_request("/part").as_bytes())
            .unwrap();
        // A request that has not been submitted yet has nothing to cancel.
        assert_eq!(fixture.submitted.recv_timeout(WAIT_TIMEOUT), Ok(()));
        if matches!(kind, Behaviour::OnePart) {
            read_until(&mut stream, "/part");
        }

        stream.shutdown(Shutdown::Both).unwrap();
        drop(stream);

        assert_eq!(fixture.dropped.recv_timeout(WAIT_TIMEOUT), Ok(()));
    }
}

/// Guards against a failed stream that looks complete. It has to end with an error event and
/// without the last chunk.
#[test]
fn broken_stream_ends_with_an_error_event() {
    let fixture = start_server(Behaviour::Broken, CallerLimits::default());
    let mut stream = connect(&fixture);
    stream
        .write_all(streamed_request("/part").as_bytes())
        .unwrap();

    let response = read_until(&mut stream, "may_have_run");
    let mut rest = Vec::new();
    // The connection may end with a reset.
    let _ = stream.read_to_end(&mut rest);

    assert!(response.contains("event: error"), "{response}");
    assert!(!String::from_utf8(rest).unwrap().contains("\r\n0\r\n\r\n"));
}
