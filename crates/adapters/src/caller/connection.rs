//! Serves one connection of a caller.

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

use crate::caller::answer::Answering;
use crate::caller::answer::Body;
use crate::caller::answer::refusal;
use crate::caller::answer::respond;
use crate::caller::inbound::read;
use crate::caller::refuse::close;
use crate::caller::refuse::refuse;
use crate::caller::serve::Shared;
use crate::caller::step::StepCall;
use crate::caller::wire::Exchange;
use crate::caller::wire::Wire;
use crate::event::emit;

/// Events of one request that may wait for a slow caller.
const EVENT_ROOM: usize = 16;

/// One connection and what it holds while it is open.
pub(super) struct Connection {
    pub(super) shared: Arc<Shared>,
    /// Closed when the connection has to end after its running request.
    pub(super) closing: Receiver<Infallible>,
    /// Tells the end of the connection when dropped.
    pub(super) _ended: Sender<()>,
    /// Counts the connection against the limit.
    pub(super) _permit: OwnedSemaphorePermit,
}

/// How a connection ends.
enum ConnectionEnd {
    /// With an error answer.
    Refuse(ErrorKind),
    /// After its last answer.
    Close,
    /// At once, in the middle of an answer or between requests.
    Break,
}

impl Connection {
    /// Serves the connection to its end.
    pub(super) async fn serve(self, stream: TcpStream) {
        // The option only affects latency.
        let _ = stream.set_nodelay(true);
        let limits = self.shared.limits;
        let shared = self.shared.clone();
        let exchange = Exchange::default();
        let wire = Wire::new(stream, exchange.clone(), limits.write_time);
        let service = service_fn(move |request| {
            exchange.start();
            let exchange = exchange.clone();
            let shared = shared.clone();
            Box::pin(async move {
                let response = handle(request, &shared).await;
                Ok::<_, Infallible>(response.map(|body| exchange.track(body)))
            })
        });
        let mut served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_time)
            .max_buf_size(limits.head)
            .serve_connection(TokioIo::new(wire), service);
        let first = {
            let closing = self.closing.recv_async();
            let poll = poll_fn(|cx| served.poll_without_shutdown(cx));
            match select(closing, Box::pin(poll)).await {
                Either::Left(_) => None,
                Either::Right((end, _)) => Some(end),
            }
        };
        let end = match first {
            Some(end) => end,
            None => {
                Pin::new(&mut served).graceful_shutdown();
                poll_fn(|cx| served.poll_without_shutdown(cx)).await
            }
        };
        let parts = served.into_parts();
        let wire = parts.io.into_inner();
        match connection_end(&wire, !parts.read_buf.is_empty(), end) {
            ConnectionEnd::Refuse(kind) => {
                self.shared.front.note_refusal(kind);
                refuse(wire.into_inner(), kind).await;
            }
            ConnectionEnd::Close => close(wire.into_inner()).await,
            ConnectionEnd::Break => {}
        }
    }
}

/// Decides how a connection ends.
fn connection_end(wire: &Wire, begun: bool, end: hyper::Result<()>) -> ConnectionEnd {
    let Err(e) = end else {
        return ConnectionEnd::Close;
    };
    emit(Event::CallerConnectionEnded, &[("error", &e)]);
    if !wire.is_clean() {
        ConnectionEnd::Break
    } else if e.is_parse_too_large() {
        ConnectionEnd::Refuse(ErrorKind::HeadTooLarge)
    } else if e.is_parse() {
        ConnectionEnd::Refuse(ErrorKind::BadRequest)
    } else if e.is_timeout() && begun {
        ConnectionEnd::Refuse(ErrorKind::SlowCaller)
    } else {
        ConnectionEnd::Break
    }
}

/// Serves one request. A request whose head came before the drain is served in full.
async fn handle(request: Request<Incoming>, shared: &Shared) -> Response<Body> {
    let draining = shared.draining.load(Ordering::Acquire);
    let inbound = match read(request, &shared.limits).await {
        Ok(_) if draining => return refused(shared, ErrorKind::Draining),
        Ok(inbound) => inbound,
        Err(kind) => return refused(shared, kind),
    };
    if let Some(front) = shared.front.steps()
        && let Some(call) = StepCall::recognize(&inbound)
        && front.is_model_route(&call.route)
    {
        return call.answer(front, inbound).await;
    }
    let streamed = inbound.completion.as_ref().is_some_and(|c| c.streamed);
    let (sender, events) = flume::bounded(EVENT_ROOM);
    let answering = Answering {
        _guard: shared.front.submit(inbound, sender),
        events,
    };
    respond(answering, streamed).await
}

/// Answers a request that is not submitted.
fn refused(shared: &Shared, kind: ErrorKind) -> Response<Body> {
    shared.front.note_refusal(kind);
    let mut response = refusal(Failure::from(kind));
    if kind == ErrorKind::Draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
