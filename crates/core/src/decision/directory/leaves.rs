//! Statements of targets that they are leaving, which hold whatever the object API says of them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::domain::fleet::TargetEntry;
use crate::domain::leave::LeaveStatement;
use crate::domain::name::TargetName;
use crate::domain::time::Time;
use crate::domain::time::WallTime;

/// Time for which other processes are told of a statement. A target that leaves serves for some
/// seconds more.
const TELL_TIME: Duration = Duration::from_secs(30);

/// Maximum number of statements that other processes are told at once. They are part of the head of a
/// request.
const MAX_TOLD: usize = 24;

/// Time for which the statement of a target without an entry is kept. The entry may come back after
/// an outage of the object API.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Time for which a run that may have made a statement gets no requests. A target that leaves ends
/// within it; one that stays seems to leave only if its clock differs from that of the gateways.
const UNCLEAR_TIME: Duration = Duration::from_secs(60);

/// Targets that said that they are leaving.
#[derive(Debug, Default)]
pub(super) struct Leaves {
    known: BTreeMap<TargetName, Known>,
}

/// Newest statement of a target.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// Start of the run that leaves.
    started_at: u64,
    /// Time of the answer.
    stated_at: WallTime,
    /// Time at which this process learned of it.
    heard: Time,
}

impl Leaves {
    /// Records a statement. Returns `false` if it is known, or one of a later run is.
    pub(super) fn record(&mut self, now: Time, statement: &LeaveStatement) -> bool {
        let known = self.known.get(&statement.target);
        if known.is_some_and(|known| known.started_at >= statement.started_at) {
            return false;
        }
        let known = Known {
            started_at: statement.started_at,
            stated_at: statement.stated_at,
            heard: now,
        };
        self.known.insert(statement.target.clone(), known);
        true
    }

    /// Returns `true` if the run of a target that an entry describes is leaving.
    pub(super) fn cover(&self, entry: &TargetEntry) -> bool {
        let known = self.known.get(&entry.name);
        known.is_some_and(|known| known.started_at >= entry.started_at)
    }

    /// Returns the time until which the run that an entry describes gets no requests, because it may be
    /// the one that made the statement: it started before the target answered, but later than the run
    /// that the entry of that time described.
    pub(super) fn withheld_until(&self, entry: &TargetEntry) -> Time {
        let known = self.known.get(&entry.name);
        let unclear = known.filter(|known| {
            known.started_at < entry.started_at && entry.started_at <= known.stated_at.0
        });
        unclear.map_or(Time::default(), |known| known.heard + UNCLEAR_TIME)
    }

    /// Returns the statements of which other processes should be told, the newest first.
    pub(super) fn recent(&self, now: Time) -> Vec<LeaveStatement> {
        let known = self.known.iter();
        let mut recent: Vec<_> = known
            .filter(|(_, known)| now.since(known.heard) < TELL_TIME)
            .collect();
        recent.sort_by_key(|(_, known)| std::cmp::Reverse(known.heard));
        recent.truncate(MAX_TOLD);
        let statement = |(target, known): (&TargetName, &Known)| LeaveStatement {
            target: target.clone(),
            started_at: known.started_at,
            stated_at: known.stated_at,
        };
        recent.into_iter().map(statement).collect()
    }

    /// Drops old statements of targets for which `is_listed` is false.
    pub(super) fn drop_gone(&mut self, now: Time, is_listed: impl Fn(&TargetName) -> bool) {
        self.known
            .retain(|target, known| now.since(known.heard) < GONE_RETENTION || is_listed(target));
    }
}
