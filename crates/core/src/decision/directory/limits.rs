//! Request limits that targets stated, and the permits of this process to send to limited targets.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::domain::fleet::TargetEntry;
use crate::domain::limit::RequestLimit;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Time for which a permit can be used. Permits that are used later would add to those of the next
/// requests.
const PERMIT_VALIDITY: Duration = Duration::from_millis(300);

/// Age of a statement from which on a request is sent to learn whether the limit still holds. A
/// target that gets no requests cannot lift its limit.
pub const REFRESH_AGE: Duration = Duration::from_secs(1);

/// Cost of a limited target, so that it gets requests only if the other targets are busy.
const LIMITED_COST: f64 = 2.0;

/// Bonus of a limited target with a permit to learn whether the limit still holds. It exceeds all
/// costs.
const REFRESH_BONUS: f64 = 1_000.0;

/// Statements of targets about their request limits.
#[derive(Debug, Default)]
pub struct Limits {
    known: BTreeMap<TargetName, Known>,
    /// True once the stored limits were listed. Before, a limit may be unknown here although other
    /// processes, or an earlier run of this one, were told of it.
    listed: bool,
}

/// What a run of a target said last about its request limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Limit, or `None` if the target stated none any more.
    pub limit: Option<RequestLimit>,
    /// Start of the run that made the statement, as in its entry.
    pub started_at: u64,
    /// Time of the statement on the clock of this process.
    pub heard: Time,
}

/// Newest statement of a target with the permits for it.
#[derive(Debug)]
struct Known {
    statement: Statement,
    permits: Permits,
}

/// Permits for a target.
#[derive(Clone, Copy, Debug, Default)]
struct Permits {
    /// Number of permits for requests that cannot wait.
    urgent: u32,
    /// Number of permits for any request.
    any: u32,
    /// Time until which they can be used.
    until: Time,
}

impl Limits {
    /// Records that the stored limits were listed.
    pub fn set_listed(&mut self) {
        self.listed = true;
    }

    /// Returns the newest statement of a target.
    pub fn get(&self, target: &TargetName) -> Option<Statement> {
        self.known.get(target).map(|known| known.statement)
    }

    /// Returns the targets with a statement.
    pub fn targets(&self) -> impl Iterator<Item = &TargetName> {
        self.known.keys()
    }

    /// Records a statement. Returns `false` if a newer one is known.
    pub fn record(&mut self, target: &TargetName, statement: Statement) -> bool {
        let order = |statement: &Statement| (statement.started_at, statement.heard);
        match self.known.get_mut(target) {
            Some(known) if order(&statement) < order(&known.statement) => return false,
            Some(known) => known.statement = statement,
            None => {
                let known = Known {
                    statement,
                    permits: Permits::default(),
                };
                self.known.insert(target.clone(), known);
            }
        }
        true
    }

    /// Drops the statement of a target.
    pub fn forget(&mut self, target: &TargetName) {
        self.known.remove(target);
    }

    /// Adds permits for requests to a limited target, which can wait if they are `deferrable`.
    pub fn add_permits(&mut self, now: Time, target: &TargetName, count: u32, deferrable: bool) {
        let Some(known) = self.known.get_mut(target) else {
            return;
        };
        let permits = &mut known.permits;
        if now >= permits.until {
            *permits = Permits::default();
        }
        permits.until = now + PERMIT_VALIDITY;
        if deferrable {
            permits.any += count;
        } else {
            permits.urgent += count;
        }
    }

    /// Returns `true` if the target has no limit or this process has a permit for it.
    pub(super) fn may_send(&self, now: Time, entry: &TargetEntry, deferrable: bool) -> bool {
        self.listed
            && self
                .limited(entry)
                .is_none_or(|known| known.permits.allow(now, deferrable))
    }

    /// Returns `true` if the target has a limit and this process has no permit for it.
    pub(super) fn needs_permit(&self, now: Time, entry: &TargetEntry, deferrable: bool) -> bool {
        self.limited(entry)
            .is_some_and(|known| !known.permits.allow(now, deferrable))
    }

    /// Returns `true` if the target has a limit that it should confirm.
    pub(super) fn needs_refresh(&self, now: Time, entry: &TargetEntry) -> bool {
        self.limited(entry).is_some_and(|known| known.is_old(now))
    }

    /// Uses a permit for a request. Returns `true` if the target has a limit.
    pub(super) fn use_permit(&mut self, entry: &TargetEntry, deferrable: bool) -> bool {
        if self.limited(entry).is_none() {
            return false;
        }
        if let Some(known) = self.known.get_mut(&entry.name) {
            let permits = &mut known.permits;
            if !deferrable && permits.urgent > 0 {
                permits.urgent -= 1;
            } else {
                permits.any = permits.any.saturating_sub(1);
            }
        }
        true
    }

    /// Returns the additional cost of a target because of its limit.
    pub(super) fn cost(&self, now: Time, entry: &TargetEntry) -> f64 {
        match self.limited(entry) {
            Some(known) if known.is_old(now) => -REFRESH_BONUS,
            Some(_) => LIMITED_COST,
            None => 0.0,
        }
    }

    /// Returns the statement of a target that has a limit. A later run of the target has none until
    /// it states one.
    fn limited(&self, entry: &TargetEntry) -> Option<&Known> {
        self.known.get(&entry.name).filter(|known| {
            known.statement.limit.is_some() && known.statement.started_at >= entry.started_at
        })
    }
}

impl Known {
    fn is_old(&self, now: Time) -> bool {
        now.since(self.statement.heard) >= REFRESH_AGE
    }
}

impl Permits {
    /// Returns `true` if a request may be sent, which can wait if it is `deferrable`.
    fn allow(self, now: Time, deferrable: bool) -> bool {
        now < self.until && (self.any > 0 || (!deferrable && self.urgent > 0))
    }
}
