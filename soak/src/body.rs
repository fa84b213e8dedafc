//! Bodies of requests to stand-ins.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

/// Reads a body as JSON. One that is cut off or no JSON is null, and the stand-in finds no field.
pub async fn json(body: Incoming) -> Value {
    let read = body.collect().await;
    let bytes = read.map(|body| body.to_bytes()).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or_default()
}
