//! Weight roll-out to one pool.
//!
//! The holder of `orders/{data centre}` keeps one `Rollout` for each pool, and calls `next` after
//! each report and at the time of the last `Wait`:
//!
//! ```
//! use std::time::Duration;
//! use sardinepath_core::decision::rollout::{Replica, Rollout, RolloutStep};
//! use sardinepath_core::domain::{ids::WeightVersion, name::TargetName, time::Time};
//!
//! let replica = |name, version| Replica {
//!     target: TargetName::from(name), version: WeightVersion(version), serving: true };
//! let mut rollout = Rollout::new(WeightVersion(8), 1, Duration::from_millis(500));
//! let pool = [replica("e1", 7), replica("e2", 8)];
//! // The load goes to the agent with the fencing token, after a check of the lease's permit.
//! let RolloutStep::Load(target, version) = rollout.next(Time(0), &pool) else { panic!() };
//! assert_eq!((target.as_str(), version), ("e1", WeightVersion(8)));
//! let pool = [replica("e1", 8), replica("e2", 8)];
//! assert_eq!(rollout.next(Time(900), &pool), RolloutStep::Done);
//! ```
//!
//! The state is rebuilt from reports after a change of holder: a replica that swaps does not
//! serve, so it counts against the limits. A new holder waits out `order::WAIT` first.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::domain::ids::WeightVersion;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Share of a pool that may swap at once, as a divisor. A pool below four swaps one at a time.
const WAVE: usize = 4;

/// Time after which a swap without success counts as failed. A version must reach all replicas
/// within 32 s, so a longer wait could not meet that.
const SWAP_LIMIT: Duration = Duration::from_secs(30);

/// Time after which a failed swap is tried again.
const RETRY: Duration = Duration::from_secs(1);

/// One replica of the pool as last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The target.
    pub target: TargetName,
    /// Version of the loaded weights.
    pub version: WeightVersion,
    /// True if the target takes requests.
    pub serving: bool,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Order the target's agent to load the version.
    Load(TargetName, WeightVersion),
    /// Call `next` again at this time, or earlier after a report.
    Wait(Time),
    /// A swap would leave fewer serving replicas than the floor. Operators are told.
    AtFloor,
    /// Every replica serves the version or a newer one.
    Done,
}

/// Roll-out of versions to one pool.
#[derive(Clone, Debug)]
pub struct Rollout {
    version: WeightVersion,
    /// Fewest serving replicas.
    floor: usize,
    /// Time between two loads from the weight store.
    interval: Duration,
    /// Time of the next load.
    free: Time,
    swaps: BTreeMap<TargetName, Swap>,
}

/// A swap that was ordered.
#[derive(Clone, Copy, Debug)]
enum Swap {
    Running(Time),
    Failed(Time),
}

impl Rollout {
    /// Creates the roll-out of a version. `interval` is the inverse of the weight store's rate.
    pub fn new(version: WeightVersion, floor: usize, interval: Duration) -> Self {
        Self {
            version,
            floor,
            interval,
            free: Time::default(),
            swaps: BTreeMap::new(),
        }
    }

    /// Moves on to a newer version. Running swaps go on. An older version is ignored.
    pub fn publish(&mut self, version: WeightVersion) {
        self.version = self.version.max(version);
    }

    /// Notes that a swap failed.
    pub fn failed(&mut self, now: Time, target: &TargetName) {
        self.swaps.insert(target.clone(), Swap::Failed(now));
    }

    /// Decides what to do next from the last reports of the whole pool.
    pub fn next(&mut self, now: Time, pool: &[Replica]) -> RolloutStep {
        self.settle(now, pool);
        if pool.iter().all(|r| r.serving && r.version >= self.version) {
            return RolloutStep::Done;
        }
        let away = pool.iter().filter(|r| self.is_away(r)).count();
        if away >= (pool.len() / WAVE).max(1) {
            return RolloutStep::Wait(now + RETRY);
        }
        let candidates = pool
            .iter()
            .filter(|r| r.version < self.version && !self.is_away(r));
        let due = |r: &&Replica| self.due(&r.target);
        let Some(next) = candidates.min_by_key(due) else {
            return RolloutStep::Wait(now + RETRY);
        };
        let due = self.due(&next.target).max(self.free);
        if now < due {
            return RolloutStep::Wait(due);
        }
        if pool.len() - away <= self.floor {
            return RolloutStep::AtFloor;
        }
        self.free = now + self.interval;
        self.swaps.insert(next.target.clone(), Swap::Running(now));
        RolloutStep::Load(next.target.clone(), self.version)
    }

    /// Forgets swaps that succeeded and fails those that take too long.
    fn settle(&mut self, now: Time, pool: &[Replica]) {
        for replica in pool {
            if replica.serving && replica.version >= self.version {
                self.swaps.remove(&replica.target);
            }
        }
        self.swaps
            .retain(|target, _| pool.iter().any(|r| r.target == *target));
        for swap in self.swaps.values_mut() {
            if let Swap::Running(since) = *swap
                && now >= since + SWAP_LIMIT
            {
                *swap = Swap::Failed(now);
            }
        }
    }

    /// Tells whether a replica does not serve or is about to stop serving.
    fn is_away(&self, replica: &Replica) -> bool {
        let swap = self.swaps.get(&replica.target);
        !replica.serving || matches!(swap, Some(Swap::Running(_)))
    }

    /// Returns the earliest time of the next swap of a target.
    fn due(&self, target: &TargetName) -> Time {
        match self.swaps.get(target) {
            Some(Swap::Failed(since)) => *since + RETRY,
            _ => Time::default(),
        }
    }
}
