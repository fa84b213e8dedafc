//! HTTP/1.1 client and server with persistent connections, for calls to and from the gateway.

mod buffer;
mod carried;
mod connect;
mod counts;
mod error;
mod idle;
mod pool;
mod response;
mod serve;
mod streamed;

use bytes::Bytes;
use http_body_util::Full;
use tokio::net::TcpStream;

pub use crate::web::carried::StaleAllowed;
pub use crate::web::connect::is_refused;
pub use crate::web::counts::ExchangeCounts;
pub use crate::web::error::SendError;
pub use crate::web::pool::Pool;
pub use crate::web::response::UnreadResponse;
pub use crate::web::response::is_final;
pub use crate::web::serve::Listener;
pub use crate::web::serve::ServerLimits;
pub use crate::web::serve::Shutdown;
pub use crate::web::streamed::BodySender;
pub use crate::web::streamed::ReceiverGone;
pub use crate::web::streamed::ResponseBody;
pub use crate::web::streamed::streamed_body;
pub use crate::web::streamed::whole_body;

/// Body of a request or response that is held in memory.
pub type Body = Full<Bytes>;

/// Idle time of a connection after which a keepalive probe is sent.
const KEEPALIVE_IDLE_TIME: std::time::Duration = std::time::Duration::from_secs(1);

/// Interval of keepalive probes. The kernel accepts only whole seconds.
const KEEPALIVE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// Number of unacknowledged keepalive probes after which the connection is closed.
const MAX_KEEPALIVE_PROBES: u32 = 1;

/// Time after which a connection with unacknowledged data is closed.
const TCP_USER_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1_500);

/// Returns a field of a query string without decoding it, or `None` if the field is missing.
pub fn query_field<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Sets the socket options by which a connection closes soon after its peer is lost.
///
/// Failures are ignored, since they only delay the detection.
fn set_socket_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let _ = stream.set_nodelay(true);
}

/// Makes closing a connection reset it, which discards bytes that were not delivered.
///
/// Otherwise a request that was given up, because its time or permission has run out, could still
/// be delivered seconds later when a broken path heals.
fn reset_on_close(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    // Without the option such a request is only less likely to be discarded.
    let _ = socket.set_linger(Some(std::time::Duration::ZERO));
}

/// Wraps a connection for the client or server of `hyper`.
pub fn hyper_io(stream: TcpStream) -> hyper_util::rt::TokioIo<TcpStream> {
    hyper_util::rt::TokioIo::new(stream)
}
