//! Share of a pool that one entry may use while the pool is full.
//!
//! An entry sees only its own requests, and each trainer step runs at one entry. Without the demand
//! at the other entries it would divide only the slots that it happens to hold. Entries therefore
//! exchange the number of open requests of each workspace. The slots of a pool are divided by
//! weight among the workspaces with demand, and the slots of each workspace among the entries in
//! proportion to its open requests there.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::decision::traffic::Traffic;
use crate::decision::traffic::admit::weight;
use crate::decision::traffic::queue::FairQueue;
use crate::domain::name::PoolId;
use crate::domain::name::WorkspaceId;
use crate::domain::time::Time;

/// Number of open requests by pool and workspace.
pub type Demand = BTreeMap<PoolId, BTreeMap<WorkspaceId, u32>>;

/// Age from which demand is no longer used. Entries exchange it every second.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(5);

/// Scaled weight of a workspace with a share of one. The scale keeps fractions, since the weight
/// of a workspace at one entry can be a small part of its share.
pub(super) const WEIGHT_SCALE: u64 = 1024;

/// This entry's share of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolShare {
    /// Slots that this entry may use, or `None` while the pool has slots for all requests.
    allowance: Option<Allowance>,
    /// Scaled weights of the workspaces at this entry.
    weights: HashMap<WorkspaceId, u64>,
}

/// Slots of a pool that one entry may use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allowance {
    /// Maximum number of running requests of the entry in the pool.
    pub(super) slots: u32,
    /// The same limit as a fraction of all slots of the pool.
    pub(super) fraction: f64,
}

/// Demand of one workspace for the slots of a pool.
#[derive(Clone, Copy)]
struct Claim {
    weight: f64,
    /// Open requests at all entries.
    total: u32,
    /// Open requests at this entry.
    own: u32,
}

impl Traffic {
    /// Counts the open requests of this entry and returns them for the exchange with others.
    pub fn count_demand(&mut self) -> Demand {
        let open = |(pool, queue): (&PoolId, &FairQueue)| (pool.clone(), queue.open());
        self.own_demand = self.queues.iter().map(open).collect();
        self.own_demand.clone()
    }

    /// Sets the sum of the open requests of all entries, which includes the last count of this one.
    /// Without it the entry divides slots by its own requests alone.
    pub fn set_demand(&mut self, now: Time, total: &Demand) {
        let share = |(pool, open): (&PoolId, &BTreeMap<WorkspaceId, u32>)| {
            (pool.clone(), self.pool_share(now, pool, open))
        };
        self.shares = total.iter().map(share).collect();
        self.demand_time = now;
        self.dispatch_all(now);
    }

    /// Returns the scaled weight of a workspace in the queue of a pool.
    pub(super) fn scaled_weight(&self, pool: &PoolId, workspace: &WorkspaceId) -> u64 {
        let share = self.shares.get(pool);
        let known = share.and_then(|share| share.weights.get(workspace));
        let whole = || weight(self.config.workspace(workspace)) * WEIGHT_SCALE;
        known.copied().unwrap_or_else(whole)
    }

    /// Returns the slots that this entry may use of a pool, or `None` while there is no limit.
    pub(super) fn allowance(&self, now: Time, pool: &PoolId) -> Option<Allowance> {
        let recent = now.since(self.demand_time) < MAX_DEMAND_AGE;
        let share = self.shares.get(pool).filter(|_| recent);
        share.and_then(|share| share.allowance)
    }

    /// Returns the share of this entry in a pool, where `open` holds the open requests of all
    /// entries.
    fn pool_share(&self, now: Time, pool: &PoolId, open: &BTreeMap<WorkspaceId, u32>) -> PoolShare {
        let claims = open.iter().map(|(workspace, total)| {
            // The fractions of all entries add up to one only if they come from the same count.
            let own = self.own_demand.get(pool).and_then(|own| own.get(workspace));
            let claim = Claim {
                weight: f64::from(share(self, workspace)),
                total: *total,
                own: own.copied().unwrap_or(0),
            };
            (workspace, claim)
        });
        let claims: Vec<_> = claims.collect();
        let slots = self.slots(now, pool);
        let open: u32 = claims.iter().map(|(_, claim)| claim.total).sum();
        // A workspace whose first requests arrived after the count has a fraction of zero. A weight
        // near zero would advance its virtual time so far that it is held back long afterwards.
        let min_fraction = 0.5 / f64::from(self.entries);
        let weights = claims.iter().map(|(workspace, claim)| {
            let weight = claim.weight * fraction(claim).max(min_fraction);
            ((*workspace).clone(), scale_weight(weight))
        });
        let claims: Vec<_> = claims.iter().map(|(_, claim)| *claim).collect();
        PoolShare {
            allowance: (open > slots).then(|| allowance(slots, claims)),
            weights: weights.collect(),
        }
    }

    /// Returns the number of slots at the serving, not ejected targets of a pool.
    fn slots(&self, now: Time, pool: &PoolId) -> u32 {
        let members = self.members.get(pool).into_iter().flatten();
        let targets = members.filter_map(|member| self.targets.get(member.target));
        let usable = targets.filter(|t| t.is_serving(now) && !t.is_ejected(now));
        usable.map(|target| target.limit(now)).sum()
    }
}

/// Divides the slots of a pool among workspaces by weight and returns the part of this entry.
fn allowance(total: u32, mut claims: Vec<Claim>) -> Allowance {
    let ratio = |claim: &Claim| f64::from(claim.total) / claim.weight;
    claims.sort_by(|a, b| ratio(a).total_cmp(&ratio(b)));
    let mut remaining = f64::from(total);
    let mut weights: f64 = claims.iter().map(|claim| claim.weight).sum();
    let mut own = 0.0;
    for claim in claims {
        // No workspace gets more slots than it has open requests; the others share the remainder.
        let slots = (remaining * claim.weight / weights).min(f64::from(claim.total));
        remaining -= slots;
        weights -= claim.weight;
        own += slots * fraction(&claim);
    }
    // The value is at most the number of slots of a pool. An entry whose first requests arrived
    // after the count still gets one slot.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let slots = (own.ceil() as u32).max(1);
    Allowance {
        slots,
        fraction: own / f64::from(total.max(1)),
    }
}

/// Returns the fraction of a workspace's open requests that are at this entry.
fn fraction(claim: &Claim) -> f64 {
    f64::from(claim.own) / f64::from(claim.total.max(1))
}

/// Returns the configured share of a workspace, at least one.
fn share(traffic: &Traffic, workspace: &WorkspaceId) -> u32 {
    let spec = traffic.config.workspace(workspace);
    spec.map_or(1, |spec| spec.share.max(1))
}

/// Returns a weight multiplied by `WEIGHT_SCALE`, at least one.
fn scale_weight(weight: f64) -> u64 {
    // A share has 32 bits, so the product fits 64 bits.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let scaled = (weight * WEIGHT_SCALE as f64) as u64;
    scaled.max(1)
}
