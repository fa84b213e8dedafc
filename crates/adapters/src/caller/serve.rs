//! Accepts connections from callers.

use std::convert::Infallible;
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
use crate::runtime::Spawner;
use crate::runtime::Task;
use crate::runtime::sleep;

/// Events of one request that may wait for a slow caller.
const EVENT_ROOM: usize = 16;

/// Pause after a failed accept, for example when the process has no file descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running server for callers. It stops when dropped.
#[derive(Debug)]
pub struct CallerServer {
    /// Address on which it listens.
    pub address: SocketAddr,
    _task: Task,
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

/// Accepts connections up to the limit. Further callers wait in the listen queue.
async fn accept(
    spawner: Spawner,
    listener: tokio::net::TcpListener,
    limits: CallerLimits,
    front: Arc<dyn CallerFront>,
) {
    let room = Arc::new(Semaphore::new(limits.connections));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let serve = connection(stream, limits, front.clone(), permit);
                spawner.spawn(serve).detach();
            }
            Err(e) => {
                log::warn!("could not accept a connection: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
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
    let service = service_fn(move |request| {
        let front = front.clone();
        async move { Ok::<_, Infallible>(handle(request, &limits, front.as_ref()).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        log::debug!("a caller's connection ended: {e}");
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
