//! Builds HTTP responses for callers.

use std::convert::Infallible;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use flume::Receiver;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::body::Frame;
use sardinepath_core::domain::call::AnswerSummary;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::call::HeaderField;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::port::target::CallGuard;
use serde_json::json;

use crate::memory::Complete;
use crate::memory::Held;
use crate::runtime::sleep;

/// Delay between the error event of a failed stream and the end of the connection, in which the
/// event is flushed.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Response body, in memory or streamed.
pub(super) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Request whose response has not been built yet.
pub(super) struct PendingResponse {
    /// Events of the request.
    pub(super) events: Receiver<CallEvent>,
    /// Guard that cancels the request when dropped.
    pub(super) _guard: Box<dyn CallGuard>,
    /// Memory of the request.
    pub(super) _held: Held<Complete>,
}

/// Waits for the head of the response and builds it. Waits for the complete body unless `streamed`.
pub(super) async fn respond(pending: PendingResponse, streamed: bool) -> Response<Body> {
    let (status, fields) = match pending.events.recv_async().await {
        Ok(CallEvent::Head { status, fields }) => (status, fields),
        Ok(CallEvent::Failed(failure)) => return error_response(failure),
        _ => return error_response(Failure::from(ErrorKind::Internal)),
    };
    let body = if streamed {
        stream_body(pending)
    } else {
        match collect_body(&pending.events).await {
            Ok((bytes, ending)) => return full_response(status, &fields, bytes, &ending),
            Err(failure) => return error_response(failure),
        }
    };
    build_response(status, &fields, &[], body)
}

/// Returns the response to a refused or failed request.
pub(super) fn error_response(failure: Failure) -> Response<Body> {
    let answer = failure.kind.answer();
    let body = error_body(failure).to_string();
    let mut extra = vec![("content-type", "application/json".to_owned())];
    if let Some(seconds) = failure.retry_after {
        extra.push(("retry-after", seconds.to_string()));
    }
    build_response(answer.status, &[], &extra, full_body(body.into()))
}

/// Returns the JSON body that describes a failure.
pub(super) fn error_body(failure: Failure) -> serde_json::Value {
    let answer = failure.kind.answer();
    json!({
        "error": {
            "code": answer.code,
            "message": answer.text,
            "run": failure.run.code(),
        }
    })
}

fn full_response(
    status: u16,
    fields: &[HeaderField],
    bytes: Vec<u8>,
    ending: &AnswerSummary,
) -> Response<Body> {
    let versions: Vec<_> = ending.versions.iter().map(ToString::to_string).collect();
    let extra = if versions.is_empty() {
        vec![]
    } else {
        vec![("x-sardinepath-versions", versions.join(","))]
    };
    build_response(status, fields, &extra, full_body(bytes.into()))
}

/// Collects the complete body. The front limits its size, and the deadline of the request the time.
async fn collect_body(events: &Receiver<CallEvent>) -> Result<(Vec<u8>, AnswerSummary), Failure> {
    let mut bytes = Vec::new();
    loop {
        match events.recv_async().await {
            Ok(CallEvent::Chunk(part)) => bytes.extend(part),
            Ok(CallEvent::End(ending)) => return Ok((bytes, ending)),
            Ok(CallEvent::Failed(failure)) => return Err(failure),
            Ok(_) => {}
            Err(_) => return Err(Failure::from(ErrorKind::Truncated)),
        }
    }
}

/// State of a streamed body.
enum StreamState {
    /// Events are forwarded as they arrive.
    Running(PendingResponse),
    /// The error event was sent, and the connection has to be aborted.
    Broken,
}

/// Returns a body that streams the events.
///
/// A stream that fails ends with an error event and an aborted connection, so that the caller
/// does not mistake a part of the answer for a complete one.
fn stream_body(pending: PendingResponse) -> Body {
    let frames = unfold(StreamState::Running(pending), |state| async move {
        match state {
            StreamState::Running(pending) => next_frame(pending).await,
            StreamState::Broken => {
                // An aborted connection discards data that has not been flushed.
                sleep(FLUSH_DELAY).await;
                Some((
                    Err(io::Error::other("the response ended early")),
                    StreamState::Broken,
                ))
            }
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

async fn next_frame(pending: PendingResponse) -> Option<(io::Result<Frame<Bytes>>, StreamState)> {
    loop {
        match pending.events.recv_async().await {
            Ok(CallEvent::Chunk(part)) => {
                let frame = Frame::data(Bytes::from(part));
                return Some((Ok(frame), StreamState::Running(pending)));
            }
            Ok(CallEvent::End(_)) => return None,
            Ok(CallEvent::Failed(failure)) => {
                return Some((Ok(error_event(failure)), StreamState::Broken));
            }
            Ok(CallEvent::Head { .. } | CallEvent::Heartbeat) => {}
            Err(_) => {
                let failure = Failure::from(ErrorKind::Truncated);
                return Some((Ok(error_event(failure)), StreamState::Broken));
            }
        }
    }
}

/// Returns the server-sent event that ends a failed stream.
fn error_event(failure: Failure) -> Frame<Bytes> {
    let text = format!("event: error\ndata: {}\n\n", error_body(failure));
    Frame::data(Bytes::from(text))
}

fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

fn build_response(
    status: u16,
    fields: &[HeaderField],
    extra: &[(&str, String)],
    body: Body,
) -> Response<Body> {
    let mut builder = Response::builder().status(status);
    for field in fields {
        builder = builder.header(&*field.name, &*field.value);
    }
    for (name, value) in extra {
        builder = builder.header(*name, value);
    }
    builder.body(body).unwrap_or_else(|_| {
        let mut fallback = Response::new(full_body(Bytes::new()));
        *fallback.status_mut() = http::StatusCode::BAD_GATEWAY;
        fallback
    })
}
