//! The part of a pool that one entry may use while the pool is full.
//!
//! An entry sees only its own requests, and a trainer's step runs at one entry. Without the
//! demand at other entries it would divide only the slots that it happens to hold. Entries
//! therefore exchange how many requests of each workspace are open. The slots of the pool are
//! divided by weight among all workspaces with demand, and each workspace's part among entries
//! by its open requests there.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::decision::traffic::Traffic;
use crate::decision::traffic::admit::weight;
use crate::decision::traffic::queue::FairQueue;
use crate::domain::name::PoolId;
use crate::domain::name::WorkspaceId;
use crate::domain::time::Time;

/// Open requests by pool and workspace.
pub type Demand = BTreeMap<PoolId, BTreeMap<WorkspaceId, u32>>;

/// Demand older than this is not used. Entries exchange it every second.
const DEMAND_LIMIT: Duration = Duration::from_secs(5);

/// Parts of a weight of one. A workspace's weight at one entry can be a small part of its share.
pub(super) const WEIGHT_PARTS: u64 = 1024;

/// An entry's part of one pool.
#[derive(Debug, Default)]
pub(super) struct Slice {
    /// What this entry may use, or none while the pool has room for all.
    allowance: Option<Allowance>,
    /// Weights of the workspaces at this entry.
    weights: HashMap<WorkspaceId, u64>,
}

/// Slots that are due to one entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allowance {
    /// Requests of the entry that may run in the pool.
    pub(super) slots: u32,
    /// The same as a part of the pool.
    pub(super) part: f64,
}

/// What one workspace asks of a pool.
#[derive(Clone, Copy)]
struct Claim {
    weight: f64,
    /// Open requests at all entries.
    all: u32,
    /// Open requests at this entry.
    own: u32,
}

impl Traffic {
    /// Counts the open requests of this entry.
    pub fn demand(&mut self) -> Demand {
        let open = |(pool, queue): (&PoolId, &FairQueue)| (pool.clone(), queue.open());
        self.counted = self.queues.iter().map(open).collect();
        self.counted.clone()
    }

    /// Takes in the open requests of all entries, this one's last count included. Without any,
    /// each entry divides what it can get by its own requests alone.
    pub fn set_demand(&mut self, now: Time, all: &Demand) {
        let slice = |(pool, open): (&PoolId, &BTreeMap<WorkspaceId, u32>)| {
            (pool.clone(), self.slice(now, pool, open))
        };
        self.slices = all.iter().map(slice).collect();
        self.exchanged = now;
        self.pump_all(now);
    }

    /// Returns the weight of a workspace in the queue of a pool, in parts.
    pub(super) fn part_weight(&self, pool: &PoolId, workspace: &WorkspaceId) -> u64 {
        let slice = self.slices.get(pool);
        let known = slice.and_then(|slice| slice.weights.get(workspace));
        let whole = || weight(self.config.workspace(workspace)) * WEIGHT_PARTS;
        known.copied().unwrap_or_else(whole)
    }

    /// Returns what this entry may use of a pool, or none while nothing limits it.
    pub(super) fn allowance(&self, now: Time, pool: &PoolId) -> Option<Allowance> {
        let recent = now.since(self.exchanged) < DEMAND_LIMIT;
        let slice = self.slices.get(pool).filter(|_| recent);
        slice.and_then(|slice| slice.allowance)
    }

    fn slice(&self, now: Time, pool: &PoolId, open: &BTreeMap<WorkspaceId, u32>) -> Slice {
        let claims = open.iter().map(|(workspace, all)| {
            // The parts of all entries add up to one only if all are from the same count.
            let own = self.counted.get(pool).and_then(|own| own.get(workspace));
            let claim = Claim {
                weight: f64::from(share(self, workspace)),
                all: *all,
                own: own.copied().unwrap_or(0),
            };
            (workspace, claim)
        });
        let claims: Vec<_> = claims.collect();
        let slots = self.slots(now, pool);
        let demand: u32 = claims.iter().map(|(_, claim)| claim.all).sum();
        // A workspace whose requests have just come may have no part yet. A weight near zero would
        // charge it a debt that outlives the count.
        let least = 0.5 / f64::from(self.entries);
        let weights = claims.iter().map(|(workspace, claim)| {
            let weight = claim.weight * part(claim).max(least);
            ((*workspace).clone(), in_parts(weight))
        });
        let claims: Vec<_> = claims.iter().map(|(_, claim)| *claim).collect();
        Slice {
            allowance: (demand > slots).then(|| allowance(slots, claims)),
            weights: weights.collect(),
        }
    }

    /// Returns the slots of the serving targets of a pool.
    fn slots(&self, now: Time, pool: &PoolId) -> u32 {
        let members = self.members.get(pool).into_iter().flatten();
        let targets = members.filter_map(|member| self.targets.get(member.target));
        let usable = targets.filter(|t| t.is_serving(now) && !t.is_ejected(now));
        usable.map(|target| target.limit(now)).sum()
    }
}

/// Returns the slots that an entry may use.
fn allowance(all: u32, mut claims: Vec<Claim>) -> Allowance {
    let full = |claim: &Claim| f64::from(claim.all) / claim.weight;
    claims.sort_by(|a, b| full(a).total_cmp(&full(b)));
    let mut rest = f64::from(all);
    let mut weights: f64 = claims.iter().map(|claim| claim.weight).sum();
    let mut own = 0.0;
    for claim in claims {
        // Nobody gets more than its open requests; the rest goes to the others.
        let slots = (rest * claim.weight / weights).min(f64::from(claim.all));
        rest -= slots;
        weights -= claim.weight;
        own += slots * part(&claim);
    }
    // At most the slots of a pool. An entry whose first requests have just come gets one.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let slots = (own.ceil() as u32).max(1);
    Allowance {
        slots,
        part: own / f64::from(all.max(1)),
    }
}

/// Returns the part of a workspace's open requests that this entry has.
fn part(claim: &Claim) -> f64 {
    f64::from(claim.own) / f64::from(claim.all.max(1))
}

fn share(traffic: &Traffic, workspace: &WorkspaceId) -> u32 {
    let spec = traffic.config.workspace(workspace);
    spec.map_or(1, |spec| spec.share.max(1))
}

fn in_parts(weight: f64) -> u64 {
    // A share fits 32 bits.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let parts = (weight * WEIGHT_PARTS as f64) as u64;
    parts.max(1)
}
