//! HTTP client with a pool of persistent connections for each address.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header::CONNECTION;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::web::Body;
use crate::web::buffer::BodyFault;
use crate::web::buffer::BufferBudget;
use crate::web::reset_on_close;
use crate::web::set_socket_options;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle timeout of a connection if the server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(12);

/// Time by which a connection is retired before its idle timeout, so that a request does not meet
/// a server that is closing the connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);

/// Time limit for the reused connections to become ready. The task of each still has to finish the
/// last exchange, unless the server answered before it had read the whole request.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum size of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Reason why a request got no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The request was not sent.
    NotSent(String),
    /// A reused connection closed before any response. The request may have arrived.
    Dropped(String),
    /// The connection ended after the request was sent and before the whole response.
    Closed(String),
    /// The request was sent, at least in part, and may have arrived.
    MayHaveArrived(String),
}

/// HTTP client that reuses idle connections. Clones share the same connections.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    /// Memory for the bodies of responses.
    buffers: BufferBudget,
    /// Header in which a response repeats the id of its request, if there is one.
    id_header: Option<HeaderName>,
}

/// Connection that waits for its next request.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Body>,
    /// Time after which the connection is not reused.
    expiry: Instant,
}

/// Response whose body has not been read. Dropping it closes the connection.
#[derive(Debug)]
pub struct UnreadResponse {
    /// Status and headers of the response.
    pub head: http::response::Parts,
    /// Body of the response.
    pub body: Incoming,
    /// Connection, which returns to the pool after the body was read.
    connection: PooledConnection,
}

/// Connection that can return to its pool.
#[derive(Debug)]
struct PooledConnection {
    pool: Pool,
    address: SocketAddr,
    sender: SendRequest<Body>,
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Dropped(reason) => write!(f, "reused connection closed: {reason}"),
            Self::Closed(reason) => write!(f, "connection closed: {reason}"),
            Self::MayHaveArrived(reason) => write!(f, "no response: {reason}"),
        }
    }
}

impl Pool {
    /// Creates a client of servers that repeat the value of a header in their responses. A response
    /// with another value belongs to another request, such as the late second copy of an answer. The
    /// call then fails with `MayHaveArrived`, and the connection is not used again.
    pub fn with_id_header(name: HeaderName) -> Self {
        Self {
            id_header: Some(name),
            ..Self::default()
        }
    }

    /// Sends a request and waits at most `limit` for the head of the response.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<UnreadResponse, SendError> {
        let result = timeout(limit, self.exchange(address, request)).await;
        result.unwrap_or_else(|_| {
            // Other idle connections to this address may have lost their peer too.
            self.close_idle(address);
            Err(SendError::MayHaveArrived(format!(
                "no response within {limit:?}"
            )))
        })
    }

    /// Sends a request and reads the complete response within `limit`.
    ///
    /// Fails with `MayHaveArrived` if the body is larger than `max_bytes` bytes.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<(http::response::Parts, Bytes), SendError> {
        let read = async {
            let exchange = self.exchange(address, request).await?;
            exchange.read(max_bytes).await
        };
        timeout(limit, read).await.unwrap_or_else(|_| {
            self.close_idle(address);
            Err(SendError::MayHaveArrived(format!(
                "no response within {limit:?}"
            )))
        })
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<UnreadResponse, SendError> {
        let id = self.request_id(&request);
        let ready_by = tokio::time::Instant::now() + READY_TIMEOUT;
        while let Some(mut sender) = self.take(address) {
            if !is_ready(&mut sender, ready_by).await {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return self.unread_response(address, id, sender, response),
                Err(mut e) => match e.take_message() {
                    // The connection closed while it was idle.
                    Some(unsent) => request = unsent,
                    None => return Err(reuse_error(e.into_error())),
                },
            }
        }
        let mut sender = connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => self.unread_response(address, id, sender, response),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent(e.into_error().to_string())),
                None => Err(response_error(&e.into_error())),
            },
        }
    }

    /// Returns the value by which the response to a request is recognized.
    fn request_id(&self, request: &Request<Body>) -> Option<HeaderValue> {
        let name = self.id_header.as_ref()?;
        request.headers().get(name).cloned()
    }

    /// Returns the response, or an error if it belongs to another request than the one with this id.
    fn unread_response(
        &self,
        address: SocketAddr,
        id: Option<HeaderValue>,
        sender: SendRequest<Body>,
        response: Response<Incoming>,
    ) -> Result<UnreadResponse, SendError> {
        let (head, body) = response.into_parts();
        let name = self.id_header.as_ref();
        let repeated = name.and_then(|name| head.headers.get(name));
        if repeated.is_some() && repeated != id.as_ref() {
            let reason = "the response belongs to another request";
            return Err(SendError::MayHaveArrived(reason.to_owned()));
        }
        let pool = self.clone();
        let connection = PooledConnection {
            pool,
            address,
            sender,
        };
        Ok(UnreadResponse {
            head,
            body,
            connection,
        })
    }

    fn take(&self, address: SocketAddr) -> Option<SendRequest<Body>> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            if now < connection.expiry && !connection.sender.is_closed() {
                return Some(connection.sender);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, sender: SendRequest<Body>, keep: Duration) {
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        let now = Instant::now();
        connections.retain(|connection| now < connection.expiry && !connection.sender.is_closed());
        if connections.len() < MAX_IDLE_CONNECTIONS {
            let expiry = now + keep;
            connections.push(IdleConnection { sender, expiry });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        // The map is consistent after each statement, even if a thread panicked.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UnreadResponse {
    /// Reads the complete body, and returns the connection to the pool.
    ///
    /// Fails if the body is larger than `max_bytes` or incomplete, or if too many bytes of all
    /// responses are being read.
    pub async fn read(self, max_bytes: usize) -> Result<(http::response::Parts, Bytes), SendError> {
        let UnreadResponse {
            head,
            body,
            connection,
        } = self;
        let read = connection.pool.buffers.read(body, max_bytes).await;
        let body = read.map_err(|fault| match fault {
            BodyFault::Incomplete(reason) => SendError::Closed(reason),
            BodyFault::TooLarge(reason) => SendError::MayHaveArrived(reason),
        })?;
        connection.release(&head.headers);
        Ok((head, body))
    }

    /// Returns the head, the body and a function that returns the connection to the pool.
    ///
    /// Call the function with the headers of the response after the complete body was read.
    pub fn into_parts(self) -> (http::response::Parts, Incoming, impl FnOnce(&HeaderMap)) {
        let UnreadResponse {
            head,
            body,
            connection,
        } = self;
        (head, body, move |headers: &HeaderMap| {
            connection.release(headers)
        })
    }
}

impl PooledConnection {
    /// Returns the connection to the pool after a complete response, unless the server closes it.
    fn release(self, headers: &HeaderMap) {
        let close = headers.get_all(CONNECTION).iter().any(|value| {
            let text = value.to_str().unwrap_or("close");
            text.to_ascii_lowercase().contains("close")
        });
        if close || self.sender.is_closed() {
            return;
        }
        let stated = headers.get("keep-alive").and_then(|v| v.to_str().ok());
        let stated = stated.and_then(|text| {
            let mut parts = text.split(',').map(str::trim);
            let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
            seconds.parse().ok().map(Duration::from_secs)
        });
        let keep = stated
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .saturating_sub(IDLE_TIMEOUT_MARGIN);
        if !keep.is_zero() {
            self.pool.put(self.address, self.sender, keep);
        }
    }
}

/// Returns `true` if the host of an address says that no process listens there. Without an answer
/// within `limit` this is not known.
pub async fn is_refused(address: SocketAddr, limit: Duration) -> bool {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}

/// Waits until a reused connection can send a request. Returns `false` if it closed or does not
/// become ready in time.
async fn is_ready(sender: &mut SendRequest<Body>, until: tokio::time::Instant) -> bool {
    matches!(timeout_at(until, sender.ready()).await, Ok(Ok(())))
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, SendError> {
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

/// Returns the error of a request on a reused connection. A malformed response shows that the
/// server received the request, so only other errors count as a closed connection.
fn reuse_error(error: hyper::Error) -> SendError {
    match response_error(&error) {
        SendError::Closed(reason) => SendError::Dropped(reason),
        other => other,
    }
}

fn response_error(error: &hyper::Error) -> SendError {
    match error.is_parse() {
        true => SendError::MayHaveArrived(error.to_string()),
        false => SendError::Closed(error.to_string()),
    }
}
