//! Simulated agents, entries and a usage interface that records the accepted reports.

use std::collections::BTreeMap;

use sardinepath_core::decision::usage::Counters;
use sardinepath_core::decision::usage::Tally;
use sardinepath_core::decision::usage::WindowRecord;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::name::TeamName;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::name::WorkspaceName;
use sardinepath_core::port::usage::UsageError;
use sardinepath_core::port::usage::UsageReport;

use crate::support::CallOutcome;
use crate::support::FakeStore;

/// Length of a window in seconds.
pub const WINDOW_SECONDS: u64 = 60;

#[derive(Debug, Default)]
pub struct Simulation {
    pub store: FakeStore,
    /// Wall clock in seconds.
    pub wall: u64,
    /// Number of tokens in all complete answers.
    pub truth: u64,
    pub contradictions: u64,
    agents: [(u64, u64); 2],
    restarts: u64,
    entries: [Tally; 2],
    accepted: BTreeMap<String, u64>,
}

pub fn workspace() -> WorkspaceId {
    WorkspaceId {
        team: TeamName::from("press"),
        name: WorkspaceName::from("diary"),
    }
}

impl Simulation {
    fn counter(&self, agent: usize) -> Counter {
        let (restart, tokens) = self.agents[agent];
        Counter {
            incarnation: Incarnation(restart * 2 + agent as u64),
            workspace: workspace(),
            tokens,
        }
    }

    pub fn answer(&mut self, agent: usize, entry: usize, tokens: u64) {
        self.truth += tokens;
        self.agents[agent].1 += tokens;
        let counter = self.counter(agent);
        self.entries[entry].merge(&counter);
    }

    /// Restarts an agent, unless it holds the last copy of its counter. The design permits that
    /// loss.
    pub fn restart_agent(&mut self, agent: usize) {
        let counter = self.counter(agent);
        let mut copies = self.frozen();
        for entry in &self.entries {
            let held = entry.counters(&workspace());
            let known = copies.entry(counter.incarnation).or_default();
            *known = held
                .get(&counter.incarnation)
                .copied()
                .max(Some(*known))
                .unwrap_or_default();
        }
        if copies.get(&counter.incarnation) < Some(&counter.tokens) {
            return;
        }
        self.restarts += 1;
        self.agents[agent] = (self.restarts, 0);
    }

    /// Restarts an entry, unless it holds the last copy of the counter of an agent that has ended.
    /// The design permits that loss.
    pub fn restart_entry(&mut self, entry: usize) {
        let mut safe = self.frozen();
        for agent in 0..2 {
            let counter = self.counter(agent);
            safe.insert(counter.incarnation, u64::MAX);
        }
        let held = self.entries[entry].all();
        if held
            .iter()
            .all(|c| safe.get(&c.incarnation) >= Some(&c.tokens))
        {
            self.entries[entry] = Tally::default();
        }
    }

    /// Collects the counters from the reachable entries and agents.
    pub fn collect(&self, reach: [bool; 4]) -> Counters {
        let mut tally = Tally::default();
        for index in 0..2 {
            if reach[index] {
                self.entries[index]
                    .all()
                    .iter()
                    .for_each(|c| tally.merge(c));
            }
            if reach[index + 2] {
                tally.merge(&self.counter(index));
            }
        }
        tally.counters(&workspace())
    }

    /// Prunes the frozen counters from the reachable entries.
    pub fn prune(&mut self, covered: &Counters, reach: [bool; 4]) {
        for (entry, _) in self.entries.iter_mut().zip(reach).filter(|pair| pair.1) {
            entry.prune(&workspace(), covered);
        }
    }

    fn frozen(&self) -> Counters {
        let records = self.store.list::<WindowRecord>("usage/press/diary/");
        let records: Vec<_> = records.into_iter().map(|pair| pair.1).collect();
        sardinepath_core::decision::usage::history(&records)
    }

    pub fn report(&mut self, report: &UsageReport, outcome: CallOutcome) -> Result<(), UsageError> {
        if outcome == CallOutcome::Down {
            return Err(UsageError::Unavailable("outage".into()));
        }
        if outcome == CallOutcome::CallLost {
            return Err(UsageError::Unknown("no answer".into()));
        }
        let known = *self
            .accepted
            .entry(report.id.clone())
            .or_insert(report.tokens);
        if known != report.tokens {
            self.contradictions += 1;
            return Err(UsageError::Contradiction);
        }
        match outcome {
            CallOutcome::Done => Ok(()),
            _ => Err(UsageError::Unknown("no answer".into())),
        }
    }

    pub fn billed(&self) -> u64 {
        self.accepted.values().sum()
    }

    pub fn reports(&self) -> usize {
        self.accepted.len()
    }

    /// Returns the number of the current window.
    pub fn window(&self) -> u64 {
        self.wall / WINDOW_SECONDS
    }
}
