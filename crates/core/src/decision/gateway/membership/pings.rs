//! Health of the processes that run jobs, as their answers to pings show it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Job;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::PingRequest;
use crate::decision::gateway::message::Pong;
use crate::decision::gateway::message::Reply;
use crate::domain::batch::Runner;
use crate::domain::ids::Incarnation;
use crate::domain::name::BatchId;
use crate::domain::name::HostName;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Interval between pings of a process that runs a job.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which the jobs of a process are taken over if it answers no pings or the object API
/// does not answer it.
pub(super) const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// Time after which a process that answers no pings is suspected, so that it is known by the end of the
/// silence limit whether it still writes.
pub(super) const SUSPICION_LIMIT: Duration = Duration::from_millis(1_000);

/// Health of a process that runs a job.
#[derive(Debug)]
pub(super) struct Health {
    /// Process that is pinged.
    runner: Runner,
    /// Time of the last pong, initially of the first ping.
    pub(super) last_pong: Time,
    /// Time of the last pong that reported contact to the object API, initially of the first ping.
    pub(super) last_healthy: Time,
    next_ping: Time,
    awaiting_pong: bool,
    /// Time at which the last ping was sent.
    asked: Time,
    /// Answer to the last ping that has ended, with the time at which the ping was sent.
    answer: Option<(Time, PingAnswer)>,
    load: BTreeMap<TargetName, u32>,
}

/// How a ping ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PingAnswer {
    /// This run of the process answered. After a restart it is not that of the runner.
    From(Incarnation),
    /// No process answered.
    Nothing,
}

impl Health {
    /// Returns the answer to the last ping, if the ping was sent after a time.
    pub(super) fn answer_since(&self, since: Time) -> Option<PingAnswer> {
        let (asked, answer) = self.answer?;
        (asked > since).then_some(answer)
    }

    /// Creates the state of a process that was not pinged yet.
    fn new(now: Time, runner: Runner) -> Self {
        Self {
            runner,
            last_pong: now,
            last_healthy: now,
            next_ping: now,
            awaiting_pong: false,
            asked: now,
            answer: None,
            load: BTreeMap::new(),
        }
    }
}

impl Gateway {
    pub(in crate::decision::gateway) fn tick_peers(&mut self) {
        let now = self.now;
        if self.must_announce() {
            self.announce();
        }
        let mut runners: BTreeMap<HostName, Runner> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.head.ended) {
            if let Some(runner) = &job.head.runner
                && runner.host != self.settings.peer.host
            {
                runners.insert(runner.host.clone(), runner.clone());
            }
        }
        let before = self.peers.health.len();
        self.peers
            .health
            .retain(|host, _| runners.contains_key(host));
        if self.peers.health.len() < before {
            self.update_peer_loads();
            let health = &self.peers.health;
            let runs_jobs = |host: &HostName| health.contains_key(host);
            self.shares.told.retain(runs_jobs);
        }
        for (host, runner) in runners {
            let health = self.peers.health.entry(host);
            let health = health.or_insert_with(|| Health::new(now, runner.clone()));
            health.runner = runner;
            if now >= health.next_ping {
                let host = health.runner.host.clone();
                self.ping(&host);
            }
        }
    }

    /// Pings a process that runs a job, unless the answer to a ping is due.
    pub(super) fn ping(&mut self, host: &HostName) {
        let now = self.now;
        let health = self.peers.health.get_mut(host);
        let Some(health) = health.filter(|health| !health.awaiting_pong) else {
            return;
        };
        health.awaiting_pong = true;
        health.asked = now;
        health.next_ping = now + PING_INTERVAL;
        let ping = PingRequest {
            leaving: self.directory.recent_leaves(now),
            paces: !self.runs.is_empty(),
        };
        self.effects.push(Effect::Ping(health.runner.clone(), ping));
    }

    /// Answers the ping of another process with the state of this one.
    pub(in crate::decision::gateway) fn answer_ping(&mut self, call: CallId, ping: &PingRequest) {
        let now = self.now;
        self.leaves_told(&ping.leaving);
        let (paces, claims) = match ping.paces {
            true => (self.directory.recent_paces(now), self.own_claims()),
            false => (Vec::new(), Vec::new()),
        };
        let outage = self.store.outage_time(now);
        let pong = Pong {
            incarnation: self.settings.peer.incarnation,
            silence: u64::try_from(outage.as_millis()).unwrap_or(0),
            load: self.directory.own_load(),
            leaving: self.directory.recent_leaves(now),
            paces,
            claims,
        };
        self.reply(call, Reply::Pong(pong));
    }

    pub(in crate::decision::gateway) fn ping_ended(&mut self, host: HostName, pong: Option<Pong>) {
        let now = self.now;
        let Some(health) = self.peers.health.get_mut(&host) else {
            return;
        };
        health.awaiting_pong = false;
        let from = pong.as_ref().map(|pong| pong.incarnation);
        health.answer = Some((
            health.asked,
            from.map_or(PingAnswer::Nothing, PingAnswer::From),
        ));
        let mut leaving = Vec::new();
        if let Some(pong) = pong {
            leaving = pong.leaving;
            self.directory.learn_paces(now, &pong.paces);
            self.shares.told.record(now, host.clone(), pong.claims);
            health.last_pong = now;
            let limit = u64::try_from(SILENCE_LIMIT.as_millis()).unwrap_or(u64::MAX);
            if pong.silence < limit {
                health.last_healthy = now;
            }
            health.load = pong.load;
        } else {
            health.load.clear();
        }
        self.leaves_told(&leaving);
        self.update_peer_loads();
        self.check_jobs_of(&host);
    }

    /// Checks the runner of each job of a process whose state is known anew.
    fn check_jobs_of(&mut self, host: &HostName) {
        let runs_here = |job: &Job| job.head.runner.as_ref().is_some_and(|r| r.host == *host);
        let jobs = self.jobs.iter().filter(|(_, job)| runs_here(job));
        let ids: Vec<BatchId> = jobs.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.check_runner(id);
        }
    }

    /// Returns `true` if the object API does not answer another process either, so that no job can
    /// have changed hands.
    pub(in crate::decision::gateway) fn shares_outage(&self) -> bool {
        let mut known = self.peers.health.values();
        known.any(|h| self.now.since(h.last_pong) < SUSPICION_LIMIT && h.last_healthy < h.last_pong)
    }

    /// Passes the load of the other processes on targets to the directory. Only processes that run
    /// a job are included.
    fn update_peer_loads(&mut self) {
        let mut loads: BTreeMap<TargetName, u32> = BTreeMap::new();
        for health in self.peers.health.values() {
            for (target, load) in &health.load {
                *loads.entry(target.clone()).or_default() += load;
            }
        }
        self.directory.set_remote_load(&loads);
    }
}
