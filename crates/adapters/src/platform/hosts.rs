//! The list of hosts.

use std::net::SocketAddr;
use std::time::Duration;

use sardinepath_core::port::host::HostEntry;
use sardinepath_core::port::host::HostPort;

use crate::platform::read;

/// Time for the list.
const LIST_LIMIT: Duration = Duration::from_secs(3);

/// The host list over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpHosts {
    address: SocketAddr,
}

impl HttpHosts {
    /// Creates access to the list at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl HostPort for HttpHosts {
    fn hosts(&self) -> Result<Vec<HostEntry>, String> {
        read(
            minreq::get(format!("http://{}/hosts", self.address)),
            LIST_LIMIT,
        )
    }
}
