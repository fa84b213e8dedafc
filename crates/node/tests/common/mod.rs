//! Settings of roles on the loopback.

#![allow(dead_code)]

use std::net::SocketAddr;

use sardinepath_node::config::AgentSettings;
use sardinepath_node::config::EntrySettings;
use serde_json::json;

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn agent_settings(target: &str, address: SocketAddr) -> AgentSettings {
    let any = loopback();
    let settings = json!({
        "role": "agent", "host": format!("host-of-{target}"), "centre": "cx1",
        "listen": any, "admin": any, "target": target, "address": address,
        "threads": 2, "drain_limit": 60,
    });
    serde_json::from_value(settings).unwrap()
}

pub fn entry_settings(host: &str, objects: SocketAddr) -> EntrySettings {
    let any = loopback();
    let settings = json!({
        "role": "entry", "host": host, "centre": "cx1",
        "listen": any, "peer": any, "admin": any, "objects": objects,
        "threads": 2, "drain_limit": 60,
    });
    serde_json::from_value(settings).unwrap()
}
