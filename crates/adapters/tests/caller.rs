//! Callers that are slow, too many, malformed or gone, over real sockets.

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
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::call::Ending;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::port::front::CallerFront;
use sardinepath_core::port::target::CallGuard;

/// Time after which a test gives up. Only a fault makes a test wait this long.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Time limits of the server in these tests.
const LIMIT: Duration = Duration::from_millis(400);

/// What the front does with a request.
#[derive(Clone, Copy)]
enum Front {
    /// Answers with the path.
    Echo,
    /// Sends one part and nothing more.
    OnePart,
    /// Sends parts without end.
    Endless,
    /// Sends nothing.
    Silent,
    /// Sends one part and a failure.
    Broken,
}

struct TestFront {
    kind: Front,
    spawner: Spawner,
    submitted: Sender<()>,
    dropped: Sender<()>,
}

/// Tells when the request is cancelled.
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
        let task = self.spawner.spawn(play(self.kind, inbound, events));
        Box::new(Guard {
            _task: Box::new(task),
            dropped: self.dropped.clone(),
        })
    }

    fn note_refusal(&self, _kind: ErrorKind) {}
}

async fn play(kind: Front, inbound: Inbound, events: Sender<CallEvent>) {
    let head = CallEvent::Head {
        status: 200,
        fields: Vec::new(),
    };
    if !matches!(kind, Front::Silent) {
        events.send_async(head).await.unwrap();
    }
    let part = CallEvent::Chunk(inbound.path.as_bytes().to_vec());
    match kind {
        Front::Echo => {
            events.send_async(part).await.unwrap();
            let end = CallEvent::End(Ending::default());
            events.send_async(end).await.unwrap();
        }
        Front::Broken => {
            events.send_async(part).await.unwrap();
            let failure = Failure::from(ErrorKind::AgentLost);
            events.send_async(CallEvent::Failed(failure)).await.unwrap();
        }
        Front::OnePart => events.send_async(part).await.unwrap(),
        Front::Endless => {
            while events
                .send_async(CallEvent::Chunk(vec![b'x'; 1 << 16]))
                .await
                .is_ok()
            {}
        }
        Front::Silent => {}
    }
    std::future::pending::<()>().await;
}

struct Served {
    server: CallerServer,
    submitted: Receiver<()>,
    dropped: Receiver<()>,
    _runtime: Runtime,
}

fn serve(kind: Front, limits: CallerLimits) -> Served {
    let runtime = Runtime::start(2).unwrap();
    let (sender, dropped) = flume::unbounded();
    let (submit, submitted) = flume::unbounded();
    let front = TestFront {
        kind,
        spawner: runtime.spawner(),
        submitted: submit,
        dropped: sender,
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let front = Arc::new(front);
    let server = CallerServer::start(&runtime.spawner(), listener, limits, front).unwrap();
    Served {
        server,
        submitted,
        dropped,
        _runtime: runtime,
    }
}

/// Limits that end a slow caller soon.
fn hasty() -> CallerLimits {
    CallerLimits {
        head_timeout: LIMIT,
        body_timeout: LIMIT,
        write_timeout: LIMIT,
        ..CallerLimits::default()
    }
}

fn connect(served: &Served) -> TcpStream {
    let stream = TcpStream::connect(served.server.address).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream
}

/// Sends bytes and returns everything that comes back until the server closes.
fn exchange(served: &Served, bytes: &[u8]) -> String {
    let mut stream = connect(served);
    // The server may refuse before it has read everything.
    let _ = stream.write_all(bytes);
    read_all(&mut stream)
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    String::from_utf8(answer).unwrap()
}

/// Reads until the answer contains a text.
fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut answer = String::new();
    let mut buffer = [0; 1024];
    while !answer.contains(text) {
        let n = stream.read(&mut buffer).unwrap();
        assert_ne!(n, 0, "closed after {answer:?}");
        answer.push_str(std::str::from_utf8(&buffer[..n]).unwrap());
    }
    answer
}

fn assert_refused(answer: &str, status: u16, code: &str) {
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
    assert!(answer.contains("\"run\":\"not_run\""), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
}

fn streamed(path: &str) -> String {
    let body = r#"{"prompt":"p","stream":true}"#;
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: e\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Guards against a caller that holds a connection with half a head, and gets no reason.
#[test]
fn slow_head_is_refused() {
    let served = serve(Front::Echo, hasty());

    let answer = exchange(&served, b"GET /a HTTP/1.1\r\nhost:");

    assert_refused(&answer, 408, "slow_caller");
}

/// Guards against a caller that keeps sending single bytes of its head.
#[test]
fn trickled_head_is_refused() {
    let served = serve(Front::Echo, hasty());
    let mut stream = connect(&served);
    let mut writer = stream.try_clone().unwrap();

    let trickle = std::thread::spawn(move || {
        for byte in b"GET /a HTTP/1.1\r\nx: ".iter().chain([b'y'; 2000].iter()) {
            if writer.write_all(&[*byte]).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    let answer = read_until(&mut stream, "}}");
    drop(stream);
    trickle.join().unwrap();

    assert_refused(&answer, 408, "slow_caller");
}

/// Guards against a caller that holds a connection with half a body.
#[test]
fn slow_body_is_refused() {
    let served = serve(Front::Echo, hasty());

    let answer = exchange(
        &served,
        b"POST /a HTTP/1.1\r\nhost: e\r\ncontent-length: 9\r\n\r\nhalf",
    );

    assert_refused(&answer, 408, "slow_caller");
}

/// Guards against a head without bound, and against the bare reply of the HTTP library.
#[test]
fn oversized_head_is_refused() {
    let served = serve(Front::Echo, CallerLimits::default());
    let head = format!("GET /a HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 << 10));

    let answer = exchange(&served, head.as_bytes());

    assert_refused(&answer, 431, "head_too_large");
}

/// Guards against a body without bound, declared or chunked, and against a connection reset
/// that overtakes the refusal.
#[test]
fn oversized_body_is_refused() {
    let served = serve(Front::Echo, CallerLimits::default());
    let size = 2 << 20;
    let head = "POST /a HTTP/1.1\r\nhost: e\r\nconnection: close\r\n";
    let body = "y".repeat(size);
    let declared = format!("{head}content-length: {size}\r\n\r\n{body}");
    let chunked =
        format!("{head}transfer-encoding: chunked\r\n\r\n{size:x}\r\n{body}\r\n0\r\n\r\n");

    for request in [declared, chunked] {
        let answer = exchange(&served, request.as_bytes());

        assert_refused(&answer, 413, "body_too_large");
    }
}

/// Guards against malformed heads that get no error body.
#[test]
fn malformed_head_is_refused() {
    let served = serve(Front::Echo, CallerLimits::default());
    let heads = [
        "\u{1}\u{2}\u{3}\r\n\r\n",
        "GET /a HTTP/9.9\r\n\r\n",
        "GET /a HTTP/1.1\r\nno colon\r\n\r\n",
        "GET /a b c HTTP/1.1\r\n\r\n",
        "POST /a HTTP/1.1\r\ncontent-length: x\r\n\r\n",
        "POST /a HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
    ];
    for head in heads {
        let answer = exchange(&served, head.as_bytes());

        assert_refused(&answer, 400, "bad_request");
    }
}

/// Guards against a malformed chunk that is taken for the end of the body.
#[test]
fn malformed_chunk_is_refused() {
    let served = serve(Front::Echo, CallerLimits::default());
    let request = "POST /a HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";

    let answer = exchange(&served, request.as_bytes());

    assert_refused(&answer, 400, "bad_request");
}

/// Guards against answers that are lost or held back when a malformed head follows them.
#[test]
fn answers_before_a_malformed_head_arrive() {
    let served = serve(Front::Echo, CallerLimits::default());
    let mut stream = connect(&served);

    let mut answers = Vec::new();
    for path in ["/first", "/second"] {
        let request = format!("GET {path} HTTP/1.1\r\nhost: e\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
        answers.push(read_until(&mut stream, path));
    }
    stream.write_all(b"no request\r\n\r\n").unwrap();
    let last = read_all(&mut stream);

    assert!(answers.iter().all(|a| a.starts_with("HTTP/1.1 200")));
    assert_refused(&last, 400, "bad_request");
}

/// Guards against more connections than the limit, and against a place that is not given back.
#[test]
fn connection_above_the_limit_is_refused() {
    let limits = CallerLimits {
        max_connections: 2,
        ..CallerLimits::default()
    };
    let served = serve(Front::Echo, limits);
    let request = b"GET /a HTTP/1.1\r\nhost: e\r\n\r\n";
    let mut held: Vec<_> = (0..2).map(|_| connect(&served)).collect();
    for stream in &mut held {
        stream.write_all(request).unwrap();
        read_until(stream, "/a");
    }

    let refused = exchange(&served, request);
    drop(held);
    let mut later = String::new();
    for _ in 0..100 {
        later = exchange(
            &served,
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

/// Guards against a caller that stops reading and holds its target.
#[test]
fn caller_that_stops_reading_is_cancelled() {
    let served = serve(Front::Endless, hasty());
    let mut stream = connect(&served);

    stream.write_all(streamed("/a").as_bytes()).unwrap();

    assert_eq!(served.dropped.recv_timeout(WAIT_LIMIT), Ok(()));
    drop(stream);
}

/// Guards against work that goes on after the caller hung up, before and in mid-stream.
#[test]
fn caller_that_hangs_up_is_cancelled() {
    for kind in [Front::Silent, Front::OnePart] {
        let served = serve(kind, CallerLimits::default());
        let mut stream = connect(&served);
        stream.write_all(streamed("/part").as_bytes()).unwrap();
        // A request that has not been submitted yet has nothing to cancel.
        assert_eq!(served.submitted.recv_timeout(WAIT_LIMIT), Ok(()));
        if matches!(kind, Front::OnePart) {
            read_until(&mut stream, "/part");
        }

        stream.shutdown(Shutdown::Both).unwrap();
        drop(stream);

        assert_eq!(served.dropped.recv_timeout(WAIT_LIMIT), Ok(()));
    }
}

/// Guards against a broken stream that looks whole: it names its failure and lacks the last
/// chunk.
#[test]
fn broken_stream_ends_with_an_error_event() {
    let served = serve(Front::Broken, CallerLimits::default());
    let mut stream = connect(&served);
    stream.write_all(streamed("/part").as_bytes()).unwrap();

    let answer = read_until(&mut stream, "may_have_run");
    let mut rest = Vec::new();
    // The connection may end with a reset.
    let _ = stream.read_to_end(&mut rest);

    assert!(answer.contains("event: error"), "{answer}");
    assert!(!String::from_utf8(rest).unwrap().contains("\r\n0\r\n\r\n"));
}
