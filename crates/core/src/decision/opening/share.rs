//! Shares of the processes in the requests that a target may get from all of them together.
//!
//! No process sees what the others send, and none asks them. The requests of a second are divided
//! into three parts: one for orders and the reports read before them, one for the processes that
//! come first in a hash order of the target, and one for the processes that run batch jobs of a model
//! that the target has, which all know from the heads of the jobs. The heads are known late, so no
//! process has more than a third of the part, also if it knows of no other runner, and a fifth when it
//! begins. Beyond three, a new one has a share of a single request for some time. Each counts for some time after its last job ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::decision::opening::sends::SEND_SPAN;
use crate::domain::name::BatchId;
use crate::domain::name::HostName;
use crate::domain::name::ModelName;
use crate::domain::time::Time;

/// Divisor of the bound that gives the part of the orders and reports.
const ORDER_DIVISOR: u32 = 8;

/// Divisor of the bound that gives the number of processes that may always send a request.
const FLOOR_DIVISOR: u32 = 5;

/// Number of runners of a model for which a part is kept, although fewer are known. Up to this number
/// the sum holds whatever they know of each other.
const MIN_RUNNERS: u32 = 3;

/// Number of runners of a model for which a part is kept by one that has just begun, since others may
/// begin at the same moment.
const MIN_BEGINNERS: u32 = 5;

/// Divisor of the part of the runners that gives what is left for those that are not known yet.
const JOIN_DIVISOR: u32 = 5;

/// Time within which the processes in touch know a new runner.
const WATCH_TIME: Duration = Duration::from_millis(400);

/// Time for which a former runner counts whose job another one has taken over. It may be cut off and
/// go on.
const FORMER_TIME: Duration = OWN_RUNNER_TIME;

/// Time after its first job in which a runner beyond `MIN_RUNNERS` has a share of a single request.
/// Later the others know of it, and what they sent before counts no longer.
const JOIN_TIME: Duration = Duration::from_millis(1_300);

/// Time for which a process counts as a runner after it was seen with a job for the first time.
/// Jobs that callers never end do not take shares for ever.
const RUNNER_TIME: Duration = Duration::from_secs(30);

/// Time for which this process counts itself as a runner. It ends before the other processes stop to
/// count it.
const OWN_RUNNER_TIME: Duration = Duration::from_secs(25);

/// Ratio of all targets to those that a process may send to before it knows the other processes.
const UNLISTED_RATIO: u64 = 5;

/// A job that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningJob {
    /// Name of the job.
    pub id: BatchId,
    /// Host of the process that runs it.
    pub runner: HostName,
    /// Model that generates its items, or `None` if it names none.
    pub model: Option<ModelName>,
}

/// Processes among which the requests to a target are divided, as this one knows them.
#[derive(Debug, Default)]
pub struct Users {
    /// Hosts of all processes, empty before they were listed.
    hosts: BTreeSet<HostName>,
    /// Runner of each job that has not ended, with the time at which it was first seen.
    jobs: BTreeMap<BatchId, (HostName, Time)>,
    /// Processes that run jobs of a model, or did so until a moment ago.
    runners: BTreeMap<(Option<ModelName>, HostName), Tenure>,
    /// Runners of each model, derived from `runners`.
    crowds: BTreeMap<Option<ModelName>, Crowd>,
}

/// Runners of a model.
#[derive(Clone, Copy, Debug, Default)]
struct Crowd {
    /// Number of processes, including this one.
    count: u32,
    /// Time since which this process is one of them.
    own: Option<Time>,
}

/// Time during which a process has run jobs.
#[derive(Clone, Copy, Debug)]
struct Tenure {
    since: Time,
    last: Time,
}

/// Part of this process in the requests of the runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It runs no job.
    Bystander,
    /// It has just begun to run jobs, which others may not know yet.
    Beginning,
    /// It has run jobs for a short time only.
    Joining,
    /// The other processes know that it runs jobs.
    Established,
}

/// Place of this process in the order of processes of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Number of processes before this one.
    Rank(u32),
    /// The other processes are not known. The number is the hash of this one.
    Unlisted(u64),
}

impl Users {
    /// Replaces the known processes. Returns `true` if they changed.
    pub fn set_hosts(&mut self, hosts: BTreeSet<HostName>) -> bool {
        let changed = hosts != self.hosts;
        self.hosts = hosts;
        changed
    }

    /// Replaces the jobs that have not ended.
    pub fn set_jobs(&mut self, now: Time, me: &HostName, jobs: Vec<RunningJob>) {
        let before = std::mem::take(&mut self.jobs);
        for job in jobs {
            let known = before.get(&job.id);
            if let Some((former, _)) = known.filter(|(host, _)| *host != job.runner) {
                let key = (job.model.clone(), former.clone());
                if let Some(tenure) = self.runners.get_mut(&key) {
                    tenure.last = now + FORMER_TIME;
                }
            }
            let known = known.filter(|(host, _)| *host == job.runner);
            let since = known.map_or(now, |(_, since)| *since);
            let limit = match job.runner == *me {
                true => OWN_RUNNER_TIME,
                false => RUNNER_TIME,
            };
            if now.since(since) < limit {
                let key = (job.model, job.runner.clone());
                let begun = Tenure {
                    since: now,
                    last: now,
                };
                let tenure = self.runners.entry(key).or_insert(begun);
                tenure.last = tenure.last.max(now);
            }
            self.jobs.insert(job.id, (job.runner, since));
        }
        // What a former runner sent counts for some time.
        self.runners
            .retain(|_, tenure| now.since(tenure.last) < SEND_SPAN);
        self.count_runners(me);
    }

    fn count_runners(&mut self, me: &HostName) {
        self.crowds.clear();
        for ((model, host), tenure) in &self.runners {
            let crowd = self.crowds.entry(model.clone()).or_default();
            crowd.count += 1;
            if host == me {
                crowd.own = Some(tenure.since);
            }
        }
    }

    /// Returns the runners of any of these models, and those of jobs without a model.
    fn crowd(&self, models: &[ModelName]) -> Crowd {
        let named = models.iter().cloned().map(Some);
        let mut all = Crowd::default();
        for model in named.chain([None]) {
            if let Some(crowd) = self.crowds.get(&model) {
                all.count += crowd.count;
                all.own = all.own.into_iter().chain(crowd.own).min();
            }
        }
        all
    }

    /// Returns the number of known processes that run jobs of these models, including this one if it
    /// does. A process with jobs of several models counts for each.
    pub fn runners(&self, models: &[ModelName]) -> u32 {
        self.crowd(models).count
    }

    /// Returns the place of a process in an order by hashes, of which the lowest comes first.
    pub fn place(&self, me: &HostName, hash: impl Fn(&HostName) -> u64) -> Place {
        let own = hash(me);
        if self.hosts.is_empty() {
            return Place::Unlisted(own);
        }
        let before = self.hosts.iter().filter(|host| hash(host) < own);
        Place::Rank(u32::try_from(before.count()).unwrap_or(u32::MAX))
    }

    /// Returns the number of requests that this process may send within a second to a target, which
    /// gets at most `bound` from all processes.
    pub fn share(&self, now: Time, bound: u32, place: Place, models: &[ModelName]) -> u32 {
        let floors = (bound / FLOOR_DIVISOR).max(1);
        let left = bound.saturating_sub(floors + bound / ORDER_DIVISOR);
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX).max(1);
        let floor = match place {
            Place::Rank(rank) if rank < floors => (floors / hosts).max(1),
            Place::Unlisted(hash) if hash.is_multiple_of(UNLISTED_RATIO) => 1,
            Place::Rank(_) | Place::Unlisted(_) => 0,
        };
        let crowd = self.crowd(models);
        let role = crowd.role(now);
        let kept = match role {
            Role::Beginning => MIN_BEGINNERS.min(hosts),
            Role::Bystander | Role::Joining | Role::Established => MIN_RUNNERS.min(hosts),
        };
        let part = match role {
            Role::Beginning => left,
            Role::Bystander | Role::Joining | Role::Established => left - left / JOIN_DIVISOR,
        };
        let part = part / crowd.count.max(kept);
        let first = u32::from(matches!(place, Place::Rank(rank) if rank < left));
        floor
            + match role {
                Role::Bystander => 0,
                Role::Beginning | Role::Joining if crowd.count > kept => first,
                _ if part == 0 => first,
                Role::Beginning | Role::Joining | Role::Established => part,
            }
    }
}

impl Crowd {
    fn role(&self, now: Time) -> Role {
        match self.own {
            None => Role::Bystander,
            Some(since) if now.since(since) < WATCH_TIME => Role::Beginning,
            Some(since) if now.since(since) < JOIN_TIME => Role::Joining,
            Some(_) => Role::Established,
        }
    }
}
