//! Fixtures for the tests of the stand-ins.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Longest wait for anything that has to happen.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Sends a request on a connection of its own, which the server closes after its answer.
pub fn open(address: SocketAddr, path: &str, field: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nhost: engine\r\nconnection: close\r\n{field}");
    write!(stream, "{head}content-length: {length}\r\n\r\n{body}").unwrap();
    stream
}

/// Reads until the connection closes.
pub fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset connection is one way to break an answer off; what came before it counts.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !holds() {
        assert!(
            Instant::now() < end,
            "{what} did not happen in {WAIT_LIMIT:?}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}
