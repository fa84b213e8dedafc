//! HTTP interface of the engine, which decodes requests and encodes answers.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use flume::Receiver;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use sardinepath_core::domain::declare::Priority;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::control::Control;
use crate::engine::answer::Script;
use crate::engine::model::Chunk;
use crate::engine::model::Job;
use crate::engine::model::LoadOrder;
use crate::engine::model::Model;
use crate::engine::model::Refusal;
use crate::engine::model::Status;
use crate::http::Answer;
use crate::http::AnswerFuture;
use crate::http::Body;
use crate::http::Handler;
use crate::http::ReceivedRequest;

/// Body of a completion request.
#[derive(Debug, Deserialize)]
struct Completion {
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Body of an order to load weights.
#[derive(Debug, Deserialize)]
struct Load {
    model: ModelName,
    version: WeightVersion,
    fence: Fence,
}

/// Body of an order to change the role.
#[derive(Debug, Deserialize)]
struct Role {
    role: String,
    fence: Fence,
}

/// Returns the request handler of an engine.
pub(super) fn handler(control: Control<Model>, seed: u64) -> Handler {
    Arc::new(move |request| -> AnswerFuture {
        let control = control.clone();
        Box::pin(async move { answer(request, &control, seed).await })
    })
}

async fn answer(request: ReceivedRequest, control: &Control<Model>, seed: u64) -> Answer {
    let call = format!("{} {}", request.method, request.route());
    let record = (call != "GET /status").then(|| request.clone());
    let hang = control.ask_async(move |model| {
        model.log.requests.extend(record);
        model.faults.hang
    });
    if hang.await {
        return std::future::pending().await;
    }
    match call.as_str() {
        "GET /status" => status(&request, control).await,
        "POST /v1/completions" => match serde_json::from_slice(&request.body) {
            Ok(completion) => complete(&request, completion, control, seed).await,
            Err(e) => invalid(&e),
        },
        "POST /orders/load" => match serde_json::from_slice(&request.body) {
            Ok(order) => load(order, control).await,
            Err(e) => invalid(&e),
        },
        "POST /orders/role" => match serde_json::from_slice(&request.body) {
            Ok(order) => role(order, control).await,
            Err(e) => invalid(&e),
        },
        _ => Answer::json(404, &json!({"error": "unknown path"})),
    }
}

async fn status(request: &ReceivedRequest, control: &Control<Model>) -> Answer {
    let after = request.parameter("after").and_then(|n| n.parse().ok());
    let after = after.unwrap_or(0);
    let status = control.ask_async(move |model| model.status(after, Instant::now()));
    Answer::json(200, &encode_status(status.await))
}

async fn complete(
    request: &ReceivedRequest,
    completion: Completion,
    control: &Control<Model>,
    seed: u64,
) -> Answer {
    let (sender, chunks) = flume::unbounded();
    let script = Script::new(&completion.prompt, completion.max_tokens, seed);
    let job = Job {
        request: request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned(),
        prompt: completion.prompt,
        script,
        priority: priority(request.header("x-priority")),
        chunks: sender,
    };
    let accepted = control.ask_async(move |model| model.submit(job));
    if let Err(refusal) = accepted.await {
        return refused(refusal);
    }
    if completion.stream {
        return Answer::body(200, "text/event-stream", event_stream(chunks));
    }
    complete_answer(&chunks).await
}

async fn load(order: Load, control: &Control<Model>) -> Answer {
    let (reply, result) = flume::bounded(1);
    let order = LoadOrder {
        model: order.model,
        version: order.version,
        fence: order.fence,
        reply,
    };
    let started = control.ask_async(move |model| model.load(order, Instant::now()));
    started.await;
    match result.recv_async().await {
        Ok(Ok(version)) => Answer::json(200, &json!({"version": version})),
        Ok(Err(refusal)) => refused(refusal),
        // The engine crashed during the load.
        Err(_) => Answer::Lost,
    }
}

async fn role(order: Role, control: &Control<Model>) -> Answer {
    let name = order.role.clone();
    let changed = control.ask_async(move |model| model.set_role(order.role, order.fence));
    match changed.await {
        Ok(()) => Answer::json(200, &json!({"role": name})),
        Err(refusal) => refused(refusal),
    }
}

/// Encodes an answer as a stream of server-sent events.
fn event_stream(chunks: Receiver<Chunk>) -> Body {
    let chunks = chunks.into_stream().map(Some).chain(stream::iter([None]));
    let frames = chunks.scan(false, |ended, chunk| {
        let frame = match chunk {
            Some(Chunk::EarlyEnd) => None,
            Some(chunk) => {
                *ended = chunk == Chunk::Disconnect || matches!(chunk, Chunk::End { .. });
                Some(encode_event(chunk))
            }
            // The channel closes before the end of the answer only if the engine crashes.
            None => (!*ended).then(|| Err(io::Error::other("the engine crashed"))),
        };
        async { Some(yield_on_error(frame?).await) }
    });
    StreamBody::new(frames).boxed_unsync()
}

fn encode_event(chunk: Chunk) -> io::Result<Frame<Bytes>> {
    let text = match chunk {
        Chunk::Token { text, version } => {
            let choice = json!({"index": 0, "text": text, "finish_reason": null});
            let value = json!({"choices": [choice], "weight_version": version});
            format!("data: {value}\n\n")
        }
        Chunk::End { tokens, version } => {
            let choice = json!({"index": 0, "text": "", "finish_reason": "stop"});
            let usage = json!({"completion_tokens": tokens});
            let value = json!({"choices": [choice], "usage": usage, "weight_version": version});
            format!("data: {value}\n\ndata: [DONE]\n\n")
        }
        Chunk::Disconnect | Chunk::EarlyEnd => return Err(io::Error::other("truncated answer")),
    };
    Ok(Frame::data(Bytes::from(text)))
}

/// Encodes an answer as a single JSON text.
async fn complete_answer(chunks: &Receiver<Chunk>) -> Answer {
    let mut answer = String::new();
    let mut versions = Vec::new();
    while let Ok(chunk) = chunks.recv_async().await {
        match chunk {
            Chunk::Token { text, version } => {
                answer.push_str(&text);
                if versions.last() != Some(&version) {
                    versions.push(version);
                }
            }
            Chunk::End { tokens, version } => {
                let choice = json!({"index": 0, "text": answer, "finish_reason": "stop"});
                let value = json!({
                    "choices": [choice],
                    "usage": {"completion_tokens": tokens},
                    "weight_version": version,
                    "weight_versions": versions,
                });
                return Answer::json(200, &value);
            }
            Chunk::Disconnect | Chunk::EarlyEnd => return truncated_answer(&answer),
        }
    }
    Answer::Lost
}

/// Returns an answer that sends the beginning of a JSON text and then closes the connection.
fn truncated_answer(answer: &str) -> Answer {
    let start = format!("{{\"choices\":[{{\"index\":0,\"text\":{}", json!(answer));
    let frames = [
        Ok(Frame::data(Bytes::from(start))),
        Err(io::Error::other("truncated answer")),
    ];
    let frames = stream::iter(frames).then(yield_on_error);
    let body = StreamBody::new(frames).boxed_unsync();
    Answer::body(200, "application/json", body)
}

/// Yields to the runtime before an error, since `hyper` drops unflushed frames when a body fails.
async fn yield_on_error(frame: io::Result<Frame<Bytes>>) -> io::Result<Frame<Bytes>> {
    if frame.is_err() {
        tokio::task::yield_now().await;
    }
    frame
}

fn encode_status(status: Status) -> Value {
    json!({
        "model": status.model,
        "version": status.version,
        "role": status.role,
        "running": status.running,
        "queued": status.queued,
        "capacity": status.capacity,
        "sequence": status.cache.sequence,
        "cached": status.cache.cached,
        "evicted": status.cache.evicted,
        "gap": status.cache.gap,
    })
}

fn refused(refusal: Refusal) -> Answer {
    match refusal {
        Refusal::NotRun => {
            Answer::json(503, &json!({"error": "not_run"})).with_header("x-not-run", "1")
        }
        Refusal::Fenced => Answer::json(409, &json!({"error": "fenced"})),
        Refusal::Busy => Answer::json(409, &json!({"error": "busy"})),
        Refusal::LoadFailed => Answer::json(500, &json!({"error": "load_failed"})),
    }
}

fn invalid(error: &serde_json::Error) -> Answer {
    Answer::json(400, &json!({"error": error.to_string()}))
}

fn priority(value: Option<&str>) -> Priority {
    match value {
        Some("training") => Priority::Training,
        Some("batch") => Priority::Batch,
        _ => Priority::Interactive,
    }
}
