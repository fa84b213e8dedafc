//! The baseline policy: a load balancer with first-come-first-served queues and round robin,
//! without prefix affinity and without ejection of failing targets.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::domain::declare::TargetKind;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::name::PoolId;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::time::Time;

use crate::policy::Settings;
use crate::policy::deployment::TEAM;
use crate::policy::deployment::pool_name;
use crate::policy::job::JobId;
use crate::policy::port::Decision;
use crate::policy::port::Policy;
use crate::policy::target;

/// Maximum number of waiting requests per entry that the load balancer stands for. It equals the
/// limit of an entry.
const MAX_WAITING: usize = 4096;

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;

/// Maximum time that a failed request waits for a free slot before it is refused.
const RETRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Queue and targets of one pool.
struct Pool {
    targets: Vec<TargetName>,
    in_flight: Vec<u32>,
    next: usize,
    limit: u32,
    queue: VecDeque<(JobId, Time)>,
}

/// A request that waits or runs.
struct PendingRequest {
    pool: PoolId,
    target: Option<usize>,
    attempts: u32,
}

/// One load balancer with a queue for each pool. All requests pass through it, so unlike an entry
/// it always knows the number of requests in flight at each target.
pub struct Baseline {
    pools: HashMap<PoolId, Pool>,
    pool_order: Vec<PoolId>,
    requests: HashMap<JobId, PendingRequest>,
    decisions: VecDeque<Decision>,
    max_waiting: usize,
}

impl Baseline {
    /// Returns the load balancer of a deployment.
    pub fn new(settings: &Settings) -> Self {
        let kinds = [TargetKind::Model, TargetKind::Plain];
        let pool = |kind| {
            let targets = settings.deployment.targets(kind);
            let id = PoolId {
                team: TEAM.into(),
                name: pool_name(kind).into(),
            };
            let pool = Pool {
                in_flight: vec![0; targets.len()],
                targets: targets.into_iter().map(|(name, _)| name).collect(),
                next: 0,
                limit: target::capacity(kind),
                queue: VecDeque::new(),
            };
            (id, pool)
        };
        let pools: HashMap<_, _> = kinds.into_iter().map(pool).collect();
        let mut pool_order: Vec<_> = pools.keys().cloned().collect();
        pool_order.sort();
        Self {
            pools,
            pool_order,
            requests: HashMap::new(),
            decisions: VecDeque::new(),
            max_waiting: MAX_WAITING * settings.deployment.centres,
        }
    }

    /// Starts waiting requests while a target has a free slot.
    fn dispatch(&mut self, id: &PoolId) {
        let Some(pool) = self.pools.get_mut(id) else {
            return;
        };
        while let Some((job, _)) = pool.queue.front().copied() {
            let Some(index) = pool.next_target() else {
                return;
            };
            pool.queue.pop_front();
            if let Some(pending) = self.requests.get_mut(&job) {
                pending.target = Some(index);
                pending.attempts += 1;
            }
            let name = pool.targets[index].clone();
            self.decisions
                .push_back(Decision::Start(job, name, Duration::ZERO));
        }
    }

    fn refuse(&mut self, job: JobId, failure: Failure) {
        self.requests.remove(&job);
        self.decisions.push_back(Decision::Refuse(job, failure));
    }

    fn release(&mut self, job: JobId) -> Option<PoolId> {
        let pending = self.requests.get_mut(&job)?;
        let pool = self.pools.get_mut(&pending.pool)?;
        if let Some(index) = pending.target.take() {
            pool.in_flight[index] -= 1;
        }
        Some(pending.pool.clone())
    }
}

impl Pool {
    /// Reserves a slot at the next target in round-robin order that has one.
    fn next_target(&mut self) -> Option<usize> {
        let count = self.targets.len();
        let index = (0..count)
            .map(|offset| (self.next + offset) % count)
            .find(|index| self.in_flight[*index] < self.limit)?;
        self.next = index + 1;
        self.in_flight[index] += 1;
        Some(index)
    }
}

impl Policy for Baseline {
    const USES_PRIORITIES: bool = false;

    fn submit(&mut self, _now: Time, _entry: usize, job: JobId, request: AdmissionRequest) {
        let id = request.pool.clone();
        let pending = PendingRequest {
            pool: id.clone(),
            target: None,
            attempts: 0,
        };
        self.requests.insert(job, pending);
        let Some(pool) = self.pools.get_mut(&id) else {
            return;
        };
        if pool.queue.len() >= self.max_waiting {
            self.refuse(job, Failure::from(ErrorKind::Overloaded));
            return;
        }
        pool.queue.push_back((job, request.deadline));
        self.dispatch(&id);
    }

    fn retry(&mut self, now: Time, job: JobId, failure: Failure) {
        let Some(id) = self.release(job) else {
            return;
        };
        let attempts = self
            .requests
            .get(&job)
            .map_or(0, |pending| pending.attempts);
        if attempts < MAX_ATTEMPTS
            && let Some(pool) = self.pools.get_mut(&id)
        {
            pool.queue.push_front((job, now + RETRY_TIMEOUT));
        } else {
            self.refuse(job, failure);
        }
        self.dispatch(&id);
    }

    fn finish(&mut self, _now: Time, job: JobId, _outcome: &Outcome) {
        let id = self.release(job);
        self.requests.remove(&job);
        if let Some(id) = id {
            self.dispatch(&id);
        }
    }

    fn report(&mut self, _now: Time, _report: &Report) {}

    fn tick(&mut self, now: Time) {
        for id in self.pool_order.clone() {
            let Some(pool) = self.pools.get_mut(&id) else {
                continue;
            };
            let (expired, queue): (VecDeque<_>, _) = pool
                .queue
                .drain(..)
                .partition(|(_, deadline)| *deadline <= now);
            pool.queue = queue;
            for (job, _) in expired {
                self.refuse(job, Failure::from(ErrorKind::DeadlineInQueue));
            }
        }
    }

    fn next_decision(&mut self) -> Option<Decision> {
        self.decisions.pop_front()
    }
}
