//! Served share over entitled share of each workspace.
//!
//! At short intervals the slots in use are divided by weight among the workspaces with requests
//! that run or wait. A workspace is entitled to no more than it could use. Slot time counts as
//! served only if its answer was whole.

use std::time::Duration;

/// What one workspace has at a point in time.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Weight of the workspace.
    pub weight: f64,
    /// Slots in use.
    pub running: f64,
    /// Slots that it could use beside these.
    pub waiting: f64,
}

/// Slot time of the workspaces of one pool.
#[derive(Clone, Debug)]
pub struct Shares {
    used: Vec<f64>,
    entitled: Vec<f64>,
    wasted: Vec<f64>,
}

impl Shares {
    /// Creates the record of some workspaces.
    pub fn new(workspaces: usize) -> Self {
        Self {
            used: vec![0.0; workspaces],
            entitled: vec![0.0; workspaces],
            wasted: vec![0.0; workspaces],
        }
    }

    /// Notes the claims at one point in time, each with the number of its workspace, for an
    /// interval in seconds.
    pub fn sample(&mut self, claims: &[(usize, Claim)], seconds: f64) {
        let total: f64 = claims.iter().map(|(_, claim)| claim.running).sum();
        for (number, claim) in claims {
            self.used[*number] += claim.running * seconds;
        }
        for (number, part) in divide(total, claims) {
            self.entitled[number] += part * seconds;
        }
    }

    /// Notes slot time of an attempt without a whole answer.
    pub fn waste(&mut self, workspace: usize, time: Duration) {
        self.wasted[workspace] += time.as_secs_f64();
    }

    /// Returns the ratio of a workspace. `pool` names the workspaces of its pool.
    pub fn ratio(&self, workspace: usize, pool: &[usize]) -> f64 {
        let served = |number: usize| (self.used[number] - self.wasted[number]).max(0.0);
        let all_served: f64 = pool.iter().map(|number| served(*number)).sum();
        let all_entitled: f64 = pool.iter().map(|number| self.entitled[*number]).sum();
        let entitled = self.entitled[workspace] / all_entitled;
        if entitled > 0.0 && all_served > 0.0 {
            served(workspace) / all_served / entitled
        } else {
            1.0
        }
    }
}

/// Divides an amount by weight, with nobody above what it can use.
fn divide(total: f64, claims: &[(usize, Claim)]) -> Vec<(usize, f64)> {
    let most = |claim: &Claim| claim.running + claim.waiting;
    let mut order = claims.to_vec();
    order.sort_by(|(_, a), (_, b)| (most(a) / a.weight).total_cmp(&(most(b) / b.weight)));
    let mut rest = total;
    let mut weights: f64 = order.iter().map(|(_, claim)| claim.weight).sum();
    let mut parts = vec![];
    for (number, claim) in order {
        let part = (rest * claim.weight / weights).min(most(&claim));
        rest -= part;
        weights -= claim.weight;
        parts.push((number, part));
    }
    parts
}
