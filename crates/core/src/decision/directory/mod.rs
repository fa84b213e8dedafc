//! Directory of targets with their load and speed, from which a target is chosen for each request.
//!
//! Entries come from the object API. Load, speed and failures come from the requests of this
//! process and from the loads that other processes report.

mod choice;
mod leaves;
mod limits;
mod pace;
mod room;
mod speed;
mod target;

use std::collections::BTreeMap;
use std::time::Duration;

pub use crate::decision::directory::choice::CallEnd;
pub use crate::decision::directory::choice::Choice;
pub use crate::decision::directory::choice::Sharing;
pub use crate::decision::directory::choice::TargetNeeds;
use crate::decision::directory::leaves::Leaves;
pub use crate::decision::directory::limits::Limits;
pub use crate::decision::directory::limits::REFRESH_AGE;
pub use crate::decision::directory::limits::Statement;
pub use crate::decision::directory::pace::ToldPace;
pub use crate::decision::directory::room::Room;
use crate::decision::directory::target::ERROR_THRESHOLD;
use crate::decision::directory::target::Target;
use crate::decision::opening::COUNTED_VALIDITY;
use crate::decision::opening::Starts;
use crate::decision::places::Places;
use crate::domain::crash::Crash;
use crate::domain::fleet::TargetEntry;
use crate::domain::leave::LeaveStatement;
use crate::domain::name::CentreName;
use crate::domain::name::PoolName;
use crate::domain::name::SoftwareVersion;
use crate::domain::name::TargetName;
use crate::domain::place::Closure;
use crate::domain::time::Time;

/// Time for which an entry may be missing after an outage of the object API before its target is
/// removed.
const MISSING_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Pause of a target after it refused a request without running it.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a choice of a target is valid. A process that was paused for longer does not know
/// whether the target has left in the meantime. With the time to connect it stays below the time
/// for which a leaving target serves.
const CHOICE_VALIDITY: Duration = Duration::from_secs(1);

/// Time for which other requests keep away from a target to which a suspect was sent. A target that
/// crashes under a request does so early.
const ISOLATION_TIME: Duration = Duration::from_secs(1);

/// Pause of a target that crashed, unless its entry shows earlier that it has started anew.
const CRASH_PAUSE: Duration = Duration::from_secs(1);

/// Known targets by name.
#[derive(Debug, Default)]
pub struct Directory {
    targets: BTreeMap<TargetName, Target>,
    /// Cached reference pace of each pool. The cache is cleared when a pace or a target changes.
    references: BTreeMap<PoolName, Option<f64>>,
    /// Request limits that targets stated.
    pub limits: Limits,
    /// Regions of data centres, and evacuations.
    pub places: Places,
    /// Starts of targets, and the requests that they may get.
    pub starts: Starts,
    /// Targets that said that they are leaving.
    leaves: Leaves,
}

impl Directory {
    /// Creates a directory without targets that keeps requests to the places where they may go.
    pub fn with_places(places: Places) -> Self {
        Self {
            places,
            ..Self::default()
        }
    }

    /// Adds or updates the entry of a target. An entry of an earlier run of the target is ignored,
    /// and a target that said that it is leaving does so whatever its entry says.
    pub fn insert(&mut self, mut entry: TargetEntry) {
        self.references.clear();
        entry.leaving |= self.leaves.cover(&entry);
        let withheld_until = self.leaves.withheld_until(&entry);
        if let Some(known) = self.targets.get_mut(&entry.name) {
            if entry.started_at < known.entry.started_at {
                return;
            }
            if entry.started_at > known.entry.started_at {
                known.failures = 0;
                known.errors = 0;
                known.paused_until = Time::default();
                known.pace = None;
            }
            known.entry = entry;
            known.withheld_until = withheld_until;
            known.missing = false;
            return;
        }
        let mut target = Target::new(entry);
        target.withheld_until = withheld_until;
        self.targets.insert(target.entry.name.clone(), target);
    }

    /// Records that a target said that it is leaving, so that it gets no new requests. Returns
    /// `false` if this is known already.
    pub fn record_leaving(&mut self, now: Time, statement: &LeaveStatement) -> bool {
        if !self.leaves.record(now, statement) {
            return false;
        }
        if let Some(target) = self.targets.get_mut(&statement.target) {
            target.entry.leaving |= self.leaves.cover(&target.entry);
            target.withheld_until = self.leaves.withheld_until(&target.entry);
        }
        true
    }

    /// Pauses a target that crashed at a time, unless it has started anew.
    pub fn record_crash(&mut self, now: Time, at: Time, crash: &Crash) {
        if let Some(target) = self.targets.get_mut(&crash.target)
            && target.entry.started_at <= crash.started_at
            && now < at + CRASH_PAUSE
        {
            target.paused_until = target.paused_until.max(at + CRASH_PAUSE);
        }
    }

    /// Marks all targets of a data centre as possibly cold, which they may be after an evacuation.
    pub fn reopen(&mut self, now: Time, centre: &CentreName) {
        let targets = self.targets.values();
        for target in targets.filter(|target| target.entry.centre == *centre) {
            self.starts.doubt(now, &target.entry.name);
        }
    }

    /// Returns the statements of leaving targets of which other processes should be told.
    pub fn recent_leaves(&self, now: Time) -> Vec<LeaveStatement> {
        self.leaves.recent(now)
    }

    /// Removes a target whose entry is gone. During and shortly after an `outage` of the object API
    /// the target is only marked, because entries expire then although their targets are alive.
    pub fn remove(&mut self, name: &TargetName, outage: bool) {
        if !outage {
            self.references.clear();
            self.targets.remove(name);
        } else if let Some(target) = self.targets.get_mut(name) {
            target.missing = true;
        }
    }

    /// Replaces all entries by a complete listing of the object API.
    pub fn replace(&mut self, listing: Vec<TargetEntry>, outage: bool) {
        let names: Vec<TargetName> = self.targets.keys().cloned().collect();
        for name in names {
            if !listing.iter().any(|l| l.name == name) {
                self.remove(&name, outage);
            }
        }
        for entry in listing {
            self.insert(entry);
        }
    }

    /// Removes targets whose entries did not come back, and returns their names. `recovered` is the
    /// time at which the object API was reached again, or `None` during an outage. The wait for all
    /// entries begins with it, whenever they were removed.
    pub fn expire(&mut self, now: Time, recovered: Option<Time>) -> Vec<TargetName> {
        let waited = recovered.is_some_and(|recovered| now >= recovered + MISSING_TIMEOUT);
        let is_expired = |t: &Target| waited && t.missing;
        let gone = self.targets.values().filter(|t| is_expired(t));
        let gone: Vec<TargetName> = gone.map(|t| t.entry.name.clone()).collect();
        for name in &gone {
            self.references.clear();
            self.targets.remove(name);
        }
        let targets = &self.targets;
        self.leaves
            .drop_gone(now, |name| targets.contains_key(name));
        self.starts.expire(now, |name| targets.contains_key(name));
        gone
    }

    /// Returns the entry of a target, or `None` if it is unknown.
    pub fn get(&self, name: &TargetName) -> Option<&TargetEntry> {
        self.targets.get(name).map(|t| &t.entry)
    }

    /// Returns the entries of all targets.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values().map(|t| &t.entry)
    }

    /// Returns the number of requests of this process at each target that has any.
    pub fn own_load(&self) -> BTreeMap<TargetName, u32> {
        let busy = self.targets.iter().filter(|(_, t)| t.running > 0);
        busy.map(|(name, t)| (name.clone(), t.running)).collect()
    }

    /// Returns the number of requests of all processes at a target.
    pub fn total_load(&self, name: &TargetName) -> u32 {
        self.targets
            .get(name)
            .map_or(0, |t| t.running + t.remote_running)
    }

    /// Sets the number of requests of other processes at each target.
    pub fn set_remote_load(&mut self, loads: &BTreeMap<TargetName, u32>) {
        for (name, target) in &mut self.targets {
            target.remote_running = loads.get(name).copied().unwrap_or(0);
        }
    }

    /// Chooses the target with the lowest cost and counts the request as running there. Uses a
    /// permit if the target has a request limit. Returns `None` if no target meets the
    /// requirements.
    pub fn choose(
        &mut self,
        now: Time,
        pool: &PoolName,
        need: &TargetNeeds,
        centre: &CentreName,
    ) -> Option<Choice> {
        let reference = self.reference_pace(pool);
        let (limits, starts) = (&self.limits, &self.starts);
        let fits = |t: &&Target| {
            t.fits(now, pool, need, &self.places)
                && limits.may_send(now, &t.entry, need.deferrable)
                && starts.may_send(now, &t.entry.name)
        };
        let cost = |t: &Target| t.cost(reference, need, centre) + limits.cost(now, &t.entry);
        let cost = |t| (cost(t), t);
        let fitting = self.targets.values().filter(fits).map(cost);
        let (_, best) = fitting.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let name = best.entry.name.clone();
        let target = self.targets.get_mut(&name)?;
        target.running += 1;
        if need.suspect {
            target.isolated_until = now + ISOLATION_TIME;
        }
        let limited = self.limits.use_permit(&target.entry, need.deferrable);
        let counted = self.starts.record_send(now, &name);
        Some(Choice {
            name,
            address: target.entry.address,
            software: target.entry.software.clone(),
            started_at: target.entry.started_at,
            valid_until: now
                + match counted {
                    true => COUNTED_VALIDITY,
                    false => CHOICE_VALIDITY,
                },
            limited,
        })
    }

    /// Returns the targets that meet the requirements of a request, but need a permit because of
    /// their request limits. Those with the lowest cost come first.
    pub fn without_permit(
        &mut self,
        now: Time,
        pool: &PoolName,
        need: &TargetNeeds,
        centre: &CentreName,
    ) -> Vec<TargetName> {
        let reference = self.reference_pace(pool);
        let targets = self.targets.values();
        let mut fitting: Vec<_> = targets
            .filter(|t| {
                self.limits.needs_permit(now, &t.entry, need.deferrable)
                    && t.fits(now, pool, need, &self.places)
                    && self.starts.may_send(now, &t.entry.name)
            })
            .map(|t| (t.cost(reference, need, centre), t.entry.name.clone()))
            .collect();
        fitting.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        fitting.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns a limited target of the pool that should confirm its request limit, and for which
    /// this process has no permit.
    pub fn unconfirmed_limit(
        &self,
        now: Time,
        pool: &PoolName,
        need: &TargetNeeds,
    ) -> Option<TargetName> {
        let limits = &self.limits;
        let mut targets = self
            .limits
            .targets()
            .filter_map(|name| self.targets.get(name));
        let found = targets.find(|t| {
            limits.needs_refresh(now, &t.entry)
                && self.starts.may_send(now, &t.entry.name)
                && limits.needs_permit(now, &t.entry, need.deferrable)
                && t.fits(now, pool, need, &self.places)
        });
        found.map(|t| t.entry.name.clone())
    }

    /// Returns why a request cannot be sent to any target of a pool that has some, or `None` if it
    /// may be possible at once or soon.
    pub fn closure(&self, pool: &PoolName, need: &TargetNeeds) -> Option<Closure> {
        let serves = |e: &&TargetEntry| {
            let software = need.software.as_ref();
            e.pool == *pool && !e.leaving && software.is_none_or(|s| *s == e.software)
        };
        let mut serving = self.entries().filter(serves).peekable();
        serving.peek()?;
        let homes = need.homes.as_ref();
        let mut at_home = serving
            .filter(|e| self.places.is_home(&e.centre, homes))
            .peekable();
        if at_home.peek().is_none() {
            return Some(Closure::NoHome);
        }
        let evacuated = at_home.all(|e| self.places.is_evacuated(&e.centre));
        evacuated.then_some(Closure::Evacuated)
    }

    /// Records the end of a request at a target.
    pub fn release(&mut self, now: Time, name: &TargetName, end: CallEnd) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.running = target.running.saturating_sub(1);
        if target.running == 0 {
            target.isolated_until = Time::default();
        }
        match end {
            CallEnd::Answered => {
                target.failures = 0;
                target.errors = 0;
            }
            CallEnd::Error => {
                target.errors += 1;
                if target.errors >= ERROR_THRESHOLD {
                    target.pause_after_failure(now);
                }
            }
            CallEnd::Refused => target.paused_until = target.paused_until.max(now + REFUSAL_PAUSE),
            CallEnd::Failed => target.pause_after_failure(now),
            CallEnd::Misdirected => {
                target.pause_after_failure(now);
                self.starts.retract_send(name);
            }
            CallEnd::Cancelled => {}
        }
    }

    /// Returns `true` if a target of the pool that stays has this software version.
    pub fn has_software(&self, pool: &PoolName, software: &SoftwareVersion) -> bool {
        let mut entries = self.entries();
        entries.any(|e| e.pool == *pool && !e.leaving && e.software == *software)
    }
}
