//! Limits on the resources that callers may use.

use std::time::Duration;

use sardinepath_core::decision::memory::MemoryLimits;

/// Memory of a host whose settings state none, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;

/// Limits of the server for callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Maximum number of open connections. Further ones are refused with `overloaded`.
    pub max_connections: usize,
    /// Memory for the bodies of all requests.
    pub memory: MemoryLimits,
    /// Maximum size of a request head in bytes. `hyper` requires at least 8,192.
    pub max_head: usize,
    /// Maximum size of a request body in bytes.
    pub max_body: usize,
    /// Time limit for receiving a complete head, and idle timeout of a connection.
    pub head_timeout: Duration,
    /// Time limit for receiving a complete body.
    pub body_timeout: Duration,
    /// Maximum time without progress of a write to the caller.
    pub write_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            memory: MemoryLimits::for_host(DEFAULT_MEMORY_BYTES),
            max_head: 16 << 10,
            max_body: 1 << 20,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
        }
    }
}
