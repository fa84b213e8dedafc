//! New connections to servers.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::web::Body;
use crate::web::error::SendError;
use crate::web::reset_on_close;
use crate::web::set_socket_options;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Returns `true` if the host of an address says that no process listens there. Without an answer
/// within `limit` this is not known.
pub async fn is_refused(address: SocketAddr, limit: Duration) -> bool {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}

/// Opens a connection and starts the task that drives it.
pub(super) async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, SendError> {
    let not_sent = |reason: String| SendError::NotSent(reason);
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream =
        connected.map_err(|_| not_sent(format!("no connection within {CONNECT_TIMEOUT:?}")))?;
    let stream = stream.map_err(|e| not_sent(e.to_string()))?;
    set_socket_options(&stream);
    reset_on_close(&stream);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|e| not_sent(e.to_string()))?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("connection to {address} failed: {e}");
        }
    });
    Ok(sender)
}
