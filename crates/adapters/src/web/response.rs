//! Responses whose connection returns to its pool after the body was read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::header::CONNECTION;
use http::response::Parts;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;

use crate::web::Body;
use crate::web::buffer::BodyFault;
use crate::web::buffer::BufferBudget;
use crate::web::carried::CarriedIds;
use crate::web::error::SendError;
use crate::web::idle::IdleConnection;
use crate::web::idle::IdleConnections;

/// Idle timeout of a connection if the server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(12);

/// Time by which a connection is retired before its idle timeout, so that a request does not meet
/// a server that is closing the connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);

/// Response whose body has not been read. Dropping it closes the connection.
#[derive(Debug)]
pub struct UnreadResponse {
    /// Status and headers of the response.
    pub head: Parts,
    /// Body of the response.
    pub body: Incoming,
    /// Memory for the body.
    pub(super) buffers: BufferBudget,
    /// Connection, which returns to the pool after the body was read.
    pub(super) connection: PooledConnection,
}

/// Connection that can return to its pool.
#[derive(Debug)]
pub(super) struct PooledConnection {
    pub(super) idle: Arc<IdleConnections>,
    pub(super) address: SocketAddr,
    pub(super) sender: SendRequest<Body>,
    /// Ids that the connection has carried, if its server repeats them.
    pub(super) carried: CarriedIds,
    /// Whether a later response can be told from a copy of this one.
    pub(super) reusable: bool,
}

impl UnreadResponse {
    /// Reads the complete body, and returns the connection to the pool.
    ///
    /// Fails if the body is larger than `max_bytes` or incomplete, or if too many bytes of all
    /// responses are being read.
    pub async fn read(self, max_bytes: usize) -> Result<(Parts, Bytes), SendError> {
        let read = self.buffers.read(self.body, max_bytes).await;
        let body = read.map_err(|fault| match fault {
            BodyFault::Incomplete(reason) => SendError::Closed(reason),
            BodyFault::TooLarge(reason) => SendError::MayHaveArrived(reason),
        })?;
        self.connection.release(&self.head.headers);
        Ok((self.head, body))
    }

    /// Returns the head, the body and a function that returns the connection to the pool.
    ///
    /// Call the function with the headers of the response after the complete body was read.
    pub fn into_parts(self) -> (Parts, Incoming, impl FnOnce(&HeaderMap)) {
        let connection = self.connection;
        let release = move |headers: &HeaderMap| connection.release(headers);
        (self.head, self.body, release)
    }
}

impl PooledConnection {
    /// Returns the connection to the pool after a complete response, unless the server closes it.
    fn release(self, headers: &HeaderMap) {
        let reusable = self.reusable && !self.carried.is_full() && !self.sender.is_closed();
        if !reusable || states_close(headers) {
            return;
        }
        let timeout = stated_timeout(headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let keep = timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
        if !keep.is_zero() {
            let connection = IdleConnection {
                sender: self.sender,
                carried: self.carried,
                expiry: Instant::now() + keep,
            };
            self.idle.put(self.address, connection);
        }
    }
}

/// Returns `true` if a response with this status ends its request. Classes without a meaning in the
/// protocol and the statuses before the final one do not.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns `true` if the server closes the connection after the response.
fn states_close(headers: &HeaderMap) -> bool {
    headers.get_all(CONNECTION).iter().any(|value| {
        let text = value.to_str().unwrap_or("close");
        text.to_ascii_lowercase().contains("close")
    })
}

/// Returns the idle timeout that the server states.
fn stated_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
