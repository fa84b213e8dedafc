//! Shares of the jobs that this process runs in pools whose slots are short.
//!
//! Each dispatch compares the demand of all processes with the slots of each pool. While the slots
//! suffice, jobs send what they have. Otherwise they send what `decision::share` grants them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::decision::directory::Room;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Work;
use crate::decision::gateway::jobs::routes::JobRoute;
use crate::decision::share::Claim;
use crate::decision::share::Claimant;
use crate::decision::share::Division;
use crate::decision::share::Told;
use crate::decision::share::Use;
use crate::decision::share::Uses;
use crate::decision::share::limit_claims;
use crate::domain::event::Event;
use crate::domain::ids::WeightVersion;
use crate::domain::name::BatchId;
use crate::domain::name::ModelName;
use crate::domain::name::PoolName;

/// What this process knows of the demand for slots.
#[derive(Debug, Default)]
pub(in crate::decision::gateway) struct Shares {
    /// Demand that other processes told.
    pub(in crate::decision::gateway) told: Told,
    /// Pools whose slots are short.
    short: BTreeSet<PoolName>,
    /// Sequence number of the last send of each claimant.
    sent: BTreeMap<Claimant, u64>,
    sequence: u64,
}

impl Shares {
    /// Returns `true` if the slots of a pool are short.
    pub(in crate::decision::gateway) fn is_any_short(&self) -> bool {
        !self.short.is_empty()
    }

    /// Records that a claimant sends.
    fn record_send(&mut self, claimant: &Claimant) {
        self.sequence += 1;
        self.sent.insert(claimant.clone(), self.sequence);
    }
}

/// Job that this process runs, with its demand.
pub(in crate::decision::gateway) struct Contender {
    /// Name of the job.
    pub(in crate::decision::gateway) id: BatchId,
    claimant: Claimant,
    /// Pool of all items, or `None` if the job has no route or its route splits items over pools.
    pool: Option<PoolName>,
    model: Option<(ModelName, WeightVersion)>,
    waiting: u32,
    running: u32,
}

impl Gateway {
    /// Returns the jobs that run here, ordered by rank and age.
    pub(in crate::decision::gateway) fn contenders(&self) -> Vec<Contender> {
        let mut active = Vec::new();
        for (id, job) in &self.jobs {
            let Work::Running(work) = &job.work else {
                continue;
            };
            let head = &job.head;
            let route = self.table.as_ref().and_then(|t| JobRoute::find(t, head));
            let (waiting, running) = work.runner.demand(self.now);
            let contender = Contender {
                id: id.clone(),
                claimant: Claimant {
                    rank: self.rank(head),
                    workspace: head.workspace.clone(),
                },
                pool: route.and_then(|found| found.route.sole_pool().cloned()),
                model: head.model.clone().map(|model| (model, head.min_version)),
                waiting,
                running,
            };
            active.push((contender.claimant.rank, head.accepted, contender));
        }
        active.sort_by(|(a, a_time, a_job), (b, b_time, b_job)| {
            (a, a_time, &a_job.id).cmp(&(b, b_time, &b_job.id))
        });
        active.into_iter().map(|(_, _, job)| job).collect()
    }

    /// Returns the claims of this process, to be told to others.
    pub(in crate::decision::gateway) fn own_claims(&self) -> Vec<Claim> {
        let jobs = self.contenders();
        let pools: BTreeSet<&PoolName> = jobs.iter().filter_map(|j| j.pool.as_ref()).collect();
        let claims = pools
            .into_iter()
            .flat_map(|pool| self.claims_of(pool, &jobs).claims);
        limit_claims(claims.collect())
    }

    /// Returns how many items each job of a short pool may send now.
    pub(in crate::decision::gateway) fn share_limits(
        &mut self,
        jobs: &[Contender],
    ) -> HashMap<BatchId, u32> {
        let pools: BTreeSet<PoolName> = jobs.iter().filter_map(|j| j.pool.clone()).collect();
        let own: BTreeSet<&Claimant> = jobs.iter().map(|j| &j.claimant).collect();
        self.shares
            .sent
            .retain(|claimant, _| own.contains(claimant));
        self.shares.told.expire(self.now);
        let ended: Vec<PoolName> = self.shares.short.difference(&pools).cloned().collect();
        for pool in ended {
            self.shares.short.remove(&pool);
        }
        let mut limits = HashMap::new();
        for pool in pools {
            let Contest { room, claims } = self.claims_of(&pool, jobs);
            let others = self.shares.told.claims(self.now, &pool);
            let division = Division::new(room.slots, &claims, &others);
            self.log_shortage(&pool, room, &claims, division.as_ref());
            if let Some(division) = division {
                let grants = division.grants(room.free, self.uses(&claims));
                for (claimant, _) in &grants {
                    self.shares.record_send(claimant);
                }
                let grants = grants.into_iter().collect();
                split_grants(&pool, jobs, grants, &mut limits);
            }
        }
        limits
    }

    /// Returns the room of a pool and the claims of the jobs of this process on it.
    fn claims_of(&self, pool: &PoolName, jobs: &[Contender]) -> Contest {
        // Jobs of other models may use targets that do not serve a job of this process.
        let room = self.directory.room(self.now, pool, None);
        let mut claims: BTreeMap<&Claimant, Claim> = BTreeMap::new();
        for job in jobs.iter().filter(|job| job.pool.as_ref() == Some(pool)) {
            let serving = self.directory.room(self.now, pool, job.model.as_ref());
            let claim = claims.entry(&job.claimant).or_insert_with(|| Claim {
                pool: pool.clone(),
                claimant: job.claimant.clone(),
                waiting: 0,
                running: 0,
            });
            // Items beyond the slots that can serve them would keep slots from others unused.
            claim.waiting += job.waiting.min(serving.slots.saturating_sub(job.running));
            claim.running += job.running;
        }
        Contest {
            room,
            claims: claims.into_values().collect(),
        }
    }

    fn uses(&self, claims: &[Claim]) -> Uses {
        let usage = |claim: &Claim| Use {
            waiting: claim.waiting,
            running: claim.running,
            last_sent: self.shares.sent.get(&claim.claimant).copied().unwrap_or(0),
        };
        claims
            .iter()
            .map(|claim| (claim.claimant.clone(), usage(claim)))
            .collect()
    }

    /// Logs that the slots of a pool became short, or suffice again.
    fn log_shortage(
        &mut self,
        pool: &PoolName,
        room: Room,
        claims: &[Claim],
        division: Option<&Division>,
    ) {
        let was_short = self.shares.short.contains(pool);
        let own: u32 = claims.iter().map(Claim::demand).sum();
        match division {
            Some(division) if !was_short => {
                self.shares.short.insert(pool.clone());
                let fields = vec![
                    ("pool", pool.to_string()),
                    ("slots", room.slots.to_string()),
                    ("free", room.free.to_string()),
                    ("demand", own.to_string()),
                    ("share", format!("{:.1}", division.own_slots())),
                ];
                self.log(Event::PoolShort, fields);
            }
            None if was_short => {
                self.shares.short.remove(pool);
                let fields = vec![
                    ("pool", pool.to_string()),
                    ("slots", room.slots.to_string()),
                    ("demand", own.to_string()),
                ];
                self.log(Event::PoolSufficient, fields);
            }
            _ => {}
        }
    }
}

/// Slots of a pool and the claims of this process on them.
struct Contest {
    room: Room,
    claims: Vec<Claim>,
}

/// Gives the grants of each claimant to its jobs, the oldest first.
fn split_grants(
    pool: &PoolName,
    jobs: &[Contender],
    mut grants: HashMap<Claimant, u32>,
    limits: &mut HashMap<BatchId, u32>,
) {
    for job in jobs.iter().filter(|job| job.pool.as_ref() == Some(pool)) {
        let mut granted = 0;
        if let Some(left) = grants.get_mut(&job.claimant) {
            granted = job.waiting.min(*left);
            *left -= granted;
        }
        limits.insert(job.id.clone(), granted);
    }
}
