//! Starts waiting requests and keeps count of what runs where.

use std::time::Duration;

use crate::decision::traffic::Traffic;
use crate::decision::traffic::admit::divided;
use crate::decision::traffic::choose::NoChoice;
use crate::decision::traffic::choose::View;
use crate::decision::traffic::choose::choose;
use crate::decision::traffic::ticket::Action;
use crate::decision::traffic::ticket::Choice;
use crate::decision::traffic::ticket::State;
use crate::decision::traffic::ticket::TicketKey;
use crate::domain::error::ErrorKind;
use crate::domain::name::PoolId;
use crate::domain::name::WorkspaceId;
use crate::domain::time::Time;

impl Traffic {
    /// Starts waiting requests of all pools.
    pub(super) fn pump_all(&mut self, now: Time) {
        if self.waiting == 0 {
            return;
        }
        let pools: Vec<_> = self.queues.keys().cloned().collect();
        for pool in pools {
            self.pump(now, &pool);
        }
    }

    /// Starts waiting requests of one pool, the worst-served workspace first, until no workspace
    /// can start one.
    pub(super) fn pump(&mut self, now: Time, pool: &PoolId) {
        while self.start_next(now, pool) {}
    }

    /// Starts the next request of a pool, if one can go.
    pub(super) fn start_next(&mut self, now: Time, pool: &PoolId) -> bool {
        let Some(queue) = self.queues.get(pool) else {
            return false;
        };
        for workspace in queue.order() {
            let Some(key) = self.startable(pool, &workspace) else {
                continue;
            };
            if let Ok(choice) = self.choice(now, key) {
                self.dequeue(key);
                self.grant(now, key, choice, Duration::ZERO);
                return true;
            }
        }
        false
    }

    /// Returns the next request of a workspace, unless the workspace runs as many as it may.
    pub(super) fn startable(&self, pool: &PoolId, workspace: &WorkspaceId) -> Option<TicketKey> {
        let queue = self.queues.get(pool)?;
        let spec = self.config.workspace(workspace)?;
        let most = divided(spec.concurrency, self.entries);
        let running: u32 = self.queues.values().map(|q| q.running(workspace)).sum();
        let key = queue.head(workspace)?;
        // A request that waits for its next attempt is counted as running already.
        let counted = self.tickets.get(key).is_some_and(|t| t.charged.is_some());
        (counted || running < most).then_some(key)
    }

    /// Chooses a target for a ticket.
    pub(super) fn choice(&mut self, now: Time, key: TicketKey) -> Result<Choice, NoChoice> {
        let ticket = self.tickets.get(key).ok_or(NoChoice::None)?;
        let pool = self.config.pool(&ticket.ask.pool).ok_or(NoChoice::None)?;
        let view = View {
            now,
            pool,
            targets: &self.targets,
            centre: &self.centre,
        };
        choose(&view, &ticket.ask, &ticket.tried, &mut self.random)
    }

    /// Sends a ticket to a target.
    pub(super) fn grant(&mut self, now: Time, key: TicketKey, choice: Choice, delay: Duration) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&choice.target) {
            target.start(now, &ticket.ask.prefixes);
        }
        let first = ticket.tried.is_empty();
        ticket.tried.push(choice.target.clone());
        ticket.state = State::Running(choice.target.clone());
        if first {
            self.charge(key);
        }
        self.actions.push_back(Action::Grant(key, choice, delay));
    }

    /// Takes a ticket's request off its target.
    pub(super) fn release(&mut self, now: Time, key: TicketKey, failure: Option<ErrorKind>) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        if let State::Running(name) = &ticket.state {
            if let Some(target) = self.targets.get_mut(name) {
                target.end(now, failure);
            }
            ticket.state = State::Between;
        }
    }

    /// Puts a ticket into the queue of its pool.
    pub(super) fn enqueue(&mut self, key: TicketKey) {
        if let Some(ticket) = self.tickets.get_mut(key) {
            ticket.state = State::Waiting;
            let queue = self.queues.entry(ticket.ask.pool.clone()).or_default();
            let back = ticket.charged.is_none();
            queue.push(&ticket.ask.workspace, ticket.ask.priority, key, back);
            self.waiting += 1;
        }
    }

    /// Takes a ticket out of the queue of its pool.
    pub(super) fn dequeue(&mut self, key: TicketKey) {
        if let Some(ticket) = self.tickets.get_mut(key)
            && ticket.is_waiting()
        {
            ticket.state = State::Between;
            self.waiting -= 1;
            if let Some(queue) = self.queues.get_mut(&ticket.ask.pool) {
                queue.remove(&ticket.ask.workspace, key);
            }
        }
    }
}
