//! Demand that other processes told, which is used only while it is recent.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decision::share::Claim;
use crate::decision::share::limit_claims;
use crate::domain::name::HostName;
use crate::domain::name::PoolName;
use crate::domain::time::Time;

/// Age from which told demand is not used. It covers two pings, so that one lost ping does not
/// change the shares.
pub const TOLD_AGE: Duration = Duration::from_millis(1_200);

/// Last claims of each other process, with the time at which they were told.
#[derive(Debug, Default)]
pub struct Told {
    hosts: BTreeMap<HostName, (Time, Vec<Claim>)>,
}

impl Told {
    /// Replaces the claims of a process.
    pub fn record(&mut self, now: Time, host: HostName, claims: Vec<Claim>) {
        self.hosts.insert(host, (now, limit_claims(claims)));
    }

    /// Keeps only the claims of these processes. The others run no jobs any more.
    pub fn retain(&mut self, runs_jobs: impl Fn(&HostName) -> bool) {
        self.hosts.retain(|host, _| runs_jobs(host));
    }

    /// Removes the claims that are too old.
    pub fn expire(&mut self, now: Time) {
        self.hosts
            .retain(|_, (told, _)| now.since(*told) < TOLD_AGE);
    }

    /// Returns the recent claims of all other processes for a pool.
    pub fn claims(&self, now: Time, pool: &PoolName) -> Vec<Claim> {
        let recent = self.hosts.values();
        let recent = recent.filter(|(told, _)| now.since(*told) < TOLD_AGE);
        let claims = recent.flat_map(|(_, claims)| claims);
        claims.filter(|c| c.pool == *pool).cloned().collect()
    }
}
