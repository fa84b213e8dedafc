//! The weight store.

use std::net::SocketAddr;
use std::time::Duration;

use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::port::weight::WeightPort;
use serde::Deserialize;

use crate::platform::read;

/// Time for the latest version.
const LATEST_LIMIT: Duration = Duration::from_secs(3);

/// The weight store over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpWeights {
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Latest {
    version: WeightVersion,
}

impl HttpWeights {
    /// Creates access to the store at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl WeightPort for HttpWeights {
    fn latest(&self, model: &ModelName) -> Result<WeightVersion, String> {
        let url = format!("http://{}/models/{model}/latest", self.address);
        let latest: Latest = read(minreq::get(url), LATEST_LIMIT)?;
        Ok(latest.version)
    }
}
