//! Orders that start and stop targets.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use sardinepath_core::domain::name::CentreName;
use sardinepath_core::port::order::OrderError;
use sardinepath_core::port::order::OrderPort;
use sardinepath_core::port::order::TargetOrder;
use sardinepath_core::port::order::TargetState;

use crate::platform::connection::Answer;
use crate::platform::connection::CallError;
use crate::platform::connection::Connection;
use crate::platform::read;
use crate::runtime::Spawner;

/// Time for the states of a data centre.
const STATES_LIMIT: Duration = Duration::from_secs(3);

/// The order interface over HTTP.
#[derive(Debug)]
pub struct HttpOrders {
    spawner: Spawner,
    address: SocketAddr,
    /// Connection for the next order. The port takes `&self`, and one platform thread uses it.
    prepared: Mutex<Option<Connection>>,
}

impl HttpOrders {
    /// Creates access to the interface at an address.
    pub fn new(spawner: Spawner, address: SocketAddr) -> Self {
        Self {
            spawner,
            address,
            prepared: Mutex::new(None),
        }
    }

    fn swap(&self, connection: Option<Connection>) -> Option<Connection> {
        let mut prepared = self.prepared.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut prepared, connection)
    }
}

impl OrderPort for HttpOrders {
    fn prepare(&self) -> Result<(), OrderError> {
        let connection = Connection::open(&self.spawner, self.address)?;
        self.swap(Some(connection));
        Ok(())
    }

    /// Each order needs a `prepare` of its own, so that the caller's lease check stays the last
    /// step before the write.
    fn send(&self, order: &TargetOrder) -> Result<(), OrderError> {
        let connection = self.swap(None);
        let connection = connection
            .ok_or_else(|| OrderError::Unavailable("no connection was prepared".to_owned()))?;
        let body = serde_json::to_string(order)
            .map_err(|e| OrderError::Unavailable(format!("the order can't be encoded: {e}")))?;
        let answer = connection.post(&self.spawner, "/orders", body)?;
        check(&answer)
    }

    fn states(&self, centre: &CentreName) -> Result<Vec<TargetState>, OrderError> {
        let url = format!("http://{}/centres/{centre}/targets", self.address);
        read(minreq::get(url), STATES_LIMIT).map_err(OrderError::Unavailable)
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

fn check(answer: &Answer) -> Result<(), OrderError> {
    if answer.status == 200 {
        Ok(())
    } else if answer.status == 409 && answer.names("fenced") {
        Err(OrderError::Fenced)
    } else if answer.is_without_effect() {
        Err(OrderError::Unavailable(answer.describe()))
    } else {
        Err(OrderError::Unknown(answer.describe()))
    }
}
