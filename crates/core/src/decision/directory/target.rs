//! State of one target, and the cost by which targets are compared.

use std::time::Duration;

use crate::decision::directory::Sharing;
use crate::decision::directory::TargetNeeds;
use crate::decision::directory::pace::AveragePace;
use crate::decision::places::Places;
use crate::domain::fleet::TargetEntry;
use crate::domain::hash::fnv1a;
use crate::domain::ids::WeightVersion;
use crate::domain::name::CentreName;
use crate::domain::name::ModelName;
use crate::domain::name::PoolName;
use crate::domain::time::Time;

/// Pause of a target after a failure. It doubles with each consecutive one.
const BASE_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause of a target after a failure.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Number of consecutive error answers after which a target counts as failed. Fewer do not count,
/// since some requests get an error at every target.
pub(super) const ERROR_THRESHOLD: u32 = 3;

/// Ratio of a target's pace to that of the fast ones of its pool above which it counts as slow.
const SLOW_RATIO: f64 = 1.25;

/// State of a known target.
#[derive(Debug)]
pub(super) struct Target {
    /// Entry of the object API.
    pub(super) entry: TargetEntry,
    /// Number of requests of this process that run on the target.
    pub(super) running: u32,
    /// Number of requests of other processes on the target, as last reported.
    pub(super) remote_running: u32,
    /// Time before which the target gets no requests.
    pub(super) paused_until: Time,
    /// Time before which the target gets no requests, because this run may have said that it is leaving.
    pub(super) withheld_until: Time,
    /// Time until which other requests keep away from the target, because it runs a suspect.
    pub(super) isolated_until: Time,
    /// Number of failures since the last success, not counting those during a pause.
    pub(super) failures: u32,
    /// Number of error answers since the last success.
    pub(super) errors: u32,
    /// Average interval between two events of a stream.
    pub(super) pace: Option<AveragePace>,
    /// Whether the entry is missing although the target may still be alive.
    pub(super) missing: bool,
}

impl Target {
    /// Creates the state of a target without requests.
    pub(super) fn new(entry: TargetEntry) -> Self {
        Self {
            running: 0,
            remote_running: 0,
            paused_until: Time::default(),
            withheld_until: Time::default(),
            isolated_until: Time::default(),
            failures: 0,
            errors: 0,
            pace: None,
            missing: false,
            entry,
        }
    }

    /// Pauses the target after a failure. Further failures during the pause are not counted.
    pub(super) fn pause_after_failure(&mut self, now: Time) {
        if self.failures > 0 && now < self.paused_until {
            return;
        }
        let pause = BASE_PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.paused_until = now + pause.min(MAX_PAUSE);
    }

    /// Returns `true` if the target is much slower than the reference pace of its pool.
    pub(super) fn is_slow(&self, reference: Option<f64>) -> bool {
        let pace = self.pace.map(|pace| pace.millis);
        matches!((pace, reference), (Some(pace), Some(fast)) if pace > SLOW_RATIO * fast)
    }

    /// Returns `true` if the target meets the requirements of a request.
    pub(super) fn fits(
        &self,
        now: Time,
        pool: &PoolName,
        need: &TargetNeeds,
        places: &Places,
    ) -> bool {
        self.entry.pool == *pool
            && !self.entry.leaving
            && places.is_open(&self.entry.centre)
            && places.is_home(&self.entry.centre, need.homes.as_ref())
            && now >= self.withheld_until
            && (need.allow_paused || now >= self.paused_until)
            && (need.allow_paused || self.errors < ERROR_THRESHOLD || self.running == 0)
            && (!need.free_slot || self.running + self.remote_running < self.entry.slots)
            && !need.excluded.contains(&self.entry.name)
            && self.allows_sharing(now, need)
            && self.has_version(need)
            && need
                .software
                .as_ref()
                .is_none_or(|s| *s == self.entry.software)
    }

    /// Returns `true` if the requests on the target and a new one may run together.
    fn allows_sharing(&self, now: Time, need: &TargetNeeds) -> bool {
        let isolated = now < self.isolated_until;
        let idle = self.running + self.remote_running == 0;
        need.sharing == Sharing::Any || (!isolated && (idle || !need.suspect))
    }

    /// Returns `true` if the target has a permitted version of the requested model.
    fn has_version(&self, need: &TargetNeeds) -> bool {
        need.model
            .as_ref()
            .is_none_or(|(model, least)| self.entry.version(model).is_some_and(|v| v >= *least))
    }

    /// Returns the cost by which targets are compared, in units of a full load. The lowest is
    /// chosen.
    pub(super) fn cost(
        &self,
        reference: Option<f64>,
        need: &TargetNeeds,
        centre: &CentreName,
    ) -> f64 {
        /// Bonus for a target that has a part of the prompt cached. It exceeds the range of the load, so
        /// that an item does not leave its group for a fuller target.
        const PREFIX_BONUS: f64 = 1.1;
        /// Cost of a target in another data centre.
        const REMOTE_COST: f64 = 0.05;
        /// Bonus for each version above the oldest permitted one.
        const VERSION_BONUS: f64 = 2.0;
        /// Weight of the relative pace, large enough to rank slow targets last.
        const PACE_WEIGHT: f64 = 8.0;
        /// Bonus for a target that is assigned to the model. It exceeds the range of the load.
        const SHARE_BONUS: f64 = 1.2;
        /// Ratio of the pace to the reference up to which targets count as equally fast.
        const SIMILAR_PACE_RATIO: f64 = 1.12;
        let load =
            f64::from(self.running + self.remote_running) / f64::from(self.entry.slots.max(1));
        let relative = match (self.pace, reference) {
            (Some(pace), Some(fast)) if fast > 0.0 => (pace.millis / fast).max(1.0),
            _ => 1.0,
        };
        let distance = if self.entry.centre == *centre {
            0.0
        } else {
            REMOTE_COST
        };
        let held = need.preferred.contains(&self.entry.name);
        let prompt = if held { PREFIX_BONUS } else { 0.0 };
        let common = distance - prompt + self.tie_breaker(need.seed);
        let Some(versions) = need
            .model
            .as_ref()
            .and_then(|need| self.versions_above(need))
        else {
            return (load + 0.5) * relative + common;
        };
        // Engines are hardly slower when full, so runs are packed onto few targets. The others stay
        // free to load the next version, which would interrupt runs.
        let slow = if relative > SIMILAR_PACE_RATIO {
            (relative - 1.0) * PACE_WEIGHT
        } else {
            0.0
        };
        let own = need
            .model
            .as_ref()
            .is_some_and(|(m, _)| self.is_assigned_to(m));
        let share = if own { SHARE_BONUS } else { 0.0 };
        slow - load - VERSION_BONUS * versions - share + common
    }

    /// Returns `true` if the target is assigned to a model, which then uses it first. Each model
    /// has an equal share of the targets, since the processes that run the jobs of different models
    /// are informed of each other's runs with a delay.
    fn is_assigned_to(&self, model: &ModelName) -> bool {
        let models = &self.entry.models;
        let rank = models.iter().filter(|(other, _)| other < model).count();
        let count = models.len().max(1);
        let hash = self.hash(0) >> 40;
        usize::try_from(hash).unwrap_or(0) % count == rank
    }

    /// Returns the number of versions by which the target is ahead of the oldest permitted one, at
    /// most two.
    fn versions_above(&self, (model, least): &(ModelName, WeightVersion)) -> Option<f64> {
        let version = self.entry.version(model)?;
        let above = version.0.saturating_sub(least.0).min(2);
        u32::try_from(above).ok().map(f64::from)
    }

    /// Returns a small cost that differs between processes and targets, so that each process reuses
    /// connections to a few targets, and different processes prefer different ones.
    fn tie_breaker(&self, seed: u64) -> f64 {
        /// Number of different costs that break ties.
        const TIE_STEPS: u64 = 1024;
        let step = u32::try_from((self.hash(seed) >> 20) % TIE_STEPS).unwrap_or(0);
        f64::from(step) / 10_240.0
    }

    fn hash(&self, seed: u64) -> u64 {
        // Multiplier that spreads the hashes of names that differ only in their last letters.
        const HASH_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;
        let hash = fnv1a(seed | 1, self.entry.name.as_str().as_bytes());
        (hash ^ (hash >> 29)).wrapping_mul(HASH_MULTIPLIER)
    }
}
