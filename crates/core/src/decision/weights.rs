//! Weight roll-out by orders to the targets.
//!
//! Each target is assigned to one of its models and gets new versions of that one only, so that
//! the loads of a version are shared by the models and none waits for the targets of another.
//!
//! The holder of the duty keeps one `Weights` and asks it for the next orders after each change.
//! An order carries the number of orders that its target has accepted, read just before, so that
//! one without an answer that is carried out late has no effect after a newer one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::domain::ids::WeightVersion;
use crate::domain::name::ModelName;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Share of the targets, as a divisor, that load at once. A load takes longer when more do.
const WAVE: usize = 5;

/// Time after which an accepted load that has not been seen is ordered again.
const LOAD_LIMIT: Duration = Duration::from_millis(5_000);

/// Time after a version is named until its loads begin. The step that comes with the version is
/// dispatched first, and the loads go to the targets that stay free.
const LEAD: Duration = Duration::from_millis(150);

/// Versions by which a target is behind when the step that comes with the newest version can no
/// longer use it.
const USELESS: u64 = 2;

/// Time after which an order that was not accepted is tried again.
const RETRY: Duration = Duration::from_millis(250);

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The target carries it out.
    Accepted,
    /// The target has the version already.
    Held,
    /// The target is busy with another order, or had accepted one that was not known.
    Busy,
    /// A newer holder has sent orders.
    Fenced,
    /// The target cannot be reached, or refused.
    Failed,
    /// There was no answer, so it may be carried out later.
    Unknown,
}

/// A target that serves a model.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The target.
    pub target: TargetName,
    /// The model.
    pub model: ModelName,
    /// Loaded version.
    pub version: WeightVersion,
    /// Requests that run there.
    pub busy: u32,
    /// True if a run must end under the version under which it began. Others go on during a load.
    pub fixed: bool,
}

/// An order to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The target.
    pub target: TargetName,
    /// The model.
    pub model: ModelName,
    /// Version to load.
    pub version: WeightVersion,
}

/// State of the roll-out of all models.
#[derive(Debug, Default)]
pub struct Weights {
    named: BTreeMap<ModelName, Named>,
    orders: BTreeMap<TargetName, Order>,
    /// Model of each target.
    homes: BTreeMap<TargetName, ModelName>,
}

/// The newest version of a model.
#[derive(Clone, Copy, Debug)]
struct Named {
    version: WeightVersion,
    /// When it became known.
    since: Time,
}

impl Named {
    fn is_useless(self, version: WeightVersion) -> bool {
        version.0 + USELESS <= self.version.0
    }
}

/// Targets of one model.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    all: usize,
    /// Those that the present step can use.
    useful: usize,
    /// Those with the newest version.
    loaded: usize,
    /// Those that load.
    loading: usize,
}

impl Share {
    fn loaded_percent(&self) -> usize {
        (self.loaded + self.loading) * 100 / self.all.max(1)
    }

    /// Tells whether a target may load now. A target that loads takes no new runs, so a part of
    /// those that the present step can use stays open.
    fn allows(&self, now: Time, replica: &Replica, named: Named) -> bool {
        let useless = named.is_useless(replica.version);
        if replica.fixed && replica.busy > 0 {
            return useless && self.useful * 2 < self.all;
        }
        useless || (now >= named.since + LEAD && self.loading * 2 < self.useful.max(1))
    }
}

#[derive(Debug)]
enum Order {
    /// Sent, not answered yet.
    Sent(Load),
    /// Accepted at this time.
    Loading(Load, Time),
    /// Not accepted. The next one is sent at this time.
    Resting(Time),
}

impl Weights {
    /// Takes in a version that a trainer named. Older ones change nothing.
    pub fn name(&mut self, now: Time, model: ModelName, version: WeightVersion) -> bool {
        let newer = self.named(&model).is_none_or(|known| version > known);
        if newer {
            let since = now;
            self.named.insert(model, Named { version, since });
        }
        newer
    }

    /// Returns the newest named version of a model.
    pub fn named(&self, model: &ModelName) -> Option<WeightVersion> {
        self.named.get(model).map(|named| named.version)
    }

    /// Returns the orders to send now. Targets that are of no use for the present step come first,
    /// then those of the model with the smallest share of loaded targets.
    pub fn next(&mut self, now: Time, replicas: &[Replica]) -> Vec<Load> {
        self.settle(now, replicas);
        self.assign(replicas);
        let targets: BTreeSet<&TargetName> = replicas.iter().map(|r| &r.target).collect();
        let most = ((targets.len() + WAVE / 2) / WAVE).max(1);
        let mut free = most.saturating_sub(self.active().count());
        let mut shares = self.shares(replicas);
        let mut behind: Vec<(&Replica, Named)> = replicas
            .iter()
            .filter(|r| !self.orders.contains_key(&r.target))
            .filter(|r| self.homes.get(&r.target) == Some(&r.model))
            .filter_map(|r| Some((r, *self.named.get(&r.model)?)))
            .filter(|(r, named)| r.version < named.version)
            .collect();
        behind.sort_by_key(|(r, named)| {
            let share = shares.get(&r.model).map_or(0, Share::loaded_percent);
            (!named.is_useless(r.version), share, r.busy)
        });
        let mut loads = Vec::new();
        for (replica, named) in behind {
            let Some(share) = shares.get_mut(&replica.model) else {
                continue;
            };
            if free == 0 || !share.allows(now, replica, named) {
                continue;
            }
            let load = Load {
                target: replica.target.clone(),
                model: replica.model.clone(),
                version: named.version,
            };
            let order = Order::Sent(load.clone());
            if self.orders.insert(load.target.clone(), order).is_none() {
                free -= 1;
                share.loading += 1;
                loads.push(load);
            }
        }
        loads
    }

    /// Takes in the end of an order.
    pub fn ended(&mut self, now: Time, target: &TargetName, end: OrderEnd) {
        let Some(Order::Sent(load)) = self.orders.remove(target) else {
            return;
        };
        let order = match end {
            OrderEnd::Accepted | OrderEnd::Held | OrderEnd::Unknown => Order::Loading(load, now),
            OrderEnd::Busy | OrderEnd::Failed | OrderEnd::Fenced => Order::Resting(now + RETRY),
        };
        self.orders.insert(target.clone(), order);
    }

    /// Forgets the orders of an ended tenure.
    pub fn reset(&mut self) {
        self.orders.clear();
        self.homes.clear();
    }

    /// Returns the loads that are sent or under way.
    fn active(&self) -> impl Iterator<Item = &Load> {
        self.orders.values().filter_map(|order| match order {
            Order::Sent(load) | Order::Loading(load, _) => Some(load),
            Order::Resting(_) => None,
        })
    }

    /// Counts the targets of each model.
    fn shares(&self, replicas: &[Replica]) -> BTreeMap<ModelName, Share> {
        let mut shares: BTreeMap<ModelName, Share> = BTreeMap::new();
        for replica in replicas {
            let Some(named) = self.named.get(&replica.model) else {
                continue;
            };
            if self.homes.get(&replica.target) != Some(&replica.model) {
                continue;
            }
            let share = shares.entry(replica.model.clone()).or_default();
            share.all += 1;
            share.useful += usize::from(!named.is_useless(replica.version));
            share.loaded += usize::from(replica.version >= named.version);
        }
        for load in self.active() {
            if let Some(share) = shares.get_mut(&load.model) {
                share.loading += 1;
            }
        }
        shares
    }

    /// Assigns each target to a model: the one of which it has the newest version, as far as the
    /// models stay evenly served.
    fn assign(&mut self, replicas: &[Replica]) {
        let models: BTreeSet<&ModelName> = replicas.iter().map(|r| &r.model).collect();
        let targets: BTreeSet<&TargetName> = replicas.iter().map(|r| &r.target).collect();
        let quota = targets.len().div_ceil(models.len().max(1));
        let floor = targets.len() / models.len().max(1);
        self.homes.retain(|target, model| {
            replicas
                .iter()
                .any(|r| r.target == *target && r.model == *model)
        });
        let homes = &self.homes;
        let count = |model: &ModelName| homes.values().filter(|home| *home == model).count();
        // A target of a model with too many moves on once another model has too few.
        let short = models.iter().any(|model| count(model) < floor);
        let full = models.iter().find(|model| short && count(model) > floor);
        let moved = full.and_then(|full| homes.iter().find(|(_, home)| home == full));
        if let Some(target) = moved.map(|(target, _)| target.clone()) {
            self.homes.remove(&target);
        }
        let mut counts: BTreeMap<&ModelName, usize> = BTreeMap::new();
        for home in self.homes.values() {
            if let Some(model) = models.get(home) {
                *counts.entry(model).or_default() += 1;
            }
        }
        for target in targets {
            if self.homes.contains_key(target) {
                continue;
            }
            let of_target = replicas.iter().filter(|r| r.target == *target);
            let lag = |r: &Replica| {
                self.named(&r.model)
                    .map_or(0, |v| v.0.saturating_sub(r.version.0))
            };
            let count = |r: &Replica| counts.get(&r.model).copied().unwrap_or(0);
            let best = of_target.min_by_key(|r| (count(r) >= quota, lag(r), count(r)));
            if let Some(best) = best {
                *counts.entry(&best.model).or_default() += 1;
                self.homes.insert(target.clone(), best.model.clone());
            }
        }
    }

    /// Forgets loads that are done or lost.
    fn settle(&mut self, now: Time, replicas: &[Replica]) {
        self.orders.retain(|target, order| {
            let mut of_target = replicas.iter().filter(|r| r.target == *target);
            match order {
                Order::Sent(_) => true,
                Order::Resting(until) => now < *until,
                Order::Loading(load, since) => {
                    let seen = of_target.find(|r| r.model == load.model);
                    seen.is_some_and(|r| r.version < load.version) && now < *since + LOAD_LIMIT
                }
            }
        });
    }
}
