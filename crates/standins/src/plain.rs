//! Plain HTTP service that logs the calls that it executes.

use std::time::Instant;

use serde_json::json;

use crate::http::ReceivedRequest;
use crate::service::Protocol;
use crate::service::Reply;
use crate::service::Service;

/// Executed call, as the service received it.
pub type Executed = ReceivedRequest;

/// Running plain service that stops when dropped.
pub type PlainService = Service<PlainLog>;

/// Log of a plain service.
#[derive(Debug, Default)]
pub struct PlainLog {
    executed: Vec<Executed>,
}

impl PlainService {
    /// Starts a service on a free loopback port.
    pub fn start() -> anyhow::Result<Self> {
        Self::serve(PlainLog::default())
    }

    /// Returns all executed calls in order of their execution.
    pub fn executed(&self) -> Vec<Executed> {
        self.ask(|log| log.executed.clone())
    }
}

impl Protocol for PlainLog {
    /// Executes a call. `/status` is not logged, since agents call it and not users.
    fn handle(&mut self, request: &ReceivedRequest, _now: Instant) -> Reply {
        if !self.can_fail(request) {
            let status =
                json!({"version": 0, "running": 0, "queued": 0, "capacity": 64, "sequence": 0});
            return Reply::Json(200, status);
        }
        self.executed.push(request.clone());
        Reply::Text(format!("executed {} {}", request.method, request.path))
    }

    fn can_fail(&self, request: &ReceivedRequest) -> bool {
        request.route() != "/status"
    }
}
