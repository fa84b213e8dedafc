//! HTTP client of the weight store.

use std::net::SocketAddr;
use std::time::Duration;

use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::port::weight::WeightPort;
use serde::Deserialize;

use crate::platform::fetch_json;

/// Time limit for reading the latest version.
const LATEST_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP client of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct HttpWeights {
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct LatestBody {
    version: WeightVersion,
}

impl HttpWeights {
    /// Creates a client for the weight store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl WeightPort for HttpWeights {
    fn latest(&self, model: &ModelName) -> Result<WeightVersion, String> {
        let url = format!("http://{}/models/{model}/latest", self.address);
        let latest: LatestBody = fetch_json(minreq::get(url), LATEST_TIMEOUT)?;
        Ok(latest.version)
    }
}
