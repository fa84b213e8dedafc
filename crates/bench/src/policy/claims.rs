//! Which slots the clients of the virtual world use and could use.

use std::time::Duration;

use sardinepath_core::domain::declare::TargetKind;

use crate::policy::deployment::Client;
use crate::policy::job::JobId;
use crate::policy::port::Policy;
use crate::policy::share::Claim;
use crate::policy::target;
use crate::policy::target::Target;
use crate::policy::world::World;

/// A request younger than this is on its way and is not counted as waiting.
const ON_ITS_WAY: Duration = Duration::from_millis(200);

impl<P: Policy> World<'_, P> {
    /// Returns which slots the clients of one kind of target use and could use.
    pub(super) fn claims(&self, kind: TargetKind) -> Vec<(usize, Claim)> {
        let same = |target: &&Target| target.kind == kind;
        let mut running = vec![0_u32; self.sources.len()];
        for (id, _) in self.targets.iter().filter(same).flat_map(|t| &t.running) {
            running[self.jobs[*id].client] += 1;
        }
        let slots = self.targets.len() * target::capacity(kind) as usize;
        let clients = self.settings.deployment.clients.iter().enumerate();
        let clients = clients.filter(|(_, client)| client.kind() == kind);
        let claim = |(number, client): (usize, &Client)| {
            let late = |id: &&JobId| self.jobs[**id].born + ON_ITS_WAY <= self.now;
            let waiting = self.waiting[number].iter().take(slots).filter(late).count();
            let claim = Claim {
                weight: f64::from(client.share),
                running: f64::from(running[number]),
                waiting: f64::from(u32::try_from(waiting).unwrap_or(u32::MAX)),
            };
            (number, claim)
        };
        clients.map(claim).collect()
    }

    /// Notes the slot time of an attempt that fails, if it has begun to run.
    pub(super) fn note_waste(&mut self, id: JobId, attempt: u32) {
        let job = &self.jobs[id];
        let runs = !self.waiting[job.client].contains(&id);
        if job.attempt == attempt && runs {
            let time = self.now.since(job.start);
            self.recorder.waste(job.client, time);
            self.waiting[job.client].insert(id);
        }
    }
}
