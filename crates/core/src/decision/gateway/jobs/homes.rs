//! Homes of batch jobs: regions that may serve their items and hold their bodies.

use crate::decision::directory::TargetNeeds;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::routes::JobRoute;
use crate::decision::gateway::stored::Purpose;
use crate::domain::batch::Head;
use crate::domain::place::Closure;
use crate::domain::place::Homes;
use crate::domain::table::Route;
use crate::domain::table::RouteTable;

/// Returns the regions that may serve a job, or `None` if all may. A route that is gone has no homes.
pub(in crate::decision::gateway) fn job_homes(table: &RouteTable, head: &Head) -> Option<Homes> {
    let workspace = head.workspace.as_ref();
    match JobRoute::find(table, head) {
        Some(found) => table.homes(&found.route, workspace),
        None => table.workspace_homes.get(workspace?).cloned(),
    }
}

impl Gateway {
    /// Returns the regions that may serve a job and hold its bodies, or `None` if all may.
    pub(in crate::decision::gateway) fn job_homes(&self, head: &Head) -> Option<Homes> {
        let homes = job_homes(self.table.as_ref()?, head);
        self.directory.places.binding(homes)
    }

    /// Returns `true` if no region of the deployment may serve a job of the route, or its pools have
    /// targets, but none at home.
    pub(in crate::decision::gateway) fn is_homeless(&self, route: &Route, homes: &Homes) -> bool {
        let need = TargetNeeds {
            homes: Some(homes.clone()),
            ..TargetNeeds::default()
        };
        let mut closures = route
            .split
            .iter()
            .map(|(pool, _)| self.directory.closure(pool, &need))
            .peekable();
        let served = closures.peek().is_some();
        !self.directory.places.has_home(homes)
            || (served && closures.all(|closure| closure == Some(Closure::NoHome)))
    }

    /// Returns `true` if this process may get the submission of a job to take it over. Its own host
    /// has it already if an earlier run of it was the runner.
    pub(in crate::decision::gateway) fn may_take_over(&self, head: &Head) -> bool {
        let me = &self.settings.peer;
        let own = head.runner.as_ref().is_some_and(|r| r.host == me.host);
        let homes = self.job_homes(head);
        own || homes.is_none_or(|homes| homes.allow(Some(&self.settings.region)))
    }

    /// Returns the regions in which a call to the object API may be relayed, or `None` if it carries no
    /// bodies or all may.
    pub(in crate::decision::gateway) fn body_homes(&self, purpose: &Purpose) -> Option<Homes> {
        let (Purpose::Part(id, _) | Purpose::LoadPart(id, _)) = purpose else {
            return None;
        };
        let job = self.jobs.get(id).map(|job| &job.head);
        let submission = || self.submissions.get(id).map(|submission| &submission.head);
        self.job_homes(job.or_else(submission)?)
    }
}
