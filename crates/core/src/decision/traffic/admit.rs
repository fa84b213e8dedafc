//! Admission: who may wait, what a request is charged, and when it has waited too long.

use std::time::Duration;

use crate::decision::traffic::LEAST_TOKENS;
use crate::decision::traffic::NO_TARGET_WAIT;
use crate::decision::traffic::Traffic;
use crate::decision::traffic::WAITING;
use crate::decision::traffic::mean::Mean;
use crate::decision::traffic::rate::Bucket;
use crate::decision::traffic::ticket::Ask;
use crate::decision::traffic::ticket::Outcome;
use crate::decision::traffic::ticket::Ticket;
use crate::decision::traffic::ticket::TicketKey;
use crate::domain::declare::WorkspaceSpec;
use crate::domain::error::ErrorKind;
use crate::domain::error::Failure;
use crate::domain::name::PoolId;
use crate::domain::time::Time;

/// Time of a long answer over the mean. Among log-normal lengths with a spread of one, 5 % are
/// longer than three times the mean, and 31 % are longer than the mean.
const TAIL: u32 = 3;

impl Traffic {
    /// Returns why a request cannot be admitted, if it cannot.
    pub(super) fn refusal(&mut self, now: Time, ask: &Ask) -> Option<Failure> {
        if self.draining {
            return Some(Failure::from(ErrorKind::Draining));
        }
        // The request was authorized against a snapshot that may be older than this state.
        if self.is_withdrawn(ask) {
            return Some(Failure::from(ErrorKind::BadKey));
        }
        let Some(spec) = self.config.workspace(&ask.workspace).cloned() else {
            return Some(Failure::from(ErrorKind::NoRoute));
        };
        let rate = spec.rate.div_ceil(self.entries.into());
        let bucket = self.buckets.entry(ask.workspace.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now, rate));
        if let Some(wait) = bucket.wait(now, rate) {
            return Some(come_back(ErrorKind::RateLimited, wait));
        }
        let queue = self.queues.get(&ask.pool);
        let waiting = queue.map_or(0, |queue| queue.waiting(&ask.workspace));
        if waiting >= divided(spec.queue, self.entries) as usize {
            return Some(come_back(ErrorKind::QueueFull, Duration::from_secs(1)));
        }
        if self.waiting >= WAITING && !self.shed(ask) {
            return Some(come_back(ErrorKind::Overloaded, Duration::from_secs(1)));
        }
        None
    }

    /// Makes room by refusing a waiting request of a less urgent class.
    pub(super) fn shed(&mut self, ask: &Ask) -> bool {
        let found = self
            .queues
            .values()
            .find_map(|queue| queue.sheddable(ask.priority));
        if let Some(key) = found {
            let failure = come_back(ErrorKind::Overloaded, Duration::from_secs(1));
            self.refuse(key, failure);
        }
        found.is_some()
    }

    /// Charges the expected tokens of a request to its workspace.
    pub(super) fn charge(&mut self, key: TicketKey) {
        let Some(ask) = self.tickets.get(key).map(|ticket| &ticket.ask) else {
            return;
        };
        let mean = self.means.get(&ask.workspace).copied().unwrap_or_default();
        let expected = mean.tokens(ask.tokens.into());
        let weight = self.part_weight(&ask.pool, &ask.workspace);
        let queue = self.queues.entry(ask.pool.clone()).or_default();
        queue.start(&ask.workspace, expected, weight);
        if let Some(bucket) = self.buckets.get_mut(&ask.workspace) {
            bucket.charge(i64::try_from(expected).unwrap_or(i64::MAX));
        }
        if let Some(ticket) = self.tickets.get_mut(key) {
            ticket.charged = Some(expected);
        }
    }

    /// Corrects the charge of a request that has ended.
    pub(super) fn settle(&mut self, ticket: &Ticket, tokens: u64) {
        let Some(expected) = ticket.charged else {
            return;
        };
        let workspace = &ticket.ask.workspace;
        let served = tokens.max(LEAST_TOKENS);
        let weight = self.part_weight(&ticket.ask.pool, workspace);
        if let Some(queue) = self.queues.get_mut(&ticket.ask.pool) {
            queue.end(workspace, expected, served, weight);
        }
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            let more = i64::try_from(tokens).unwrap_or(i64::MAX);
            bucket.charge(more.saturating_sub(i64::try_from(expected).unwrap_or(i64::MAX)));
        }
    }

    /// Learns from an ended request what the answers of its workspace cost.
    pub(super) fn learn(&mut self, now: Time, ticket: &Ticket, outcome: &Outcome) {
        let Some(granted) = ticket.granted else {
            return;
        };
        let mean = self.means.entry(ticket.ask.workspace.clone()).or_default();
        let time = now.since(granted);
        match outcome {
            Outcome::Whole(0) => {}
            Outcome::Whole(tokens) => mean.add(*tokens, time),
            Outcome::Failed(failure) if failure.kind == ErrorKind::DeadlinePassed => {
                mean.add_time(time);
            }
            Outcome::Failed(_) => {}
        }
    }

    /// Returns why a waiting request has to be refused now, if it has. `serving` tells whether a
    /// target of its pool serves.
    pub(super) fn lateness(&self, now: Time, key: TicketKey, serving: bool) -> Option<ErrorKind> {
        let ticket = self.tickets.get(key)?;
        let mean = self.means.get(&ticket.ask.workspace);
        let expected = mean.map_or(Duration::ZERO, Mean::time);
        let left = ticket.ask.deadline.since(now);
        // Work that its deadline would cut off takes slots from requests with enough time. After
        // half of its time in the queue a request has such requests behind it.
        let queued = now.since(ticket.since) > left;
        let needed = if queued { expected * TAIL } else { expected };
        if left <= needed {
            return Some(ErrorKind::DeadlineInQueue);
        }
        let patient = now.since(ticket.since) < NO_TARGET_WAIT;
        (!serving && !patient).then_some(ErrorKind::NoTarget)
    }

    /// Returns true if a target of a pool serves.
    pub(super) fn is_served(&self, now: Time, pool: &PoolId) -> bool {
        let members = self.members.get(pool).into_iter().flatten();
        let mut targets = members.filter_map(|member| self.targets.get(member.target));
        targets.any(|target| target.is_serving(now))
    }

    pub(super) fn is_withdrawn(&self, ask: &Ask) -> bool {
        ask.key
            .is_some_and(|digest| self.config.workspace_of(&digest) != Some(&ask.workspace))
    }
}

/// Returns the weight of a workspace in the fair queue.
pub(super) fn weight(spec: Option<&WorkspaceSpec>) -> u64 {
    spec.map_or(1, |spec| u64::from(spec.share.max(1)))
}

/// Divides a limit among entries. Every entry keeps at least one.
pub(super) fn divided(limit: u32, entries: u32) -> u32 {
    limit.div_ceil(entries.max(1)).max(1)
}

/// Builds a refusal that tells when to come back.
pub(super) fn come_back(kind: ErrorKind, wait: Duration) -> Failure {
    let seconds = wait.as_millis().div_ceil(1000).max(1);
    Failure {
        retry_after: Some(u32::try_from(seconds).unwrap_or(u32::MAX)),
        ..Failure::from(kind)
    }
}
