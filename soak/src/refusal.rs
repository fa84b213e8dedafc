//! Answers of targets that do not run a request.

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use sardinepath_adapters::web::Body;
use sardinepath_platform::names;
use serde_json::json;

use crate::store::json_response;

/// Returns the answer to a request with these headers that is meant for another target.
pub(crate) fn misdirected(headers: &HeaderMap) -> Response<Body> {
    let mut response = json_response(StatusCode::MISDIRECTED_REQUEST, &json!({}));
    if let Some(id) = headers.get(names::REQUEST_ID) {
        response.headers_mut().insert(names::REQUEST_ID, id.clone());
    }
    response
}
