//! Accepts connections from callers.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use flume::Receiver;
use flume::Sender;
use futures_util::future::Either;
use futures_util::future::select;
use http::HeaderValue;
use http::header::CONNECTION;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::server::graceful::Watcher;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::event::Event;
use sardinepath_core::port::front::CallerFront;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::caller::answer::Answering;
use crate::caller::answer::Body;
use crate::caller::answer::refusal;
use crate::caller::answer::respond;
use crate::caller::inbound::read;
use crate::caller::limits::CallerLimits;
use crate::event::emit;
use crate::runtime::Spawner;
use crate::runtime::Task;
use crate::runtime::sleep;

/// Events of one request that may wait for a slow caller.
const EVENT_ROOM: usize = 16;

/// Pause after a failed accept, for example when the process has no file descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A draining server answers `draining` for this long before it closes its listener and idle
/// connections. Closing them at once would reset requests that are on their way.
const REFUSE_TIME: Duration = Duration::from_secs(3);

/// A running server for callers. It stops when dropped.
#[derive(Debug)]
pub struct CallerServer {
    /// Address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: Sender<()>,
    finished: Receiver<()>,
    _task: Task,
}

/// What all connections share.
struct Shared {
    limits: CallerLimits,
    front: Arc<dyn CallerFront>,
    draining: AtomicBool,
}

/// What the accept loop does next.
enum Next {
    Serve(TcpStream, OwnedSemaphorePermit),
    Pause(io::Error),
    Stop,
}

impl CallerServer {
    /// Serves callers on a listener.
    pub fn start(
        spawner: &Spawner,
        listener: TcpListener,
        limits: CallerLimits,
        front: Arc<dyn CallerFront>,
    ) -> anyhow::Result<Self> {
        let address = listener.local_addr().context("listener has no address")?;
        listener.set_nonblocking(true)?;
        let _context = spawner.enter();
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let (stop, stopped) = flume::bounded(1);
        let (ended, finished) = flume::bounded::<()>(0);
        let shared = Arc::new(Shared {
            limits,
            front,
            draining: AtomicBool::new(false),
        });
        let accept = accept(spawner.clone(), listener, shared.clone(), stopped);
        let task = spawner.spawn(async move {
            accept.await;
            drop(ended);
        });
        Ok(Self {
            address,
            shared,
            stop,
            finished,
            _task: task,
        })
    }

    /// Refuses new requests and then stops accepting. The returned channel closes once every running
    /// request has its answer and all connections are closed.
    pub fn drain(&self) -> Receiver<()> {
        self.shared.draining.store(true, Ordering::Release);
        // A full channel holds the same request already.
        let _ = self.stop.try_send(());
        self.finished.clone()
    }
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("limits", &self.limits)
            .field("draining", &self.draining)
            .finish_non_exhaustive()
    }
}

/// Accepts connections up to the limit until the drain. Further callers wait in the listen queue.
async fn accept(
    spawner: Spawner,
    listener: tokio::net::TcpListener,
    shared: Arc<Shared>,
    stop: Receiver<()>,
) {
    let room = Arc::new(Semaphore::new(shared.limits.connections));
    let graceful = GracefulShutdown::new();
    let serve = |stream, permit| {
        let work = connection(stream, shared.clone(), graceful.watcher(), permit);
        spawner.spawn(work).detach();
    };
    let stopped = Box::pin(stop.recv_async());
    serve_until(stopped, &listener, &room, &serve).await;
    serve_until(Box::pin(sleep(REFUSE_TIME)), &listener, &room, &serve).await;
    drop(listener);
    graceful.shutdown().await;
}

/// Accepts connections until `end` is ready.
async fn serve_until(
    mut end: impl Future + Unpin,
    listener: &tokio::net::TcpListener,
    room: &Arc<Semaphore>,
    serve: &impl Fn(TcpStream, OwnedSemaphorePermit),
) {
    loop {
        match select(end, Box::pin(next(listener, room))).await {
            Either::Left(_) => return,
            Either::Right((Next::Serve(stream, permit), rest)) => {
                serve(stream, permit);
                end = rest;
            }
            Either::Right((Next::Pause(e), rest)) => {
                emit(Event::AcceptFailed, &[("error", &e)]);
                sleep(ACCEPT_PAUSE).await;
                end = rest;
            }
            Either::Right((Next::Stop, _)) => return,
        }
    }
}

/// Waits for room and a connection.
async fn next(listener: &tokio::net::TcpListener, room: &Arc<Semaphore>) -> Next {
    let Ok(permit) = room.clone().acquire_owned().await else {
        return Next::Stop;
    };
    match listener.accept().await {
        Ok((stream, _)) => Next::Serve(stream, permit),
        Err(e) => Next::Pause(e),
    }
}

/// Serves one connection.
async fn connection(
    stream: TcpStream,
    shared: Arc<Shared>,
    watcher: Watcher,
    _permit: OwnedSemaphorePermit,
) {
    // The option only affects latency.
    let _ = stream.set_nodelay(true);
    let limits = shared.limits;
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(handle(request, &shared).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(e) = watcher.watch(served).await {
        emit(Event::CallerConnectionEnded, &[("error", &e)]);
    }
}

/// Serves one request. A request whose head came before the drain is served in full.
async fn handle(request: Request<Incoming>, shared: &Shared) -> Response<Body> {
    let draining = shared.draining.load(Ordering::Acquire);
    let inbound = match read(request, &shared.limits).await {
        Ok(_) if draining => return refuse(shared, ErrorKind::Draining),
        Ok(inbound) => inbound,
        Err(kind) => return refuse(shared, kind),
    };
    let streamed = inbound.completion.as_ref().is_some_and(|c| c.streamed);
    let (sender, events) = flume::bounded(EVENT_ROOM);
    let answering = Answering {
        _guard: shared.front.submit(inbound, sender),
        events,
    };
    respond(answering, streamed).await
}

/// Refuses a request that is not submitted.
fn refuse(shared: &Shared, kind: ErrorKind) -> Response<Body> {
    shared.front.note_refusal(kind);
    let mut response = refusal(Failure::from(kind));
    if kind == ErrorKind::Draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
