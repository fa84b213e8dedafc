//! Port to the platform's list of hosts.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::name::CentreName;
use crate::domain::name::HostName;
use crate::domain::name::TargetName;

/// One host of the list. The list lags behind the truth.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// The host.
    pub host: HostName,
    /// Data centre of the host.
    pub centre: CentreName,
    /// Address on which the system's process on the host serves the others.
    pub address: SocketAddr,
    /// Target beside the process, or none on an entry host.
    pub target: Option<TargetName>,
    /// True if the host is about to go.
    pub leaving: bool,
}

/// The list of hosts.
pub trait HostPort: Send + Sync {
    /// Reads the list.
    fn hosts(&self) -> Result<Vec<HostEntry>, String>;
}
