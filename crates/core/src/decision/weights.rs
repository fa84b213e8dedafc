//! Roll-out of weight versions by orders to the targets.
//!
//! Each target is assigned to one of its models and gets new versions of that model only. The
//! targets are thus divided among the models, and no model waits for the targets of another.
//!
//! The holder of the duty keeps one `Weights` and requests the next orders from it after each
//! change. An order carries the number of orders that its target has accepted, which is read just
//! before. An unanswered order that arrives late therefore has no effect after a newer one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::domain::ids::WeightVersion;
use crate::domain::name::ModelName;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Divisor of the number of targets that gives the number of concurrent loads. Each load takes
/// longer the more of them are concurrent.
const WAVE_DIVISOR: usize = 5;

/// Time after which a load is ordered again if its version was not observed.
const LOAD_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Delay between the announcement of a version and its loads. The step that arrives with the
/// version is dispatched first, so that the loads go to the targets that remain idle.
const LOAD_DELAY: Duration = Duration::from_millis(150);

/// Number of versions behind the newest one at which the current step can no longer use a target.
const UNUSABLE_LAG: u64 = 2;

/// Delay before an order that was not accepted is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The target accepted the order.
    Accepted,
    /// The target already has the version.
    Held,
    /// The target is processing another order, or had accepted one that the holder did not know.
    Busy,
    /// A newer holder of the duty has sent orders.
    Fenced,
    /// The target could not be reached or rejected the order.
    Failed,
    /// There was no answer, so the target may still carry out the order.
    Unknown,
}

/// Model on a target. A target that serves several models has one replica of each.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Target that serves the model.
    pub target: TargetName,
    /// Model that is served.
    pub model: ModelName,
    /// Loaded version.
    pub version: WeightVersion,
    /// Number of requests running on the target.
    pub busy: u32,
    /// Whether each run must complete under the version with which it started. If `false`, runs
    /// continue during a load.
    pub version_fixed: bool,
}

/// Order to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Target that loads the version.
    pub target: TargetName,
    /// Model whose version is loaded.
    pub model: ModelName,
    /// Version to load.
    pub version: WeightVersion,
}

/// State of the roll-outs to the targets of all models.
#[derive(Debug, Default)]
pub struct Weights {
    newest: BTreeMap<ModelName, NewestVersion>,
    orders: BTreeMap<TargetName, Order>,
    /// Model to which each target is assigned.
    assignments: BTreeMap<TargetName, ModelName>,
}

/// Newest version of a model.
#[derive(Clone, Copy, Debug)]
struct NewestVersion {
    version: WeightVersion,
    /// Time at which the version was announced.
    since: Time,
}

impl NewestVersion {
    fn is_unusable(self, version: WeightVersion) -> bool {
        version.0.saturating_add(UNUSABLE_LAG) <= self.version.0
    }
}

/// Numbers of targets assigned to one model.
#[derive(Clone, Copy, Debug, Default)]
struct TargetCounts {
    all: usize,
    /// Targets that the current step can use.
    usable: usize,
    /// Targets with the newest version.
    loaded: usize,
    /// Targets that are loading.
    loading: usize,
}

impl TargetCounts {
    fn loaded_percent(&self) -> usize {
        (self.loaded + self.loading) * 100 / self.all.max(1)
    }

    /// Returns `true` if a target may load now. A loading target accepts no new runs, so some of
    /// the targets that the current step can use must remain available.
    fn allows(&self, now: Time, replica: &Replica, newest: NewestVersion) -> bool {
        let unusable = newest.is_unusable(replica.version);
        if replica.version_fixed && replica.busy > 0 {
            return unusable && self.usable * 2 < self.all;
        }
        unusable || (now >= newest.since + LOAD_DELAY && self.loading * 2 < self.usable.max(1))
    }
}

#[derive(Debug)]
enum Order {
    /// Sent, but not answered yet.
    Sent(Load),
    /// In progress since this time. An unanswered order also counts as in progress.
    Loading(Load, Time),
    /// Not accepted. The target may be ordered again from this time.
    Rejected(Time),
}

impl Weights {
    /// Records a version that a trainer announced. Returns `false` if it is not newer than the
    /// known one, which then stays unchanged.
    pub fn announce(&mut self, now: Time, model: ModelName, version: WeightVersion) -> bool {
        let newer = self.newest(&model).is_none_or(|known| version > known);
        if newer {
            let since = now;
            self.newest.insert(model, NewestVersion { version, since });
        }
        newer
    }

    /// Returns the newest announced version of a model.
    pub fn newest(&self, model: &ModelName) -> Option<WeightVersion> {
        self.newest.get(model).map(|newest| newest.version)
    }

    /// Returns the orders to send now. Targets that the current step cannot use come first, then
    /// those of the model with the smallest ratio of loaded targets.
    pub fn next(&mut self, now: Time, replicas: &[Replica]) -> Vec<Load> {
        self.settle(now, replicas);
        self.assign(replicas);
        let targets: BTreeSet<&TargetName> = replicas.iter().map(|r| &r.target).collect();
        let max_loads = ((targets.len() + WAVE_DIVISOR / 2) / WAVE_DIVISOR).max(1);
        let mut free_slots = max_loads.saturating_sub(self.active().count());
        let mut by_model = self.count_targets(replicas);
        let mut behind: Vec<(&Replica, NewestVersion)> = replicas
            .iter()
            .filter(|r| !self.orders.contains_key(&r.target))
            .filter(|r| self.assignments.get(&r.target) == Some(&r.model))
            .filter_map(|r| Some((r, *self.newest.get(&r.model)?)))
            .filter(|(r, newest)| r.version < newest.version)
            .collect();
        behind.sort_by_key(|(r, newest)| {
            let loaded = by_model
                .get(&r.model)
                .map_or(0, TargetCounts::loaded_percent);
            (!newest.is_unusable(r.version), loaded, r.busy)
        });
        let mut loads = Vec::new();
        for (replica, newest) in behind {
            let Some(counts) = by_model.get_mut(&replica.model) else {
                continue;
            };
            if free_slots == 0 || !counts.allows(now, replica, newest) {
                continue;
            }
            let load = Load {
                target: replica.target.clone(),
                model: replica.model.clone(),
                version: newest.version,
            };
            let order = Order::Sent(load.clone());
            if self.orders.insert(load.target.clone(), order).is_none() {
                free_slots -= 1;
                counts.loading += 1;
                loads.push(load);
            }
        }
        loads
    }

    /// Handles the outcome of an order.
    pub fn order_ended(&mut self, now: Time, target: &TargetName, end: OrderEnd) {
        let Some(Order::Sent(load)) = self.orders.remove(target) else {
            return;
        };
        let order = match end {
            OrderEnd::Accepted | OrderEnd::Held | OrderEnd::Unknown => Order::Loading(load, now),
            OrderEnd::Busy | OrderEnd::Failed | OrderEnd::Fenced => {
                Order::Rejected(now + RETRY_DELAY)
            }
        };
        self.orders.insert(target.clone(), order);
    }

    /// Discards the orders and assignments of an ended tenure.
    pub fn reset(&mut self) {
        self.orders.clear();
        self.assignments.clear();
    }

    /// Returns the loads that were sent or are in progress.
    fn active(&self) -> impl Iterator<Item = &Load> {
        self.orders.values().filter_map(|order| match order {
            Order::Sent(load) | Order::Loading(load, _) => Some(load),
            Order::Rejected(_) => None,
        })
    }

    /// Counts the targets assigned to each model.
    fn count_targets(&self, replicas: &[Replica]) -> BTreeMap<ModelName, TargetCounts> {
        let mut by_model: BTreeMap<ModelName, TargetCounts> = BTreeMap::new();
        for replica in replicas {
            let Some(newest) = self.newest.get(&replica.model) else {
                continue;
            };
            if self.assignments.get(&replica.target) != Some(&replica.model) {
                continue;
            }
            let counts = by_model.entry(replica.model.clone()).or_default();
            counts.all += 1;
            counts.usable += usize::from(!newest.is_unusable(replica.version));
            counts.loaded += usize::from(replica.version >= newest.version);
        }
        for load in self.active() {
            if let Some(counts) = by_model.get_mut(&load.model) {
                counts.loading += 1;
            }
        }
        by_model
    }

    /// Assigns each target to the model for which its version is least behind, while keeping the
    /// number of targets per model even.
    fn assign(&mut self, replicas: &[Replica]) {
        let models: BTreeSet<&ModelName> = replicas.iter().map(|r| &r.model).collect();
        let targets: BTreeSet<&TargetName> = replicas.iter().map(|r| &r.target).collect();
        let quota = targets.len().div_ceil(models.len().max(1));
        let min_targets = targets.len() / models.len().max(1);
        self.assignments.retain(|target, model| {
            replicas
                .iter()
                .any(|r| r.target == *target && r.model == *model)
        });
        let assignments = &self.assignments;
        let count = |model: &ModelName| {
            assignments
                .values()
                .filter(|assigned| *assigned == model)
                .count()
        };
        // Reassign a target of a model with too many targets if another model has too few.
        let has_shortage = models.iter().any(|model| count(model) < min_targets);
        let surplus = models
            .iter()
            .find(|model| has_shortage && count(model) > min_targets);
        let moved = surplus
            .and_then(|surplus| assignments.iter().find(|(_, assigned)| assigned == surplus));
        if let Some(target) = moved.map(|(target, _)| target.clone()) {
            self.assignments.remove(&target);
        }
        let mut counts: BTreeMap<&ModelName, usize> = BTreeMap::new();
        for assigned in self.assignments.values() {
            if let Some(model) = models.get(assigned) {
                *counts.entry(model).or_default() += 1;
            }
        }
        for target in targets {
            if self.assignments.contains_key(target) {
                continue;
            }
            let of_target = replicas.iter().filter(|r| r.target == *target);
            let lag = |r: &Replica| {
                self.newest(&r.model)
                    .map_or(0, |v| v.0.saturating_sub(r.version.0))
            };
            let count = |r: &Replica| counts.get(&r.model).copied().unwrap_or(0);
            let best = of_target.min_by_key(|r| (count(r) >= quota, lag(r), count(r)));
            if let Some(best) = best {
                *counts.entry(&best.model).or_default() += 1;
                self.assignments.insert(target.clone(), best.model.clone());
            }
        }
    }

    /// Removes orders that have completed or timed out.
    fn settle(&mut self, now: Time, replicas: &[Replica]) {
        self.orders.retain(|target, order| {
            let mut of_target = replicas.iter().filter(|r| r.target == *target);
            match order {
                Order::Sent(_) => true,
                Order::Rejected(until) => now < *until,
                Order::Loading(load, since) => {
                    let seen = of_target.find(|r| r.model == load.model);
                    seen.is_some_and(|r| r.version < load.version) && now < *since + LOAD_TIMEOUT
                }
            }
        });
    }
}
