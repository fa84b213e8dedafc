//! Starts of targets: which ones may be cold, and how many requests this process may send to each.
//!
//! A cold target tolerates a certain rate of requests from all processes together. It may become cold
//! at any moment, which its entry says later, so the bound holds for all targets of such a pool. A
//! target that is known to be cold gets the lower rate that it tolerates.
//!
//! - `start`: life cycle of a start
//! - `sends`: requests that this process sent to a target lately
//! - `share`: shares of the processes in the requests to a target

mod sends;
mod share;
mod start;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

pub use crate::decision::opening::sends::COUNTED_VALIDITY;
pub use crate::decision::opening::sends::SEND_SPAN;
pub use crate::decision::opening::sends::Sends;
pub use crate::decision::opening::share::KnownJob;
pub use crate::decision::opening::share::MAX_SILENCE;
use crate::decision::opening::share::Place;
use crate::decision::opening::share::ServedModel;
pub use crate::decision::opening::share::Users;
use crate::decision::opening::start::Start;
pub use crate::decision::opening::start::State;
use crate::domain::cold::ColdTolerance;
use crate::domain::cold::PoolSettings;
use crate::domain::fleet::TargetEntry;
use crate::domain::fleet::UNREADABLE_COLD_TIME;
use crate::domain::hash::OFFSET_BASIS;
use crate::domain::hash::fnv1a;
use crate::domain::name::HostName;
use crate::domain::name::PoolName;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Time for which a target counts as cold if neither its entry nor the settings of its pool say for
/// how long.
const MAX_COLD_TIME: Duration = Duration::from_secs(60);

/// Starts of the targets of pools with a cold rate.
#[derive(Debug)]
pub struct Starts {
    me: HostName,
    tolerance: ColdTolerance,
    pools: BTreeMap<PoolName, PoolSettings>,
    users: Users,
    known: BTreeMap<TargetName, Known>,
    /// Changes of states that were not reported yet.
    changes: Vec<StartChange>,
}

/// Start of a target, and the requests that this process sent to it.
#[derive(Debug)]
struct Known {
    pool: PoolName,
    started_at: u64,
    state: State,
    /// Time of the last entry.
    seen: Time,
    place: Place,
    /// Models of the target.
    models: Vec<ServedModel>,
    sends: Sends,
}

/// Change of the state of a target's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartChange {
    /// Target.
    pub target: TargetName,
    /// State before, or `None` for a new target.
    pub before: Option<State>,
    /// State from now on.
    pub after: State,
    /// Cold time that the last entry states.
    pub cold: Duration,
    /// Time since the last entry.
    pub age: Duration,
    /// Number of requests that this process may send to the target within a second.
    pub share: u32,
    /// Number of known processes that run jobs.
    pub runners: u32,
}

impl Default for Starts {
    fn default() -> Self {
        Self::new(HostName::from(""), ColdTolerance::default())
    }
}

impl Starts {
    /// Creates the state of a process that starts now and knows no targets.
    pub fn new(me: HostName, tolerance: ColdTolerance) -> Self {
        Self {
            me,
            tolerance,
            pools: BTreeMap::new(),
            users: Users::default(),
            known: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Sets the settings of the pools. Returns `true` if they changed, so that the entries of all
    /// targets have to be observed again.
    pub fn set_pools(&mut self, pools: &BTreeMap<PoolName, PoolSettings>) -> bool {
        let changed = self.pools != *pools;
        self.pools.clone_from(pools);
        let is_bounded = |known: &Known| {
            let settings = pools.get(&known.pool);
            settings.is_some_and(|settings| settings.cold_rate.is_some())
        };
        self.known.retain(|_, known| is_bounded(known));
        changed
    }

    /// Sets the known processes.
    pub fn set_hosts(&mut self, hosts: BTreeSet<HostName>) {
        if self.users.set_hosts(hosts) {
            for (name, known) in &mut self.known {
                known.place = self.users.place(&self.me, |host| place_hash(name, host));
            }
        }
    }

    /// Sets the known jobs, also those that have ended, and whether this process hears of new ones.
    pub fn set_jobs(&mut self, now: Time, jobs: Vec<KnownJob>, in_contact: bool) {
        self.users.set_contact(now, in_contact);
        self.users.set_jobs(now, jobs);
    }

    /// Handles an entry of a target.
    pub fn observe(&mut self, now: Time, entry: &TargetEntry) {
        let Some(settings) = self.pools.get(&entry.pool) else {
            return;
        };
        if settings.cold_rate.is_none() {
            return;
        }
        let cold = cold_time(entry.cold, settings);
        let before = self.known.get(&entry.name).map(|known| known.state);
        if let Some(known) = self.known.get_mut(&entry.name) {
            let restarted = entry.started_at > known.started_at;
            known.state = match restarted {
                true => State::first(now, cold),
                false => known.state.at(now).after_entry(now, cold),
            };
            known.started_at = entry.started_at;
            known.models.clone_from(&entry.models);
            known.seen = now;
        } else {
            let known = Known {
                pool: entry.pool.clone(),
                started_at: entry.started_at,
                state: State::first(now, cold),
                seen: now,
                place: self
                    .users
                    .place(&self.me, |host| place_hash(&entry.name, host)),
                models: entry.models.clone(),
                sends: Sends::default(),
            };
            self.known.insert(entry.name.clone(), known);
        }
        self.report(now, &entry.name, before, cold);
    }

    /// Marks a target as possibly cold.
    pub fn doubt(&mut self, now: Time, target: &TargetName) {
        let Some(known) = self.known.get_mut(target) else {
            return;
        };
        let before = known.state.at(now);
        if !matches!(before, State::Cold(_)) {
            known.state = State::Unknown(Start::new(now));
        }
        self.report(now, target, Some(before), Duration::ZERO);
    }

    /// Ends the starts whose time is over, and drops targets that are gone and count no requests.
    pub fn expire(&mut self, now: Time, exists: impl Fn(&TargetName) -> bool) {
        self.known
            .retain(|name, known| exists(name) || known.sends.count(now) > 0);
        let mut ended = Vec::new();
        for (name, known) in &mut self.known {
            let before = known.state;
            known.state = before.at(now);
            if known.state != before {
                ended.push((name.clone(), before));
            }
        }
        for (name, before) in ended {
            self.report(now, &name, Some(before), Duration::ZERO);
        }
    }

    /// Returns `true` if this process may send a request to a target.
    pub fn may_send(&self, now: Time, target: &TargetName) -> bool {
        self.known
            .get(target)
            .is_none_or(|known| known.sends.count(now) < self.share(now, known))
    }

    /// Records a request to a target. Returns `true` if the requests of the target are counted.
    pub fn record_send(&mut self, now: Time, target: &TargetName) -> bool {
        let known = self.known.get_mut(target);
        known.is_some_and(|known| {
            known.sends.record(now);
            true
        })
    }

    /// Removes the last request to a target, which another target at its address refused.
    pub fn retract_send(&mut self, target: &TargetName) {
        if let Some(known) = self.known.get_mut(target) {
            known.sends.retract();
        }
    }

    /// Returns the changes of states since the last call.
    pub fn take_changes(&mut self) -> Vec<StartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of requests that this process may send to a target within a second.
    fn share(&self, now: Time, known: &Known) -> u32 {
        let rate = self.pools.get(&known.pool).and_then(|pool| pool.cold_rate);
        let Some(rate) = rate else {
            return u32::MAX;
        };
        let bound = match known.state.at(now).may_be_cold() {
            true => rate.tolerated(),
            false => rate.most(self.tolerance),
        };
        let models = &known.models;
        self.users.share(now, &self.me, bound, known.place, models)
    }

    /// Records a change of a target's state for the log. New targets that are not cold are none.
    fn report(&mut self, now: Time, name: &TargetName, before: Option<State>, cold: Duration) {
        let Some(known) = self.known.get(name) else {
            return;
        };
        let after = known.state;
        let same = match before {
            Some(before) => std::mem::discriminant(&before) == std::mem::discriminant(&after),
            None => matches!(after, State::Open(_)),
        };
        if same {
            return;
        }
        self.changes.push(StartChange {
            target: name.clone(),
            before,
            after,
            cold,
            age: now.since(known.seen),
            share: self.share(now, known),
            runners: self.users.runners(),
        });
    }
}

/// Returns the cold time that counts for a target: no longer than its pool states, and the longest
/// one if its entry cannot be read.
fn cold_time(stated: Duration, settings: &PoolSettings) -> Duration {
    let longest = match settings.cold_time.is_zero() {
        true => MAX_COLD_TIME,
        false => settings.cold_time,
    };
    match stated == UNREADABLE_COLD_TIME {
        true => longest,
        false => stated.min(longest),
    }
}

/// Returns the hash by which a process is placed in the order of a target.
fn place_hash(target: &TargetName, host: &HostName) -> u64 {
    let hash = fnv1a(OFFSET_BASIS, target.as_str().as_bytes());
    let hash = fnv1a(hash, host.as_str().as_bytes());
    // Names that differ only in their last letters get similar high bits without this.
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
