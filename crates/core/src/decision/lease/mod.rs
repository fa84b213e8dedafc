//! Leases: which process holds a duty.
//!
//! A duty's lease is one object that is changed only by conditional update. `Lease<Vacant>` is a
//! challenger, `Lease<Held>` the holder, and `Lease<Lapsed>` a former holder that must not act.
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
//! // The control thread passes the write to a platform thread and then passes on the answer.
//! let VacantStep::Acquire(_write) = lease.next(Time(4)) else { panic!() };
//! let Claim::Held(mut lease) = lease.answered(Time(9), &Ok(Revision(1))) else { panic!() };
//! // The thread that writes to an interface checks the permit as its last step.
//! assert!(lease.permit().allows(Time(8_003)));
//! assert!(!lease.permit().allows(Time(8_004)));
//! let HeldStep::Renew(_write) = lease.next(Time(3_004)) else { panic!() };
//! let Tenure::Held(lease) = lease.answered(Time(3_009), &Ok(Revision(2))) else { panic!() };
//! let (_lapsed, _write) = lease.release();
//! ```
//!
//! # Clock drift
//!
//! The holder counts `length - margin` from before it sent the write, a challenger counts
//! `length + margin` from after it saw the write. If each clock runs wrong by at most the share
//! `d`, the holder stops after at most `(length - margin) / (1 - d)` and a challenger acquires
//! after at least `(length + margin) / (1 + d)`. The first is not above the second exactly when
//! `margin >= d * length`. [`DRIFT_PERCENT`] is 20, so the margin of a 10 s lease is 2 s.
//!
//! # Remaining window
//!
//! A process that is paused between its check of the permit and its write can still write after
//! another process has acquired the lease. Fencing tokens close this window where the receiver
//! checks them. `decision::order` states its length where the receiver does not.

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
use crate::port::object::Expect;
use crate::port::object::ObjectError;

/// Length of a lease under the default terms.
pub const LENGTH: Duration = Duration::from_secs(10);

/// Time between two renewals. Two renewals can fail before the lease lapses.
pub const RENEWAL: Duration = Duration::from_secs(3);

/// Time between two reads of a challenger. A read each second by every entry for all 45 leases
/// would take most of the two thousand reads a second that the object API serves.
pub const POLL: Duration = Duration::from_secs(3);

/// Time after which a failed call to the object API is tried again.
pub const RETRY: Duration = Duration::from_secs(1);

/// Highest error of a clock's speed in percent at which two holders never overlap.
pub const DRIFT_PERCENT: u64 = 20;

/// Lengths of a lease and of the times between calls for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Length of the lease.
    pub length: Duration,
    /// Time between two renewals.
    pub renewal: Duration,
    /// Time between two reads of a challenger.
    pub poll: Duration,
    /// Time after which a failed call is tried again.
    pub retry: Duration,
}

/// A lease as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The holding run of a process, or none after a release.
    pub holder: Option<Incarnation>,
    /// Fencing token. Grows by one at each acquisition and is kept at a release.
    pub fence: Fence,
    /// Length in milliseconds.
    pub length: u64,
}

/// A conditional write of a lease object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// Path of the object.
    pub path: Arc<str>,
    /// New content.
    pub record: LeaseRecord,
    /// Condition of the write.
    pub expect: Expect,
}

/// Result of a read of the lease object.
pub type LeaseRead = Result<Option<(Revision, LeaseRecord)>, ObjectError>;

/// A lease as one process sees it, in one state of its life cycle.
#[derive(Debug)]
pub struct Lease<S> {
    duty: DutyName,
    me: Incarnation,
    terms: Terms,
    state: S,
}

/// Permission to write to external interfaces until a time on the clock of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing token that each write carries.
    pub fence: Fence,
    /// First time at which writing is no longer allowed.
    pub until: Time,
}

impl Permit {
    /// Tells whether a write may start. `now` must be read as the last step before the write.
    pub fn allows(self, now: Time) -> bool {
        now < self.until
    }
}

impl LeaseRecord {
    /// Returns the length of the lease.
    pub fn length(&self) -> Duration {
        Duration::from_millis(self.length)
    }
}

impl<S> Lease<S> {
    /// Returns the duty.
    pub fn duty(&self) -> &DutyName {
        &self.duty
    }

    /// Returns the path of the lease object.
    pub fn path(&self) -> Arc<str> {
        Arc::from(format!("leases/{}", self.duty))
    }

    fn with<T>(self, state: T) -> Lease<T> {
        Lease {
            duty: self.duty,
            me: self.me,
            terms: self.terms,
            state,
        }
    }
}

/// Returns the margin of a lease: the time that both clocks together can be wrong, halved.
pub fn margin(length: Duration) -> Duration {
    let millis = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    // Rounds up, so that the bound of the module documentation holds for every length.
    Duration::from_millis(millis.saturating_mul(DRIFT_PERCENT).div_ceil(100))
}

/// Returns the end of the holder's validity for a write that was sent at `sent`.
fn valid_until(sent: Time, length: Duration) -> Time {
    sent + length.saturating_sub(margin(length))
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            length: LENGTH,
            renewal: RENEWAL,
            poll: POLL,
            retry: RETRY,
        }
    }
}

impl Terms {
    /// Returns the length in milliseconds.
    fn length_millis(self) -> u64 {
        u64::try_from(self.length.as_millis()).unwrap_or(u64::MAX)
    }
}
