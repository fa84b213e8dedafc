//! Reads requests of callers.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Incoming;
use sardinepath_core::decision::authorize::Completion;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::domain::call::HeaderField;
use sardinepath_core::domain::error::ErrorKind;
use serde_json::Value;

use crate::caller::limits::CallerLimits;
use crate::runtime::timeout;

/// Reads a complete request. Fails if it exceeds a size or time limit or is malformed.
pub(super) async fn read_request(
    request: Request<Incoming>,
    limits: &CallerLimits,
) -> Result<Inbound, ErrorKind> {
    let (head, body) = request.into_parts();
    let body = read_body(body, limits.max_body, limits.body_timeout).await?;
    Ok(to_inbound(&head, body))
}

async fn read_body(
    body: Incoming,
    max_bytes: usize,
    limit: Duration,
) -> Result<Vec<u8>, ErrorKind> {
    let result = timeout(limit, Limited::new(body, max_bytes).collect())
        .await
        .ok_or(ErrorKind::SlowCaller)?;
    match result {
        Ok(body) => Ok(body.to_bytes().into()),
        Err(e) if e.is::<LengthLimitError>() => Err(ErrorKind::BodyTooLarge),
        Err(_) => Err(ErrorKind::BadRequest),
    }
}

fn to_inbound(head: &Parts, body: Vec<u8>) -> Inbound {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let fields = head.headers.iter().map(|(name, value)| HeaderField {
        name: Arc::from(name.as_str()),
        value: Arc::from(value.as_bytes()),
    });
    let json: Option<Value> = serde_json::from_slice(&body).ok();
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
