//! Fixtures for the tests of the stand-ins.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Timeout of reads and waits.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends a POST request on a new connection, which the server closes after its answer. `field` is
/// empty or a complete header line.
pub fn open(address: SocketAddr, path: &str, field: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nhost: engine\r\nconnection: close\r\n{field}");
    write!(stream, "{head}content-length: {length}\r\n\r\n{body}").unwrap();
    stream
}

/// Reads until the connection closes.
pub fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A truncated answer can end with a connection reset. The bytes before it are returned.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Waits until a condition holds. Panics with the name of the event after [`WAIT_TIMEOUT`].
pub fn wait_until(event: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(
            Instant::now() < deadline,
            "{event} did not happen within {WAIT_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}
