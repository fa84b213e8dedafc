//! Port to the platform's list of hosts.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::name::CentreName;
use crate::domain::name::HostName;
use crate::domain::name::TargetName;

/// A host in the list. The list may lag behind the actual state of the hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub centre: CentreName,
    /// Address of the system's process on the host for other processes.
    pub address: SocketAddr,
    /// Target on the host, or `None` on a host with an entry.
    pub target: Option<TargetName>,
    /// True if the host is about to be removed.
    pub leaving: bool,
}

/// Client of the platform's list of hosts.
pub trait HostPort: Send + Sync {
    /// Reads the list. An error holds the reason.
    fn hosts(&self) -> Result<Vec<HostEntry>, String>;
}
