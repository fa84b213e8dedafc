//! Shares of a pool whose slots are too few for the items that wait for them.
//!
//! Answers a load of batch jobs of many workspaces, a few of them large, at several processes. Each
//! process sees only its own jobs, so the first one to see a free slot would take it, and a route or
//! workspace would wait for all others. Processes therefore tell each other their demand, and each
//! one takes only its share of the slots. `division` computes the share, `grant` how many items may
//! be sent now, and `told` keeps the demand of other processes.

mod division;
mod grant;
mod told;

use serde::Deserialize;
use serde::Serialize;

pub use crate::decision::share::division::Division;
pub use crate::decision::share::grant::Use;
pub use crate::decision::share::grant::Uses;
pub use crate::decision::share::told::TOLD_AGE;
pub use crate::decision::share::told::Told;
use crate::domain::name::PoolName;
use crate::domain::name::WorkspaceName;

/// Maximum number of claims that a process tells to another one.
pub const MAX_CLAIMS: usize = 128;

/// Workspace that competes for slots at one rank. Jobs without a workspace share one claimant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// Rank of the jobs; 0 is the most urgent.
    pub rank: u32,
    /// Workspace of the jobs, or `None` for jobs without one.
    #[serde(default)]
    pub workspace: Option<WorkspaceName>,
}

/// Demand of a claimant at one process for the slots of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Pool of the slots.
    pub pool: PoolName,
    /// Workspace and rank of the items.
    pub claimant: Claimant,
    /// Number of items that wait for a slot and could run on a target of the pool.
    pub waiting: u32,
    /// Number of items that run.
    pub running: u32,
}

impl Claim {
    /// Returns the number of slots that the claimant could use.
    pub fn demand(&self) -> u32 {
        self.waiting.saturating_add(self.running)
    }
}

/// Keeps the largest claims up to the maximum that is told. Small ones fit into their share in any
/// case, so other processes lose least without them.
pub fn limit_claims(mut claims: Vec<Claim>) -> Vec<Claim> {
    claims.sort_by_key(|claim| std::cmp::Reverse(claim.demand()));
    claims.truncate(MAX_CLAIMS);
    claims
}
