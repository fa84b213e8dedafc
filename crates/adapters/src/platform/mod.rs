//! HTTP clients of the platform's interfaces. Calls block and have to run on the platform threads.

mod connection;
pub mod hosts;
pub mod object;
pub mod orders;
pub mod scoring;
pub mod usage;
pub mod weights;

pub use hosts::HttpHosts;
pub use orders::HttpOrders;
pub use scoring::HttpScores;
pub use usage::HttpUsage;
pub use weights::HttpWeights;

use std::time::Duration;

use serde::de::DeserializeOwned;

/// Sends an idempotent request and decodes its JSON response.
///
/// `limit` covers both the connection and the response. It is rounded up to whole seconds, the
/// unit of `minreq`.
fn fetch_json<T: DeserializeOwned>(request: minreq::Request, limit: Duration) -> Result<T, String> {
    let seconds = limit.as_millis().div_ceil(1000).max(1);
    let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
    let response = request.with_timeout(seconds).send();
    let response = response.map_err(|e| format!("the request failed: {e}"))?;
    if response.status_code != 200 {
        return Err(format!(
            "unexpected response status {}",
            response.status_code
        ));
    }
    serde_json::from_slice(response.as_bytes()).map_err(|e| format!("malformed response: {e}"))
}
