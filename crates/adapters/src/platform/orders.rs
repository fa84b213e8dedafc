//! HTTP client of the order interface, which starts and stops targets.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use sardinepath_core::domain::name::CentreName;
use sardinepath_core::port::order::OrderError;
use sardinepath_core::port::order::OrderPort;
use sardinepath_core::port::order::TargetOrder;
use sardinepath_core::port::order::TargetState;

use crate::platform::connection::CallError;
use crate::platform::connection::Connection;
use crate::platform::connection::Response;
use crate::platform::fetch_json;
use crate::runtime::Spawner;

/// Time limit for reading the target states of a data centre.
const STATES_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP client of the order interface.
#[derive(Debug)]
pub struct HttpOrders {
    spawner: Spawner,
    address: SocketAddr,
    /// Connection for the next order. It needs a lock only because the port takes `&self`; a
    /// single platform thread uses it.
    prepared: Mutex<Option<Connection>>,
}

impl HttpOrders {
    /// Creates a client for the order interface at `address`.
    pub fn new(spawner: Spawner, address: SocketAddr) -> Self {
        Self {
            spawner,
            address,
            prepared: Mutex::new(None),
        }
    }

    fn replace_prepared(&self, connection: Option<Connection>) -> Option<Connection> {
        let mut prepared = self.prepared.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut prepared, connection)
    }
}

impl OrderPort for HttpOrders {
    fn prepare(&self) -> Result<(), OrderError> {
        let connection = Connection::open(&self.spawner, self.address)?;
        self.replace_prepared(Some(connection));
        Ok(())
    }

    /// Sends an order on the prepared connection. Each order needs its own call to `prepare`, so
    /// that the caller's lease check is the last step before the write.
    fn send(&self, order: &TargetOrder) -> Result<(), OrderError> {
        let connection = self.replace_prepared(None);
        let connection = connection
            .ok_or_else(|| OrderError::Unavailable("no connection was prepared".to_owned()))?;
        let body = serde_json::to_string(order)
            .map_err(|e| OrderError::Unavailable(format!("the order cannot be encoded: {e}")))?;
        let response = connection.post(&self.spawner, "/orders", body)?;
        check_response(&response)
    }

    fn states(&self, centre: &CentreName) -> Result<Vec<TargetState>, OrderError> {
        let url = format!("http://{}/centres/{centre}/targets", self.address);
        fetch_json(minreq::get(url), STATES_TIMEOUT).map_err(OrderError::Unavailable)
    }
}

impl From<CallError> for OrderError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(reason) => Self::Unavailable(reason),
            CallError::MayHaveArrived(reason) => Self::Unknown(reason),
        }
    }
}

fn check_response(response: &Response) -> Result<(), OrderError> {
    if response.status == 200 {
        Ok(())
    } else if response.status == 409 && response.has_error("fenced") {
        Err(OrderError::Fenced)
    } else if response.had_no_effect() {
        Err(OrderError::Unavailable(response.describe()))
    } else {
        Err(OrderError::Unknown(response.describe()))
    }
}
