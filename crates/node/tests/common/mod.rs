//! Settings of roles that listen on the loopback interface.

#![allow(dead_code)]

use std::net::SocketAddr;

use sardinepath_node::config::AgentSettings;
use sardinepath_node::config::EntrySettings;
use serde_json::json;

/// Returns the loopback address with port 0, for which the system picks a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the settings of the agent of `target`, which serves at `address`.
pub fn agent_settings(target: &str, address: SocketAddr) -> AgentSettings {
    let any_port = loopback();
    let settings = json!({
        "role": "agent", "host": format!("host-of-{target}"), "centre": "cx1",
        "listen": any_port, "admin": any_port, "target": target, "address": address,
        "threads": 2, "drain_limit": 60,
    });
    serde_json::from_value(settings).unwrap()
}

/// Returns the settings of an entry on `host` that uses the object API at `objects`.
pub fn entry_settings(host: &str, objects: SocketAddr) -> EntrySettings {
    let any_port = loopback();
    let settings = json!({
        "role": "entry", "host": host, "centre": "cx1",
        "listen": any_port, "peer": any_port, "admin": any_port, "objects": objects,
        "threads": 2, "drain_limit": 60,
    });
    serde_json::from_value(settings).unwrap()
}
