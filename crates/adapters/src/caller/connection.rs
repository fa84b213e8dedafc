//! Serves one caller's connection.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

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
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::event::Event;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

use crate::caller::inbound::HeldInbound;
use crate::caller::inbound::read_request;
use crate::caller::refuse::close;
use crate::caller::refuse::refuse;
use crate::caller::response::Body;
use crate::caller::response::PendingResponse;
use crate::caller::response::error_response;
use crate::caller::response::respond;
use crate::caller::shared::Shared;
use crate::caller::step::StepCall;
use crate::caller::stream::CallerStream;
use crate::caller::stream::ResponseTracker;
use crate::event::emit;

/// Number of events of a request that are buffered for a slow caller.
const EVENT_QUEUE_CAPACITY: usize = 16;

/// One caller's connection.
pub(super) struct Connection {
    /// State shared by all connections.
    pub(super) shared: Arc<Shared>,
    /// Channel that closes when the connection has to end after its running request.
    pub(super) closing: Receiver<Infallible>,
    /// Signals the end of the connection when dropped.
    pub(super) _ended: Sender<()>,
    /// Permit that counts the connection towards the limit.
    pub(super) _permit: OwnedSemaphorePermit,
}

/// How a connection ends.
enum ConnectionEnd {
    /// Sends an error response and closes the connection.
    Refuse(ErrorKind),
    /// Closes the connection after its last response.
    Close,
    /// Drops the connection at once, even in the middle of a response.
    Abort,
}

impl Connection {
    /// Serves requests until the connection ends.
    pub(super) async fn serve(self, stream: TcpStream) {
        // A failure only affects latency.
        let _ = stream.set_nodelay(true);
        let limits = self.shared.limits;
        let shared = self.shared.clone();
        let tracker = ResponseTracker::default();
        let stream = CallerStream::new(stream, tracker.clone(), limits.write_timeout);
        let service = service_fn(move |request| {
            tracker.start();
            let tracker = tracker.clone();
            let shared = shared.clone();
            Box::pin(async move {
                let response = handle(request, &shared).await;
                Ok::<_, Infallible>(response.map(|body| tracker.track(body)))
            })
        });
        let mut served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.max_head)
            .serve_connection(TokioIo::new(stream), service);
        let early_end = {
            let closing = self.closing.recv_async();
            let poll = poll_fn(|cx| served.poll_without_shutdown(cx));
            match select(closing, Box::pin(poll)).await {
                Either::Left(_) => None,
                Either::Right((end, _)) => Some(end),
            }
        };
        let end = match early_end {
            Some(end) => end,
            None => {
                Pin::new(&mut served).graceful_shutdown();
                poll_fn(|cx| served.poll_without_shutdown(cx)).await
            }
        };
        let parts = served.into_parts();
        let stream = parts.io.into_inner();
        match connection_end(&stream, !parts.read_buf.is_empty(), end) {
            ConnectionEnd::Refuse(kind) => {
                self.shared.front.record_refusal(kind);
                refuse(stream.into_inner(), kind).await;
            }
            ConnectionEnd::Close => close(stream.into_inner()).await,
            ConnectionEnd::Abort => {}
        }
    }
}

/// Returns how a connection has to end. `head_started` is `true` if a part of a head was read.
fn connection_end(
    stream: &CallerStream,
    head_started: bool,
    end: hyper::Result<()>,
) -> ConnectionEnd {
    let Err(e) = end else {
        return ConnectionEnd::Close;
    };
    emit(Event::CallerConnectionEnded, &[("error", &e)]);
    if !stream.is_idle() {
        ConnectionEnd::Abort
    } else if e.is_parse_too_large() {
        ConnectionEnd::Refuse(ErrorKind::HeadTooLarge)
    } else if e.is_parse() {
        ConnectionEnd::Refuse(ErrorKind::BadRequest)
    } else if e.is_timeout() && head_started {
        ConnectionEnd::Refuse(ErrorKind::SlowCaller)
    } else {
        ConnectionEnd::Abort
    }
}

/// Serves one request. A request whose head arrived before the drain is served completely.
async fn handle(request: Request<Incoming>, shared: &Shared) -> Response<Body> {
    let draining = shared.draining.load(Ordering::Acquire);
    let HeldInbound { inbound, held } = match read_request(request, shared).await {
        Ok(_) if draining => return refuse_request(shared, ErrorKind::Draining),
        Ok(read) => read,
        Err(kind) => return refuse_request(shared, kind),
    };
    if let Some(front) = shared.front.steps()
        && let Some(call) = StepCall::from_inbound(&inbound)
        && front.is_model_route(&call.route)
    {
        return call.respond(front, inbound).await;
    }
    let streamed = inbound.completion.as_ref().is_some_and(|c| c.streamed);
    let (sender, events) = flume::bounded(EVENT_QUEUE_CAPACITY);
    let pending = PendingResponse {
        _guard: shared.front.submit(inbound, sender),
        events,
        _held: held,
    };
    respond(pending, streamed).await
}

/// Counts the refusal of a request and returns the error response.
fn refuse_request(shared: &Shared, kind: ErrorKind) -> Response<Body> {
    shared.front.record_refusal(kind);
    let mut response = error_response(Failure::from(kind));
    if kind == ErrorKind::Draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
