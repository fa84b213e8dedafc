//! Decoding of request bodies.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

/// Reads a body as JSON. Returns `Value::Null` if the body is truncated or is not valid JSON.
pub async fn json(body: Incoming) -> Value {
    let collected = body.collect().await;
    let bytes = collected.map(|body| body.to_bytes()).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or_default()
}
