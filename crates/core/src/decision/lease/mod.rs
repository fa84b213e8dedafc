//! Leases, which assign each duty to at most one process.
//!
//! The lease of a duty is one object that is changed only by conditional updates. `Lease<Vacant>`
//! is a challenger, `Lease<Held>` the holder, and `Lease<Lapsed>` a former holder that must not
//! act.
//!
//! Call sequence of one process:
//!
//! ```
//! use sardinepath_core::decision::lease::{Claim, HeldStep, Lease, Tenure, VacantStep};
//! use sardinepath_core::domain::ids::{Incarnation, Revision};
//! use sardinepath_core::domain::name::DutyName;
//! use sardinepath_core::domain::time::Time;
//!
//! let mut lease = Lease::challenge(DutyName::from("orders/cx1"), Incarnation(7));
//! assert!(matches!(lease.next(Time(0)), VacantStep::Read(_)));
//! let Claim::Vacant(mut lease) = lease.observed(Time(4), Ok(None)) else { panic!() };
//! // The control thread passes the write to a platform thread and receives the answer.
//! let VacantStep::Acquire(_write) = lease.next(Time(4)) else { panic!() };
//! let Claim::Held(mut lease) = lease.answered(Time(9), &Ok(Revision(1))) else { panic!() };
//! // The thread that writes to an interface checks the permit last.
//! assert!(lease.permit().allows(Time(8_003)));
//! assert!(!lease.permit().allows(Time(8_004)));
//! let HeldStep::Renew(_write) = lease.next(Time(3_004)) else { panic!() };
//! let Tenure::Held(lease) = lease.answered(Time(3_009), &Ok(Revision(2))) else { panic!() };
//! let (_lapsed, _write) = lease.release();
//! ```
//!
//! # Clock drift
//!
//! The holder counts `length - margin` from before it sent the write. A challenger counts
//! `length + margin` from after it saw the write. If the speed of each clock is wrong by at most
//! the ratio `d`, the holder stops after at most `(length - margin) / (1 - d)` and a challenger
//! acquires after at least `(length + margin) / (1 + d)`. The first is at most the second exactly
//! if `margin >= d * length`. [`DRIFT_PERCENT`] is 20, so the margin of a 10 s lease is 2 s.
//!
//! # Known limitation
//!
//! A process that is paused between its check of the permit and its write can still write after
//! another process has acquired the lease. Fencing tokens prevent this where the receiver checks
//! them. `decision::order` states the tolerated pause where the receiver does not.

mod held;
mod vacant;

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

pub use crate::decision::lease::held::Held;
pub use crate::decision::lease::held::HeldStep;
pub use crate::decision::lease::held::Lapsed;
pub use crate::decision::lease::held::Tenure;
pub use crate::decision::lease::vacant::Claim;
pub use crate::decision::lease::vacant::Vacant;
pub use crate::decision::lease::vacant::VacantStep;
use crate::domain::ids::Fence;
use crate::domain::ids::Incarnation;
use crate::domain::ids::Revision;
use crate::domain::name::DutyName;
use crate::domain::time::Time;
use crate::port::object::ObjectError;
use crate::port::object::Precondition;

/// Default length of a lease.
pub const DEFAULT_LENGTH: Duration = Duration::from_secs(10);

/// Default interval between renewals. Two renewals can fail before the lease lapses.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Default interval between reads of a challenger. If every entry read all 45 leases each second,
/// it would take most of the 2,000 reads per second that the object API serves.
pub const POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Default delay before a failed call to the object API is retried.
pub const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum error of a clock's speed, in percent, at which two holders never overlap.
pub const DRIFT_PERCENT: u64 = 20;

/// Length of a lease and intervals of the calls that maintain it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Time for which an acquisition or renewal is valid, before the margin.
    pub length: Duration,
    /// Interval between renewals.
    pub renewal: Duration,
    /// Interval between reads of a challenger.
    pub poll: Duration,
    /// Delay before a failed call is retried.
    pub retry: Duration,
}

/// Stored content of a lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Incarnation of the process that holds the lease, or `None` after a release.
    pub holder: Option<Incarnation>,
    /// Fencing token. Incremented by each acquisition and unchanged by a release.
    pub fence: Fence,
    /// Length of the lease in milliseconds.
    pub length: u64,
}

/// A conditional write of a lease object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// Path of the object.
    pub path: Arc<str>,
    /// Content to write.
    pub record: LeaseRecord,
    /// Condition under which the write takes effect.
    pub expect: Precondition,
}

/// Result of a read of the lease object.
pub type LeaseRead = Result<Option<(Revision, LeaseRecord)>, ObjectError>;

/// Lease as seen by one process, in one state of its life cycle.
#[derive(Debug)]
pub struct Lease<S> {
    duty: DutyName,
    incarnation: Incarnation,
    terms: Terms,
    state: S,
}

/// Permission to write to external interfaces until a time on the clock of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing token to send with each write.
    pub fence: Fence,
    /// Time from which writes are no longer allowed.
    pub until: Time,
}

impl Permit {
    /// Returns `true` if a write may start at `now`, which must be read immediately before the
    /// write.
    pub fn allows(self, now: Time) -> bool {
        now < self.until
    }
}

impl LeaseRecord {
    /// Returns the stored length as a duration.
    pub fn length(&self) -> Duration {
        Duration::from_millis(self.length)
    }
}

impl<S> Lease<S> {
    /// Returns the name of the duty that the lease assigns.
    pub fn duty(&self) -> &DutyName {
        &self.duty
    }

    /// Returns the path of the lease object.
    pub fn path(&self) -> Arc<str> {
        Arc::from(format!("leases/{}", self.duty))
    }

    fn into_state<T>(self, state: T) -> Lease<T> {
        Lease {
            duty: self.duty,
            incarnation: self.incarnation,
            terms: self.terms,
            state,
        }
    }
}

/// Returns the safety margin of a lease: half the error of both clocks over its length.
pub fn margin(length: Duration) -> Duration {
    let millis = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    // Rounds up so that the bound in the module documentation holds for every length.
    Duration::from_millis(millis.saturating_mul(DRIFT_PERCENT).div_ceil(100))
}

/// Returns the time until which the holder may act after a write that was sent at `sent`.
fn valid_until(sent: Time, length: Duration) -> Time {
    sent + length.saturating_sub(margin(length))
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            length: DEFAULT_LENGTH,
            renewal: RENEWAL_INTERVAL,
            poll: POLL_INTERVAL,
            retry: RETRY_DELAY,
        }
    }
}

impl Terms {
    /// Returns the length in milliseconds.
    fn length_millis(self) -> u64 {
        u64::try_from(self.length.as_millis()).unwrap_or(u64::MAX)
    }
}
