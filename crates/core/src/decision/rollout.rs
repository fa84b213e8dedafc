//! Roll-out of weight versions to one pool.
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
//! // The load is sent to the agent with the fencing token, after a check of the lease's permit.
//! let RolloutStep::Load(target, version) = rollout.next(Time(0), &pool) else { panic!() };
//! assert_eq!((target.as_str(), version), ("e1", WeightVersion(8)));
//! let pool = [replica("e1", 8), replica("e2", 8)];
//! assert_eq!(rollout.next(Time(900), &pool), RolloutStep::Done);
//! ```
//!
//! A new holder rebuilds the state from reports: a replica that is being swapped does not serve, so
//! it counts towards the limits. The holder first waits for `order::TAKEOVER_DELAY`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::domain::ids::WeightVersion;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Divisor of the pool size that gives the number of concurrent swaps, which is at least one.
const WAVE_DIVISOR: usize = 4;

/// Time after which an unfinished swap counts as failed. A version must reach all replicas within
/// 32 s, which a longer timeout could not meet.
const SWAP_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay before a failed swap is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Last reported state of one replica of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Target that runs the replica.
    pub target: TargetName,
    /// Version of the loaded weights.
    pub version: WeightVersion,
    /// Whether the target accepts requests.
    pub serving: bool,
}

/// Next step of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Order the target's agent to load the version.
    Load(TargetName, WeightVersion),
    /// Call `next` again at this time, or earlier after a report.
    Wait(Time),
    /// A swap would leave fewer serving replicas than the floor. Operators must be notified.
    AtFloor,
    /// Every replica serves the version or a newer one.
    Done,
}

/// State of the roll-out to one pool.
#[derive(Clone, Debug)]
pub struct Rollout {
    version: WeightVersion,
    /// Minimum number of serving replicas.
    floor: usize,
    /// Minimum interval between loads from the weight store.
    interval: Duration,
    /// Earliest time of the next load.
    next_load: Time,
    swaps: BTreeMap<TargetName, Swap>,
}

/// State of an ordered swap, with the time since which it holds.
#[derive(Clone, Copy, Debug)]
enum Swap {
    Running(Time),
    Failed(Time),
}

impl Rollout {
    /// Creates the roll-out of a version. `floor` is the minimum number of serving replicas, and
    /// `interval` the inverse of the rate at which the weight store permits loads.
    pub fn new(version: WeightVersion, floor: usize, interval: Duration) -> Self {
        Self {
            version,
            floor,
            interval,
            next_load: Time::default(),
            swaps: BTreeMap::new(),
        }
    }

    /// Switches to a newer version. Running swaps continue. An older version is ignored.
    pub fn publish(&mut self, version: WeightVersion) {
        self.version = self.version.max(version);
    }

    /// Records that a swap failed.
    pub fn failed(&mut self, now: Time, target: &TargetName) {
        self.swaps.insert(target.clone(), Swap::Failed(now));
    }

    /// Returns the next step, given the last reports of the whole pool.
    pub fn next(&mut self, now: Time, pool: &[Replica]) -> RolloutStep {
        self.settle(now, pool);
        if pool.iter().all(|r| r.serving && r.version >= self.version) {
            return RolloutStep::Done;
        }
        let unavailable = pool.iter().filter(|r| self.is_unavailable(r)).count();
        if unavailable >= (pool.len() / WAVE_DIVISOR).max(1) {
            return RolloutStep::Wait(now + RETRY_DELAY);
        }
        let candidates = pool
            .iter()
            .filter(|r| r.version < self.version && !self.is_unavailable(r));
        let due = |r: &&Replica| self.due(&r.target);
        let Some(next) = candidates.min_by_key(due) else {
            return RolloutStep::Wait(now + RETRY_DELAY);
        };
        let due = self.due(&next.target).max(self.next_load);
        if now < due {
            return RolloutStep::Wait(due);
        }
        if pool.len() - unavailable <= self.floor {
            return RolloutStep::AtFloor;
        }
        self.next_load = now + self.interval;
        self.swaps.insert(next.target.clone(), Swap::Running(now));
        RolloutStep::Load(next.target.clone(), self.version)
    }

    /// Removes swaps that succeeded and marks those that timed out as failed.
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
                && now >= since + SWAP_TIMEOUT
            {
                *swap = Swap::Failed(now);
            }
        }
    }

    /// Returns `true` if a replica is not serving or is about to stop serving.
    fn is_unavailable(&self, replica: &Replica) -> bool {
        let swap = self.swaps.get(&replica.target);
        !replica.serving || matches!(swap, Some(Swap::Running(_)))
    }

    /// Returns the earliest time at which a target may be swapped.
    fn due(&self, target: &TargetName) -> Time {
        match self.swaps.get(target) {
            Some(Swap::Failed(since)) => *since + RETRY_DELAY,
            _ => Time::default(),
        }
    }
}
