//! Settings of an agent.

use std::net::SocketAddr;

use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::TargetName;
use serde::Deserialize;

use crate::config::range;
use crate::config::role::AgentRole;

/// Settings of an agent, read from its settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Always `agent`.
    pub role: AgentRole,
    /// Host on which the agent runs.
    pub host: HostName,
    /// Data centre of the host.
    pub centre: CentreName,
    /// Address on which entries are served.
    pub listen: SocketAddr,
    /// Address of the administration server.
    pub admin: SocketAddr,
    /// Name of the target beside the agent.
    pub target: TargetName,
    /// Address of the target on this host.
    pub address: SocketAddr,
    /// Number of traffic threads, from 1 to 64.
    #[serde(default = "default_threads", deserialize_with = "range::threads")]
    pub threads: usize,
    /// Maximum duration of a drain in seconds, from 1 to 86,400.
    #[serde(
        default = "range::default_drain_limit",
        deserialize_with = "range::drain_limit"
    )]
    pub drain_limit: u64,
}

fn default_threads() -> usize {
    2
}
