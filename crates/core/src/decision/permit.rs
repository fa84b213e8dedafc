//! Permits to send requests to a target that limits the requests of all processes together.
//!
//! No process sees what the others send, so one of them, the granter, gives permits for the whole
//! limit. All processes agree on it by a hash of the target and the known hosts. Two deputies give
//! permits while the granter does not answer a process. They have a small share each, which is
//! added to that of the granter, so that the sum of all three stays below one and a half times the
//! limit whoever reaches whom.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::limit::RequestLimit;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Number of processes that give permits for a target: the granter and its deputies.
pub const GRANTER_COUNT: usize = 3;

/// Share of a deputy in the limit of a target.
const DEPUTY_SHARE: f64 = 0.15;

/// Lowest rate of permits, in requests a second. A target that accepts fewer could never state that
/// its limit is lifted.
const MIN_RATE: f64 = 0.1;

/// Number of unused permits that a granter keeps, of which one is for requests that cannot wait.
const GRANTER_BURST: f64 = 2.0;

/// Number of unused permits that a deputy keeps.
const DEPUTY_BURST: f64 = 1.0;

/// Time whose permits are kept if they are more than the burst.
const BURST_TIME: Duration = Duration::from_millis(200);

/// Request of one process to another for permits. It also carries the asker's knowledge of the
/// limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Limited target.
    pub target: TargetName,
    /// Statement of the target that the asker knows.
    pub known: AgedStatement,
    /// Number of permits that the asker can use at once, 0 to announce the statement only.
    pub count: u32,
    /// True if the requests of the asker can wait.
    pub deferrable: bool,
}

/// Answer to a request for permits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Number of permits.
    pub count: u32,
    /// Time until a permit may be available, in milliseconds.
    pub retry: u64,
    /// Statement of the target that the granter knows.
    pub known: AgedStatement,
}

/// Statement of a target about its request limit, with an age instead of a time, because the clocks
/// of processes differ.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgedStatement {
    /// Limit, or `None` if the target stated none any more.
    pub limit: Option<RequestLimit>,
    /// Start of the run that made the statement.
    pub started_at: u64,
    /// Age of the statement in milliseconds.
    pub age: u64,
}

/// Share of one process in the limit of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Number of permits a second.
    rate: f64,
    /// Maximum number of unused permits.
    capacity: f64,
    /// Number of permits that are kept for requests that cannot wait.
    reserve: f64,
}

/// Unused permits of one process for a target. Starts without any, so that a new granter adds
/// nothing to the permits of the one before it.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    permits: f64,
    updated: Time,
}

impl Share {
    /// Returns the share of the process at a place in the order of granters, or `None` behind the
    /// deputies.
    pub fn new(limit: RequestLimit, rank: usize) -> Option<Self> {
        let (share, burst) = match rank {
            0 => (1.0, GRANTER_BURST),
            1..GRANTER_COUNT => (DEPUTY_SHARE, DEPUTY_BURST),
            _ => return None,
        };
        let rate = limit.per_second().max(MIN_RATE) * share;
        let capacity = burst.max(rate * BURST_TIME.as_secs_f64());
        Some(Self {
            rate,
            capacity,
            reserve: burst - 1.0,
        })
    }
}

impl Bucket {
    /// Creates a bucket without permits.
    pub fn new(now: Time) -> Self {
        Self {
            permits: 0.0,
            updated: now,
        }
    }

    /// Takes at most `count` permits. Returns their number and the time until the next one.
    pub fn take(
        &mut self,
        now: Time,
        share: Share,
        count: u32,
        deferrable: bool,
    ) -> (u32, Duration) {
        let earned = now.since(self.updated).as_secs_f64() * share.rate;
        self.permits = (self.permits + earned).min(share.capacity);
        self.updated = now;
        let reserve = if deferrable { share.reserve } else { 0.0 };
        let mut taken = 0;
        while taken < count && self.permits >= reserve + 1.0 {
            self.permits -= 1.0;
            taken += 1;
        }
        let missing = (reserve + 1.0 - self.permits).max(0.0) / share.rate;
        (taken, Duration::from_secs_f64(missing))
    }
}
