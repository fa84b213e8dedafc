//! Division of the slots of a pool among ranks, workspaces and processes.

use std::collections::BTreeMap;

use crate::decision::share::Claim;
use crate::decision::share::Claimant;

/// Divisor of the room that gives the slots which a less urgent rank keeps, as far as it has demand.
/// More urgent ranks get all others.
const RESERVE_DIVISOR: u32 = 8;

/// Part of the room that all reserves of less urgent ranks may take together.
const MAX_RESERVES: f64 = 0.5;

/// Slots of a short pool to which the claimants of one process are entitled.
#[derive(Clone, Debug, PartialEq)]
pub struct Division {
    /// Slots of each claimant at this process. They may be fractions of a slot.
    pub(super) shares: BTreeMap<Claimant, f64>,
    /// Number of slots to which other processes are entitled and which they do not use yet.
    pub(super) reserved: u32,
}

/// Demand of a claimant at this process and at all others.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    own: u32,
    others: u32,
    /// Number of running items at other processes.
    busy: u32,
}

impl Demand {
    fn total(self) -> f64 {
        f64::from(self.own.saturating_add(self.others))
    }
}

impl Division {
    /// Divides the slots of a pool. Returns `None` if they suffice for the whole demand.
    pub fn new(room: u32, own: &[Claim], others: &[Claim]) -> Option<Self> {
        let demands = sum_demands(own, others);
        let total: f64 = demands.values().map(|demand| demand.total()).sum();
        if total <= f64::from(room) {
            return None;
        }
        let mut shares = BTreeMap::new();
        let mut reserved = 0.0;
        for (rank, slots) in divide_ranks(room, &demands) {
            let members = || demands.iter().filter(|(c, _)| c.rank == rank);
            let level = fair_level(slots, members().map(|(_, d)| d.total()).collect());
            for (claimant, demand) in members() {
                let part = demand.total().min(level) / demand.total().max(1.0);
                let away = part * f64::from(demand.others) - f64::from(demand.busy);
                reserved += away.max(0.0);
                if demand.own > 0 {
                    shares.insert(claimant.clone(), part * f64::from(demand.own));
                }
            }
        }
        // The sum of many fractions rounds to the slots that are meant for others.
        let reserved = (0..room).take_while(|n| f64::from(*n) + 0.5 <= reserved);
        let reserved = u32::try_from(reserved.count()).unwrap_or(room);
        Some(Self { shares, reserved })
    }

    /// Returns the slots of all claimants of this process.
    pub fn own_slots(&self) -> f64 {
        self.shares.values().sum()
    }

    /// Returns the slots of a claimant at this process.
    pub fn share(&self, claimant: &Claimant) -> f64 {
        self.shares.get(claimant).copied().unwrap_or(0.0)
    }
}

fn sum_demands(own: &[Claim], others: &[Claim]) -> BTreeMap<Claimant, Demand> {
    let mut demands: BTreeMap<Claimant, Demand> = BTreeMap::new();
    for claim in own {
        demands.entry(claim.claimant.clone()).or_default().own += claim.demand();
    }
    for claim in others {
        let demand = demands.entry(claim.claimant.clone()).or_default();
        demand.others = demand.others.saturating_add(claim.demand());
        demand.busy = demand.busy.saturating_add(claim.running);
    }
    demands
}

/// Gives each rank its demand, the most urgent first, and keeps a reserve for each less urgent one.
fn divide_ranks(room: u32, demands: &BTreeMap<Claimant, Demand>) -> Vec<(u32, f64)> {
    let mut ranks: BTreeMap<u32, f64> = BTreeMap::new();
    for (claimant, demand) in demands {
        *ranks.entry(claimant.rank).or_default() += demand.total();
    }
    let reserve = f64::from(room) / f64::from(RESERVE_DIVISOR);
    let mut reserves: f64 = ranks.values().skip(1).map(|d| d.min(reserve)).sum();
    let max_reserves = f64::from(room) * MAX_RESERVES;
    let scale = if reserves > max_reserves {
        max_reserves / reserves
    } else {
        1.0
    };
    reserves *= scale;
    let mut left = f64::from(room);
    let mut divided = Vec::new();
    for (index, (rank, demand)) in ranks.into_iter().enumerate() {
        if index > 0 {
            reserves -= demand.min(reserve) * scale;
        }
        let slots = demand.min((left - reserves).max(0.0));
        left -= slots;
        divided.push((rank, slots));
    }
    divided
}

/// Returns the number of slots up to which each workspace is served, so that all slots are used:
/// workspaces with less demand get it whole, and all others get the same number.
fn fair_level(slots: f64, mut demands: Vec<f64>) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = slots;
    let mut others = u32::try_from(demands.len()).unwrap_or(u32::MAX);
    for demand in demands {
        let equal = left / f64::from(others);
        if demand >= equal {
            return equal;
        }
        left -= demand;
        others -= 1;
    }
    f64::INFINITY
}
