//! Other processes of the system: who runs which job, and who takes over.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::Pong;
use crate::decision::gateway::place::precedence;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::batch::Head;
use crate::domain::batch::Runner;
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::hash::BASIS;
use crate::domain::hash::fnv;
use crate::domain::name::BatchId;
use crate::domain::name::HostName;
use crate::domain::name::TargetName;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Time between two questions to a process that runs a job.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Silence of a process, or of the object API towards it, after which its jobs are taken over.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// Time that the first candidate is ahead of the next one.
const CANDIDATE_LEAD: Duration = Duration::from_millis(500);

/// Time for which a job without a runner waits, so that the first candidate is alone.
const VACANT_LEAD: Duration = Duration::from_millis(20);

/// The other processes.
#[derive(Debug, Default)]
pub(super) struct Peers {
    known: BTreeMap<HostName, Peer>,
    health: BTreeMap<HostName, Health>,
    announced: bool,
    listed: bool,
    next_announce: Time,
    /// Processes that get no submissions, with the end of that time.
    pub(super) shunned: BTreeMap<SocketAddr, Time>,
}

/// What is known of a process that runs a job.
#[derive(Debug)]
struct Health {
    /// Last answer, at first the time of the first question.
    heard: Time,
    /// Last answer of a process that the object API answered, at first as above.
    good: Time,
    next: Time,
    waiting: bool,
    /// Another run of the process answered.
    replaced: Option<Peer>,
    load: BTreeMap<TargetName, u32>,
}

impl Gateway {
    /// Stores the address of this process, so that others can ask it.
    pub(super) fn announce(&mut self) {
        let host: Arc<str> = Arc::from(self.me.peer.host.as_str());
        let record = Record::Peer(self.me.peer.clone());
        self.peers.next_announce = self.now + SILENCE_LIMIT;
        self.call_store(
            Purpose::Announce,
            StoreCall::Create(Kind::Peers, host, record),
        );
    }

    /// Takes in the answer to the announcement. An entry of an earlier run is replaced.
    pub(super) fn announced(&mut self, answer: Result<Answer, ObjectError>) {
        let host: Arc<str> = Arc::from(self.me.peer.host.as_str());
        match answer {
            Ok(Answer::Written(_)) => self.peers.announced = true,
            Err(ObjectError::Conflict(_)) => {
                self.call_store(Purpose::Announced, StoreCall::Get(Kind::Peers, host));
            }
            Ok(Answer::Found(Some((revision, Record::Peer(found))))) => {
                if found == self.me.peer {
                    self.peers.announced = true;
                } else {
                    self.duty.note_ended(found.incarnation);
                    let record = Record::Peer(self.me.peer.clone());
                    let call = StoreCall::Update(Kind::Peers, host, record, revision);
                    self.call_store(Purpose::Announce, call);
                }
            }
            // `tick_peers` tries again.
            _ => {}
        }
    }

    pub(super) fn learn_peers(&mut self, peers: Vec<Peer>) {
        self.peers.listed = true;
        let listed = |host: &HostName| peers.iter().any(|p| p.host == *host);
        self.peers.known.retain(|host, _| listed(host));
        for peer in peers {
            self.learn_peer(peer);
        }
    }

    pub(super) fn learn_peer(&mut self, peer: Peer) {
        let incarnation = peer.incarnation;
        let before = self.peers.known.insert(peer.host.clone(), peer);
        // A host runs one process of this role, so the run before has ended.
        if let Some(before) = before.filter(|before| before.incarnation != incarnation) {
            self.duty.note_ended(before.incarnation);
        }
    }

    pub(super) fn forget_peer(&mut self, host: &HostName) {
        self.peers.known.remove(host);
    }

    /// Returns all processes, this one included.
    pub(super) fn all_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.known.values()
    }

    /// Returns what is known of a process.
    pub(super) fn peer(&self, host: &HostName) -> Option<&Peer> {
        self.peers.known.get(host)
    }

    /// Returns all other processes.
    pub(super) fn others(&self) -> Vec<Peer> {
        let me = &self.me.peer.host;
        let others = self.peers.known.values().filter(|p| p.host != *me);
        others.cloned().collect()
    }

    pub(super) fn tick_peers(&mut self) {
        let now = self.now;
        if !self.peers.announced && !self.draining && now >= self.peers.next_announce {
            self.announce();
        }
        let mut runners: BTreeMap<HostName, Runner> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.head.ended) {
            if let Some(runner) = &job.head.runner
                && runner.host != self.me.peer.host
            {
                runners.insert(runner.host.clone(), runner.clone());
            }
        }
        let before = self.peers.health.len();
        self.peers
            .health
            .retain(|host, _| runners.contains_key(host));
        if self.peers.health.len() < before {
            self.sum_loads();
        }
        for (host, runner) in runners {
            let health = self.peers.health.entry(host).or_insert_with(|| Health {
                heard: now,
                good: now,
                next: now,
                waiting: false,
                replaced: None,
                load: BTreeMap::new(),
            });
            if !health.waiting && now >= health.next {
                health.waiting = true;
                health.next = now + PING_INTERVAL;
                self.effects.push(Effect::Ping(runner));
            }
        }
    }

    pub(super) fn pinged(&mut self, host: HostName, pong: Option<Pong>) {
        let now = self.now;
        let Some(health) = self.peers.health.get_mut(&host) else {
            return;
        };
        health.waiting = false;
        if let Some(pong) = pong {
            health.heard = now;
            let limit = u64::try_from(SILENCE_LIMIT.as_millis()).unwrap_or(u64::MAX);
            if pong.silence < limit {
                health.good = now;
            }
            health.load = pong.load;
            health.replaced = self.peers.known.get(&host).cloned().map(|peer| Peer {
                incarnation: pong.incarnation,
                ..peer
            });
        } else {
            health.load.clear();
        }
        self.sum_loads();
    }

    /// Tells the directory what the other processes run. What a process ran counts no longer once
    /// it runs no job.
    fn sum_loads(&mut self) {
        let mut loads: BTreeMap<TargetName, u32> = BTreeMap::new();
        for health in self.peers.health.values() {
            for (target, load) in &health.load {
                *loads.entry(target.clone()).or_default() += load;
            }
        }
        self.directory.note_elsewhere(&loads);
    }

    /// Takes a job over if its runner is gone and this process is the next candidate.
    pub(super) fn check_runner(&mut self, id: &BatchId) {
        let now = self.now;
        if self.draining || !self.peers.listed || self.store.outage.is_some() {
            return;
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.head.ended || job.moving || job.is_mine(&self.me.peer) {
            return;
        }
        let gone = job.head.runner.as_ref().is_none_or(|r| self.is_gone(r));
        let lead = gone.then(|| self.lead(&job.head));
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(lead) = lead else {
            job.suspected = None;
            return;
        };
        let since = *job.suspected.get_or_insert(now);
        if now < since + lead {
            return;
        }
        job.moving = true;
        let runner = Runner::from(&self.me.peer);
        let before = job.head.runner.as_ref().map(|r| r.host.to_string());
        let head = Head {
            runner: Some(runner),
            ..job.head.clone()
        };
        let revision = job.revision;
        self.log(
            Event::BatchTaken,
            vec![
                ("batch", id.to_string()),
                ("before", before.unwrap_or_default()),
                ("suspected_ms", now.since(since).as_millis().to_string()),
                ("revision", revision.to_string()),
            ],
        );
        self.update_head(Purpose::TakeOver(id.clone()), id, head, revision);
    }

    /// Tells whether the process that runs a job is gone.
    fn is_gone(&self, runner: &Runner) -> bool {
        if runner.host == self.me.peer.host {
            // An earlier run of this process.
            return true;
        }
        let Some(known) = self.peer(&runner.host) else {
            return true;
        };
        let health = self.peers.health.get(&runner.host);
        // After an outage of the object API a process that lives needs time to notice its return.
        let settled = self.store.steady(self.now) >= SILENCE_LIMIT;
        let silent = health.is_some_and(|h| {
            let since = if settled { h.good } else { h.heard };
            self.now.since(since) >= SILENCE_LIMIT
        });
        let replaced = health
            .and_then(|h| h.replaced.as_ref())
            .is_some_and(|peer| peer.incarnation != runner.incarnation);
        silent || replaced || known.incarnation != runner.incarnation
    }

    /// Returns how long this process waits before it takes a job over. Candidates are ordered as
    /// for new jobs of the route.
    fn lead(&self, head: &Head) -> Duration {
        let me = &self.me.peer;
        let runner = head.runner.as_ref();
        if runner.is_some_and(|r| r.host == me.host) {
            return Duration::ZERO;
        }
        let subject = head.route.as_str();
        let most = self.largest_power();
        let own = precedence(subject, me, most);
        let ahead = self
            .all_peers()
            .filter(|peer| runner.is_none_or(|r| r.host != peer.host))
            .filter(|peer| precedence(subject, peer, most) < own)
            .count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let first = match runner {
            Some(_) => Duration::ZERO,
            None => VACANT_LEAD,
        };
        first + CANDIDATE_LEAD.saturating_mul(ahead)
    }
}

/// Returns a number by which candidates for something are ordered.
pub(super) fn rank_of(subject: &str, host: &HostName) -> u64 {
    let hash = fnv(fnv(BASIS, subject.as_bytes()), host.as_str().as_bytes());
    hash ^ (hash >> 29)
}
