//! Routes of batch jobs: which limits hold for a job, and when it may start.
//!
//! The limits of a job are those of its route in the configuration in force, also if the job was
//! accepted under another one. A job whose route is missing sends nothing. If it never had its route
//! here it has no limits at all; otherwise the last known ones hold until the route is back.

use std::sync::Arc;

use crate::decision::batch::LoadedJob;
use crate::decision::batch::RunnerLimits;
use crate::decision::batch::VersionLimits;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::ActiveJob;
use crate::decision::gateway::jobs::Work;
use crate::decision::gateway::jobs::draft::DraftWrites;
use crate::decision::gateway::jobs::failures::FailureWrites;
use crate::domain::batch::Batch;
use crate::domain::batch::Head;
use crate::domain::event::Event;
use crate::domain::name::BatchId;
use crate::domain::table::BatchSettings;
use crate::domain::table::Route;
use crate::domain::table::RouteTable;
use crate::domain::time::Time;

/// Route of a batch job, with its settings for batch jobs.
#[derive(Clone, Debug)]
pub(in crate::decision::gateway) struct JobRoute {
    pub(in crate::decision::gateway) route: Arc<Route>,
    pub(in crate::decision::gateway) settings: BatchSettings,
}

impl JobRoute {
    /// Returns the route of a job, or `None` if the configuration contains no such route for batch
    /// jobs.
    pub(in crate::decision::gateway) fn find(table: &RouteTable, head: &Head) -> Option<Self> {
        let routes = table.hosts.get(&head.host)?;
        let route = routes.iter().find(|route| route.name == head.route)?;
        let settings = route.batch_settings()?;
        Some(Self {
            route: route.clone(),
            settings,
        })
    }

    /// Returns the weight versions from which the texts of a job may come.
    pub(in crate::decision::gateway) fn versions(&self, head: &Head) -> VersionLimits {
        VersionLimits {
            min_version: head.min_version,
            single: self.settings.single,
        }
    }

    /// Returns the limits for the items of a job. `epoch` is the wall-clock time at `Time(0)`.
    fn limits(&self, head: &Head, epoch: u64) -> RunnerLimits {
        let accepted = Time(head.accepted.0.saturating_sub(epoch));
        RunnerLimits {
            failures: self.route.max_failures(),
            deadline: self.settings.retention.map(|time| accepted + time),
            versions: self.versions(head),
        }
    }
}

impl Gateway {
    /// Returns the route of a job, or `None` if no configuration is known or the known one does not
    /// contain it.
    pub(in crate::decision::gateway) fn job_route(&self, head: &Head) -> Option<JobRoute> {
        JobRoute::find(self.table.as_ref()?, head)
    }

    /// Starts a job whose submission, results and drafts are loaded, as soon as its route is known.
    pub(in crate::decision::gateway) fn start_loaded(&mut self, id: &BatchId, batch: Arc<Batch>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut drafts = job.drafts.take();
        let failures = job.failures.take();
        let items = batch.items.iter();
        drafts.extend(items.filter_map(|item| self.retained.find(&job.head, item)));
        job.batch = Some(batch.clone());
        job.work = Work::AwaitingRoute(LoadedJob::new(batch, drafts, failures));
        if !self.apply_route(id) {
            self.log_missing_route(id);
        }
    }

    /// Applies a new configuration to the jobs that run here or wait for their route.
    pub(in crate::decision::gateway) fn apply_routes(&mut self, before: Option<&RouteTable>) {
        let ids: Vec<BatchId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let had_route = self.jobs.get(&id).is_some_and(|job| {
                matches!(job.work, Work::Running(_))
                    && before.is_some_and(|table| JobRoute::find(table, &job.head).is_some())
            });
            if !self.apply_route(&id) && had_route {
                self.log_missing_route(&id);
            }
        }
    }

    /// Gives a job the limits of its route, which starts it if it has waited for them. Returns `false`
    /// if the route is not known.
    fn apply_route(&mut self, id: &BatchId) -> bool {
        let now = self.now;
        let epoch = self.settings.epoch;
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let table = self.table.as_ref();
        let Some(route) = table.and_then(|table| JobRoute::find(table, &job.head)) else {
            return false;
        };
        let limits = route.limits(&job.head, epoch);
        job.work = match std::mem::replace(&mut job.work, Work::Idle) {
            Work::AwaitingRoute(loaded) => {
                let runner = loaded.start(now, limits, &job.journal);
                Work::Running(Box::new(ActiveJob {
                    runner,
                    pending_page: None,
                    writing_page: false,
                    next_page: now,
                    last_page: now,
                    group_since: None,
                    drafts: DraftWrites::new(now),
                    failures: FailureWrites::new(now),
                }))
            }
            Work::Running(mut active) => {
                active.runner.set_limits(limits);
                Work::Running(active)
            }
            other => other,
        };
        true
    }

    /// Logs that a job cannot go on because its route is not known.
    fn log_missing_route(&mut self, id: &BatchId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let table = self.table.as_ref();
        let version = table.map_or("none".to_owned(), |table| table.version.to_string());
        let fields = vec![
            ("batch", id.to_string()),
            ("route", job.head.route.to_string()),
            ("config", version),
        ];
        self.log(Event::RouteMissing, fields);
    }
}
