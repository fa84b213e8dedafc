//! Settings of an entry.

use std::net::SocketAddr;

use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::HostName;
use serde::Deserialize;

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Host on which the entry runs.
    pub host: HostName,
    /// Data centre of the host.
    pub centre: CentreName,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other entries.
    pub peer: SocketAddr,
    /// Address for administration.
    pub admin: SocketAddr,
    /// Address of the platform's object API.
    pub objects: SocketAddr,
    /// Number of traffic threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

fn default_threads() -> usize {
    4
}
