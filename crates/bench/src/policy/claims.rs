//! Slots that each client uses and could use.

use std::time::Duration;

use sardinepath_core::domain::declare::TargetKind;

use crate::policy::deployment::Client;
use crate::policy::job::JobId;
use crate::policy::port::Policy;
use crate::policy::share::Claim;
use crate::policy::simulation::Simulation;
use crate::policy::target;
use crate::policy::target::Target;

/// Time that a request takes to reach a target. A younger request does not count as waiting.
const TRANSIT_TIME: Duration = Duration::from_millis(200);

impl<P: Policy> Simulation<'_, P> {
    /// Returns the slots that each client of one kind of target uses and could use.
    pub(super) fn claims(&self, kind: TargetKind) -> Vec<(usize, Claim)> {
        let is_kind = |target: &&Target| target.kind == kind;
        let mut running = vec![0_u32; self.sources.len()];
        for (id, _) in self.targets.iter().filter(is_kind).flat_map(|t| &t.running) {
            running[self.jobs[*id].client] += 1;
        }
        let slots = self.targets.len() * target::capacity(kind) as usize;
        let clients = self.settings.deployment.clients.iter().enumerate();
        let clients = clients.filter(|(_, client)| client.target_kind() == kind);
        let claim = |(number, client): (usize, &Client)| {
            let has_arrived = |id: &&JobId| self.jobs[**id].arrival + TRANSIT_TIME <= self.now;
            let waiting = self.waiting[number]
                .iter()
                .take(slots)
                .filter(has_arrived)
                .count();
            let claim = Claim {
                weight: f64::from(client.share),
                running: f64::from(running[number]),
                waiting: f64::from(u32::try_from(waiting).unwrap_or(u32::MAX)),
            };
            (number, claim)
        };
        clients.map(claim).collect()
    }

    /// Records the slot time of a failed attempt, if it had started to run.
    pub(super) fn record_waste(&mut self, id: JobId, attempt: u32) {
        let job = &self.jobs[id];
        let runs = !self.waiting[job.client].contains(&id);
        if job.attempt == attempt && runs {
            let time = self.now.since(job.started);
            self.recorder.waste(job.client, time);
            self.waiting[job.client].insert(id);
        }
    }
}
