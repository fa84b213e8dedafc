//! Stand-in of the platform's host list, which shows changes after a lag.

use std::time::Duration;
use std::time::Instant;

use sardinepath_core::port::host::HostEntry;
use serde_json::json;

use crate::http::ReceivedRequest;
use crate::service::Protocol;
use crate::service::Reply;
use crate::service::Service;

/// Running host list that stops when dropped.
pub type Hosts = Service<HostState>;

/// State of the host list.
#[derive(Debug)]
pub struct HostState {
    /// Time after which a change is shown.
    lag: Duration,
    /// Lists with the time at which each was set, oldest first.
    history: Vec<(Instant, Vec<HostEntry>)>,
}

impl HostState {
    /// Creates a list that shows changes after a lag. The initial list is shown at once.
    pub fn new(lag: Duration, hosts: Vec<HostEntry>) -> Self {
        let history = vec![(Instant::now(), hosts)];
        Self { lag, history }
    }

    /// Replaces the list. Readers see the new one after the lag.
    pub fn set(&mut self, hosts: Vec<HostEntry>) {
        self.history.push((Instant::now(), hosts));
    }

    /// Returns the list that is shown at `now`.
    pub fn visible_hosts(&self, now: Instant) -> &[HostEntry] {
        let due = |(from, _): &&(Instant, Vec<HostEntry>)| *from + self.lag <= now;
        let shown = self.history.iter().rev().find(due).or(self.history.first());
        shown.map_or(&[], |(_, hosts)| hosts)
    }
}

impl Protocol for HostState {
    fn handle(&mut self, request: &ReceivedRequest, now: Instant) -> Reply {
        match (request.method.as_str(), request.route()) {
            ("GET", "/hosts") => Reply::Json(200, json!(self.visible_hosts(now))),
            _ => Reply::Json(404, json!({"error": "unknown path"})),
        }
    }
}
