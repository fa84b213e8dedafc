//! Counts of the requests that a client sent, by what its connections did with them.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Number of requests since the start of a client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExchangeCounts {
    /// Requests that were sent on a new connection.
    pub opened: u64,
    /// Requests that were sent on a reused connection.
    pub reused: u64,
    /// Requests whose connection ended before a response, after they were sent.
    pub lost: u64,
    /// Requests that got a response which may belong to another one.
    pub foreign: u64,
    /// Requests that got bytes which are no response.
    pub malformed: u64,
}

/// Counters of a client, which its clones share.
#[derive(Debug, Default)]
pub(super) struct ExchangeCounters {
    pub(super) opened: AtomicU64,
    pub(super) reused: AtomicU64,
    pub(super) lost: AtomicU64,
    pub(super) foreign: AtomicU64,
    pub(super) malformed: AtomicU64,
}

impl ExchangeCounters {
    /// Returns the counts so far.
    pub(super) fn read(&self) -> ExchangeCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ExchangeCounts {
            opened: read(&self.opened),
            reused: read(&self.reused),
            lost: read(&self.lost),
            foreign: read(&self.foreign),
            malformed: read(&self.malformed),
        }
    }
}

/// Counts one request.
pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
