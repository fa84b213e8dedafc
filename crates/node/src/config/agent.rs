//! Settings of an agent.

use std::net::SocketAddr;

use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::TargetName;
use serde::Deserialize;

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Host on which the agent runs.
    pub host: HostName,
    /// Data centre of the host.
    pub centre: CentreName,
    /// Address for entries.
    pub listen: SocketAddr,
    /// Address for administration.
    pub admin: SocketAddr,
    /// The target beside the agent.
    pub target: TargetName,
    /// Address of the target on this host.
    pub address: SocketAddr,
    /// Number of traffic threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

fn default_threads() -> usize {
    2
}
