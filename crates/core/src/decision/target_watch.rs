//! Whether the entry of a living target may be missing.
//!
//! Answers outages of the object API, in which the entries of living targets lapse, and short
//! interruptions of a watch, in which the entries of targets that have left are removed. Only an
//! interruption that is long enough for an entry to lapse makes a missing entry doubtful.
//!
//! A process that follows another one interrupts its own watch whenever it changes its source. So it takes
//! from the new source when entries may have lapsed.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::time::Time;

/// Time after the return of the watch within which targets write their lapsed entries again.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);

/// Watch of the entries of targets.
#[derive(Clone, Copy, Debug)]
pub struct TargetWatch {
    /// Shortest interruption in which the entry of a living target lapses.
    lapse_time: Duration,
    contact: Contact,
}

/// When entries of living targets may have lapsed, as a process that forwards them tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lapse {
    /// The process does not tell.
    Unknown,
    /// Not within the time in which lapsed entries are written again.
    None,
    /// Until this number of milliseconds ago.
    Ended(u64),
}

/// Contact to the source of the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// No entry has been received yet.
    Never,
    /// The entries have been watched without a gap since a time.
    Up {
        since: Time,
        /// End of the interruption before in which entries may have lapsed, or `None` if there was none.
        lapse_end: Option<Time>,
    },
    /// The watch is interrupted since a time.
    Lost { since: Time },
}

impl TargetWatch {
    /// Creates the state of a process that has received no entry yet.
    pub fn new(lapse_time: Duration) -> Self {
        Self {
            lapse_time,
            contact: Contact::Never,
        }
    }

    /// Records that the watch is interrupted.
    pub fn lost(&mut self, now: Time) {
        if let Contact::Up { .. } = self.contact {
            self.contact = Contact::Lost { since: now };
        }
    }

    /// Records that entries arrive.
    pub fn regained(&mut self, now: Time) {
        let may_lapse = match self.contact {
            Contact::Up { .. } => return,
            // Entries that are removed after the first listing are seen without a gap.
            Contact::Never => false,
            Contact::Lost { since } => now.since(since) >= self.lapse_time,
        };
        self.contact = Contact::Up {
            since: now,
            lapse_end: may_lapse.then_some(now),
        };
    }

    /// Records that entries arrive from another process, which knows when entries may have lapsed.
    pub fn joined(&mut self, now: Time, lapse: Lapse) {
        let lapse_end = match lapse {
            Lapse::Unknown => return self.regained(now),
            Lapse::None => None,
            Lapse::Ended(ago) => Some(Time(now.0.saturating_sub(ago))),
        };
        let since = self.start().unwrap_or(now);
        self.contact = Contact::Up { since, lapse_end };
    }

    /// Returns when entries may have lapsed, for processes that get them from this one.
    pub fn lapse(&self, now: Time) -> Lapse {
        let Contact::Up {
            lapse_end: Some(end),
            ..
        } = self.contact
        else {
            return Lapse::None;
        };
        let ago = now.since(end);
        match u64::try_from(ago.as_millis()) {
            Ok(millis) if ago < SETTLE_TIME => Lapse::Ended(millis),
            _ => Lapse::None,
        }
    }

    /// Returns the time from which on a missing entry is waited for, or `None` while entries may lapse.
    pub fn recovered(&self) -> Option<Time> {
        match self.contact {
            Contact::Up { since, lapse_end } => Some(lapse_end.unwrap_or(since)),
            Contact::Never | Contact::Lost { .. } => None,
        }
    }

    /// Returns the time since which entries are watched without a gap, or `None` while they are not.
    pub fn start(&self) -> Option<Time> {
        match self.contact {
            Contact::Up { since, .. } => Some(since),
            Contact::Never | Contact::Lost { .. } => None,
        }
    }

    /// Returns `true` if entries are watched, or were within a time.
    pub fn was_up_within(&self, now: Time, limit: Duration) -> bool {
        match self.contact {
            Contact::Up { .. } => true,
            Contact::Lost { since } => now.since(since) < limit,
            Contact::Never => false,
        }
    }

    /// Returns `true` if the entries have been watched for long enough to be complete.
    pub fn is_settled(&self, now: Time) -> bool {
        self.start()
            .is_some_and(|since| now.since(since) >= SETTLE_TIME)
    }

    /// Returns `true` if an entry that is missing now may be that of a living target.
    pub fn may_miss_entries(&self, now: Time) -> bool {
        match self.contact {
            Contact::Never => true,
            Contact::Lost { since } => now.since(since) >= self.lapse_time,
            Contact::Up { lapse_end, .. } => {
                lapse_end.is_some_and(|end| now.since(end) < SETTLE_TIME)
            }
        }
    }
}
