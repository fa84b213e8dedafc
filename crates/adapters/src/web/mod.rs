//! HTTP/1.1 with kept connections, for the gateway's outgoing and incoming calls.

mod pool;
mod serve;

use bytes::Bytes;
use http_body_util::Full;
use tokio::net::TcpStream;

pub use crate::web::pool::Exchange;
pub use crate::web::pool::Pool;
pub use crate::web::pool::SendError;
pub use crate::web::serve::Closing;
pub use crate::web::serve::Listener;
pub use crate::web::serve::ServerLimits;

/// Body of a request or answer that is held in memory.
pub type Body = Full<Bytes>;

/// Idle time of a connection after which the other side is probed.
const PROBE_IDLE: std::time::Duration = std::time::Duration::from_secs(1);

/// Time between two probes. The system counts it in whole seconds.
const PROBE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// Probes without an answer after which a connection counts as broken.
const PROBES: u32 = 1;

/// Time after which sent bytes without an acknowledgement break a connection.
const SEND_LIMIT: std::time::Duration = std::time::Duration::from_millis(1_500);

/// Returns a field of a query as it stands there.
pub fn query_field<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Makes a connection break soon after the other side is gone. Failures only delay that.
fn keep_watch(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_IDLE)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(SEND_LIMIT));
    let _ = stream.set_nodelay(true);
}

/// Wraps a connection for the server or client of the HTTP library.
pub fn io(stream: TcpStream) -> hyper_util::rt::TokioIo<TcpStream> {
    hyper_util::rt::TokioIo::new(stream)
}
