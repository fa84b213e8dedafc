//! Requests between gateways for permits of limited targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Incoming;
use sardinepath_core::decision::permit::PermitGrant;
use sardinepath_core::decision::permit::PermitRequest;

use crate::peer::call_json;
use crate::web::Body;
use crate::web::Pool;

/// Time limit for a request for permits. A caller of a plain request waits for it.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of an encoded request for permits, in bytes.
const MAX_REQUEST_BYTES: usize = 4 << 10;

/// Asks another gateway for permits. Returns `None` if the request fails.
pub async fn permits(
    pool: &Pool,
    address: SocketAddr,
    request: &PermitRequest,
) -> Option<PermitGrant> {
    const PATH: &str = "/permits";
    let body = serde_json::to_vec(request).ok()?;
    let request = Request::post(PATH).header("host", address.to_string());
    let request = request.body(Body::new(Bytes::from(body))).ok()?;
    let answered = call_json(pool, address, PATH, request, PERMIT_TIMEOUT).await;
    answered.ok()
}

/// Reads a request for permits. Returns `None` if it is malformed or too large.
pub async fn read_permit_request(request: Request<Incoming>) -> Option<PermitRequest> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
