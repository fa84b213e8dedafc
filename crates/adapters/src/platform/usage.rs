//! HTTP client of the usage interface, which receives usage reports.

use std::net::SocketAddr;

use sardinepath_core::port::usage::UsageError;
use sardinepath_core::port::usage::UsagePort;
use sardinepath_core::port::usage::UsageReport;

use crate::platform::connection::CallError;
use crate::platform::connection::Connection;
use crate::platform::connection::Response;
use crate::runtime::Spawner;

/// HTTP client of the usage interface.
#[derive(Clone, Debug)]
pub struct HttpUsage {
    spawner: Spawner,
    address: SocketAddr,
}

impl HttpUsage {
    /// Creates a client for the usage interface at `address`.
    pub fn new(spawner: Spawner, address: SocketAddr) -> Self {
        Self { spawner, address }
    }
}

impl UsagePort for HttpUsage {
    fn report_if(
        &self,
        report: &UsageReport,
        allowed: &dyn Fn() -> bool,
    ) -> Result<(), UsageError> {
        let body = serde_json::to_string(report)
            .map_err(|e| UsageError::Unavailable(format!("the report cannot be encoded: {e}")))?;
        let connection = Connection::open(&self.spawner, self.address)?;
        if !allowed() {
            return Err(UsageError::Unavailable("the lease has ended".to_owned()));
        }
        let response = connection.post(&self.spawner, "/reports", body)?;
        check_response(&response)
    }
}

impl From<CallError> for UsageError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(reason) => Self::Unavailable(reason),
            CallError::MayHaveArrived(reason) => Self::Unknown(reason),
        }
    }
}

fn check_response(response: &Response) -> Result<(), UsageError> {
    if response.status == 200 {
        Ok(())
    } else if response.status == 409 && response.has_error("contradiction") {
        Err(UsageError::Contradiction)
    } else if response.had_no_effect() {
        Err(UsageError::Unavailable(response.describe()))
    } else {
        Err(UsageError::Unknown(response.describe()))
    }
}
