//! The baseline: first come first served, round robin, no prefix affinity and no ejection.

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
use crate::policy::port::Policy;
use crate::policy::port::Step;
use crate::policy::target;

/// Requests that may wait at the load balancer for each entry, as at an entry of the product.
const WAITING: usize = 4096;

/// Attempts of one request.
const ATTEMPTS: u32 = 3;

/// Time that a failed request waits for room before it is given up.
const RETRY_TIME: Duration = Duration::from_secs(2);

/// One pool behind the load balancer.
struct Pool {
    targets: Vec<TargetName>,
    open: Vec<u32>,
    next: usize,
    limit: u32,
    queue: VecDeque<(JobId, Time)>,
}

/// A request that waits or runs.
struct Place {
    pool: PoolId,
    target: Option<usize>,
    attempts: u32,
}

/// One load balancer with a queue for each pool. It counts the open requests of all callers, so
/// unlike an entry it always knows how many requests each target has.
pub struct Baseline {
    pools: HashMap<PoolId, Pool>,
    order: Vec<PoolId>,
    places: HashMap<JobId, Place>,
    steps: VecDeque<Step>,
    most: usize,
}

impl Baseline {
    /// Creates the load balancer of a deployment.
    pub fn new(settings: &Settings) -> Self {
        let kinds = [TargetKind::Model, TargetKind::Plain];
        let pool = |kind| {
            let targets = settings.deployment.targets(kind);
            let id = PoolId {
                team: TEAM.into(),
                name: pool_name(kind).into(),
            };
            let pool = Pool {
                open: vec![0; targets.len()],
                targets: targets.into_iter().map(|(name, _)| name).collect(),
                next: 0,
                limit: target::capacity(kind),
                queue: VecDeque::new(),
            };
            (id, pool)
        };
        let pools: HashMap<_, _> = kinds.into_iter().map(pool).collect();
        let mut order: Vec<_> = pools.keys().cloned().collect();
        order.sort();
        Self {
            pools,
            order,
            places: HashMap::new(),
            steps: VecDeque::new(),
            most: WAITING * settings.deployment.centres,
        }
    }

    /// Starts waiting requests while a target has room.
    fn pump(&mut self, id: &PoolId) {
        let Some(pool) = self.pools.get_mut(id) else {
            return;
        };
        while let Some((job, _)) = pool.queue.front().copied() {
            let Some(at) = pool.turn() else {
                return;
            };
            pool.queue.pop_front();
            if let Some(place) = self.places.get_mut(&job) {
                place.target = Some(at);
                place.attempts += 1;
            }
            let name = pool.targets[at].clone();
            self.steps.push_back(Step::Start(job, name, Duration::ZERO));
        }
    }

    fn refuse(&mut self, job: JobId, failure: Failure) {
        self.places.remove(&job);
        self.steps.push_back(Step::Refuse(job, failure));
    }

    fn release(&mut self, job: JobId) -> Option<PoolId> {
        let place = self.places.get_mut(&job)?;
        let pool = self.pools.get_mut(&place.pool)?;
        if let Some(at) = place.target.take() {
            pool.open[at] -= 1;
        }
        Some(place.pool.clone())
    }
}

impl Pool {
    /// Takes the next target in turn that has room.
    fn turn(&mut self) -> Option<usize> {
        let count = self.targets.len();
        let at = (0..count)
            .map(|step| (self.next + step) % count)
            .find(|at| self.open[*at] < self.limit)?;
        self.next = at + 1;
        self.open[at] += 1;
        Some(at)
    }
}

impl Policy for Baseline {
    const CLASSES: bool = false;

    fn ask(&mut self, _now: Time, _entry: usize, job: JobId, ask: AdmissionRequest) {
        let id = ask.pool.clone();
        let place = Place {
            pool: id.clone(),
            target: None,
            attempts: 0,
        };
        self.places.insert(job, place);
        let Some(pool) = self.pools.get_mut(&id) else {
            return;
        };
        if pool.queue.len() >= self.most {
            self.refuse(job, Failure::from(ErrorKind::Overloaded));
            return;
        }
        pool.queue.push_back((job, ask.deadline));
        self.pump(&id);
    }

    fn retry(&mut self, now: Time, job: JobId, failure: Failure) {
        let Some(id) = self.release(job) else {
            return;
        };
        let attempts = self.places.get(&job).map_or(0, |place| place.attempts);
        if attempts < ATTEMPTS
            && let Some(pool) = self.pools.get_mut(&id)
        {
            pool.queue.push_front((job, now + RETRY_TIME));
        } else {
            self.refuse(job, failure);
        }
        self.pump(&id);
    }

    fn ended(&mut self, _now: Time, job: JobId, _outcome: &Outcome) {
        let id = self.release(job);
        self.places.remove(&job);
        if let Some(id) = id {
            self.pump(&id);
        }
    }

    fn report(&mut self, _now: Time, _report: &Report) {}

    fn tick(&mut self, now: Time) {
        for id in self.order.clone() {
            let Some(pool) = self.pools.get_mut(&id) else {
                continue;
            };
            let (late, queue): (VecDeque<_>, _) =
                pool.queue.drain(..).partition(|(_, due)| *due <= now);
            pool.queue = queue;
            for (job, _) in late {
                self.refuse(job, Failure::from(ErrorKind::DeadlineInQueue));
            }
        }
    }

    fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }
}
