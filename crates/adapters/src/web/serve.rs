//! HTTP server that passes the requests of its connections to a handler.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use sardinepath_core::domain::event::Event;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::event::emit;
use crate::web::set_socket_options;

/// Delay after a failed accept, for example when the process has no file descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which a connection without a running request stays open when its listener closes. A
/// graceful shutdown would close it at once, although its request may already be on the way.
const LAST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Limits on the resources that clients may use.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum size of a request head in bytes. Values below 8,192 have the effect of 8,192.
    pub max_head: usize,
    /// Time limit for receiving a complete head, and idle timeout of a connection.
    pub idle_timeout: Duration,
    /// Maximum number of open connections. Further ones are closed without a response.
    pub max_connections: usize,
}

/// Listening socket of an HTTP server.
#[derive(Debug)]
pub struct Listener {
    inner: TcpListener,
}

/// Result of waiting for a connection.
enum Accepted {
    Connection(TcpStream),
    Failed(io::Error),
    /// The listener is closed.
    Closed,
}

/// Handle that shuts listeners down, and counts their connections. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Shutdown {
    sender: watch::Sender<bool>,
    open: Arc<AtomicUsize>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            sender: watch::Sender::new(false),
            open: Arc::default(),
        }
    }
}

impl Shutdown {
    /// Stops accepting connections, and ends open ones after their running requests.
    pub fn close(&self) {
        self.sender.send_replace(true);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Listener {
    /// Starts listening on an address. Fails if the address is not available.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let inner = TcpListener::bind(address).await?;
        Ok(Self { inner })
    }

    /// Returns the address on which the socket listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    /// Serves connections until `closing` is closed. Calls `limits` for each new connection.
    pub async fn serve<H, F, B>(
        self,
        closing: Shutdown,
        limits: impl Fn() -> ServerLimits,
        handle: H,
    ) where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let mut closed = closing.sender.subscribe();
        let serve = |stream| spawn_connection(stream, &closing, limits(), handle.clone());
        loop {
            match self.next(&mut closed).await {
                Accepted::Connection(stream) => serve(stream),
                Accepted::Failed(e) => {
                    emit(Event::AcceptFailed, &[("error", &e)]);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
                Accepted::Closed => break,
            }
        }
        self.into_waiting().into_iter().for_each(serve);
    }

    async fn next(&self, closed: &mut watch::Receiver<bool>) -> Accepted {
        let accepted = tokio::select! {
            accepted = self.inner.accept() => accepted,
            () = wait_closed(closed) => return Accepted::Closed,
        };
        match accepted {
            Ok((stream, _)) => Accepted::Connection(stream),
            Err(e) => Accepted::Failed(e),
        }
    }

    /// Closes the socket and returns the connections that clients had opened before, which closing it
    /// would reset.
    fn into_waiting(self) -> Vec<TcpStream> {
        let mut waiting = Vec::new();
        // The socket does not block, so the first error means that no connection waits.
        if let Ok(socket) = self.inner.into_std() {
            while let Ok((stream, _)) = socket.accept() {
                let stream = stream
                    .set_nonblocking(true)
                    .and_then(|()| TcpStream::from_std(stream));
                waiting.extend(stream);
            }
        }
        waiting
    }
}

/// Serves a connection in a task, unless too many are open.
fn spawn_connection<H, F, B>(stream: TcpStream, closing: &Shutdown, limits: ServerLimits, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if closing.open() >= limits.max_connections {
        emit(Event::AcceptFailed, &[("error", &"too many connections")]);
        return;
    }
    closing.open.fetch_add(1, Ordering::AcqRel);
    let guard = ConnectionGuard(closing.open.clone());
    let closed = closing.sender.subscribe();
    tokio::spawn(async move {
        serve_connection(stream, closed, limits, handle).await;
        drop(guard);
    });
}

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    mut closed: watch::Receiver<bool>,
    limits: ServerLimits,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    set_socket_options(&stream);
    let service = service_fn(move |request| {
        let response = handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head.max(8 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    let mut served = pin!(served);
    let ended = tokio::select! {
        ended = served.as_mut() => Some(ended),
        () = wait_closed(&mut closed) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => match timeout(LAST_REQUEST_GRACE, served.as_mut()).await {
            Ok(ended) => ended,
            Err(_) => {
                served.as_mut().graceful_shutdown();
                served.await
            }
        },
    };
    if let Err(e) = ended {
        emit(Event::CallerConnectionEnded, &[("error", &e)]);
    }
}

/// Waits until the listener is closed, or until no handle is left that could close it.
async fn wait_closed(closed: &mut watch::Receiver<bool>) {
    let waited = closed.wait_for(|closed| *closed).await;
    drop(waited);
}
