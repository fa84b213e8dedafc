//! Life of a batch job at one process: known, loading, running, ended.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::Journal;
use crate::decision::batch::Runner;
use crate::decision::batch::RunnerTerms;
use crate::decision::batch::VersionTerms;
use crate::decision::directory::CallEnd;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::draft::DraftWrites;
use crate::decision::gateway::draft::LoadedDrafts;
use crate::decision::gateway::draft::unfinished;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::Reply;
use crate::decision::gateway::read::Reader;
use crate::domain::batch::Batch;
use crate::domain::batch::Draft;
use crate::domain::batch::Head;
use crate::domain::batch::Page;
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::ids::Revision;
use crate::domain::name::BatchId;
use crate::domain::name::ItemId;
use crate::domain::name::WorkspaceName;
use crate::domain::table::Route;
use crate::domain::table::RouteTable;
use crate::domain::time::Time;

/// Time after which the submission and results of an ended job leave the memory.
const KEEP_IDLE: Duration = Duration::from_secs(60);

/// A batch job as this process knows it.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) head: Head,
    pub(super) revision: Revision,
    pub(super) journal: Journal,
    pub(super) work: Work,
    pub(super) batch: Option<Arc<Batch>>,
    /// Texts of the parts of the submission that have been read.
    pub(super) parts: Vec<Arc<str>>,
    /// True while a part of the submission is being read or decoded.
    pub(super) loading: bool,
    /// Drafts as they are stored.
    pub(super) drafts: LoadedDrafts,
    /// True while a page is being read.
    pub(super) paging: bool,
    /// When the journal was last known to be complete, by a read that began then.
    pub(super) complete: Option<Time>,
    /// When the last read of a page began.
    pub(super) page_asked: Time,
    /// Earliest time of the next read from the object API.
    pub(super) retry: Time,
    pub(super) readers: Vec<Reader>,
    /// Questions for the bodies of items.
    pub(super) bodies: Vec<(CallId, ItemId, Time)>,
    pub(super) ending: Option<Ending>,
    /// True while a change of the runner is on its way.
    pub(super) moving: bool,
    /// When the runner was first believed to be gone.
    pub(super) suspected: Option<Time>,
    pub(super) touched: Time,
}

/// What this process does for a job.
#[derive(Debug)]
pub(super) enum Work {
    /// Another process runs it, or it has ended.
    Idle,
    /// The submission and the results are being read.
    Loading,
    /// It runs here.
    Running(Box<Active>),
}

/// A job that runs here.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) runner: Runner,
    /// Page that is being written, with its position.
    pub(super) appending: Option<(usize, Page)>,
    /// True while the write of the page waits for its answer.
    pub(super) writing: bool,
    /// Earliest time of the next write of a page, after one that failed.
    pub(super) next_page: Time,
    /// Time of the last page, at first the start.
    pub(super) paged: Time,
    /// Since when a group is complete that is not written.
    pub(super) complete: Option<Time>,
    /// Writes of drafts.
    pub(super) drafts: DraftWrites,
}

/// Callers that wait for the end of a job.
#[derive(Debug)]
pub(super) struct Ending {
    pub(super) calls: Vec<CallId>,
    pub(super) until: Time,
}

impl Job {
    /// Tells whether all results are known, so that the object API holds no more of them.
    pub(super) fn is_whole(&self) -> bool {
        self.journal.len() >= self.head.total
    }

    pub(super) fn new(head: Head, revision: Revision, now: Time) -> Self {
        Self {
            head,
            revision,
            journal: Journal::default(),
            work: Work::Idle,
            batch: None,
            parts: Vec::new(),
            loading: false,
            drafts: LoadedDrafts::Unknown,
            paging: false,
            complete: None,
            page_asked: now,
            retry: now,
            readers: Vec::new(),
            bodies: Vec::new(),
            ending: None,
            moving: false,
            suspected: None,
            touched: now,
        }
    }

    /// Tells whether a process is the runner of record.
    pub(super) fn is_mine(&self, me: &Peer) -> bool {
        self.head
            .runner
            .as_ref()
            .is_some_and(|runner| runner.host == me.host && runner.incarnation == me.incarnation)
    }

    /// Tells whether the job needs frequent ticks.
    pub(super) fn is_busy(&self) -> bool {
        !matches!(self.work, Work::Idle)
            || !self.readers.is_empty()
            || !self.bodies.is_empty()
            || self.suspected.is_some()
    }

    /// Tells whether a workspace owns the job.
    pub(super) fn belongs_to(&self, workspace: Option<&WorkspaceName>) -> bool {
        self.head.workspace.as_ref() == workspace
    }
}

impl Gateway {
    /// Starts or stops work on a job after its head changed.
    pub(super) fn settle_job(&mut self, id: &BatchId) {
        let me = self.me.peer.clone();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let wanted = job.is_mine(&me) && !job.head.ended;
        match (&job.work, wanted) {
            (Work::Idle, true) => {
                job.work = Work::Loading;
                job.drafts = LoadedDrafts::Unknown;
                job.complete = None;
                self.log(Event::BatchStarted, vec![("batch", id.to_string())]);
            }
            (Work::Loading, false) => job.work = Work::Idle,
            (Work::Running(_), false) => self.stop_job(id),
            _ => {}
        }
        let ended = self.jobs.get(id).is_some_and(|job| job.head.ended);
        if ended {
            self.confirm_end(id);
        }
    }

    /// Stops all attempts of a job here.
    fn stop_job(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Work::Running(active) = std::mem::replace(&mut job.work, Work::Idle) else {
            return;
        };
        job.complete = None;
        let running = active.runner.running();
        let ended = job.head.ended;
        if ended {
            let mut drafts = active.runner.drafts();
            drafts.extend(unfinished(&active.runner, &job.journal));
            self.keep(drafts);
        }
        self.log(
            Event::BatchStopped,
            vec![
                ("batch", id.to_string()),
                ("ended", ended.to_string()),
                ("running", running.len().to_string()),
            ],
        );
        for (run, target) in running {
            self.runs.remove(&run);
            self.effects.push(Effect::Stop(run));
            self.directory.release(now, &target, CallEnd::Dropped);
        }
    }

    /// Begins to run a job whose submission and results are known.
    pub(super) fn start_runner(&mut self, id: &BatchId, batch: Arc<Batch>) {
        let now = self.now;
        let epoch = self.me.epoch;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let route = self.table.as_ref().and_then(|t| find_route(t, &job.head));
        let attempts = route.as_ref().map_or(1, |r| r.attempts.max(1));
        let retention = route
            .as_ref()
            .and_then(|r| r.rollout())
            .map(|t| t.retention);
        // Without its route the job waits for a configuration that has it.
        let retention = retention.unwrap_or(Duration::from_secs(40));
        let accepted = Time(job.head.accepted.0.saturating_sub(epoch));
        let terms = RunnerTerms {
            attempts,
            until: accepted + retention,
            versions: VersionTerms {
                least: job.head.least,
                single: route.as_ref().is_some_and(|route| route.is_single()),
            },
        };
        let mut drafts: Vec<Draft> = match std::mem::take(&mut job.drafts) {
            LoadedDrafts::Known(drafts) => drafts,
            LoadedDrafts::Unknown | LoadedDrafts::Asked => Vec::new(),
        };
        let items = &batch.items;
        let again = |d: &&Draft| items.iter().any(|item| item.id == d.id);
        drafts.extend(self.kept.iter().filter(again).cloned());
        let runner = Runner::new(now, batch.clone(), terms, &job.journal, &drafts);
        job.batch = Some(batch);
        job.work = Work::Running(Box::new(Active {
            runner,
            appending: None,
            writing: false,
            next_page: now,
            paged: now,
            complete: None,
            drafts: DraftWrites::new(now),
        }));
    }

    pub(super) fn tick_jobs(&mut self) {
        let ids: Vec<BatchId> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.load_more(id);
            self.answer_readers(id);
            self.answer_bodies(id);
            self.check_runner(id);
            self.expire_end(id);
            self.forget(id);
        }
    }

    /// Drops what is only a copy of stored objects.
    fn forget(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let idle = matches!(job.work, Work::Idle) && !job.is_busy() && !job.paging && !job.loading;
        if idle && now.since(job.touched) > KEEP_IDLE {
            job.batch = None;
            job.parts.clear();
            job.journal = Journal::default();
            job.complete = None;
        }
    }

    pub(super) fn drop_job(&mut self, id: &BatchId) {
        self.stop_job(id);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        let readers = job.readers.iter().map(|r| r.call);
        let bodies = job.bodies.iter().map(|b| b.0);
        let ending = job.ending.into_iter().flat_map(|e| e.calls);
        let calls: Vec<CallId> = readers.chain(bodies).chain(ending).collect();
        for call in calls {
            self.reply(call, Reply::Absent);
        }
    }
}

/// Finds the route of a job in the newest configuration.
pub(super) fn find_route(table: &RouteTable, head: &Head) -> Option<Arc<Route>> {
    let routes = table.hosts.get(&head.host)?;
    routes.iter().find(|r| r.name == head.route).cloned()
}
