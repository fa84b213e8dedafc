//! Shares of the processes in the requests that a target may get from all of them together.
//!
//! No process sees what the others send, and none asks them. The requests of a second are divided
//! into three parts: one for orders and the reports read before them, one for the processes that
//! come first in a hash order of the target, and one for the processes that run batch jobs, which
//! all know from the heads of the jobs. The heads are known late, so a process has a share of a single
//! request for some time after it started to run jobs, counts for some time after it ended, and never
//! has more than a third of the part, also if it knows of no other one that runs jobs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::decision::opening::sends::SEND_SPAN;
use crate::domain::name::BatchId;
use crate::domain::name::HostName;
use crate::domain::time::Time;

/// Divisor of the bound that gives the part of the orders and reports.
const ORDER_DIVISOR: u32 = 8;

/// Divisor of the bound that gives the number of processes that may always send a request.
const FLOOR_DIVISOR: u32 = 4;

/// Divisor of the part of the runners that gives the part of those that have just joined.
const JOIN_DIVISOR: u32 = 4;

/// Number of runners for which a part is kept, although fewer are known.
const MIN_RUNNERS: u32 = 3;

/// Time after its first job in which a runner has a share of a single request. Later the others know
/// of it, and what they sent before counts no longer.
const JOIN_TIME: Duration = Duration::from_millis(1_300);

/// Time for which a process counts as a runner after it was seen with a job for the first time.
/// Jobs that callers never end do not take shares for ever.
const RUNNER_TIME: Duration = Duration::from_secs(30);

/// Time for which this process counts itself as a runner. It ends before the other processes stop to
/// count it.
const OWN_RUNNER_TIME: Duration = Duration::from_secs(25);

/// Ratio of all targets to those that a process may send to before it knows the other processes.
const UNLISTED_RATIO: u64 = 5;

/// Processes among which the requests to a target are divided, as this one knows them.
#[derive(Debug, Default)]
pub struct Users {
    /// Hosts of all processes, empty before they were listed.
    hosts: BTreeSet<HostName>,
    /// Runner of each job that has not ended, with the time at which it was first seen.
    jobs: BTreeMap<BatchId, (HostName, Time)>,
    /// Processes that run jobs, or did so until a moment ago.
    runners: BTreeMap<HostName, Tenure>,
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

    /// Replaces the jobs that have not ended, each with its runner.
    pub fn set_jobs(&mut self, now: Time, me: &HostName, jobs: Vec<(BatchId, HostName)>) {
        let before = std::mem::take(&mut self.jobs);
        for (id, host) in jobs {
            let known = before.get(&id).filter(|(runner, _)| *runner == host);
            let since = known.map_or(now, |(_, since)| *since);
            let limit = if host == *me {
                OWN_RUNNER_TIME
            } else {
                RUNNER_TIME
            };
            if now.since(since) < limit {
                let begun = Tenure {
                    since: now,
                    last: now,
                };
                let tenure = self.runners.entry(host.clone()).or_insert(begun);
                tenure.last = now;
            }
            self.jobs.insert(id, (host, since));
        }
        // What a former runner sent counts for some time.
        self.runners
            .retain(|_, tenure| now.since(tenure.last) < SEND_SPAN);
    }

    /// Returns the number of known processes that run jobs, including this one if it does.
    pub fn runners(&self) -> u32 {
        u32::try_from(self.runners.len()).unwrap_or(u32::MAX)
    }

    fn role(&self, now: Time, me: &HostName) -> Role {
        match self.runners.get(me) {
            None => Role::Bystander,
            Some(tenure) if now.since(tenure.since) < JOIN_TIME => Role::Joining,
            Some(_) => Role::Established,
        }
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
    pub fn share(&self, now: Time, me: &HostName, bound: u32, place: Place) -> u32 {
        let floors = (bound / FLOOR_DIVISOR).max(1);
        let left = bound.saturating_sub(floors + bound / ORDER_DIVISOR);
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX).max(1);
        let floor = match place {
            Place::Rank(rank) if rank < floors => (floors / hosts).max(1),
            Place::Unlisted(hash) if hash.is_multiple_of(UNLISTED_RATIO) => 1,
            Place::Rank(_) | Place::Unlisted(_) => 0,
        };
        let joins = left / JOIN_DIVISOR;
        let part = (left - joins) / self.runners().max(MIN_RUNNERS.min(hosts));
        let first = |count: u32| matches!(place, Place::Rank(rank) if rank < count);
        floor
            + match self.role(now, me) {
                Role::Bystander => 0,
                Role::Joining => u32::from(first(left)),
                Role::Established if part == 0 => u32::from(first(left - joins)),
                Role::Established => part,
            }
    }
}
