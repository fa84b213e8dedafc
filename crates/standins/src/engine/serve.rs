//! The engine's HTTP interface: reads requests, encodes answers, decides nothing.

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
use crate::engine::model::Job;
use crate::engine::model::LoadOrder;
use crate::engine::model::Model;
use crate::engine::model::Part;
use crate::engine::model::Refusal;
use crate::engine::model::Status;
use crate::http::Answer;
use crate::http::Answering;
use crate::http::Body;
use crate::http::Handler;
use crate::http::Seen;

#[derive(Debug, Deserialize)]
struct Completion {
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Load {
    model: ModelName,
    version: WeightVersion,
    fence: Fence,
}

#[derive(Debug, Deserialize)]
struct Role {
    role: String,
    fence: Fence,
}

/// Returns the handler of an engine's requests.
pub(super) fn handler(control: Control<Model>, seed: u64) -> Handler {
    Arc::new(move |seen| -> Answering {
        let control = control.clone();
        Box::pin(async move { answer(seen, &control, seed).await })
    })
}

async fn answer(seen: Seen, control: &Control<Model>, seed: u64) -> Answer {
    let call = format!("{} {}", seen.method, seen.route());
    let record = (call != "GET /status").then(|| seen.clone());
    let hangs = control.ask_async(move |model| {
        model.book.seen.extend(record);
        model.faults.hang
    });
    if hangs.await {
        return std::future::pending().await;
    }
    match call.as_str() {
        "GET /status" => status(&seen, control).await,
        "POST /v1/completions" => match serde_json::from_slice(&seen.body) {
            Ok(completion) => complete(&seen, completion, control, seed).await,
            Err(e) => invalid(&e),
        },
        "POST /orders/load" => match serde_json::from_slice(&seen.body) {
            Ok(order) => load(order, control).await,
            Err(e) => invalid(&e),
        },
        "POST /orders/role" => match serde_json::from_slice(&seen.body) {
            Ok(order) => role(order, control).await,
            Err(e) => invalid(&e),
        },
        _ => Answer::json(404, &json!({"error": "unknown path"})),
    }
}

async fn status(seen: &Seen, control: &Control<Model>) -> Answer {
    let after = seen.parameter("after").and_then(|n| n.parse().ok());
    let after = after.unwrap_or(0);
    let status = control.ask_async(move |model| model.status(after, Instant::now()));
    Answer::json(200, &encode_status(status.await))
}

async fn complete(
    seen: &Seen,
    completion: Completion,
    control: &Control<Model>,
    seed: u64,
) -> Answer {
    let (sender, parts) = flume::unbounded();
    let script = Script::new(&completion.prompt, completion.max_tokens, seed);
    let job = Job {
        request: seen.field("x-request-id").unwrap_or_default().to_owned(),
        prompt: completion.prompt,
        script,
        priority: priority(seen.field("x-priority")),
        parts: sender,
    };
    let accepted = control.ask_async(move |model| model.submit(job));
    if let Err(refusal) = accepted.await {
        return refused(refusal);
    }
    if completion.stream {
        return Answer::body(200, "text/event-stream", events(parts));
    }
    whole(&parts).await
}

async fn load(order: Load, control: &Control<Model>) -> Answer {
    let (reply, result) = flume::bounded(1);
    let order = LoadOrder {
        model: order.model,
        version: order.version,
        fence: order.fence,
        reply,
    };
    let taken = control.ask_async(move |model| model.load(order, Instant::now()));
    taken.await;
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

/// Encodes an answer as server-sent events.
fn events(parts: Receiver<Part>) -> Body {
    let parts = parts.into_stream().map(Some).chain(stream::iter([None]));
    let frames = parts.scan(false, |ended, part| {
        let frame = match part {
            Some(Part::Stop) => None,
            Some(part) => {
                *ended = part == Part::Cut || matches!(part, Part::Whole { .. });
                Some(event(part))
            }
            // A channel that closes without an ending belongs to an engine that crashed.
            None => (!*ended).then(|| Err(io::Error::other("the engine crashed"))),
        };
        async { Some(flushed(frame?).await) }
    });
    StreamBody::new(frames).boxed_unsync()
}

fn event(part: Part) -> io::Result<Frame<Bytes>> {
    let text = match part {
        Part::Token { text, version } => {
            let choice = json!({"index": 0, "text": text, "finish_reason": null});
            let value = json!({"choices": [choice], "weight_version": version});
            format!("data: {value}\n\n")
        }
        Part::Whole { tokens, version } => {
            let choice = json!({"index": 0, "text": "", "finish_reason": "stop"});
            let usage = json!({"completion_tokens": tokens});
            let value = json!({"choices": [choice], "usage": usage, "weight_version": version});
            format!("data: {value}\n\ndata: [DONE]\n\n")
        }
        Part::Cut | Part::Stop => return Err(io::Error::other("the answer is cut off")),
    };
    Ok(Frame::data(Bytes::from(text)))
}

/// Encodes an answer as one JSON text.
async fn whole(parts: &Receiver<Part>) -> Answer {
    let mut answer = String::new();
    let mut versions = Vec::new();
    while let Ok(part) = parts.recv_async().await {
        match part {
            Part::Token { text, version } => {
                answer.push_str(&text);
                if versions.last() != Some(&version) {
                    versions.push(version);
                }
            }
            Part::Whole { tokens, version } => {
                let choice = json!({"index": 0, "text": answer, "finish_reason": "stop"});
                let value = json!({
                    "choices": [choice],
                    "usage": {"completion_tokens": tokens},
                    "weight_version": version,
                    "weight_versions": versions,
                });
                return Answer::json(200, &value);
            }
            Part::Cut | Part::Stop => return cut(&answer),
        }
    }
    Answer::Lost
}

/// Sends the beginning of a JSON text and then closes the connection.
fn cut(answer: &str) -> Answer {
    let begin = format!("{{\"choices\":[{{\"index\":0,\"text\":{}", json!(answer));
    let frames = [
        Ok(Frame::data(Bytes::from(begin))),
        Err(io::Error::other("the answer is cut off")),
    ];
    let frames = stream::iter(frames).then(flushed);
    let body = StreamBody::new(frames).boxed_unsync();
    Answer::body(200, "application/json", body)
}

/// Waits before an error, since `hyper` drops unflushed frames when a body fails.
async fn flushed(frame: io::Result<Frame<Bytes>>) -> io::Result<Frame<Bytes>> {
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
        "sequence": status.news.sequence,
        "cached": status.news.cached,
        "evicted": status.news.evicted,
        "gap": status.news.gap,
    })
}

fn refused(refusal: Refusal) -> Answer {
    match refusal {
        Refusal::NotRun => {
            Answer::json(503, &json!({"error": "not_run"})).with_field("x-not-run", "1")
        }
        Refusal::Fenced => Answer::json(409, &json!({"error": "fenced"})),
        Refusal::Busy => Answer::json(409, &json!({"error": "busy"})),
        Refusal::LoadFailed => Answer::json(500, &json!({"error": "load_failed"})),
    }
}

fn invalid(error: &serde_json::Error) -> Answer {
    Answer::json(400, &json!({"error": error.to_string()}))
}

fn priority(field: Option<&str>) -> Priority {
    match field {
        Some("training") => Priority::Training,
        Some("batch") => Priority::Batch,
        _ => Priority::Interactive,
    }
}
