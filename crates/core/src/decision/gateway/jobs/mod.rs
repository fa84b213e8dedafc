//! Life cycle of a batch job at one process: known, loading, awaiting its route, running, ended.
//!
//! - `submit`, `held`, `place`: submissions, and the choice of the runner
//! - `head`, `ending`, `removal`: stored heads, and the ends of jobs
//! - `load`, `routes`: what a job needs before it runs here
//! - `homes`: where a job may run
//! - `memory`: the bytes of submissions that are kept
//! - `dispatch`, `share`, `scoring`: items and scoring requests sent to targets
//! - `pages`, `read`: results, and their readers
//! - `draft`: texts that are reused by another process or a later job
//! - `failures`: failures of items, on which another process goes on counting

pub(super) mod dispatch;
pub(super) mod draft;
pub(super) mod ending;
pub(super) mod failures;
pub(super) mod head;
pub(super) mod held;
pub(super) mod homes;
pub(super) mod load;
pub(super) mod memory;
pub(super) mod pages;
pub(super) mod place;
pub(super) mod read;
pub(super) mod removal;
pub(super) mod routes;
pub(super) mod scoring;
pub(super) mod share;
pub(super) mod submit;

use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::Journal;
use crate::decision::batch::LoadedJob;
use crate::decision::batch::Runner;
use crate::decision::directory::CallEnd;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::draft::DraftWrites;
use crate::decision::gateway::jobs::draft::Loaded;
use crate::decision::gateway::jobs::draft::open_group_drafts;
use crate::decision::gateway::jobs::failures::FailureWrites;
use crate::decision::gateway::jobs::read::Reader;
use crate::decision::gateway::membership::witness::Witness;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::Reply;
use crate::domain::batch::Batch;
use crate::domain::batch::Draft;
use crate::domain::batch::Head;
use crate::domain::batch::ItemFailures;
use crate::domain::batch::Page;
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::ids::Revision;
use crate::domain::name::BatchId;
use crate::domain::name::ItemId;
use crate::domain::name::WorkspaceName;
use crate::domain::time::Time;

/// Time after the last use until the submission and results of an idle job are evicted from memory.
const IDLE_COPY_RETENTION: Duration = Duration::from_secs(60);

/// A batch job as this process knows it.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) head: Head,
    pub(super) revision: Revision,
    pub(super) journal: Journal,
    pub(super) work: Work,
    pub(super) batch: Option<Arc<Batch>>,
    /// Parts of the submission that have been read, in order.
    pub(super) parts: Vec<Arc<str>>,
    /// Whether a part of the submission is being read or decoded.
    pub(super) loading_part: bool,
    /// Stored drafts of the job.
    pub(super) drafts: Loaded<Draft>,
    /// Stored failures of the items of the job.
    pub(super) failures: Loaded<ItemFailures>,
    /// Whether a page of results is being read.
    pub(super) loading_page: bool,
    /// Start of the last read that found no stored results missing from the journal.
    pub(super) complete_at: Option<Time>,
    /// Start of the last read of a page.
    pub(super) page_requested: Time,
    /// Earliest time of the next read from the object API.
    pub(super) next_load: Time,
    pub(super) readers: Vec<Reader>,
    /// Callers that wait for the body of an item, with their deadlines.
    pub(super) bodies: Vec<(CallId, ItemId, Time)>,
    pub(super) ending: Option<Ending>,
    /// Whether a change of the runner is being written.
    pub(super) changing_runner: bool,
    /// Whether no other process has run the job. A former runner may still list results when it
    /// wakes from a pause, or by a write that takes effect late.
    pub(super) sole_runner: bool,
    /// Time at which this process learned of the present runner.
    pub(super) runner_since: Time,
    /// Time at which the runner was first considered gone.
    pub(super) suspected_since: Option<Time>,
    /// What is known of the drafts of the runner while it is suspected.
    pub(super) witness: Witness,
    pub(super) last_used: Time,
}

/// Work of this process on a job.
#[derive(Debug)]
pub(super) enum Work {
    /// Another process runs the job, or the job has ended.
    Idle,
    /// This process reads the submission, the results and the drafts before it runs the job.
    Loading,
    /// Everything is read, but the known configuration does not contain the route of the job.
    AwaitingRoute(LoadedJob),
    /// This process runs the job.
    Running(Box<ActiveJob>),
}

/// State of a job that this process runs.
#[derive(Debug)]
pub(super) struct ActiveJob {
    pub(super) runner: Runner,
    /// Page whose write is not confirmed yet, with its position.
    pub(super) pending_page: Option<(usize, Page)>,
    /// Whether a call for the pending page is outstanding.
    pub(super) writing_page: bool,
    /// Earliest time of the next write of a page after a failed one.
    pub(super) next_page: Time,
    /// Time at which the last page was stored, initially the start of the runner.
    pub(super) last_page: Time,
    /// Time since which a complete group waits to be written.
    pub(super) group_since: Option<Time>,
    /// State of the draft writes.
    pub(super) drafts: DraftWrites,
    /// State of the writes of failures.
    pub(super) failures: FailureWrites,
}

/// Callers that wait for the end of a job.
#[derive(Debug)]
pub(super) struct Ending {
    pub(super) calls: Vec<CallId>,
    pub(super) deadline: Time,
}

impl Job {
    /// Returns `true` if the journal holds the results of all items.
    pub(super) fn has_all_results(&self) -> bool {
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
            loading_part: false,
            drafts: Loaded::Unknown,
            failures: Loaded::Unknown,
            loading_page: false,
            complete_at: None,
            page_requested: now,
            next_load: now,
            readers: Vec::new(),
            bodies: Vec::new(),
            ending: None,
            changing_runner: false,
            sole_runner: false,
            runner_since: now,
            suspected_since: None,
            witness: Witness::Unknown,
            last_used: now,
        }
    }

    /// Returns `true` if this process runs the job and knows all results without a read from the
    /// object API.
    pub(super) fn lists_alone(&self) -> bool {
        matches!(self.work, Work::Running(_)) && self.sole_runner
    }

    /// Returns `true` if the head names this run of a process as the runner.
    pub(super) fn is_run_by(&self, me: &Peer) -> bool {
        self.head
            .runner
            .as_ref()
            .is_some_and(|runner| runner.host == me.host && runner.incarnation == me.incarnation)
    }

    /// Returns `true` if the head is stored, which accepts the job. A held submission runs before.
    pub(super) fn is_stored(&self) -> bool {
        self.revision != Revision::default()
    }

    /// Returns `true` if the job needs frequent ticks.
    pub(super) fn is_busy(&self) -> bool {
        matches!(self.work, Work::Loading | Work::Running(_))
            || !self.readers.is_empty()
            || !self.bodies.is_empty()
            || self.suspected_since.is_some()
    }

    /// Returns `true` if nothing needs the copies of the stored objects of the job now.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.work, Work::Idle)
            && !self.is_busy()
            && !self.loading_page
            && !self.loading_part
    }

    /// Evicts the copies of the stored objects, which are read again when they are needed.
    pub(super) fn evict(&mut self) {
        self.batch = None;
        self.parts.clear();
        self.journal = Journal::default();
        self.complete_at = None;
    }

    /// Returns `true` if the workspace owns the job.
    pub(super) fn belongs_to(&self, workspace: Option<&WorkspaceName>) -> bool {
        self.head.workspace.as_ref() == workspace
    }
}

impl Gateway {
    /// Starts or stops work on a job after its head changed.
    pub(super) fn reconcile_job(&mut self, id: &BatchId) {
        let me = self.settings.peer.clone();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let should_run = job.is_run_by(&me) && !job.head.ended;
        match (&job.work, should_run) {
            (Work::Idle, true) => {
                job.work = Work::Loading;
                job.drafts = Loaded::Unknown;
                job.failures = Loaded::Unknown;
                job.complete_at = None;
                self.log(Event::BatchStarted, vec![("batch", id.to_string())]);
            }
            (Work::Loading | Work::AwaitingRoute(_), false) => job.work = Work::Idle,
            (Work::Running(_), false) => self.stop_job(id),
            _ => {}
        }
        let ended = self.jobs.get(id).is_some_and(|job| job.head.ended);
        if ended {
            self.confirm_end(id);
        }
    }

    /// Stops all attempts of a job and retains the texts that an ended job did not need.
    fn stop_job(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Work::Running(active) = std::mem::replace(&mut job.work, Work::Idle) else {
            return;
        };
        job.complete_at = None;
        job.sole_runner = false;
        let running = active.runner.running();
        let head = job.head.clone();
        if head.ended {
            let mut drafts = active.runner.drafts();
            drafts.extend(open_group_drafts(&active.runner, &job.journal));
            self.retain_drafts(&head, &active.runner.batch.items, drafts);
        }
        self.log(
            Event::BatchStopped,
            vec![
                ("batch", id.to_string()),
                ("ended", head.ended.to_string()),
                ("running", running.len().to_string()),
            ],
        );
        for (run, target) in running {
            self.runs.remove(&run);
            self.effects.push(Effect::StopRun(run));
            self.directory.release(now, &target, CallEnd::Cancelled);
        }
    }

    pub(super) fn tick_jobs(&mut self) {
        let ids: Vec<BatchId> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.load_more(id);
            self.answer_readers(id);
            self.answer_bodies(id);
            self.check_runner(id);
            self.expire_end(id);
            self.evict_idle(id);
        }
    }

    /// Evicts the copies of stored objects of a job that is not in use.
    fn evict_idle(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.is_idle() && now.since(job.last_used) > IDLE_COPY_RETENTION {
            job.evict();
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
            self.reply(call, Reply::NotFound);
        }
    }
}
