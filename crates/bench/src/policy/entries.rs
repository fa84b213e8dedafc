//! The product's policy: one `Traffic` for each entry.

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
use crate::policy::port::Policy;
use crate::policy::port::Step;

/// Interval at which entries exchange demand. It reaches the others one interval late.
const EXCHANGE: Duration = Duration::from_secs(1);

/// One entry with the jobs behind its tickets.
struct Entry {
    traffic: Traffic,
    jobs: HashMap<TicketKey, JobId>,
}

impl Entry {
    fn take(&mut self) -> Option<(Action, &mut HashMap<TicketKey, JobId>)> {
        let action = self.traffic.next_action()?;
        Some((action, &mut self.jobs))
    }
}

/// All entries of a deployment.
pub struct Entries {
    entries: Vec<Entry>,
    tickets: HashMap<JobId, (usize, TicketKey)>,
    /// Time of the next exchange of demand.
    exchange: Time,
    /// Demand that was collected at the last exchange and is on its way to the entries.
    demand: Demand,
}

impl Entries {
    /// Creates one entry for each data centre.
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
            exchange: Time(0),
            demand: Demand::default(),
        }
    }

    /// Gives the entries the demand that was collected one interval ago, and collects it again.
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
    const CLASSES: bool = true;

    fn ask(&mut self, now: Time, entry: usize, job: JobId, ask: AdmissionRequest) {
        let state = &mut self.entries[entry];
        let ticket = state.traffic.admit(now, ask);
        state.jobs.insert(ticket, job);
        self.tickets.insert(job, (entry, ticket));
    }

    fn retry(&mut self, now: Time, job: JobId, failure: Failure) {
        if let Some((entry, ticket)) = self.tickets.get(&job) {
            self.entries[*entry].traffic.retry(now, *ticket, failure);
        }
    }

    fn ended(&mut self, now: Time, job: JobId, outcome: &Outcome) {
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
        if now >= self.exchange {
            self.exchange = now + EXCHANGE;
            self.exchange_demand(now);
        }
        for entry in &mut self.entries {
            entry.traffic.tick(now);
        }
    }

    fn next_step(&mut self) -> Option<Step> {
        let (action, jobs) = self.entries.iter_mut().find_map(Entry::take)?;
        let (Action::Grant(ticket, ..) | Action::Refuse(ticket, _) | Action::Revoke(ticket, _)) =
            &action;
        let job = *jobs.get(ticket)?;
        match action {
            Action::Grant(_, choice, delay) => Some(Step::Start(job, choice.target, delay)),
            Action::Refuse(ticket, failure) | Action::Revoke(ticket, failure) => {
                jobs.remove(&ticket);
                self.tickets.remove(&job);
                Some(Step::Refuse(job, failure))
            }
        }
    }
}
