//! Settings of an entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::HostName;
use serde::Deserialize;

use crate::config::range;
use crate::config::role::EntryRole;

/// Settings of an entry, read from its settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Always `entry`.
    pub role: EntryRole,
    /// Host on which the entry runs.
    pub host: HostName,
    /// Data centre of the host.
    pub centre: CentreName,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address on which other entries are served.
    pub peer: SocketAddr,
    /// Address of the administration server.
    pub admin: SocketAddr,
    /// Address of the platform's object API.
    pub objects: SocketAddr,
    /// Address of the scoring service. Without it, samples are recorded with score 0.
    #[serde(default)]
    pub scoring: Option<SocketAddr>,
    /// Other entries, by host with their `peer` addresses. A restart during an outage of the object
    /// API reads the configuration from one of them.
    #[serde(default)]
    pub entries: BTreeMap<HostName, SocketAddr>,
    /// Address of the platform's interface for usage reports. Without it the entry takes no
    /// `usage` duty.
    #[serde(default)]
    pub usage: Option<SocketAddr>,
    /// Address of the platform's interface that starts and stops targets. Without it and without
    /// `weights` the entry takes no `orders` duty.
    #[serde(default)]
    pub orders: Option<SocketAddr>,
    /// Address of the weight store. Without it the entry rolls out no weights.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
    /// Length of a usage window in seconds, from 1 to 86,400. It must be the same at all entries.
    #[serde(default = "range::default_window", deserialize_with = "range::window")]
    pub window: u64,
    /// Address of the platform's list of hosts. Without it the entry knows only `entries`.
    #[serde(default)]
    pub hosts: Option<SocketAddr>,
    /// Memory of the host in megabytes, from 64 to 1,048,576.
    #[serde(default = "range::default_memory", deserialize_with = "range::memory")]
    pub memory: usize,
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
    4
}
