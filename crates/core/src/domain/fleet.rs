//! Targets and processes of the system as they announce themselves in the object API.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::ids::Incarnation;
use crate::domain::ids::WeightVersion;
use crate::domain::name::CentreName;
use crate::domain::name::HostName;
use crate::domain::name::ModelName;
use crate::domain::name::PoolName;
use crate::domain::name::TargetName;

/// A running target as its own entry describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Name of this run of the target.
    pub name: TargetName,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: CentreName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True if it takes no new requests.
    pub leaving: bool,
    /// Loaded models with the version of their weights.
    pub models: Vec<(ModelName, WeightVersion)>,
    /// Start of this run in milliseconds since the Unix epoch.
    pub born: u64,
}

/// A process of the system that takes requests, stored as an object of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Host on which it runs.
    pub host: HostName,
    /// Address for other processes of the system.
    pub address: SocketAddr,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Processor time that it may use, in percent of a core.
    #[serde(default)]
    pub power: u32,
}

impl Listed {
    /// Returns the loaded version of a model.
    pub fn version(&self, model: &ModelName) -> Option<WeightVersion> {
        let mut models = self.models.iter();
        models.find(|(name, _)| name == model).map(|(_, v)| *v)
    }
}
