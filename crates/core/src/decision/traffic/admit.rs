//! Admission of requests, their token charges, and timeouts in the queue.

use std::time::Duration;

use crate::decision::traffic::MAX_WAITING;
use crate::decision::traffic::MIN_TOKENS;
use crate::decision::traffic::NO_TARGET_TIMEOUT;
use crate::decision::traffic::Traffic;
use crate::decision::traffic::mean::AnswerMeans;
use crate::decision::traffic::rate::TokenBucket;
use crate::decision::traffic::ticket::AdmissionRequest;
use crate::decision::traffic::ticket::Outcome;
use crate::decision::traffic::ticket::Ticket;
use crate::decision::traffic::ticket::TicketKey;
use crate::domain::declare::WorkspaceSpec;
use crate::domain::error::ErrorKind;
use crate::domain::error::Failure;
use crate::domain::name::PoolId;
use crate::domain::time::Time;

/// Ratio of a long answer's duration to the mean. Among log-normal durations with a standard
/// deviation of one, 5 % exceed three times the mean and 31 % exceed the mean.
const TAIL_RATIO: u32 = 3;

impl Traffic {
    /// Returns the failure with which a request is refused, or `None` if it is admitted.
    pub(super) fn refusal(&mut self, now: Time, request: &AdmissionRequest) -> Option<Failure> {
        if self.draining {
            return Some(Failure::from(ErrorKind::Draining));
        }
        // The request was authorized against a snapshot that may be older than `self.config`.
        if self.is_withdrawn(request) {
            return Some(Failure::from(ErrorKind::BadKey));
        }
        let Some(spec) = self.config.workspace(&request.workspace).cloned() else {
            return Some(Failure::from(ErrorKind::NoRoute));
        };
        let rate = spec.rate.div_ceil(self.entries.into());
        let bucket = self.buckets.entry(request.workspace.clone());
        let bucket = bucket.or_insert_with(|| TokenBucket::new(now, rate));
        if let Some(wait) = bucket.wait_time(now, rate) {
            return Some(retry_later(ErrorKind::RateLimited, wait));
        }
        let queue = self.queues.get(&request.pool);
        let waiting = queue.map_or(0, |queue| queue.waiting(&request.workspace));
        if waiting >= per_entry(spec.queue, self.entries) as usize {
            return Some(retry_later(ErrorKind::QueueFull, Duration::from_secs(1)));
        }
        if self.waiting >= MAX_WAITING && !self.shed(request) {
            return Some(retry_later(ErrorKind::Overloaded, Duration::from_secs(1)));
        }
        None
    }

    /// Refuses a waiting request of a lower priority to make room. Returns `false` if there is
    /// none.
    pub(super) fn shed(&mut self, request: &AdmissionRequest) -> bool {
        let found = self
            .queues
            .values()
            .find_map(|queue| queue.shed_candidate(request.priority));
        if let Some(key) = found {
            let failure = retry_later(ErrorKind::Overloaded, Duration::from_secs(1));
            self.refuse(key, failure);
        }
        found.is_some()
    }

    /// Charges the expected tokens of a request to its workspace when its first attempt starts.
    pub(super) fn charge(&mut self, key: TicketKey) {
        let Some(request) = self.tickets.get(key).map(|ticket| &ticket.request) else {
            return;
        };
        let mean = self
            .means
            .get(&request.workspace)
            .copied()
            .unwrap_or_default();
        let expected = mean.tokens(request.max_tokens.into());
        let weight = self.scaled_weight(&request.pool, &request.workspace);
        let queue = self.queues.entry(request.pool.clone()).or_default();
        queue.start(&request.workspace, expected, weight);
        if let Some(bucket) = self.buckets.get_mut(&request.workspace) {
            bucket.charge(i64::try_from(expected).unwrap_or(i64::MAX));
        }
        if let Some(ticket) = self.tickets.get_mut(key) {
            ticket.charged_tokens = Some(expected);
        }
    }

    /// Replaces the charge of the expected tokens by the actual ones when a request ends.
    pub(super) fn settle(&mut self, ticket: &Ticket, tokens: u64) {
        let Some(expected) = ticket.charged_tokens else {
            return;
        };
        let workspace = &ticket.request.workspace;
        let served = tokens.max(MIN_TOKENS);
        let weight = self.scaled_weight(&ticket.request.pool, workspace);
        if let Some(queue) = self.queues.get_mut(&ticket.request.pool) {
            queue.end(workspace, expected, served, weight);
        }
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            let more = i64::try_from(tokens).unwrap_or(i64::MAX);
            bucket.charge(more.saturating_sub(i64::try_from(expected).unwrap_or(i64::MAX)));
        }
    }

    /// Updates the moving means of a workspace with the tokens and the duration of a request.
    pub(super) fn record_cost(&mut self, now: Time, ticket: &Ticket, outcome: &Outcome) {
        let Some(granted_at) = ticket.granted_at else {
            return;
        };
        let mean = self
            .means
            .entry(ticket.request.workspace.clone())
            .or_default();
        let time = now.since(granted_at);
        match outcome {
            Outcome::Complete(0) => {}
            Outcome::Complete(tokens) => mean.add(*tokens, time),
            Outcome::Failed(failure) if failure.kind == ErrorKind::DeadlinePassed => {
                mean.add_time(time);
            }
            Outcome::Failed(_) => {}
        }
    }

    /// Returns the error with which a waiting request times out, or `None` if it may wait on.
    /// `serving` is `true` if a target of its pool is serving.
    pub(super) fn timeout_error(
        &self,
        now: Time,
        key: TicketKey,
        serving: bool,
    ) -> Option<ErrorKind> {
        let ticket = self.tickets.get(key)?;
        let mean = self.means.get(&ticket.request.workspace);
        let expected = mean.map_or(Duration::ZERO, AnswerMeans::time);
        let left = ticket.request.deadline.since(now);
        // A request that cannot finish by its deadline would take a slot from one that can. Once
        // half of the time is spent, newer requests with more time left are likely to wait behind
        // it, so the estimate of its duration becomes pessimistic.
        let waited_half = now.since(ticket.waiting_since) > left;
        let needed = if waited_half {
            expected * TAIL_RATIO
        } else {
            expected
        };
        if left <= needed {
            return Some(ErrorKind::DeadlineInQueue);
        }
        let patient = now.since(ticket.waiting_since) < NO_TARGET_TIMEOUT;
        (!serving && !patient).then_some(ErrorKind::NoTarget)
    }

    /// Returns `true` if a target of a pool is serving.
    pub(super) fn has_serving(&self, now: Time, pool: &PoolId) -> bool {
        let members = self.members.get(pool).into_iter().flatten();
        let mut targets = members.filter_map(|member| self.targets.get(member.target));
        targets.any(|target| target.is_serving(now))
    }

    /// Returns `true` if the key of a request no longer belongs to its workspace.
    pub(super) fn is_withdrawn(&self, request: &AdmissionRequest) -> bool {
        request
            .key
            .is_some_and(|digest| self.config.workspace_of(&digest) != Some(&request.workspace))
    }
}

/// Returns the weight of a workspace in the fair queue, at least one.
pub(super) fn weight(spec: Option<&WorkspaceSpec>) -> u64 {
    spec.map_or(1, |spec| u64::from(spec.share.max(1)))
}

/// Returns the part of a limit that applies at each entry, at least one.
pub(super) fn per_entry(limit: u32, entries: u32) -> u32 {
    limit.div_ceil(entries.max(1)).max(1)
}

/// Returns a failure whose retry-after time is `wait`, rounded up to whole seconds.
pub(super) fn retry_later(kind: ErrorKind, wait: Duration) -> Failure {
    let seconds = wait.as_millis().div_ceil(1000).max(1);
    Failure {
        retry_after: Some(u32::try_from(seconds).unwrap_or(u32::MAX)),
        ..Failure::from(kind)
    }
}
