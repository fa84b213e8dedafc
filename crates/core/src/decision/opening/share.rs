//! Shares of the processes in the requests that a target may get from all of them together.
//!
//! Answers jobs whose items all go out at once to the few targets of a model, while any of these may
//! turn cold. No process sees what the others send, and none asks them. One process, the owner, runs
//! the newest job of a model, which all know from the heads of the jobs, and has most of the bound at
//! the targets of that model. The rest is kept for orders, for the processes that come first in a hash
//! order of the target, and for a change of the owner: a new one has a small part until the one before
//! it has noticed, and one that has lost contact goes back to a single request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::decision::opening::sends::SEND_SPAN;
use crate::domain::ids::WeightVersion;
use crate::domain::name::HostName;
use crate::domain::name::ModelName;
use crate::domain::time::Time;
use crate::domain::time::WallTime;

/// Divisor of the bound that gives the part of the orders and reports.
const ORDER_DIVISOR: u32 = 8;

/// Divisor of the bound that gives the number of processes that may always send a request.
const FLOOR_DIVISOR: u32 = 5;

/// Divisor of the bound that gives the part of an owner that has just begun.
const BEGINNER_DIVISOR: u32 = 10;

/// Part of an owner that has lost contact, in requests.
const LOST_PART: u32 = 1;

/// Time without contact after which an owner may have been replaced. When it is back in contact, it
/// takes the time for which a request counts to learn so.
pub const MAX_SILENCE: Duration = Duration::from_millis(2_000);

/// Time after which an owner has its whole part if there was another one before it, which may have
/// lost contact. What that one sent counts no longer then.
const HANDOVER_TIME: Duration = Duration::from_millis(2_000 + SEND_SPAN.as_millis() as u64);

/// Time after which the first owner of a model has its whole part. All processes in touch know it then.
const FIRST_TIME: Duration = Duration::from_millis(400);

/// Ratio of all targets to those that a process may send to before it knows the other processes.
const UNLISTED_RATIO: u64 = 5;

/// A model of a target with the version of its weights.
pub type ServedModel = (ModelName, WeightVersion);

/// A known job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownJob {
    /// Model that generates its items, or `None` if it names none.
    pub model: Option<ModelName>,
    /// Host of the process that runs it.
    pub runner: HostName,
    /// Time of its acceptance.
    pub accepted: WallTime,
    /// Oldest version of the model from which its texts may come.
    pub least: WeightVersion,
    /// Whether it has ended.
    pub ended: bool,
}

/// Processes among which the requests to a target are divided, as this one knows them.
#[derive(Debug, Default)]
pub struct Users {
    /// Hosts of all processes, empty before they were listed.
    hosts: BTreeSet<HostName>,
    /// Last owner of each model, also while no job of the model has a runner.
    owners: BTreeMap<Option<ModelName>, Owner>,
    /// Time since which this process hears which jobs there are, or `None` while it does not.
    contact_since: Option<Time>,
}

/// Process that runs the newest job of a model.
#[derive(Clone, Debug)]
struct Owner {
    host: HostName,
    /// Oldest version of the model that any of its jobs uses. Targets with older ones get no requests
    /// of the owner.
    least: WeightVersion,
    /// Time from which it may have its whole part.
    whole_from: Time,
}

/// Part of this process in the requests to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It owns no model of the target.
    Bystander,
    /// It owns a model, but may have been replaced.
    Lost,
    /// It owns a model since a moment ago.
    Beginner,
    /// It owns a model.
    Owner,
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

    /// Records whether this process hears which jobs there are.
    pub fn set_contact(&mut self, now: Time, in_contact: bool) {
        match in_contact {
            true => drop(self.contact_since.get_or_insert(now)),
            false => self.contact_since = None,
        }
    }

    /// Returns `true` if this process knows which jobs there are.
    fn knows_jobs(&self, now: Time) -> bool {
        self.contact_since
            .is_some_and(|since| now.since(since) >= SEND_SPAN)
    }

    /// Replaces the known jobs, also those that have ended.
    pub fn set_jobs(&mut self, now: Time, jobs: Vec<KnownJob>) {
        let mut newest: BTreeMap<Option<ModelName>, KnownJob> = BTreeMap::new();
        let mut least: BTreeMap<Option<ModelName>, WeightVersion> = BTreeMap::new();
        for job in jobs {
            if !job.ended {
                let known = least.entry(job.model.clone()).or_insert(job.least);
                *known = job.least.min(*known);
            }
            let known = newest.get(&job.model);
            let order = |job: &KnownJob| (job.accepted, job.runner.clone());
            if known.is_none_or(|known| order(known) < order(&job)) {
                newest.insert(job.model.clone(), job);
            }
        }
        for (model, job) in newest {
            let least = least.get(&model).copied().unwrap_or(job.least);
            let whole_from = match self.owners.get(&model) {
                Some(owner) if owner.host == job.runner => owner.whole_from,
                Some(_) => now + HANDOVER_TIME,
                None => now + FIRST_TIME,
            };
            let owner = Owner {
                host: job.runner,
                least,
                whole_from,
            };
            self.owners.insert(model, owner);
        }
    }

    /// Returns the number of known processes that own a model.
    pub fn runners(&self) -> u32 {
        let hosts: BTreeSet<&HostName> = self.owners.values().map(|owner| &owner.host).collect();
        u32::try_from(hosts.len()).unwrap_or(u32::MAX)
    }

    /// Returns the owners of the models that a target serves, and of jobs without a model. A target names
    /// many models, but its weights are new enough for the jobs of a few of them only.
    fn owners_of<'a>(&'a self, served: &'a [ServedModel]) -> impl Iterator<Item = &'a Owner> {
        let named = served.iter().filter_map(|(model, version)| {
            let owner = self.owners.get(&Some(model.clone()));
            owner.filter(|owner| *version >= owner.least)
        });
        named.chain(self.owners.get(&None))
    }

    fn role(&self, now: Time, me: &HostName, served: &[ServedModel]) -> Role {
        let own = self.owners_of(served).filter(|owner| owner.host == *me);
        match own.map(|owner| owner.whole_from).min() {
            None => Role::Bystander,
            Some(_) if !self.knows_jobs(now) => Role::Lost,
            Some(from) if now < from => Role::Beginner,
            Some(_) => Role::Owner,
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

    /// Returns the number of requests that this process may send within a second to a target that
    /// serves these models, which gets at most `bound` from all processes.
    pub fn share(
        &self,
        now: Time,
        me: &HostName,
        bound: u32,
        place: Place,
        served: &[ServedModel],
    ) -> u32 {
        let floors = (bound / FLOOR_DIVISOR).max(1);
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX).max(1);
        let floor = match place {
            Place::Rank(rank) if rank < floors => (floors / hosts).max(1),
            Place::Unlisted(hash) if hash.is_multiple_of(UNLISTED_RATIO) => 1,
            Place::Rank(_) | Place::Unlisted(_) => 0,
        };
        let beginner = (bound / BEGINNER_DIVISOR).max(1);
        let kept = floors + bound / ORDER_DIVISOR + beginner + LOST_PART;
        let owners: BTreeSet<&HostName> = self.owners_of(served).map(|o| &o.host).collect();
        let count = u32::try_from(owners.len()).unwrap_or(u32::MAX).max(1);
        floor
            + match self.role(now, me, served) {
                Role::Bystander => 0,
                Role::Lost => LOST_PART,
                Role::Beginner => beginner,
                Role::Owner => (bound.saturating_sub(kept) / count).max(1),
            }
    }
}
