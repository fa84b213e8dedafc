//! Directory of targets: which are known, how busy and how fast they are, and which one is next.
//!
//! Entries come from the object API. Everything else is learnt from the requests of this process
//! and from what other processes report of theirs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::domain::fleet::Listed;
use crate::domain::hash::fnv;
use crate::domain::ids::WeightVersion;
use crate::domain::name::CentreName;
use crate::domain::name::ModelName;
use crate::domain::name::PoolName;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Time for which an entry may be missing after an outage of the object API before it is dropped.
const RETURN_LIMIT: Duration = Duration::from_millis(2_000);

/// First pause of a target after a failure. Doubles with each further one.
const PAUSE: Duration = Duration::from_millis(250);

/// Longest pause of a target.
const PAUSE_MOST: Duration = Duration::from_secs(4);

/// Pause of a target that refused a request without running it.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// Errors in a row after which a target counts as failed. A few requests fail at every target.
const ERRORS: u32 = 3;

/// Share of the newest measurement in the average pace.
const PACE_SHARE: f64 = 0.4;

/// A target is slow if it takes this many times as long for an event as the median of its pool.
const SLOW: f64 = 1.25;

/// Events that a target may be behind the median of its pool before a stream counts as stalled.
const PATIENCE: f64 = 12.0;

/// Shortest silence after which a stream counts as stalled.
const PATIENCE_LEAST: Duration = Duration::from_millis(600);

/// Longest silence of a stream, and the one while no pace is known.
const PATIENCE_MOST: Duration = Duration::from_millis(2_000);

/// Time in which a choice may be used. A process that was paused for longer does not know whether
/// the target has left since.
const CHOICE_LIMIT: Duration = Duration::from_secs(2);

/// All known targets.
#[derive(Debug, Default)]
pub struct Directory {
    targets: BTreeMap<TargetName, Target>,
    /// Median paces of the pools that were asked for since a pace changed.
    medians: BTreeMap<PoolName, Option<f64>>,
}

/// A known target.
#[derive(Debug)]
struct Target {
    listed: Listed,
    /// Requests of this process that run there.
    running: u32,
    /// Requests of other processes, as last reported.
    elsewhere: u32,
    /// The target gets nothing before this time.
    paused: Time,
    /// Failures since the last success. Those of one moment count once.
    failures: u32,
    /// Errors that the target answered since its last success.
    errors: u32,
    /// Average milliseconds between two events of a stream.
    pace: Option<f64>,
    /// When the entry went missing although the target may live.
    missing: Option<Time>,
}

/// What a request needs of its target.
#[derive(Clone, Debug, Default)]
pub struct Need {
    /// Model with the oldest permitted version.
    pub model: Option<(ModelName, WeightVersion)>,
    /// Targets that must not be chosen.
    pub tried: Vec<TargetName>,
    /// Target that holds a part of the prompt.
    pub prefer: Option<TargetName>,
    /// True if the target must have a free slot.
    pub room: bool,
    /// True if a target that pauses after a failure is better than none.
    pub paused: bool,
    /// Number of this process that separates equal targets.
    pub seed: u64,
}

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With an answer.
    Answered,
    /// The target failed while running it, and said so.
    Error,
    /// The target refused it without running it.
    Refused,
    /// Another target has the address.
    Misdirected,
    /// Without an answer.
    Failed,
    /// The caller or this process gave it up.
    Dropped,
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub name: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// Time until which nothing speaks against the choice. No request is sent later.
    pub until: Time,
}

impl Choice {
    /// Tells whether a request may still be sent to the target.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }
}

impl Directory {
    /// Takes in the entry of a target.
    pub fn insert(&mut self, listed: Listed) {
        self.medians.clear();
        if let Some(known) = self.targets.get_mut(&listed.name) {
            if listed.born < known.listed.born {
                return;
            }
            if listed.born > known.listed.born {
                known.failures = 0;
                known.errors = 0;
                known.paused = Time::default();
                known.pace = None;
            }
            known.listed = listed;
            known.missing = None;
            return;
        }
        let target = Target {
            running: 0,
            elsewhere: 0,
            paused: Time::default(),
            failures: 0,
            errors: 0,
            pace: None,
            missing: None,
            listed,
        };
        self.targets.insert(target.listed.name.clone(), target);
    }

    /// Removes a target whose entry is gone. During and shortly after an outage of the object
    /// API it stays for a while, because entries lapse then although their targets live.
    pub fn remove(&mut self, now: Time, name: &TargetName, shaken: bool) {
        if !shaken {
            self.medians.clear();
            self.targets.remove(name);
        } else if let Some(target) = self.targets.get_mut(name) {
            target.missing.get_or_insert(now);
        }
    }

    /// Replaces all entries by a complete listing.
    pub fn replace(&mut self, now: Time, listing: Vec<Listed>, shaken: bool) {
        let names: Vec<TargetName> = self.targets.keys().cloned().collect();
        for name in names {
            if !listing.iter().any(|l| l.name == name) {
                self.remove(now, &name, shaken);
            }
        }
        for listed in listing {
            self.insert(listed);
        }
    }

    /// Drops targets whose entries did not come back, and returns their names. `back` is when the
    /// object API was reached again, or none while it is away.
    pub fn expire(&mut self, now: Time, back: Option<Time>) -> Vec<TargetName> {
        let over = |t: &Target| match (t.missing, back) {
            (Some(since), Some(back)) => now >= since.max(back) + RETURN_LIMIT,
            _ => false,
        };
        let gone = self.targets.values().filter(|t| over(t));
        let gone: Vec<TargetName> = gone.map(|t| t.listed.name.clone()).collect();
        for name in &gone {
            self.medians.clear();
            self.targets.remove(name);
        }
        gone
    }

    /// Returns the entry of a target.
    pub fn get(&self, name: &TargetName) -> Option<&Listed> {
        self.targets.get(name).map(|t| &t.listed)
    }

    /// Returns all entries.
    pub fn listed(&self) -> impl Iterator<Item = &Listed> {
        self.targets.values().map(|t| &t.listed)
    }

    /// Returns the requests of this process at each busy target.
    pub fn load(&self) -> BTreeMap<TargetName, u32> {
        let busy = self.targets.iter().filter(|(_, t)| t.running > 0);
        busy.map(|(name, t)| (name.clone(), t.running)).collect()
    }

    /// Returns all known requests at a target.
    pub fn busy(&self, name: &TargetName) -> u32 {
        self.targets
            .get(name)
            .map_or(0, |t| t.running + t.elsewhere)
    }

    /// Takes in the sums of the requests of other processes.
    pub fn note_elsewhere(&mut self, loads: &BTreeMap<TargetName, u32>) {
        for (name, target) in &mut self.targets {
            target.elsewhere = loads.get(name).copied().unwrap_or(0);
        }
    }

    /// Chooses the target that is expected to finish first, and counts the request there.
    pub fn choose(
        &mut self,
        now: Time,
        pool: &PoolName,
        need: &Need,
        centre: &CentreName,
    ) -> Option<Choice> {
        let median = self.median_pace(pool);
        let fits = |t: &&Target| t.fits(now, pool, need);
        let cost = |t| (Target::cost(t, median, need, centre), t);
        let fitting = self.targets.values().filter(fits).map(cost);
        let (_, best) = fitting.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let name = best.listed.name.clone();
        let target = self.targets.get_mut(&name)?;
        target.running += 1;
        Some(Choice {
            name,
            address: target.listed.address,
            until: now + CHOICE_LIMIT,
        })
    }

    /// Notes that a request at a target ended.
    pub fn release(&mut self, now: Time, name: &TargetName, end: CallEnd) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.running = target.running.saturating_sub(1);
        match end {
            CallEnd::Answered => {
                target.failures = 0;
                target.errors = 0;
            }
            CallEnd::Error => {
                target.errors += 1;
                if target.errors >= ERRORS {
                    target.fail(now);
                }
            }
            CallEnd::Refused => target.paused = target.paused.max(now + REFUSAL_PAUSE),
            CallEnd::Failed | CallEnd::Misdirected => target.fail(now),
            CallEnd::Dropped => {}
        }
    }

    /// Takes in how long a target took for each event of a stream.
    pub fn note_pace(&mut self, name: &TargetName, millis: f64) {
        if let Some(target) = self.targets.get_mut(name) {
            self.medians.clear();
            let old = target.pace.unwrap_or(millis);
            target.pace = Some(old * (1.0 - PACE_SHARE) + millis * PACE_SHARE);
        }
    }

    /// Tells whether a target is much slower than the others of its pool.
    pub fn is_slow(&mut self, name: &TargetName) -> bool {
        let Some(target) = self.targets.get(name) else {
            return false;
        };
        let pool = target.listed.pool.clone();
        let median = self.median_pace(&pool);
        self.targets.get(name).is_some_and(|t| t.is_slow(median))
    }

    /// Tells whether a target that is not slow has room for a run of this model.
    pub fn has_fast_room(
        &mut self,
        now: Time,
        pool: &PoolName,
        model: Option<&(ModelName, WeightVersion)>,
    ) -> bool {
        let need = Need {
            model: model.cloned(),
            room: true,
            ..Need::default()
        };
        let median = self.median_pace(pool);
        let mut targets = self.targets.values();
        targets.any(|t| t.fits(now, pool, &need) && !t.is_slow(median))
    }

    /// Returns the silence after which a stream from this pool counts as stalled.
    pub fn patience(&mut self, pool: &PoolName) -> Duration {
        let millis = self.median_pace(pool).map(|pace| pace * PATIENCE);
        let patience = millis.and_then(|m| Duration::try_from_secs_f64(m / 1000.0).ok());
        patience.map_or(PATIENCE_MOST, |p| p.clamp(PATIENCE_LEAST, PATIENCE_MOST))
    }

    fn median_pace(&mut self, pool: &PoolName) -> Option<f64> {
        if let Some(median) = self.medians.get(pool) {
            return *median;
        }
        let targets = self.targets.values().filter(|t| t.listed.pool == *pool);
        let mut paces: Vec<f64> = targets.filter_map(|t| t.pace).collect();
        paces.sort_by(f64::total_cmp);
        let median = paces.get(paces.len() / 2).copied();
        self.medians.insert(pool.clone(), median);
        median
    }
}

impl Target {
    /// Pauses the target after a failure. Further failures while it pauses belong to this one.
    fn fail(&mut self, now: Time) {
        if self.failures > 0 && now < self.paused {
            return;
        }
        let pause = PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.paused = now + pause.min(PAUSE_MOST);
    }

    /// Tells whether the target takes much longer for an event than the median of its pool.
    fn is_slow(&self, median: Option<f64>) -> bool {
        matches!((self.pace, median), (Some(pace), Some(median)) if pace > SLOW * median)
    }

    fn fits(&self, now: Time, pool: &PoolName, need: &Need) -> bool {
        self.listed.pool == *pool
            && !self.listed.leaving
            && (need.paused || now >= self.paused)
            && (need.paused || self.errors < ERRORS || self.running == 0)
            && (!need.room || self.running + self.elsewhere < self.listed.slots)
            && !need.tried.contains(&self.listed.name)
            && self.has_version(need)
    }

    fn has_version(&self, need: &Need) -> bool {
        need.model
            .as_ref()
            .is_none_or(|(model, least)| self.listed.version(model).is_some_and(|v| v >= *least))
    }

    /// Returns a figure by which targets are compared; the lowest is chosen.
    fn cost(&self, median: Option<f64>, need: &Need, centre: &CentreName) -> f64 {
        /// Bonus for a target that holds a part of the prompt.
        const PREFERRED: f64 = 0.4;
        /// Surcharge for another data centre.
        const FAR: f64 = 0.05;
        /// Bonus for each version above the oldest permitted one.
        const NEWER: f64 = 2.0;
        /// Weight of the pace, so that a slow target comes after all others.
        const PACE: f64 = 8.0;
        /// Bonus for a target in the share of the model. It is above the range of the load.
        const SHARE: f64 = 1.2;
        /// Pace relative to the median up to which targets count as equally fast.
        const EVEN: f64 = 1.12;
        let load = f64::from(self.running + self.elsewhere) / f64::from(self.listed.slots.max(1));
        let relative = match (self.pace, median) {
            (Some(pace), Some(median)) if median > 0.0 => (pace / median).max(1.0),
            _ => 1.0,
        };
        let far = if self.listed.centre == *centre {
            0.0
        } else {
            FAR
        };
        let held = need.prefer.as_ref() == Some(&self.listed.name);
        let prompt = if held { PREFERRED } else { 0.0 };
        let common = far - prompt + self.tie(need.seed);
        let Some(versions) = need
            .model
            .as_ref()
            .and_then(|need| self.versions_above(need))
        else {
            return (load + 0.5) * relative + common;
        };
        // Full engines are hardly slower, so runs are packed: the others stay free for a load of
        // the next version, which would interrupt runs.
        let slow = if relative > EVEN {
            (relative - 1.0) * PACE
        } else {
            0.0
        };
        let own = need
            .model
            .as_ref()
            .is_some_and(|(m, _)| self.is_shared_to(m));
        let share = if own { SHARE } else { 0.0 };
        slow - load - NEWER * versions - share + common
    }

    /// Tells whether a model fills this target first. Each model has an equal share of the targets,
    /// since the processes that run the jobs of different models hear of each other's runs late.
    fn is_shared_to(&self, model: &ModelName) -> bool {
        let models = &self.listed.models;
        let rank = models.iter().filter(|(other, _)| other < model).count();
        let count = models.len().max(1);
        let hash = self.hash(0) >> 40;
        usize::try_from(hash).unwrap_or(0) % count == rank
    }

    /// Returns how many versions above the oldest permitted one the target has, at most two.
    fn versions_above(&self, (model, least): &(ModelName, WeightVersion)) -> Option<f64> {
        let version = self.listed.version(model)?;
        let above = version.0.saturating_sub(least.0).min(2);
        u32::try_from(above).ok().map(f64::from)
    }

    /// Returns a small figure that differs between processes and targets, so that each process
    /// keeps to a few targets and their connections, and not all to the same ones.
    fn tie(&self, seed: u64) -> f64 {
        const RANGE: u64 = 1024;
        let step = u32::try_from((self.hash(seed) >> 20) % RANGE).unwrap_or(0);
        f64::from(step) / 10_240.0
    }

    fn hash(&self, seed: u64) -> u64 {
        // Spreads names that differ in their last letters only.
        const SPREAD: u64 = 0xbf58_476d_1ce4_e5b9;
        let hash = fnv(seed | 1, self.listed.name.as_str().as_bytes());
        (hash ^ (hash >> 29)).wrapping_mul(SPREAD)
    }
}
