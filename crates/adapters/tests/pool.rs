//! Connections of the HTTP client to servers that stall, answer late or answer twice.
#![allow(clippy::unwrap_used, missing_docs)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use hyper::Request;
use sardinepath_adapters::web::Body;
use sardinepath_adapters::web::Pool;
use sardinepath_adapters::web::SendError;
use sardinepath_adapters::web::StaleAllowed;
use sardinepath_adapters::web::is_refused;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::runtime::Runtime;

/// Header that repeats the id of a request.
const ID: &str = "x-id";

fn get(id: &str) -> Request<Body> {
    let request = Request::get("/").header(ID, id);
    request.body(Body::new(Bytes::new())).unwrap()
}

/// Starts a server that reads a request and never answers. Returns whether its connection was reset
/// when the client closed it: a connection that was only closed still takes bytes.
fn silent_server() -> (SocketAddr, JoinHandle<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4096];
        while stream.read(&mut buffer).is_ok_and(|read| read > 0) {}
        thread::sleep(Duration::from_millis(100));
        stream.write_all(b"late").is_err()
    });
    (address, server)
}

/// Starts a server that answers each request after the first one with a second copy of the answer
/// before, followed by the true answer. Returns its address.
async fn repeating_server() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut copy = String::new();
                let mut buffer = vec![0; 4096];
                while let Ok(read) = stream.read(&mut buffer).await
                    && read > 0
                {
                    let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
                    let line = text.lines().find(|line| line.starts_with(ID)).unwrap();
                    let answer =
                        format!("HTTP/1.1 200 OK\r\n{line}\r\ncontent-length: 2\r\n\r\nok");
                    stream.write_all(copy.as_bytes()).await.unwrap();
                    stream.write_all(answer.as_bytes()).await.unwrap();
                    copy = answer;
                }
            });
        }
    });
    address
}

/// Guards against a request that was given up and is still delivered later, because its bytes wait
/// in the socket of a connection that was only closed.
#[test]
fn a_call_that_was_given_up_resets_its_connection() {
    let (address, server) = silent_server();
    let runtime = Runtime::new().unwrap();
    let pool = Pool::default();

    let call = pool.call(address, get("r1"), Duration::from_millis(100), 1024);
    let end = runtime.block_on(call);
    let reset = server.join().unwrap();

    assert!(matches!(end, Err(SendError::MayHaveArrived(_))), "{end:?}");
    assert!(reset);
}

/// Guards against the late second copy of an answer that is taken for the answer to the next
/// request on the connection, and against the connection being used again, on which all later
/// answers would come one request late.
#[test]
fn a_second_copy_of_an_answer_ends_its_connection() {
    let runtime = Runtime::new().unwrap();
    let address = runtime.block_on(repeating_server());
    let pool = Pool::with_id_header(HeaderName::from_static(ID));
    let limit = Duration::from_secs(5);
    let call = |id: &str| runtime.block_on(pool.call(address, get(id), limit, 1024));

    let ends = [call("r1"), call("r2"), call("r3"), call("r4")];

    let answered = ends.map(|end| end.is_ok());
    assert_eq!(answered, [true, false, true, false]);
}

/// Starts a server whose answers state the number of their request among all requests. `write`
/// sends the bytes for a request: the answer to it, and the one before on the connection.
fn numbering_server(
    runtime: &Runtime,
    write: fn(&mut TcpStream, answer: &str, before: &str),
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0"));
    let listener = listener.unwrap().into_std().unwrap();
    listener.set_nonblocking(false).unwrap();
    let address = listener.local_addr().unwrap();
    let (requests, connections) = (Arc::new(AtomicUsize::new(0)), Arc::default());
    let opened: Arc<AtomicUsize> = Arc::clone(&connections);
    thread::spawn(move || {
        for stream in listener.incoming() {
            opened.fetch_add(1, Ordering::Relaxed);
            let (mut stream, requests) = (stream.unwrap(), requests.clone());
            thread::spawn(move || {
                let (mut before, mut buffer) = (String::new(), [0; 4096]);
                while let Ok(read @ 1..) = stream.read(&mut buffer) {
                    let number = requests.fetch_add(1, Ordering::Relaxed);
                    let text = String::from_utf8_lossy(&buffer[..read]);
                    let id = text.lines().find(|line| line.starts_with(ID));
                    let id = id.map_or(String::new(), |line| format!("{line}\r\n"));
                    let answer =
                        format!("HTTP/1.1 200 OK\r\n{id}content-length: 4\r\n\r\n{number:04}");
                    write(&mut stream, &answer, &before);
                    before = answer;
                }
            });
        }
    });
    (address, connections)
}

/// Writes bytes to a connection that the client may have closed.
fn put(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
    let _ = stream.flush();
}

/// Guards against an answer that is taken for the answer to a later sending of the same id, or of
/// another one, wherever the second copy arrives.
#[test]
fn a_copy_never_answers_a_later_sending() {
    const PAUSE: Duration = Duration::from_millis(15);
    let servers: [fn(&mut TcpStream, &str, &str); 6] = [
        // Before the next answer, at the same moment.
        |stream, answer, before| put(stream, &format!("{before}{answer}")),
        // Before the next answer, which takes longer.
        |stream, answer, before| {
            put(stream, before);
            thread::sleep(PAUSE);
            put(stream, answer);
        },
        // Right after the answer.
        |stream, answer, _| put(stream, &format!("{answer}{answer}")),
        // While the connection is idle.
        |stream, answer, _| {
            put(stream, answer);
            thread::sleep(PAUSE / 3);
            put(stream, answer);
        },
        // In two parts, the second one after the next request.
        |stream, answer, before| {
            let (_, rest) = before.split_at(before.len() / 2);
            let (begin, _) = answer.split_at(answer.len() / 2);
            put(stream, &format!("{rest}{answer}{begin}"));
        },
        // Twice.
        |stream, answer, before| put(stream, &format!("{before}{before}{answer}")),
    ];
    for (case, write) in servers.into_iter().enumerate() {
        let runtime = Runtime::new().unwrap();
        let (address, _) = numbering_server(&runtime, write);
        let pool = Pool::with_id_header(HeaderName::from_static(ID));
        let mut answered = 0;

        let (mut sent, mut last) = (Vec::new(), None);
        for round in 0..24 {
            let id = ["r1", "r1", "r2"][round % 3];
            let call = pool.call(address, get(id), Duration::from_secs(5), 1024);
            let Ok((_, body)) = runtime.block_on(call) else {
                continue;
            };
            answered += 1;
            let number: usize = std::str::from_utf8(&body).unwrap().parse().unwrap();
            sent.push(number);
            assert!(Some(number) > last, "case {case}: {sent:?}");
            last = Some(number);
            thread::sleep(PAUSE * 2 / 3);
        }

        assert!(answered >= 8, "case {case}: {answered} answered");
    }
}

/// Guards against requests without an id whose answers are mixed up, since nothing tells them apart.
#[test]
fn requests_without_an_id_do_not_share_a_connection() {
    let runtime = Runtime::new().unwrap();
    let (address, connections) = numbering_server(&runtime, |stream, answer, before| {
        put(stream, &format!("{before}{answer}"));
    });
    let pool = Pool::with_id_header(HeaderName::from_static(ID));
    let call = || {
        let request = Request::get("/").body(Body::new(Bytes::new())).unwrap();
        let call = pool.call(address, request, Duration::from_secs(5), 1024);
        runtime.block_on(call).map(|(_, body)| body)
    };

    let bodies = [call(), call(), call()].map(Result::unwrap);

    assert_eq!(bodies, ["0000", "0001", "0002"]);
    assert_eq!(connections.load(Ordering::Relaxed), 3);
}

/// Guards against a new connection for each request whose answer may be an earlier one, and against
/// a connection that such a request used and that carries another one without an id.
#[test]
fn only_requests_that_allow_earlier_answers_share_a_connection() {
    let runtime = Runtime::new().unwrap();
    let (address, connections) = numbering_server(&runtime, |stream, answer, _| {
        put(stream, answer);
    });
    let pool = Pool::with_id_header(HeaderName::from_static(ID));
    let call = |stale_allowed: bool| {
        let mut request = Request::get("/").body(Body::new(Bytes::new())).unwrap();
        if stale_allowed {
            request.extensions_mut().insert(StaleAllowed);
        }
        let call = pool.call(address, request, Duration::from_secs(5), 1024);
        runtime.block_on(call).unwrap();
        connections.load(Ordering::Relaxed)
    };

    let opened = [call(true), call(true), call(false), call(true), call(false)];

    assert_eq!(opened, [1, 1, 2, 2, 3]);
}

/// Guards against a new connection for each request, which is charged and takes time, and against
/// ids that are kept for ever.
#[test]
fn different_ids_share_a_connection_for_a_bounded_number_of_requests() {
    const MAX_REQUESTS: usize = 1_024;
    let runtime = Runtime::new().unwrap();
    let (address, connections) = numbering_server(&runtime, |stream, answer, _| {
        put(stream, answer);
    });
    let pool = Pool::with_id_header(HeaderName::from_static(ID));
    let call = |number: usize| {
        let call = pool.call(
            address,
            get(&format!("r{number}")),
            Duration::from_secs(5),
            1024,
        );
        runtime.block_on(call).unwrap();
        connections.load(Ordering::Relaxed)
    };

    let opened: Vec<usize> = (0..MAX_REQUESTS + 2).map(call).collect();

    assert_eq!(opened[MAX_REQUESTS - 1], 1);
    assert_eq!(opened[MAX_REQUESTS..], [2, 2]);
}

/// Guards against an answer that names no request and is believed where it may belong to an earlier
/// one.
#[test]
fn an_answer_without_an_id_is_believed_on_a_new_connection_only() {
    let runtime = Runtime::new().unwrap();
    let (address, connections) = numbering_server(&runtime, |stream, answer, before| {
        let nameless = answer.replace(ID, "x-other");
        put(stream, if before.is_empty() { answer } else { &nameless });
    });
    let (nameless, _) = numbering_server(&runtime, |stream, answer, _| {
        put(stream, &answer.replace(ID, "x-other"));
    });
    let pool = Pool::with_id_header(HeaderName::from_static(ID));
    let call = |address, id: &str| {
        let call = pool.call(address, get(id), Duration::from_secs(5), 1024);
        runtime.block_on(call).is_ok()
    };

    let after_others = [call(address, "r1"), call(address, "r2")];
    let on_new = [call(nameless, "r1"), call(nameless, "r2")];

    assert_eq!((after_others, on_new), ([true, false], [true, true]));
    assert_eq!(connections.load(Ordering::Relaxed), 1);
}

/// Starts a server that answers each request with this status line, as soon as it was read.
fn status_server(line: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buffer = [0; 4096];
            while stream.read(&mut buffer).is_ok_and(|read| read > 0) {
                put(&mut stream, &format!("{line}\r\n{ID}: r1\r\n\r\n"));
            }
        }
    });
    address
}

/// Guards against an answer whose status has no meaning in the protocol, which would be passed on to a
/// caller or be believed by its class.
#[test]
fn a_status_that_ends_no_request_is_no_answer() {
    let lines = [
        "HTTP/1.1 000 None",
        "HTTP/1.1 099 None",
        "HTTP/1.1 100 Continue",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 199 None",
        "HTTP/1.1 600 None",
        "HTTP/1.1 999 None",
        "HTTP/1.1 20 Short",
        "HTTP/1.1 2000 Long",
        "HTTP/1.1 +20 Signed",
        "HTTP/1.1 -20 Signed",
        "HTTP/1.1 2x0 Letters",
    ];
    let runtime = Runtime::new().unwrap();
    for line in lines {
        let address = status_server(line);
        let pool = Pool::with_id_header(HeaderName::from_static(ID));

        let call = pool.call(address, get("r1"), Duration::from_millis(300), 1024);
        let end = runtime.block_on(call);

        assert!(
            matches!(end, Err(SendError::MayHaveArrived(_))),
            "{line}: {end:?}"
        );
    }
}

/// Starts a server that reads a request and ends the connection without an answer. It goes on
/// listening for as long as the second value lives, once the third one has ended.
fn closing_server() -> (SocketAddr, TcpListener, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = listener.try_clone().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = accepting.accept().unwrap();
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).unwrap();
    });
    (address, listener, server)
}

/// Guards against a crash of the server that is taken for a timeout or a malformed answer, and against
/// a server that only closed the connection and counts as crashed.
#[test]
fn a_connection_that_ends_differs_from_a_server_that_is_gone() {
    const LIMIT: Duration = Duration::from_secs(2);
    let (address, listener, server) = closing_server();
    let runtime = Runtime::new().unwrap();
    let pool = Pool::default();

    let end = runtime.block_on(pool.call(address, get("r1"), LIMIT, 1024));
    let before = runtime.block_on(is_refused(address, LIMIT));
    server.join().unwrap();
    drop(listener);
    let after = runtime.block_on(is_refused(address, LIMIT));

    assert!(matches!(end, Err(SendError::Closed(_))), "{end:?}");
    assert_eq!((before, after), (false, true));
}
