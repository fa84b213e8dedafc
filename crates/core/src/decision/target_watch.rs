//! Whether the entry of a living target may be missing.
//!
//! Answers outages of the object API, in which the entries of living targets lapse, and short
//! interruptions of a watch, in which the entries of targets that have left are removed. Only an
//! interruption that is long enough for an entry to lapse makes a missing entry doubtful.

use std::time::Duration;

use crate::domain::time::Time;

/// Time after the return of the watch within which targets write their lapsed entries again.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);

/// Watch of the entries of targets.
#[derive(Clone, Copy, Debug)]
pub(in crate::decision::gateway) struct TargetWatch {
    /// Shortest interruption in which the entry of a living target lapses.
    lapse_time: Duration,
    contact: Contact,
}

/// Contact to the source of the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// No entry has been received yet.
    Never,
    /// The entries have been watched without a gap since a time.
    Up {
        since: Time,
        /// Whether entries may have lapsed before.
        after_lapse: bool,
    },
    /// The watch is interrupted since a time.
    Lost { since: Time },
}

impl TargetWatch {
    /// Creates the state of a process that has received no entry yet.
    pub(in crate::decision::gateway) fn new(lapse_time: Duration) -> Self {
        Self {
            lapse_time,
            contact: Contact::Never,
        }
    }

    /// Records that the watch is interrupted.
    pub(in crate::decision::gateway) fn lost(&mut self, now: Time) {
        if let Contact::Up { .. } = self.contact {
            self.contact = Contact::Lost { since: now };
        }
    }

    /// Records that entries arrive.
    pub(in crate::decision::gateway) fn regained(&mut self, now: Time) {
        let after_lapse = match self.contact {
            Contact::Up { .. } => return,
            // Entries that are removed after the first listing are seen without a gap.
            Contact::Never => false,
            Contact::Lost { since } => now.since(since) >= self.lapse_time,
        };
        self.contact = Contact::Up {
            since: now,
            after_lapse,
        };
    }

    /// Returns the time since which entries are watched without a gap, or `None` while they are not.
    pub(in crate::decision::gateway) fn start(&self) -> Option<Time> {
        match self.contact {
            Contact::Up { since, .. } => Some(since),
            Contact::Never | Contact::Lost { .. } => None,
        }
    }

    /// Returns `true` if entries are watched, or were within a time.
    pub(in crate::decision::gateway) fn was_up_within(&self, now: Time, limit: Duration) -> bool {
        match self.contact {
            Contact::Up { .. } => true,
            Contact::Lost { since } => now.since(since) < limit,
            Contact::Never => false,
        }
    }

    /// Returns `true` if the entries have been watched for long enough to be complete.
    pub(in crate::decision::gateway) fn is_settled(&self, now: Time) -> bool {
        self.start()
            .is_some_and(|since| now.since(since) >= SETTLE_TIME)
    }

    /// Returns `true` if an entry that is missing now may be that of a living target.
    pub(in crate::decision::gateway) fn may_miss_entries(&self, now: Time) -> bool {
        match self.contact {
            Contact::Never => true,
            Contact::Lost { since } => now.since(since) >= self.lapse_time,
            Contact::Up { since, after_lapse } => after_lapse && now.since(since) < SETTLE_TIME,
        }
    }
}
