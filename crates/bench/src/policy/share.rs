//! Ratio of served share to entitled share of each workspace.
//!
//! At short intervals the slots in use are divided by weight among the workspaces with running or
//! waiting requests. A workspace is entitled to at most the slots that it could use. Slot time
//! counts as served only if the answer was complete.

use std::time::Duration;

/// Slots that one workspace uses and could use at a point in time.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Weight of the workspace in fair queueing.
    pub weight: f64,
    /// Number of slots in use.
    pub running: f64,
    /// Number of further slots that the workspace could use.
    pub waiting: f64,
}

/// Used, entitled and wasted slot time of each workspace in seconds.
#[derive(Clone, Debug)]
pub struct Shares {
    used: Vec<f64>,
    entitled: Vec<f64>,
    wasted: Vec<f64>,
}

impl Shares {
    /// Returns an empty record for a number of workspaces.
    pub fn new(workspaces: usize) -> Self {
        Self {
            used: vec![0.0; workspaces],
            entitled: vec![0.0; workspaces],
            wasted: vec![0.0; workspaces],
        }
    }

    /// Records the claims of one pool for an interval in seconds. Each claim comes with the index
    /// of its workspace.
    pub fn sample(&mut self, claims: &[(usize, Claim)], seconds: f64) {
        let total: f64 = claims.iter().map(|(_, claim)| claim.running).sum();
        for (number, claim) in claims {
            self.used[*number] += claim.running * seconds;
        }
        for (number, part) in fair_shares(total, claims) {
            self.entitled[number] += part * seconds;
        }
    }

    /// Records the slot time of an attempt without a complete answer.
    pub fn waste(&mut self, workspace: usize, time: Duration) {
        self.wasted[workspace] += time.as_secs_f64();
    }

    /// Returns the ratio of served share to entitled share of a workspace, or 1 if it was entitled
    /// to nothing. `pool` holds the indices of all workspaces of its pool.
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

/// Divides slots by weight. No workspace gets more slots than it could use.
fn fair_shares(total: f64, claims: &[(usize, Claim)]) -> Vec<(usize, f64)> {
    let usable = |claim: &Claim| claim.running + claim.waiting;
    let mut sorted = claims.to_vec();
    sorted.sort_by(|(_, a), (_, b)| (usable(a) / a.weight).total_cmp(&(usable(b) / b.weight)));
    let mut remaining = total;
    let mut weights: f64 = sorted.iter().map(|(_, claim)| claim.weight).sum();
    let mut parts = vec![];
    for (number, claim) in sorted {
        let part = (remaining * claim.weight / weights).min(usable(&claim));
        remaining -= part;
        weights -= claim.weight;
        parts.push((number, part));
    }
    parts
}
