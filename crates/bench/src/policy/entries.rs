//! The policy of sardinepath: one `Traffic` for each entry.

use std::collections::HashMap;
use std::time::Duration;

use sardinepath_core::decision::traffic::Action;
use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::decision::traffic::Demand;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::decision::traffic::Traffic;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::time::Time;

use crate::policy::Settings;
use crate::policy::job::JobId;
use crate::policy::port::Decision;
use crate::policy::port::Policy;

/// Interval at which entries exchange their demand. The demand reaches the other entries one
/// interval after it was collected.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// One entry with the job of each ticket.
struct Entry {
    traffic: Traffic,
    jobs: HashMap<TicketKey, JobId>,
}

impl Entry {
    fn next_action(&mut self) -> Option<(Action, &mut HashMap<TicketKey, JobId>)> {
        let action = self.traffic.next_action()?;
        Some((action, &mut self.jobs))
    }
}

/// All entries of a deployment.
pub struct Entries {
    entries: Vec<Entry>,
    tickets: HashMap<JobId, (usize, TicketKey)>,
    /// Time of the next exchange of demand.
    next_exchange: Time,
    /// Demand that was collected at the last exchange and reaches the entries at the next one.
    demand: Demand,
}

impl Entries {
    /// Returns one entry for each data centre.
    pub fn new(settings: &Settings) -> Self {
        let count = settings.deployment.centres;
        let config = settings.deployment.config();
        let entry = |number| {
            let centre = settings.deployment.centre(number);
            let mut traffic = Traffic::new(centre, settings.seed + number as u64);
            traffic.set_entries(u32::try_from(count).unwrap_or(u32::MAX));
            traffic.configure(Time(0), config.clone());
            Entry {
                traffic,
                jobs: HashMap::new(),
            }
        };
        Self {
            entries: (0..count).map(entry).collect(),
            tickets: HashMap::new(),
            next_exchange: Time(0),
            demand: Demand::default(),
        }
    }

    /// Passes the demand of the last exchange to the entries and collects their current demand.
    fn exchange_demand(&mut self, now: Time) {
        let mut sum = Demand::default();
        for entry in &mut self.entries {
            entry.traffic.set_demand(now, &self.demand);
            for (pool, open) in entry.traffic.count_demand() {
                let pool = sum.entry(pool).or_default();
                for (workspace, count) in open {
                    *pool.entry(workspace).or_default() += count;
                }
            }
        }
        self.demand = sum;
    }
}

impl Policy for Entries {
    const USES_PRIORITIES: bool = true;

    fn submit(&mut self, now: Time, entry: usize, job: JobId, request: AdmissionRequest) {
        let state = &mut self.entries[entry];
        let ticket = state.traffic.admit(now, request);
        state.jobs.insert(ticket, job);
        self.tickets.insert(job, (entry, ticket));
    }

    fn retry(&mut self, now: Time, job: JobId, failure: Failure) {
        if let Some((entry, ticket)) = self.tickets.get(&job) {
            self.entries[*entry].traffic.retry(now, *ticket, failure);
        }
    }

    fn finish(&mut self, now: Time, job: JobId, outcome: &Outcome) {
        if let Some((entry, ticket)) = self.tickets.remove(&job) {
            let state = &mut self.entries[entry];
            state.traffic.finish(now, ticket, outcome);
            state.jobs.remove(&ticket);
        }
    }

    fn report(&mut self, now: Time, report: &Report) {
        for entry in &mut self.entries {
            entry.traffic.handle_report(now, report.clone());
        }
    }

    fn tick(&mut self, now: Time) {
        if now >= self.next_exchange {
            self.next_exchange = now + EXCHANGE_INTERVAL;
            self.exchange_demand(now);
        }
        for entry in &mut self.entries {
            entry.traffic.tick(now);
        }
    }

    fn next_decision(&mut self) -> Option<Decision> {
        let (action, jobs) = self.entries.iter_mut().find_map(Entry::next_action)?;
        let (Action::Grant(ticket, ..) | Action::Refuse(ticket, _) | Action::Revoke(ticket, _)) =
            &action;
        let job = *jobs.get(ticket)?;
        match action {
            Action::Grant(_, choice, delay) => Some(Decision::Start(job, choice.target, delay)),
            Action::Refuse(ticket, failure) | Action::Revoke(ticket, failure) => {
                jobs.remove(&ticket);
                self.tickets.remove(&job);
                Some(Decision::Refuse(job, failure))
            }
        }
    }
}
