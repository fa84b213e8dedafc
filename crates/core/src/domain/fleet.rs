//! Targets and processes of the system, as they register in the object API.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::ids::Incarnation;
use crate::domain::ids::WeightVersion;
use crate::domain::name::CentreName;
use crate::domain::name::HostName;
use crate::domain::name::ModelName;
use crate::domain::name::PoolName;
use crate::domain::name::RegionName;
use crate::domain::name::SoftwareVersion;
use crate::domain::name::TargetName;

/// Cold time of a target whose entry states one that cannot be read.
pub const UNREADABLE_COLD_TIME: Duration = Duration::MAX;

/// A running target, as its entry in the object API describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Name of this run of the target.
    pub name: TargetName,
    /// Pool that the target serves.
    pub pool: PoolName,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub centre: CentreName,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// True if the target is draining and takes no new requests.
    pub leaving: bool,
    /// Loaded models, each with its weight version.
    pub models: Vec<(ModelName, WeightVersion)>,
    /// Version of the software of this run.
    pub software: SoftwareVersion,
    /// Start of this run in milliseconds since the Unix epoch, or 0 if not stated.
    pub started_at: u64,
    /// Time for which the target stays cold, counted from its entry, or `UNREADABLE_COLD_TIME`.
    pub cold: Duration,
}

/// A gateway process, registered as an object of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Host of the process.
    pub host: HostName,
    /// Address of the process for other processes of the system.
    pub address: SocketAddr,
    /// Run of the process, which changes at each restart.
    pub incarnation: Incarnation,
    /// Processor time that the process may use, in percent of a core, or 0 if not stated.
    #[serde(default)]
    #[serde(rename = "power")]
    pub cpu_percent: u32,
    /// Region of the host, or `None` if not stated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionName>,
}

impl TargetEntry {
    /// Returns the loaded weight version of a model, or `None` if the model is not loaded.
    pub fn version(&self, model: &ModelName) -> Option<WeightVersion> {
        let mut models = self.models.iter();
        models.find(|(name, _)| name == model).map(|(_, v)| *v)
    }
}
