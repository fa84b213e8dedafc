//! The steps of the entry's control state between its decisions.

use std::sync::Arc;

use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::traffic::Action;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::time::Time;

use crate::support::pairs::Message;
use crate::support::pairs::Receiver;
use crate::support::pairs::Simulation;
use crate::support::pairs_entry::Task;
use crate::support::pairs_fixture;

/// Interval of the entry's timers in milliseconds.
const TICK_INTERVAL: u64 = 100;

impl Simulation {
    /// Handles a message to the control state.
    pub fn step_control(&mut self, message: Message) {
        let now = Time(self.now);
        match message {
            Message::Admit(request, ask) => {
                let ticket = self.entry.traffic.admit(now, ask);
                self.entry.tickets.insert(ticket, request);
            }
            Message::Retry(ticket, failure) => self.entry.traffic.retry(now, ticket, failure),
            Message::Ended(ticket, outcome) => self.close_ticket(ticket, &outcome),
            Message::Report(report) => self.entry.traffic.handle_report(now, report),
            Message::WatchAnswer(asked, revision) => self.handle_watch(asked, revision),
            Message::Update(revision) => self.apply_config(revision),
            Message::EntryTick => self.tick(),
            other => panic!("the entry does not handle {other:?}"),
        }
        self.send_actions();
    }

    fn close_ticket(&mut self, ticket: TicketKey, outcome: &Outcome) {
        self.entry.traffic.finish(Time(self.now), ticket, outcome);
        self.entry.tickets.remove(&ticket);
    }

    fn handle_watch(&mut self, asked: Time, revision: Revision) {
        self.entry.freshness.platform_answered(asked);
        if revision > self.entry.config.revision() {
            self.apply_config(revision);
        }
    }

    /// Applies a configuration that the platform has accepted.
    fn apply_config(&mut self, revision: Revision) {
        let now = Time(self.now);
        let found = self.configs.iter().find(|(r, _)| *r == revision);
        let teams = found.unwrap().1.teams().clone().into_iter().collect();
        let entry = &mut self.entry;
        let mut config = Config::clone(&entry.config);
        config.merge_listing(teams, &[], revision);
        config.advance(revision);
        entry.config = Arc::new(config);
        entry.traffic.configure(now, entry.config.clone());
        entry.freshness.applied(revision);
        entry.publish(now);
        let held = entry.config.teams().values().map(|team| team.revision);
        let held = held.max().unwrap();
        self.observed.revisions.push((entry.incarnation, held));
        for name in pairs_fixture::WORKSPACES {
            let known = entry.config.workspace_of(&pairs_fixture::key_digest(name));
            if known.is_none() {
                self.observed
                    .applied_withdrawals
                    .entry(name)
                    .or_insert(self.now);
            }
        }
    }

    /// Runs the timers and closes the tickets of tasks that ended without a message.
    fn tick(&mut self) {
        let now = Time(self.now);
        self.entry.traffic.tick(now);
        self.entry.publish(now);
        self.close_abandoned();
        let receiver = Receiver::Entry(self.entry.incarnation);
        self.send(receiver, TICK_INTERVAL, Message::EntryTick);
    }

    /// Closes the tickets of tasks that ended without a message, unless a message to the control
    /// state is still on its way.
    fn close_abandoned(&mut self) {
        if self.is_control_busy() {
            return;
        }
        let abandoned =
            |(_, request): &(&TicketKey, &usize)| matches!(self.tasks[**request], Task::Done);
        let abandoned: Vec<_> = self.entry.tickets.iter().filter(abandoned).collect();
        let abandoned: Vec<_> = abandoned.into_iter().map(|(ticket, _)| *ticket).collect();
        for ticket in abandoned {
            let failure = Failure::from(ErrorKind::Cancelled);
            self.close_ticket(ticket, &Outcome::Failed(failure));
        }
    }

    /// Sends the actions of the control state to the tasks.
    fn send_actions(&mut self) {
        while let Some(action) = self.entry.traffic.next_action() {
            let (ticket, refused) = match &action {
                Action::Grant(ticket, ..) | Action::Revoke(ticket, _) => (*ticket, false),
                Action::Refuse(ticket, _) => (*ticket, true),
            };
            let Some(&request) = self.entry.tickets.get(&ticket) else {
                continue;
            };
            if matches!(self.tasks[request], Task::Done) {
                let failure = Failure::from(ErrorKind::Cancelled);
                self.close_ticket(ticket, &Outcome::Failed(failure));
                continue;
            }
            let message = match action {
                Action::Grant(_, choice, delay) => Message::Grant(request, ticket, choice, delay),
                Action::Refuse(_, failure) => Message::Refuse(request, failure),
                Action::Revoke(_, failure) => Message::Revoke(request, failure),
            };
            let after = self.queue_wait();
            self.send_task(request, after, message);
            if refused {
                self.entry.tickets.remove(&ticket);
            }
        }
    }
}
