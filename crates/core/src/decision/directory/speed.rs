//! Speeds of targets: which ones are slow, and when a stream counts as stalled.

use std::time::Duration;

use crate::decision::directory::Directory;
use crate::decision::directory::TargetNeeds;
use crate::decision::directory::ToldPace;
use crate::decision::directory::pace;
use crate::decision::directory::pace::AveragePace;
use crate::domain::ids::WeightVersion;
use crate::domain::name::ModelName;
use crate::domain::name::PoolName;
use crate::domain::name::TargetName;
use crate::domain::place::Homes;
use crate::domain::time::Time;

/// Number of usual event intervals without an event after which a stream counts as stalled.
const STALL_EVENTS: f64 = 12.0;

/// Minimum time without an event after which a stream counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time without an event before a stream counts as stalled, also used while no pace is
/// known.
const MAX_STALL_TIMEOUT: Duration = Duration::from_millis(2_000);

impl Directory {
    /// Adds a measurement of a target's pace, the interval between the events of a stream in
    /// milliseconds.
    pub fn record_pace(&mut self, now: Time, name: &TargetName, millis: f64) {
        if let Some(target) = self.targets.get_mut(name) {
            self.references.clear();
            target.pace = Some(AveragePace::measure(target.pace, now, millis));
        }
    }

    /// Takes over the paces that another process measured later than this one.
    pub fn learn_paces(&mut self, now: Time, told: &[ToldPace]) {
        for told in told {
            if let Some(target) = self.targets.get_mut(&told.target) {
                self.references.clear();
                target.pace = AveragePace::learn(target.pace, now, told);
            }
        }
    }

    /// Returns the paces of which other processes should be told.
    pub fn recent_paces(&self, now: Time) -> Vec<ToldPace> {
        let paces = self.targets.iter().map(|(name, t)| (name, t.pace));
        pace::recent(now, paces)
    }

    /// Returns `true` if a target is much slower than the fast ones of its pool.
    pub fn is_slow(&mut self, name: &TargetName) -> bool {
        let Some(target) = self.targets.get(name) else {
            return false;
        };
        let pool = target.entry.pool.clone();
        let reference = self.reference_pace(&pool);
        self.targets.get(name).is_some_and(|t| t.is_slow(reference))
    }

    /// Returns `true` if a target that is not slow could take over a request from another one, with
    /// the same software version and a permitted version of the model, in a region of its homes.
    pub fn has_fast_slot(
        &mut self,
        now: Time,
        slow: &TargetName,
        model: Option<(ModelName, WeightVersion)>,
        homes: Option<Homes>,
    ) -> bool {
        let Some(slow) = self.get(slow).cloned() else {
            return false;
        };
        let need = TargetNeeds {
            model,
            homes,
            software: Some(slow.software),
            free_slot: true,
            ..TargetNeeds::default()
        };
        let reference = self.reference_pace(&slow.pool);
        let mut targets = self.targets.values();
        let (limits, starts) = (&self.limits, &self.starts);
        targets.any(|t| {
            t.fits(now, &slow.pool, &need, &self.places)
                && limits.may_send(now, &t.entry, true)
                && starts.may_send(now, &t.entry.name)
                && !t.is_slow(reference)
        })
    }

    /// Returns the time without an event after which a stream from a target counts as stalled, by the
    /// pace of its pool. It is the longest one if the pace is not known.
    pub fn stall_timeout(&mut self, target: &TargetName) -> Duration {
        let pool = self.get(target).map(|entry| entry.pool.clone());
        let pace = pool.and_then(|pool| self.reference_pace(&pool));
        let millis = pace.map(|pace| pace * STALL_EVENTS);
        let timeout = millis.and_then(|m| Duration::try_from_secs_f64(m / 1000.0).ok());
        timeout.map_or(MAX_STALL_TIMEOUT, |p| {
            p.clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT)
        })
    }

    /// Returns the pace of the fast targets of a pool in milliseconds, or `None` if no pace is known.
    pub(super) fn reference_pace(&mut self, pool: &PoolName) -> Option<f64> {
        if let Some(reference) = self.references.get(pool) {
            return *reference;
        }
        let targets = self.targets.values().filter(|t| t.entry.pool == *pool);
        let reference = pace::reference(targets.filter_map(|t| t.pace));
        self.references.insert(pool.clone(), reference);
        reference
    }
}
