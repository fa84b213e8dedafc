//! Connections of the HTTP client to servers that stall, answer late or answer twice.
#![allow(clippy::unwrap_used, missing_docs)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use hyper::Request;
use sardinepath_adapters::web::Body;
use sardinepath_adapters::web::Pool;
use sardinepath_adapters::web::SendError;
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
