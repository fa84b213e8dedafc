//! HTTP client of the host list.

use std::net::SocketAddr;
use std::time::Duration;

use sardinepath_core::port::host::HostEntry;
use sardinepath_core::port::host::HostPort;

use crate::platform::fetch_json;

/// Time limit for reading the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP client of the host list.
#[derive(Clone, Copy, Debug)]
pub struct HttpHosts {
    address: SocketAddr,
}

impl HttpHosts {
    /// Creates a client for the host list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl HostPort for HttpHosts {
    fn hosts(&self) -> Result<Vec<HostEntry>, String> {
        fetch_json(
            minreq::get(format!("http://{}/hosts", self.address)),
            LIST_TIMEOUT,
        )
    }
}
