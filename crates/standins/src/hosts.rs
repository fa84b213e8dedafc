//! The platform's list of hosts, which lags behind the truth.

use std::time::Duration;
use std::time::Instant;

use sardinepath_core::port::host::HostEntry;
use serde_json::json;

use crate::http::Seen;
use crate::service::Protocol;
use crate::service::Reply;
use crate::service::Service;

/// A running host list. It stops when dropped.
pub type Hosts = Service<HostState>;

/// State of the host list.
#[derive(Debug)]
pub struct HostState {
    lag: Duration,
    /// Lists by the time from which they were true, oldest first.
    past: Vec<(Instant, Vec<HostEntry>)>,
}

impl HostState {
    /// Creates a list that shows changes after a lag. The first list shows at once.
    pub fn new(lag: Duration, hosts: Vec<HostEntry>) -> Self {
        let past = vec![(Instant::now(), hosts)];
        Self { lag, past }
    }

    /// Replaces the list.
    pub fn set(&mut self, hosts: Vec<HostEntry>) {
        self.past.push((Instant::now(), hosts));
    }

    /// Returns the list as a reader sees it.
    pub fn shown(&self, now: Instant) -> &[HostEntry] {
        let due = |(from, _): &&(Instant, Vec<HostEntry>)| *from + self.lag <= now;
        let shown = self.past.iter().rev().find(due).or(self.past.first());
        shown.map_or(&[], |(_, hosts)| hosts)
    }
}

impl Protocol for HostState {
    fn handle(&mut self, seen: &Seen, now: Instant) -> Reply {
        match (seen.method.as_str(), seen.route()) {
            ("GET", "/hosts") => Reply::Json(200, json!(self.shown(now))),
            _ => Reply::Json(404, json!({"error": "unknown path"})),
        }
    }
}
