//! The platform's interfaces over HTTP. Calls block and belong on the platform threads.

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

/// Sends a call that may be repeated, and decodes its JSON answer.
///
/// `minreq` has one time limit for connecting and answering together, in whole seconds.
fn read<T: DeserializeOwned>(request: minreq::Request, limit: Duration) -> Result<T, String> {
    let seconds = limit.as_millis().div_ceil(1000).max(1);
    let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
    let answer = request.with_timeout(seconds).send();
    let answer = answer.map_err(|e| format!("the call failed: {e}"))?;
    if answer.status_code != 200 {
        return Err(format!("the call was answered with {}", answer.status_code));
    }
    serde_json::from_slice(answer.as_bytes()).map_err(|e| format!("the answer is malformed: {e}"))
}
