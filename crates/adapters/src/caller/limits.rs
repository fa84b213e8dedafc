//! Limits on what one caller may use.

use std::time::Duration;

/// Limits of the caller address.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Connections that may be open at once. Further callers are refused with `overloaded`.
    pub connections: usize,
    /// Largest head in bytes. At least 8,192, which is the smallest buffer of `hyper`.
    pub head: usize,
    /// Largest body in bytes.
    pub body: usize,
    /// Time for a whole head, and for an idle connection.
    pub head_time: Duration,
    /// Time for a whole body.
    pub body_time: Duration,
    /// Longest time in which the caller takes no byte of an answer.
    pub write_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            head: 16 << 10,
            body: 1 << 20,
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(10),
            write_time: Duration::from_secs(30),
        }
    }
}
