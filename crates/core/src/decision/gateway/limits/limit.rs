//! Request limits of targets, and the permits that keep them over all processes.
//!
//! A limit is known from the answers of its target, from other processes that ask for permits, and
//! from the object API, where the granter of the target stores it for processes that start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::directory::Choice;
use crate::decision::directory::REFRESH_AGE;
use crate::decision::directory::Statement;
use crate::decision::directory::TargetNeeds;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::place::hash_rank;
use crate::decision::gateway::limits::limit_store::LimitWrite;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::stored::StoredLimit;
use crate::decision::permit::AgedStatement;
use crate::decision::permit::Bucket;
use crate::decision::permit::GRANTER_COUNT;
use crate::decision::permit::PermitGrant;
use crate::decision::permit::PermitRequest;
use crate::decision::permit::Share;
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::limit::LimitStatement;
use crate::domain::limit::RequestLimit;
use crate::domain::name::PoolName;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Number of permits that are asked for at once for requests that can wait.
const DEFERRABLE_PERMITS: u32 = 4;

/// Minimum time between two requests for permits of a target after one that got none.
const MIN_ASK_DELAY: Duration = Duration::from_millis(60);

/// Maximum time between two requests for permits of a target.
const MAX_ASK_DELAY: Duration = Duration::from_secs(1);

/// Time for which a granter that did not answer is not asked again.
const SILENCE_EXCLUSION: Duration = Duration::from_secs(1);

/// Relative change of a limit from which on the other processes are told at once.
const NOTABLE_CHANGE: f64 = 0.1;

/// State of the permits that this process gives, requests and stores.
#[derive(Debug, Default)]
pub(in crate::decision::gateway) struct Permits {
    /// Permits that this process can give.
    pub(in crate::decision::gateway) buckets: BTreeMap<TargetName, Bucket>,
    /// Requests for permits, for requests that can wait (`true`) and for others apart, since items
    /// get none while there is still one for a caller.
    pub(in crate::decision::gateway) requests: BTreeMap<(TargetName, bool), Request>,
    /// Granters that did not answer, with the end of the exclusion.
    pub(in crate::decision::gateway) silent: BTreeMap<SocketAddr, Time>,
    /// Limits that this process has to store or delete.
    pub(in crate::decision::gateway) writes: BTreeMap<TargetName, LimitWrite>,
}

/// Request for permits of a target, or the pause after it.
#[derive(Clone, Copy, Debug)]
pub(in crate::decision::gateway) enum Request {
    Sent,
    Paused(Time),
}

/// Purpose of a request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PermitNeed {
    /// A caller waits.
    Urgent,
    /// Items of a job, of which several may wait.
    Deferrable,
    /// The target should confirm its limit.
    Refresh,
}

/// Process that gives permits for a target.
#[derive(Clone, Copy, Debug)]
enum Granter {
    /// This process, at this place in the order of granters.
    Local(usize),
    Remote(SocketAddr),
    /// No granter is known or answers.
    Unknown,
}

impl Gateway {
    /// Chooses a target, and requests permits if only limited targets remain.
    pub(in crate::decision::gateway) fn choose_permitted(
        &mut self,
        pool: &PoolName,
        need: &TargetNeeds,
    ) -> Option<Choice> {
        self.refresh_limit(pool, need);
        let centre = self.settings.centre.clone();
        if let Some(choice) = self.directory.choose(self.now, pool, need, &centre) {
            return Some(choice);
        }
        let limited = self.directory.without_permit(self.now, pool, need, &centre);
        let purpose = match need.deferrable {
            true => PermitNeed::Deferrable,
            false => PermitNeed::Urgent,
        };
        let granted = limited
            .iter()
            .any(|target| self.request_permits(target, purpose));
        granted
            .then(|| self.directory.choose(self.now, pool, need, &centre))
            .flatten()
    }

    /// Returns `true` if a target could serve a request if this process had a permit.
    pub(in crate::decision::gateway) fn needs_permit(
        &mut self,
        pool: &PoolName,
        need: &TargetNeeds,
    ) -> bool {
        let centre = self.settings.centre.clone();
        let limited = self.directory.without_permit(self.now, pool, need, &centre);
        !limited.is_empty()
    }

    /// Requests a permit for a target whose limit was not confirmed for some time. The next request
    /// of the pool uses it.
    fn refresh_limit(&mut self, pool: &PoolName, need: &TargetNeeds) {
        if let Some(target) = self.directory.unconfirmed_limit(self.now, pool, need) {
            self.request_permits(&target, PermitNeed::Refresh);
        }
    }

    /// Requests permits for a target. Returns `true` if this process is the granter and gave some.
    fn request_permits(&mut self, target: &TargetName, purpose: PermitNeed) -> bool {
        let now = self.now;
        let deferrable = purpose != PermitNeed::Urgent;
        let key = (target.clone(), deferrable);
        match self.permits.requests.get(&key) {
            Some(Request::Sent) => return false,
            Some(Request::Paused(until)) if now < *until => return false,
            _ => {}
        }
        let Some(known) = self.directory.limits.get(target) else {
            return false;
        };
        let request = PermitRequest {
            target: target.clone(),
            known: aged(known, now),
            count: match purpose {
                PermitNeed::Urgent | PermitNeed::Refresh => 1,
                PermitNeed::Deferrable => DEFERRABLE_PERMITS,
            },
            deferrable,
        };
        match self.granter(target) {
            Granter::Local(_) => {
                // Permits that are not used expire, so this process takes them one by one.
                let request = PermitRequest {
                    count: 1,
                    ..request
                };
                let grant = self.grant_permits(&request);
                self.accept_grant(&request, &grant);
                grant.count > 0
            }
            Granter::Remote(address) => {
                self.permits.requests.insert(key, Request::Sent);
                self.effects.push(Effect::AskPermits(address, request));
                false
            }
            Granter::Unknown => false,
        }
    }

    /// Returns the process that gives permits for a target: the first one in the order of granters
    /// that answers.
    fn granter(&self, target: &TargetName) -> Granter {
        let me = &self.settings.peer.host;
        for (rank, peer) in self.granters(target).into_iter().enumerate() {
            if peer.host == *me {
                return Granter::Local(rank);
            }
            let silent = self.permits.silent.get(&peer.address);
            if silent.is_none_or(|until| self.now >= *until) {
                return Granter::Remote(peer.address);
            }
        }
        Granter::Unknown
    }

    /// Returns `true` if this process is the granter of a target.
    pub(in crate::decision::gateway) fn is_granter(&self, target: &TargetName) -> bool {
        matches!(self.granter(target), Granter::Local(0))
    }

    /// Returns the granter of a target and its deputies, or nobody before the processes are known.
    fn granters(&self, target: &TargetName) -> Vec<&Peer> {
        if !self.peers_listed() {
            return Vec::new();
        }
        let mut peers: Vec<&Peer> = self.all_peers().collect();
        peers.sort_by_key(|peer| hash_rank(target.as_str(), &peer.host));
        peers.truncate(GRANTER_COUNT);
        peers
    }

    /// Gives permits for a target, as far as the share of this process allows.
    pub(in crate::decision::gateway) fn grant_permits(
        &mut self,
        request: &PermitRequest,
    ) -> PermitGrant {
        let now = self.now;
        let target = &request.target;
        self.learn_limit(target, request.known, "process");
        let known = self
            .directory
            .limits
            .get(target)
            .unwrap_or_else(|| statement(request.known, now));
        let me = &self.settings.peer.host;
        let rank = self.granters(target).iter().position(|p| p.host == *me);
        let share = known
            .limit
            .zip(rank)
            .and_then(|(limit, rank)| Share::new(limit, rank));
        let (count, retry) = match share {
            Some(share) => {
                let buckets = &mut self.permits.buckets;
                let bucket = buckets.entry(target.clone());
                let bucket = bucket.or_insert_with(|| Bucket::new(now));
                bucket.take(now, share, request.count, request.deferrable)
            }
            None => (0, MAX_ASK_DELAY),
        };
        if request.count > 0 {
            let fields = vec![
                ("target", target.to_string()),
                ("asked", request.count.to_string()),
                ("granted", count.to_string()),
                ("limit", limit_text(known.limit)),
                ("age_ms", aged(known, now).age.to_string()),
                ("rank", rank.map_or("none".to_owned(), |r| r.to_string())),
                ("deferrable", request.deferrable.to_string()),
            ];
            self.log(Event::PermitsGranted, fields);
        }
        PermitGrant {
            count,
            retry: u64::try_from(retry.as_millis()).unwrap_or(u64::MAX),
            known: aged(known, now),
        }
    }

    /// Handles the answer of another process to a request for permits.
    pub(in crate::decision::gateway) fn permits_answered(
        &mut self,
        request: &PermitRequest,
        granter: SocketAddr,
        grant: Option<PermitGrant>,
    ) {
        let target = &request.target;
        if request.count > 0 {
            let key = (target.clone(), request.deferrable);
            self.permits.requests.remove(&key);
        }
        let Some(grant) = grant else {
            let until = self.now + SILENCE_EXCLUSION;
            self.permits.silent.insert(granter, until);
            let fields = vec![
                ("target", target.to_string()),
                ("granter", granter.to_string()),
            ];
            self.log(Event::GranterSilent, fields);
            return;
        };
        self.learn_limit(target, grant.known, "granter");
        self.accept_grant(request, &grant);
        if request.deferrable && (grant.count > 0 || grant.known.limit.is_none()) {
            self.dispatch();
        }
    }

    /// Adds the permits of a grant, or pauses such requests for permits if there are none.
    fn accept_grant(&mut self, request: &PermitRequest, grant: &PermitGrant) {
        let target = &request.target;
        if grant.count > 0 {
            let limits = &mut self.directory.limits;
            limits.add_permits(self.now, target, grant.count, request.deferrable);
        } else if request.count > 0 {
            let pause = Duration::from_millis(grant.retry).clamp(MIN_ASK_DELAY, MAX_ASK_DELAY);
            let key = (target.clone(), request.deferrable);
            let paused = Request::Paused(self.now + pause);
            self.permits.requests.insert(key, paused);
        }
    }

    /// Records what an answer of a target says about its request limit.
    pub(in crate::decision::gateway) fn limit_stated(
        &mut self,
        target: &TargetName,
        statement: LimitStatement,
    ) {
        let limit = match statement {
            LimitStatement::Limited(limit) => Some(limit),
            LimitStatement::Unlimited => None,
            LimitStatement::Unreadable => {
                let kept = self.directory.limits.get(target).and_then(|s| s.limit);
                let fields = vec![("target", target.to_string()), ("kept", limit_text(kept))];
                self.log(Event::LimitUnreadable, fields);
                return;
            }
        };
        let Some(started_at) = self.directory.get(target).map(|entry| entry.started_at) else {
            return;
        };
        let stated = AgedStatement {
            limit,
            started_at,
            age: 0,
        };
        if !self.learn_limit(target, stated, "answer") {
            return;
        }
        if let Granter::Remote(address) = self.granter(target) {
            let announcement = PermitRequest {
                target: target.clone(),
                known: stated,
                count: 0,
                deferrable: true,
            };
            self.effects.push(Effect::AskPermits(address, announcement));
        }
    }

    /// Handles the stored limit of a target. Its age is unknown, so a statement of the last second
    /// counts as newer. A deletion lifts no limit, since it may take effect after a newer limit was
    /// stored; the next answer of the target tells.
    pub(in crate::decision::gateway) fn limit_watched(
        &mut self,
        target: &TargetName,
        stored: StoredLimit,
    ) {
        let watched = AgedStatement {
            limit: Some(stored.limit),
            started_at: stored.started_at,
            age: u64::try_from(REFRESH_AGE.as_millis()).unwrap_or(u64::MAX),
        };
        self.learn_limit(target, watched, "store");
    }

    /// Records a statement unless a newer one is known. Returns `true` if it is a notable change.
    fn learn_limit(&mut self, target: &TargetName, aged: AgedStatement, source: &str) -> bool {
        let before = self.directory.limits.get(target).and_then(|s| s.limit);
        let limits = &mut self.directory.limits;
        if aged.limit.is_none() && limits.get(target).is_none() {
            return false;
        }
        if !limits.record(target, statement(aged, self.now)) || !is_notable(before, aged.limit) {
            return false;
        }
        let fields = vec![
            ("target", target.to_string()),
            ("limit", limit_text(aged.limit)),
            ("before", limit_text(before)),
            ("age_ms", aged.age.to_string()),
            ("source", source.to_owned()),
        ];
        self.log(Event::TargetLimited, fields);
        if source != "store" && self.is_granter(target) {
            self.schedule_write(target);
        }
        true
    }
}

fn statement(aged: AgedStatement, now: Time) -> Statement {
    Statement {
        limit: aged.limit,
        started_at: aged.started_at,
        heard: Time(now.0.saturating_sub(aged.age)),
    }
}

fn aged(statement: Statement, now: Time) -> AgedStatement {
    AgedStatement {
        limit: statement.limit,
        started_at: statement.started_at,
        age: u64::try_from(now.since(statement.heard).as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns `true` if other processes should be told of a change at once.
fn is_notable(before: Option<RequestLimit>, after: Option<RequestLimit>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => {
            let (before, after) = (before.per_second(), after.per_second());
            (after - before).abs() > before * NOTABLE_CHANGE
        }
        (before, after) => before != after,
    }
}

fn limit_text(limit: Option<RequestLimit>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}
