//! The weight store, which hands out bytes at a limited rate.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;
use serde_json::json;

use crate::http::Seen;
use crate::service::Protocol;
use crate::service::Reply;
use crate::service::Service;

/// Bytes that are sent at once.
const PIECE_BYTES: usize = 64 << 10;

/// A running weight store. It stops when dropped.
pub type Weights = Service<WeightState>;

/// State of the weight store.
#[derive(Debug)]
pub struct WeightState {
    /// Bytes of one version of any model.
    size: usize,
    /// Bytes a second for all readers together.
    rate: u64,
    latest: BTreeMap<ModelName, WeightVersion>,
    /// Time at which the bytes promised so far have been sent.
    free: Option<Instant>,
    /// Every read that began, in order.
    pub reads: Vec<(ModelName, WeightVersion)>,
}

impl WeightState {
    /// Creates an empty store with the size of a version in bytes and a rate in bytes a second.
    pub fn new(size: usize, rate: u64) -> Self {
        Self {
            size,
            rate: rate.max(1),
            latest: BTreeMap::new(),
            free: None,
            reads: Vec::new(),
        }
    }

    /// Publishes a version. Returns false if it is not newer than the latest one.
    pub fn publish(&mut self, model: ModelName, version: WeightVersion) -> bool {
        let newer = self.latest.get(&model).is_none_or(|last| *last < version);
        if newer {
            self.latest.insert(model, version);
        }
        newer
    }

    /// Returns the latest version of a model.
    pub fn latest(&self, model: &str) -> Option<WeightVersion> {
        self.latest.get(model).copied()
    }

    /// Schedules the bytes of a version behind those of earlier readers.
    fn read(&mut self, model: &str, version: WeightVersion, now: Instant) -> Reply {
        if self.latest(model).is_none_or(|last| last < version) {
            return Reply::Json(404, json!({"error": "unknown version"}));
        }
        self.reads.push((ModelName::from(model), version));
        let mut due = self.free.map_or(now, |free| free.max(now));
        let mut pieces = Vec::new();
        let mut left = self.size;
        while left > 0 {
            let piece = left.min(PIECE_BYTES);
            left -= piece;
            due += self.time(piece);
            pieces.push((due, piece));
        }
        self.free = Some(due);
        Reply::Paced(pieces)
    }

    fn time(&self, bytes: usize) -> Duration {
        let nanos = bytes as u64 * 1_000_000_000 / self.rate;
        Duration::from_nanos(nanos)
    }
}

impl Protocol for WeightState {
    fn handle(&mut self, seen: &Seen, now: Instant) -> Reply {
        let parts: Vec<_> = seen.route().split('/').skip(1).collect();
        let unknown = || Reply::Json(404, json!({"error": "unknown path"}));
        let (model, version) = match (seen.method.as_str(), parts.as_slice()) {
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
        match seen.method.as_str() {
            "GET" => self.read(model, version, now),
            "PUT" => {
                let newer = self.publish(ModelName::from(model), version);
                Reply::Json(if newer { 200 } else { 409 }, json!({"newer": newer}))
            }
            _ => unknown(),
        }
    }
}
