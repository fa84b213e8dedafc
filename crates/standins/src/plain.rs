//! A plain service that keeps a log of what it executed.

use std::time::Instant;

use serde_json::json;

use crate::http::Seen;
use crate::service::Protocol;
use crate::service::Reply;
use crate::service::Service;

/// One executed call as the service saw it.
pub type Executed = Seen;

/// A running plain service. It stops when dropped.
pub type PlainService = Service<PlainLog>;

/// Log of a plain service.
#[derive(Debug, Default)]
pub struct PlainLog {
    executed: Vec<Executed>,
}

impl PlainService {
    /// Starts a service on a free port of the loopback.
    pub fn start() -> anyhow::Result<Self> {
        Self::serve(PlainLog::default())
    }

    /// Returns everything that was executed.
    pub fn executed(&self) -> Vec<Executed> {
        self.ask(|log| log.executed.clone())
    }
}

impl Protocol for PlainLog {
    /// Executes one call. `/status` is not logged, since it is no call of a user.
    fn handle(&mut self, seen: &Seen, _now: Instant) -> Reply {
        if !self.can_fail(seen) {
            let status =
                json!({"version": 0, "running": 0, "queued": 0, "capacity": 64, "sequence": 0});
            return Reply::Json(200, status);
        }
        self.executed.push(seen.clone());
        Reply::Text(format!("executed {} {}", seen.method, seen.path))
    }

    fn can_fail(&self, seen: &Seen) -> bool {
        seen.route() != "/status"
    }
}
