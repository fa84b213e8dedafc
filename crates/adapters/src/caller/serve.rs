//! Accepts connections from callers.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
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
use crate::caller::refuse::close;
use crate::caller::refuse::refuse;
use crate::caller::wire::Exchange;
use crate::caller::wire::Wire;
use crate::runtime::Spawner;
use crate::runtime::Task;
use crate::runtime::sleep;

/// Events of one request that may wait for a slow caller.
const EVENT_ROOM: usize = 16;

/// Pause after a failed accept, for example when the process has no file descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Callers above the limit of connections that are told so at once. Others are just closed.
const REFUSALS: usize = 64;

/// A running server for callers. It stops when dropped.
#[derive(Debug)]
pub struct CallerServer {
    /// Address on which it listens.
    pub address: SocketAddr,
    _task: Task,
}

/// How a connection ends.
enum LastWords {
    /// With an error answer.
    Refuse(ErrorKind),
    /// After its last answer.
    Close,
    /// At once, in the middle of an answer or between requests.
    Break,
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
        let accept = accept(spawner.clone(), listener, limits, front);
        Ok(Self {
            address,
            _task: spawner.spawn(accept),
        })
    }
}

/// Accepts connections. Callers above the limit are refused.
async fn accept(
    spawner: Spawner,
    listener: tokio::net::TcpListener,
    limits: CallerLimits,
    front: Arc<dyn CallerFront>,
) {
    let room = Arc::new(Semaphore::new(limits.connections));
    let refusals = Arc::new(Semaphore::new(REFUSALS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("could not accept a connection: {e}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Ok(permit) = room.clone().try_acquire_owned() {
            let serve = connection(stream, limits, front.clone(), permit);
            spawner.spawn(serve).detach();
        } else if let Ok(permit) = refusals.clone().try_acquire_owned() {
            spawner
                .spawn(async move {
                    refuse(stream, ErrorKind::Overloaded).await;
                    drop(permit);
                })
                .detach();
        }
    }
}

/// Serves one connection.
async fn connection(
    stream: TcpStream,
    limits: CallerLimits,
    front: Arc<dyn CallerFront>,
    _permit: OwnedSemaphorePermit,
) {
    // The option only affects latency.
    let _ = stream.set_nodelay(true);
    let exchange = Exchange::default();
    let wire = Wire::new(stream, exchange.clone(), limits.write_time);
    let service = service_fn(move |request| {
        exchange.start();
        let front = front.clone();
        let exchange = exchange.clone();
        Box::pin(async move {
            let response = handle(request, &limits, front.as_ref()).await;
            Ok::<_, Infallible>(response.map(|body| exchange.track(body)))
        })
    });
    let mut served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head)
        .serve_connection(TokioIo::new(wire), service);
    let end = poll_fn(|cx| served.poll_without_shutdown(cx)).await;
    let parts = served.into_parts();
    let wire = parts.io.into_inner();
    match last_words(&wire, !parts.read_buf.is_empty(), end) {
        LastWords::Refuse(kind) => refuse(wire.into_inner(), kind).await,
        LastWords::Close => close(wire.into_inner()).await,
        LastWords::Break => {}
    }
}

/// Decides how a connection ends.
fn last_words(wire: &Wire, begun: bool, end: hyper::Result<()>) -> LastWords {
    let Err(e) = end else {
        return LastWords::Close;
    };
    log::debug!("a caller's connection ended: {e}");
    if !wire.is_clean() {
        LastWords::Break
    } else if e.is_parse_too_large() {
        LastWords::Refuse(ErrorKind::HeadTooLarge)
    } else if e.is_parse() {
        LastWords::Refuse(ErrorKind::BadRequest)
    } else if e.is_timeout() && begun {
        LastWords::Refuse(ErrorKind::SlowCaller)
    } else {
        LastWords::Break
    }
}

/// Serves one request.
async fn handle(
    request: Request<Incoming>,
    limits: &CallerLimits,
    front: &dyn CallerFront,
) -> Response<Body> {
    let inbound = match read(request, limits).await {
        Ok(inbound) => inbound,
        Err(kind) => return refusal(Failure::from(kind)),
    };
    let streamed = inbound.completion.as_ref().is_some_and(|c| c.streamed);
    let (sender, events) = flume::bounded(EVENT_ROOM);
    let answering = Answering {
        _guard: front.submit(inbound, sender),
        events,
    };
    respond(answering, streamed).await
}
