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
use crate::support::pairs::Place;
use crate::support::pairs::World;
use crate::support::pairs_entry::Task;
use crate::support::pairs_fixture;

/// Interval of the entry's timers in milliseconds.
const TICK: u64 = 100;

impl World {
    /// Makes a step of the control state.
    pub fn step_control(&mut self, message: Message) {
        let now = Time(self.now);
        match message {
            Message::Ask(request, ask) => {
                let ticket = self.entry.traffic.admit(now, ask);
                self.entry.verdicts.insert(ticket, request);
            }
            Message::Retry(ticket, failure) => self.entry.traffic.retry(now, ticket, failure),
            Message::Ended(ticket, outcome) => self.close(ticket, &outcome),
            Message::Report(report) => self.entry.traffic.handle_report(now, report),
            Message::Watched(asked, revision) => self.watched(asked, revision),
            Message::Updated(revision) => self.put_in_force(revision),
            Message::EntryTick => self.tick(),
            other => panic!("{other:?} is no step of the entry"),
        }
        self.carry_out();
    }

    fn close(&mut self, ticket: TicketKey, outcome: &Outcome) {
        self.entry.traffic.finish(Time(self.now), ticket, outcome);
        self.entry.verdicts.remove(&ticket);
    }

    fn watched(&mut self, asked: Time, revision: Revision) {
        self.entry.freshness.platform_answered(asked);
        if revision > self.entry.config.revision() {
            self.put_in_force(revision);
        }
    }

    fn put_in_force(&mut self, revision: Revision) {
        let now = Time(self.now);
        let found = self.accepted.iter().find(|(r, _)| *r == revision);
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
        self.seen.revisions.push((entry.life, held));
        for name in pairs_fixture::WORKSPACES {
            let known = entry.config.workspace_of(&pairs_fixture::key(name));
            if known.is_none() {
                self.seen.withdrawn.entry(name).or_insert(self.now);
            }
        }
    }

    /// Runs the timers, and closes the tickets of tasks that ended without telling.
    fn tick(&mut self) {
        let now = Time(self.now);
        self.entry.traffic.tick(now);
        self.entry.publish(now);
        self.sweep();
        let place = Place::Entry(self.entry.life);
        self.send(place, TICK, Message::EntryTick);
    }

    /// Closes the tickets of tasks that ended without telling. A message on its way goes first.
    fn sweep(&mut self) {
        if self.is_control_busy() {
            return;
        }
        let gone =
            |(_, request): &(&TicketKey, &usize)| matches!(self.tasks[**request], Task::Done);
        let gone: Vec<_> = self.entry.verdicts.iter().filter(gone).collect();
        let gone: Vec<_> = gone.into_iter().map(|(ticket, _)| *ticket).collect();
        for ticket in gone {
            let failure = Failure::from(ErrorKind::Cancelled);
            self.close(ticket, &Outcome::Failed(failure));
        }
    }

    /// Carries out the actions of the control state.
    fn carry_out(&mut self) {
        while let Some(action) = self.entry.traffic.next_action() {
            let (ticket, refused) = match &action {
                Action::Grant(ticket, ..) | Action::Revoke(ticket, _) => (*ticket, false),
                Action::Refuse(ticket, _) => (*ticket, true),
            };
            let Some(&request) = self.entry.verdicts.get(&ticket) else {
                continue;
            };
            if matches!(self.tasks[request], Task::Done) {
                let failure = Failure::from(ErrorKind::Cancelled);
                self.close(ticket, &Outcome::Failed(failure));
                continue;
            }
            let message = match action {
                Action::Grant(_, choice, delay) => Message::Go(request, ticket, choice, delay),
                Action::Refuse(_, failure) => Message::Refused(request, failure),
                Action::Revoke(_, failure) => Message::Revoked(request, failure),
            };
            let after = self.wait();
            self.tell_task(request, after, message);
            if refused {
                self.entry.verdicts.remove(&ticket);
            }
        }
    }
}
