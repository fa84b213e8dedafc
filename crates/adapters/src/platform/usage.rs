//! Usage reports.

use std::net::SocketAddr;

use sardinepath_core::port::usage::UsageError;
use sardinepath_core::port::usage::UsagePort;
use sardinepath_core::port::usage::UsageReport;

use crate::platform::connection::Answer;
use crate::platform::connection::CallError;
use crate::platform::connection::Connection;
use crate::runtime::Spawner;

/// The usage interface over HTTP.
#[derive(Clone, Debug)]
pub struct HttpUsage {
    spawner: Spawner,
    address: SocketAddr,
}

impl HttpUsage {
    /// Creates access to the interface at an address.
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
            .map_err(|e| UsageError::Unavailable(format!("the report can't be encoded: {e}")))?;
        let connection = Connection::open(&self.spawner, self.address)?;
        if !allowed() {
            return Err(UsageError::Unavailable("the lease has ended".to_owned()));
        }
        let answer = connection.post(&self.spawner, "/reports", body)?;
        check(&answer)
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

fn check(answer: &Answer) -> Result<(), UsageError> {
    if answer.status == 200 {
        Ok(())
    } else if answer.status == 409 && answer.names("contradiction") {
        Err(UsageError::Contradiction)
    } else if answer.is_without_effect() {
        Err(UsageError::Unavailable(answer.describe()))
    } else {
        Err(UsageError::Unknown(answer.describe()))
    }
}
