//! Stand-in of the weight store, which sends weights at a limited rate.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;
use serde_json::json;

use crate::http::ReceivedRequest;
use crate::service::Protocol;
use crate::service::Reply;
use crate::service::Service;

/// Maximum number of bytes that are sent at once.
const CHUNK_BYTES: usize = 64 << 10;

/// Running weight store that stops when dropped.
pub type Weights = Service<WeightState>;

/// State of the weight store.
#[derive(Debug)]
pub struct WeightState {
    /// Size of a weight version of any model in bytes.
    size: usize,
    /// Rate in bytes per second, which all readers share.
    rate: u64,
    latest: BTreeMap<ModelName, WeightVersion>,
    /// Time at which all reads so far will be complete.
    busy_until: Option<Instant>,
    /// Model and version of each read, in order of arrival.
    pub reads: Vec<(ModelName, WeightVersion)>,
}

impl WeightState {
    /// Creates an empty store. `size` is the size of a version in bytes, and `rate` the rate of all
    /// reads together in bytes per second, at least 1.
    pub fn new(size: usize, rate: u64) -> Self {
        Self {
            size,
            rate: rate.max(1),
            latest: BTreeMap::new(),
            busy_until: None,
            reads: Vec::new(),
        }
    }

    /// Publishes a version. Returns `false` without effect if it is not newer than the latest one.
    pub fn publish(&mut self, model: ModelName, version: WeightVersion) -> bool {
        let newer = self.latest.get(&model).is_none_or(|last| *last < version);
        if newer {
            self.latest.insert(model, version);
        }
        newer
    }

    /// Returns the latest version of a model, or `None` if no version was published.
    pub fn latest(&self, model: &str) -> Option<WeightVersion> {
        self.latest.get(model).copied()
    }

    /// Returns the weights of a version as paced chunks that follow those of earlier reads.
    fn read(&mut self, model: &str, version: WeightVersion, now: Instant) -> Reply {
        if self.latest(model).is_none_or(|last| last < version) {
            return Reply::Json(404, json!({"error": "unknown version"}));
        }
        self.reads.push((ModelName::from(model), version));
        let mut due = self.busy_until.map_or(now, |busy| busy.max(now));
        let mut chunks = Vec::new();
        let mut remaining = self.size;
        while remaining > 0 {
            let chunk = remaining.min(CHUNK_BYTES);
            remaining -= chunk;
            due += self.transfer_time(chunk);
            chunks.push((due, chunk));
        }
        self.busy_until = Some(due);
        Reply::Paced(chunks)
    }

    fn transfer_time(&self, bytes: usize) -> Duration {
        let nanos = bytes as u64 * 1_000_000_000 / self.rate;
        Duration::from_nanos(nanos)
    }
}

impl Protocol for WeightState {
    fn handle(&mut self, request: &ReceivedRequest, now: Instant) -> Reply {
        let parts: Vec<_> = request.route().split('/').skip(1).collect();
        let unknown = || Reply::Json(404, json!({"error": "unknown path"}));
        let (model, version) = match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["models", model, "latest"]) => {
                return self.latest(model).map_or_else(unknown, |version| {
                    Reply::Json(200, json!({"version": version}))
                });
            }
            (_, ["models", model, "versions", version]) => (*model, version.parse()),
            _ => return unknown(),
        };
        let Ok(version) = version.map(WeightVersion) else {
            return unknown();
        };
        match request.method.as_str() {
            "GET" => self.read(model, version, now),
            "PUT" => {
                let newer = self.publish(ModelName::from(model), version);
                Reply::Json(if newer { 200 } else { 409 }, json!({"newer": newer}))
            }
            _ => unknown(),
        }
    }
}
