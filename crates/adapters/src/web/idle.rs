//! Idle connections that wait for their next request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use hyper::client::conn::http1::SendRequest;

use crate::web::Body;
use crate::web::carried::CarriedIds;
use crate::web::carried::SentId;

/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Idle connections by the address of their server.
#[derive(Debug, Default)]
pub(super) struct IdleConnections(Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>);

/// Connection that waits for its next request.
#[derive(Debug)]
pub(super) struct IdleConnection {
    pub(super) sender: SendRequest<Body>,
    /// Ids that the connection has carried, if its server repeats them.
    pub(super) carried: CarriedIds,
    /// Time after which the connection is not reused.
    pub(super) expiry: Instant,
}

impl IdleConnections {
    /// Takes the connection to an address that was used last, of those that have not carried this id.
    pub(super) fn take(&self, address: SocketAddr, id: Option<&SentId>) -> Option<IdleConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|connection| connection.is_usable(now));
        let allowed = |known: &IdleConnection| id.is_none_or(|id| known.carried.allows(id));
        let last = connections.iter().rposition(allowed)?;
        Some(connections.remove(last))
    }

    /// Keeps a connection, unless enough to its address are idle.
    pub(super) fn put(&self, address: SocketAddr, connection: IdleConnection) {
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        let now = Instant::now();
        connections.retain(|known| known.is_usable(now));
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Closes the connections to an address.
    pub(super) fn close(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        // The map is consistent after each statement, even if a thread panicked.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleConnection {
    /// Returns `true` if the connection is open and may be reused.
    fn is_usable(&self, now: Instant) -> bool {
        now < self.expiry && !self.sender.is_closed()
    }
}
