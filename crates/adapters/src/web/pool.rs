//! Client side: kept connections by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONNECTION;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::web::Body;
use crate::web::keep_watch;

/// Time for a new connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Time for which a connection is kept if the other side states none.
const KEEP: Duration = Duration::from_secs(12);

/// Time before the stated end of a kept connection at which it is no longer used.
const KEEP_MARGIN: Duration = Duration::from_millis(600);

/// Most kept connections to one address.
const KEEP_MOST: usize = 16;

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// Nothing was sent.
    NotSent(String),
    /// A kept connection ended before any answer. The request may have arrived.
    Dropped(String),
    /// The request may have arrived.
    MayHaveArrived(String),
}

/// Kept connections.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    until: Instant,
}

/// An answer whose body has not been read. Dropping it closes the connection.
#[derive(Debug)]
pub struct Exchange {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body.
    pub body: Incoming,
    /// The connection, which `keep` puts back.
    link: Link,
}

#[derive(Debug)]
struct Link {
    pool: Pool,
    address: SocketAddr,
    sender: SendRequest<Body>,
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Dropped(reason) => write!(f, "kept connection dropped: {reason}"),
            Self::MayHaveArrived(reason) => write!(f, "no answer: {reason}"),
        }
    }
}

impl Pool {
    /// Sends a request and waits at most `limit` for the head of the answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<Exchange, SendError> {
        let answered = timeout(limit, self.exchange(address, request)).await;
        answered.unwrap_or_else(|_| {
            // The other kept connections to this address may have gone silent too.
            self.forget(address);
            Err(SendError::MayHaveArrived(format!("no answer in {limit:?}")))
        })
    }

    /// Sends a request and reads the whole answer within `limit`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limit: Duration,
        most: usize,
    ) -> Result<(http::response::Parts, Bytes), SendError> {
        let read = async {
            let exchange = self.exchange(address, request).await?;
            exchange.read(most).await
        };
        timeout(limit, read).await.unwrap_or_else(|_| {
            self.forget(address);
            Err(SendError::MayHaveArrived(format!("no answer in {limit:?}")))
        })
    }

    /// Closes the kept connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Exchange, SendError> {
        while let Some(mut sender) = self.take(address) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answered(address, sender, response)),
                Err(mut e) => match e.take_message() {
                    // The connection was closed while it was kept.
                    Some(unsent) => request = unsent,
                    None => return Err(dropped(e.into_error())),
                },
            }
        }
        let mut sender = connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.answered(address, sender, response)),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent(e.into_error().to_string())),
                None => Err(lost(&e.into_error())),
            },
        }
    }

    fn answered(
        &self,
        address: SocketAddr,
        sender: SendRequest<Body>,
        response: Response<Incoming>,
    ) -> Exchange {
        let (head, body) = response.into_parts();
        let pool = self.clone();
        let link = Link {
            pool,
            address,
            sender,
        };
        Exchange { head, body, link }
    }

    fn take(&self, address: SocketAddr) -> Option<SendRequest<Body>> {
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = kept.pop() {
            if now < connection.until && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, sender: SendRequest<Body>, keep: Duration) {
        let mut idle = self.lock();
        let kept = idle.entry(address).or_default();
        let now = Instant::now();
        kept.retain(|connection| now < connection.until && !connection.sender.is_closed());
        if kept.len() < KEEP_MOST {
            let until = now + keep;
            kept.push(Idle { sender, until });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        // The map is whole after each statement, also if a thread panicked.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Exchange {
    /// Reads the whole body and keeps the connection.
    pub async fn read(self, most: usize) -> Result<(http::response::Parts, Bytes), SendError> {
        let Exchange { head, body, link } = self;
        let read = Limited::new(body, most).collect().await;
        let body = read.map_err(|e| SendError::MayHaveArrived(e.to_string()))?;
        link.keep(&head.headers);
        Ok((head, body.to_bytes()))
    }

    /// Splits the answer, so that its body can be read in parts.
    pub fn into_parts(self) -> (http::response::Parts, Incoming, impl FnOnce(&HeaderMap)) {
        let Exchange { head, body, link } = self;
        (head, body, move |headers: &HeaderMap| link.keep(headers))
    }
}

impl Link {
    /// Puts the connection back after a whole answer, unless the other side closes it.
    fn keep(self, headers: &HeaderMap) {
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
        let keep = stated.unwrap_or(KEEP).saturating_sub(KEEP_MARGIN);
        if !keep.is_zero() {
            self.pool.put(self.address, self.sender, keep);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, SendError> {
    let not_sent = |reason: String| SendError::NotSent(reason);
    let connected = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| not_sent(format!("no connection in {CONNECT_LIMIT:?}")))?;
    let stream = stream.map_err(|e| not_sent(e.to_string()))?;
    keep_watch(&stream);
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|e| not_sent(e.to_string()))?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("a connection to {address} ended: {e}");
        }
    });
    Ok(sender)
}

/// Describes the failure of a request on a kept connection. Bytes that are no answer show that the
/// other side was there.
fn dropped(error: hyper::Error) -> SendError {
    if error.is_parse() {
        return lost(&error);
    }
    SendError::Dropped(error.to_string())
}

fn lost(error: &hyper::Error) -> SendError {
    SendError::MayHaveArrived(error.to_string())
}
