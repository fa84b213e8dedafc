//! Placement of waiting requests on targets, and the count of running ones.

use std::time::Duration;

use crate::decision::traffic::Traffic;
use crate::decision::traffic::admit::per_entry;
use crate::decision::traffic::choose::FillLimit;
use crate::decision::traffic::choose::NoChoice;
use crate::decision::traffic::choose::PoolView;
use crate::decision::traffic::choose::choose;
use crate::decision::traffic::queue::FairQueue;
use crate::decision::traffic::target::TargetKey;
use crate::decision::traffic::ticket::Action;
use crate::decision::traffic::ticket::Choice;
use crate::decision::traffic::ticket::State;
use crate::decision::traffic::ticket::TicketKey;
use crate::domain::error::ErrorKind;
use crate::domain::ids::WeightVersion;
use crate::domain::name::PoolId;
use crate::domain::time::Time;

impl Traffic {
    /// Starts waiting requests of all pools while targets have free slots.
    pub(super) fn dispatch_all(&mut self, now: Time) {
        if self.waiting == 0 {
            return;
        }
        let pools: Vec<_> = self.queues.keys().cloned().collect();
        for pool in pools {
            self.dispatch_pool(now, &pool);
        }
    }

    /// Starts waiting requests of one pool until no workspace can start another one. The workspace
    /// that has received the least service for its weight goes first.
    pub(super) fn dispatch_pool(&mut self, now: Time, pool: &PoolId) {
        while self.dispatch_next(now, pool) {}
    }

    /// Starts the next request of a pool. Returns `false` if none can start.
    pub(super) fn dispatch_next(&mut self, now: Time, pool: &PoolId) -> bool {
        let Some(queue) = self.queues.get(pool) else {
            return false;
        };
        // A target whose weights are recent enough for one floor also suits every lower floor. If
        // no target was found for a floor, none exists for the same or a higher one, so a full
        // pool is searched only once.
        let mut failed_floor: Option<WeightVersion> = None;
        for key in queue.heads() {
            let Some(floor) = self
                .tickets
                .get(key)
                .map(|ticket| ticket.request.min_version)
            else {
                continue;
            };
            if failed_floor.is_some_and(|failed_floor| floor >= failed_floor)
                || !self.is_startable(key)
            {
                continue;
            }
            if let Ok(choice) = self.choice(now, key) {
                self.dequeue(key);
                self.grant(now, key, choice, Duration::ZERO);
                return true;
            }
            failed_floor = Some(floor);
        }
        false
    }

    /// Returns `true` if the workspace of a request is below its concurrency limit.
    pub(super) fn is_startable(&self, key: TicketKey) -> bool {
        let Some(ticket) = self.tickets.get(key) else {
            return false;
        };
        // A request that waits for its next attempt already counts as running.
        if ticket.charged_tokens.is_some() {
            return true;
        }
        let workspace = &ticket.request.workspace;
        let queues = self.queues.values();
        let running: u32 = queues.map(|queue| queue.running(workspace)).sum();
        let spec = self.config.workspace(workspace);
        spec.is_some_and(|spec| running < per_entry(spec.concurrency, self.entries))
    }

    /// Chooses a target for a ticket.
    pub(super) fn choice(
        &mut self,
        now: Time,
        key: TicketKey,
    ) -> Result<(TargetKey, Choice), NoChoice> {
        let ticket = self.tickets.get(key).ok_or(NoChoice::NoTarget)?;
        let members = self.members.get(&ticket.request.pool);
        let fill_limit = self
            .fill_limit(now, &ticket.request.pool)
            .ok_or(NoChoice::AllFull)?;
        let view = PoolView {
            now,
            members: members.ok_or(NoChoice::NoTarget)?,
            targets: &self.targets,
            fill_limit,
        };
        choose(&view, &ticket.request, &ticket.tried, &mut self.random)
    }

    /// Returns the bound on the load of each target, or `None` if this entry already uses all of
    /// its slots in a full pool.
    fn fill_limit(&self, now: Time, pool: &PoolId) -> Option<FillLimit> {
        let Some(allowance) = self.allowance(now, pool) else {
            return Some(FillLimit::Capacity);
        };
        let running = self.queues.get(pool).map_or(0, FairQueue::total_running);
        (running < allowance.slots).then_some(FillLimit::Fraction(allowance.fraction))
    }

    /// Assigns a request to a target and queues the grant.
    pub(super) fn grant(
        &mut self,
        now: Time,
        key: TicketKey,
        (at, choice): (TargetKey, Choice),
        delay: Duration,
    ) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(at) {
            target.start(now, &ticket.request.prefixes);
        }
        let first = ticket.tried.is_empty();
        ticket.tried.push(at);
        ticket.granted_at = Some(now + delay);
        ticket.state = State::Running(at);
        if first {
            self.charge(key);
        }
        self.actions.push_back(Action::Grant(key, choice, delay));
    }

    /// Removes a request from its target. `failure` is the kind of failure, if it failed.
    pub(super) fn release(&mut self, now: Time, key: TicketKey, failure: Option<ErrorKind>) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        if let State::Running(at) = ticket.state {
            if let Some(target) = self.targets.get_mut(at) {
                target.end(now, failure);
            }
            ticket.state = State::Unassigned;
        }
    }

    /// Adds a request to the queue of its pool, at the front if it has been charged already.
    pub(super) fn enqueue(&mut self, key: TicketKey) {
        if let Some(ticket) = self.tickets.get_mut(key) {
            ticket.state = State::Waiting;
            let queue = self.queues.entry(ticket.request.pool.clone()).or_default();
            let back = ticket.charged_tokens.is_none();
            queue.push(
                &ticket.request.workspace,
                ticket.request.priority,
                key,
                back,
            );
            self.waiting += 1;
        }
    }

    /// Removes a request from the queue of its pool, if it is waiting.
    pub(super) fn dequeue(&mut self, key: TicketKey) {
        if let Some(ticket) = self.tickets.get_mut(key)
            && ticket.is_waiting()
        {
            ticket.state = State::Unassigned;
            self.waiting -= 1;
            if let Some(queue) = self.queues.get_mut(&ticket.request.pool) {
                queue.remove(&ticket.request.workspace, key);
            }
        }
    }
}
