//! Starts waiting requests and keeps count of what runs where.

use std::time::Duration;

use crate::decision::traffic::Traffic;
use crate::decision::traffic::admit::divided;
use crate::decision::traffic::choose::NoChoice;
use crate::decision::traffic::choose::Room;
use crate::decision::traffic::choose::View;
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
        // Targets that are fit for a floor are fit for lower ones too. What found no target with
        // one floor finds none with the same or a higher one, so a full pool is searched once.
        let mut failed: Option<WeightVersion> = None;
        for key in queue.heads() {
            let Some(floor) = self.tickets.get(key).map(|ticket| ticket.ask.floor) else {
                continue;
            };
            if failed.is_some_and(|failed| floor >= failed) || !self.is_startable(key) {
                continue;
            }
            if let Ok(choice) = self.choice(now, key) {
                self.dequeue(key);
                self.grant(now, key, choice, Duration::ZERO);
                return true;
            }
            failed = Some(floor);
        }
        false
    }

    /// Returns true unless the workspace of a request runs as many as it may.
    pub(super) fn is_startable(&self, key: TicketKey) -> bool {
        let Some(ticket) = self.tickets.get(key) else {
            return false;
        };
        // A request that waits for its next attempt is counted as running already.
        if ticket.charged.is_some() {
            return true;
        }
        let workspace = &ticket.ask.workspace;
        let queues = self.queues.values();
        let running: u32 = queues.map(|queue| queue.running(workspace)).sum();
        let spec = self.config.workspace(workspace);
        spec.is_some_and(|spec| running < divided(spec.concurrency, self.entries))
    }

    /// Chooses a target for a ticket.
    pub(super) fn choice(
        &mut self,
        now: Time,
        key: TicketKey,
    ) -> Result<(TargetKey, Choice), NoChoice> {
        let ticket = self.tickets.get(key).ok_or(NoChoice::None)?;
        let members = self.members.get(&ticket.ask.pool);
        let room = self.room(now, &ticket.ask.pool).ok_or(NoChoice::Full)?;
        let view = View {
            now,
            members: members.ok_or(NoChoice::None)?,
            targets: &self.targets,
            room,
        };
        choose(&view, &ticket.ask, &ticket.tried, &mut self.random)
    }

    /// Returns how far targets may be filled, or none if this entry uses its part of a full pool.
    fn room(&self, now: Time, pool: &PoolId) -> Option<Room> {
        let Some(allowance) = self.allowance(now, pool) else {
            return Some(Room::Free);
        };
        let running = self.queues.get(pool).map_or(0, FairQueue::all_running);
        (running < allowance.slots).then_some(Room::Part(allowance.part))
    }

    /// Sends a ticket to a target.
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
            target.start(now, &ticket.ask.prefixes);
        }
        let first = ticket.tried.is_empty();
        ticket.tried.push(at);
        ticket.granted = Some(now + delay);
        ticket.state = State::Running(at);
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
        if let State::Running(at) = ticket.state {
            if let Some(target) = self.targets.get_mut(at) {
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
