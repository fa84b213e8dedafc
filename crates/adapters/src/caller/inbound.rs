//! Reads requests of callers.

use std::sync::Arc;

use http::request::Parts;
use hyper::Request;
use hyper::body::Body as _;
use hyper::body::Incoming;
use sardinepath_core::decision::authorize::Completion;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::decision::memory::Owner;
use sardinepath_core::domain::call::HeaderField;
use sardinepath_core::domain::error::ErrorKind;
use serde_json::Value;

use crate::caller::shared::Shared;
use crate::memory::Complete;
use crate::memory::Held;
use crate::memory::ReadFault;
use crate::memory::discard;
use crate::runtime::timeout;

/// Number of copies of a body that exist while it is decoded: as received, as kept, its texts and its
/// prompt.
const COPIES: usize = 4;

/// A complete request with the memory that it holds.
pub(super) struct HeldInbound {
    pub(super) inbound: Inbound,
    pub(super) held: Held<Complete>,
}

/// Reads a complete request, whose caller is known before any of its body is held. Fails if it is
/// not authorized, exceeds a size or time limit or is malformed.
pub(super) async fn read_request(
    request: Request<Incoming>,
    shared: &Shared,
) -> Result<HeldInbound, ErrorKind> {
    let limits = &shared.limits;
    let (head, body) = request.into_parts();
    let owner = match admit_body(shared, &head, &body) {
        Ok(owner) => owner,
        Err(kind) => {
            discard(body, limits.max_body);
            return Err(kind);
        }
    };
    let memory = &shared.memory;
    let read = memory.read_copied(owner, body, limits.max_body, COPIES);
    let read = timeout(limits.body_timeout, read).await;
    let (body, held) = read.ok_or(ErrorKind::SlowCaller)?.map_err(refusal)?;
    Ok(HeldInbound {
        inbound: to_inbound(&head, &body),
        held,
    })
}

/// Decides from the head of a request whether its body is read, and who is charged for it.
fn admit_body(shared: &Shared, head: &Parts, body: &Incoming) -> Result<Owner, ErrorKind> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > shared.limits.max_body {
        return Err(ErrorKind::BodyTooLarge);
    }
    shared.front.admit_body(&to_inbound(head, &[]))
}

fn refusal(fault: ReadFault) -> ErrorKind {
    match fault {
        ReadFault::TooLarge => ErrorKind::BodyTooLarge,
        ReadFault::Incomplete => ErrorKind::BadRequest,
        ReadFault::NoRoom => ErrorKind::Overloaded,
        ReadFault::Stalled => ErrorKind::SlowCaller,
    }
}

fn to_inbound(head: &Parts, body: &[u8]) -> Inbound {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let fields = head.headers.iter().map(|(name, value)| HeaderField {
        name: Arc::from(name.as_str()),
        value: Arc::from(value.as_bytes()),
    });
    let json: Option<Value> = serde_json::from_slice(body).ok();
    Inbound {
        method: Arc::from(head.method.as_str()),
        path: Arc::from(path),
        fields: fields.collect(),
        completion: json.as_ref().and_then(parse_completion),
        texts: json.as_ref().map(collect_texts).unwrap_or_default(),
        body: Arc::from(body),
    }
}

/// Returns the fields of a completions request, or `None` if the body has no prompt.
fn parse_completion(json: &Value) -> Option<Completion> {
    // Chat requests have messages in place of a prompt. Their JSON text is used as the prompt.
    let prompt = match json.get("prompt").or_else(|| json.get("messages"))? {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let tokens = json.get("max_tokens").and_then(Value::as_u64);
    Some(Completion {
        streamed: json.get("stream").and_then(Value::as_bool) == Some(true),
        prompt: Arc::from(prompt),
        max_tokens: tokens.map_or(0, |n| u32::try_from(n).unwrap_or(u32::MAX)),
    })
}

/// Returns all strings in a JSON value, including field names.
fn collect_texts(json: &Value) -> Vec<String> {
    let mut found = Vec::new();
    let mut pending = vec![json];
    while let Some(value) = pending.pop() {
        match value {
            Value::String(text) => found.push(text.clone()),
            Value::Array(items) => pending.extend(items),
            Value::Object(map) => {
                found.extend(map.keys().cloned());
                pending.extend(map.values());
            }
            _ => {}
        }
    }
    found
}
