//! Writes answers as HTTP.

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

use crate::runtime::sleep;

/// Time for the error event of a broken stream to be written.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// A body that is whole or streamed.
pub(super) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The events of a request with the guard that cancels it.
pub(super) struct Answering {
    pub(super) events: Receiver<CallEvent>,
    /// Cancels the request when dropped.
    pub(super) _guard: Box<dyn CallGuard>,
}

/// Waits for the head of an answer and builds the response.
pub(super) async fn respond(answering: Answering, streamed: bool) -> Response<Body> {
    let (status, fields) = match answering.events.recv_async().await {
        Ok(CallEvent::Head { status, fields }) => (status, fields),
        Ok(CallEvent::Failed(failure)) => return refusal(failure),
        _ => return refusal(Failure::from(ErrorKind::Internal)),
    };
    let body = if streamed {
        stream(answering)
    } else {
        match collect(&answering.events).await {
            Ok((bytes, ending)) => return whole(status, &fields, bytes, &ending),
            Err(failure) => return refusal(failure),
        }
    };
    build(status, &fields, &[], body)
}

/// Builds the answer to a refused or failed request.
pub(super) fn refusal(failure: Failure) -> Response<Body> {
    let answer = failure.kind.answer();
    let body = error_body(failure).to_string();
    let mut extra = vec![("content-type", "application/json".to_owned())];
    if let Some(seconds) = failure.retry_after {
        extra.push(("retry-after", seconds.to_string()));
    }
    build(answer.status, &[], &extra, full(body.into()))
}

/// The JSON form of a failure.
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

fn whole(
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
    build(status, fields, &extra, full(bytes.into()))
}

/// Collects a whole answer. The events are bounded by the request's own limit.
async fn collect(events: &Receiver<CallEvent>) -> Result<(Vec<u8>, AnswerSummary), Failure> {
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

/// State of a streamed answer.
enum Streaming {
    Running(Answering),
    /// The error event was written; the connection is to be broken.
    Broken,
}

/// Streams an answer. One that fails ends with an error event and a broken connection, so that
/// a part cannot be taken for the whole.
fn stream(answering: Answering) -> Body {
    let frames = unfold(Streaming::Running(answering), |state| async move {
        match state {
            Streaming::Running(answering) => next_frame(answering).await,
            Streaming::Broken => {
                // A broken body discards what has not been flushed, so the event gets time.
                sleep(FLUSH_TIME).await;
                Some((
                    Err(io::Error::other("answer ended early")),
                    Streaming::Broken,
                ))
            }
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

async fn next_frame(answering: Answering) -> Option<(io::Result<Frame<Bytes>>, Streaming)> {
    loop {
        match answering.events.recv_async().await {
            Ok(CallEvent::Chunk(part)) => {
                let frame = Frame::data(Bytes::from(part));
                return Some((Ok(frame), Streaming::Running(answering)));
            }
            Ok(CallEvent::End(_)) => return None,
            Ok(CallEvent::Failed(failure)) => {
                return Some((Ok(error_event(failure)), Streaming::Broken));
            }
            Ok(CallEvent::Head { .. } | CallEvent::Heartbeat) => {}
            Err(_) => {
                let failure = Failure::from(ErrorKind::Truncated);
                return Some((Ok(error_event(failure)), Streaming::Broken));
            }
        }
    }
}

/// The server-sent event that ends a failed stream.
fn error_event(failure: Failure) -> Frame<Bytes> {
    let text = format!("event: error\ndata: {}\n\n", error_body(failure));
    Frame::data(Bytes::from(text))
}

fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

fn build(
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
        let mut fallback = Response::new(full(Bytes::new()));
        *fallback.status_mut() = http::StatusCode::BAD_GATEWAY;
        fallback
    })
}
