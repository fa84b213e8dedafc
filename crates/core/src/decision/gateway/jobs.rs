//! Life of a batch job at one process: known, loading, running, ended.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::Journal;
use crate::decision::batch::Runner;
use crate::decision::batch::RunnerTerms;
use crate::decision::batch::VersionTerms;
use crate::decision::directory::CallEnd;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::STORE_PAUSE;
use crate::decision::gateway::draft::DraftWrites;
use crate::decision::gateway::draft::LoadedDrafts;
use crate::decision::gateway::draft::unfinished;
use crate::decision::gateway::message::Answer;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::Kind;
use crate::decision::gateway::message::Purpose;
use crate::decision::gateway::message::Record;
use crate::decision::gateway::message::Reply;
use crate::decision::gateway::message::StoreCall;
use crate::decision::gateway::read::Reader;
use crate::decision::gateway::read::Wanted;
use crate::domain::batch::Batch;
use crate::domain::batch::Draft;
use crate::domain::batch::Head;
use crate::domain::batch::Page;
use crate::domain::batch::Runner as RunnerName;
use crate::domain::batch::page_name;
use crate::domain::batch::part_name;
use crate::domain::event::Event;
use crate::domain::fleet::Peer;
use crate::domain::ids::Revision;
use crate::domain::name::BatchId;
use crate::domain::name::ItemId;
use crate::domain::name::WorkspaceName;
use crate::domain::table::Route;
use crate::domain::table::RouteTable;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Time between two pages of one job, so that several results share a write.
const PAGE_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time after a page until finished results are written although they complete no group.
const PAGE_LONGEST: Duration = Duration::from_millis(1_000);

/// Time for which an end that the object API does not confirm is tried.
const END_LIMIT: Duration = Duration::from_millis(2_500);

/// Time after which the submission and results of an ended job leave the memory.
const KEEP_IDLE: Duration = Duration::from_secs(20);

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
    /// Why the submission is being read, if it is.
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
    /// Earliest time of the next write of a page.
    pub(super) next_page: Time,
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
    /// Takes in the state of a job as it is stored.
    pub(super) fn learn_head(&mut self, id: &BatchId, revision: Revision, head: Head) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(id) {
            if revision <= job.revision {
                return;
            }
            job.revision = revision;
            job.head = head;
            job.suspected = None;
        } else {
            self.jobs.insert(id.clone(), Job::new(head, revision, now));
        }
        self.settle_job(id);
        self.check_runner(id);
    }

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
                single: route
                    .as_ref()
                    .and_then(|r| r.rollout())
                    .is_some_and(|t| t.single),
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

    /// Reads what is missing of a job: the submission for a runner or a body, results for a
    /// runner or a reader.
    pub(super) fn load_more(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if now < job.retry {
            return;
        }
        let loading = matches!(job.work, Work::Loading);
        let mut calls = Vec::new();
        if job.batch.is_none() && !job.loading && (loading || !job.bodies.is_empty()) {
            job.loading = true;
            let part = job.parts.len();
            let name = Arc::from(part_name(id, part));
            let purpose = Purpose::LoadPart(id.clone(), part);
            calls.push((purpose, StoreCall::Get(Kind::Parts, name)));
        }
        if loading && matches!(job.drafts, LoadedDrafts::Unknown) {
            job.drafts = LoadedDrafts::Asked;
            let call = StoreCall::Get(Kind::Drafts, Arc::from(id.as_str()));
            calls.push((Purpose::LoadDrafts(id.clone()), call));
        }
        let reading = !matches!(job.work, Work::Running(_)) && !job.readers.is_empty();
        let unread = loading && job.complete.is_none();
        if !job.paging && (unread || reading) {
            job.paging = true;
            job.page_asked = now;
            let start = job.journal.len();
            let name = Arc::from(page_name(id, start));
            let purpose = Purpose::LoadPage(id.clone(), start);
            calls.push((purpose, StoreCall::Get(Kind::Pages, name)));
        }
        for (purpose, call) in calls {
            self.call_store(purpose, call);
        }
    }

    /// Takes in a part of a submission.
    pub(super) fn loaded_part(
        &mut self,
        id: &BatchId,
        part: usize,
        answer: Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.loading = false;
        let Ok(Answer::Found(Some((_, Record::Part(text))))) = answer else {
            job.retry = now + STORE_PAUSE;
            return;
        };
        if part == job.parts.len() {
            job.parts.push(text);
        }
        if job.parts.len() < job.head.parts {
            self.load_more(id);
            return;
        }
        job.loading = true;
        let source = job.parts.drain(..).map(|part| part.to_string()).collect();
        self.effects.push(Effect::Decode(id.clone(), source));
    }

    /// Takes in a decoded submission.
    pub(super) fn decoded(&mut self, id: &BatchId, batch: Option<Arc<Batch>>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.loading = false;
        job.batch = batch;
        self.advance_load(id);
        self.answer_bodies(id);
    }

    /// Takes in a page, or the answer that there is none.
    pub(super) fn loaded_page(
        &mut self,
        id: &BatchId,
        start: usize,
        answer: Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.paging = false;
        match answer {
            Ok(Answer::Found(Some((_, Record::Page(page))))) => {
                job.journal.extend(start, &page.outcomes);
            }
            Ok(Answer::Found(None)) => {
                job.complete = Some(job.page_asked);
                job.retry = now + STORE_PAUSE;
            }
            _ => job.retry = now + STORE_PAUSE,
        }
        self.advance_load(id);
        self.answer_readers(id);
        self.load_more(id);
    }

    /// Starts the runner once everything is known.
    pub(super) fn advance_load(&mut self, id: &BatchId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if matches!(job.work, Work::Loading)
            && job.complete.is_some()
            && matches!(job.drafts, LoadedDrafts::Known(_))
            && let Some(batch) = job.batch.clone()
        {
            self.start_runner(id, batch);
            self.dispatch();
        }
    }

    /// Writes finished results.
    pub(super) fn flush(&mut self) {
        let now = self.now;
        let mut calls = Vec::new();
        for (id, job) in &mut self.jobs {
            let Work::Running(active) = &mut job.work else {
                continue;
            };
            if active.writing || now < active.next_page {
                continue;
            }
            // A page whose write may still take effect is written again as it is.
            let (start, page) = match active.appending.clone() {
                Some(again) => again,
                None => {
                    let outcomes = active.runner.finished();
                    let late = now >= active.next_page + (PAGE_LONGEST - PAGE_INTERVAL);
                    if outcomes.is_empty() || !(late || active.runner.completes_group()) {
                        continue;
                    }
                    (job.journal.len(), Page { outcomes })
                }
            };
            active.appending = Some((start, page.clone()));
            active.writing = true;
            calls.push((id.clone(), start, page));
        }
        for (id, start, page) in calls {
            self.append(id, start, page);
        }
    }

    fn append(&mut self, id: BatchId, start: usize, page: Page) {
        let name = Arc::from(page_name(&id, start));
        let call = StoreCall::Create(Kind::Pages, name, Record::Page(page));
        self.call_store(Purpose::Append(id, start), call);
    }

    /// Takes in the answer to the write of a page.
    pub(super) fn appended(
        &mut self,
        id: &BatchId,
        start: usize,
        answer: &Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Work::Running(active) = &mut job.work else {
            return;
        };
        if active.appending.as_ref().is_none_or(|(at, _)| *at != start) {
            return;
        }
        active.writing = false;
        match answer {
            Ok(Answer::Written(_)) => {
                if let Some((_, page)) = active.appending.take() {
                    active.next_page = now + PAGE_INTERVAL;
                    self.list(id, start, &page);
                }
            }
            // Another page stands at this position, or this one after a lost answer.
            Err(ObjectError::Conflict(_)) => {
                active.writing = true;
                let name = Arc::from(page_name(id, start));
                let call = StoreCall::Get(Kind::Pages, name);
                self.call_store(Purpose::Append(id.clone(), start), call);
            }
            Ok(Answer::Found(Some((_, Record::Page(page))))) => {
                active.appending = None;
                let page = page.clone();
                self.list(id, start, &page);
            }
            _ => active.next_page = now + STORE_PAUSE,
        }
    }

    /// Adds a stored page to the journal and tells readers.
    fn list(&mut self, id: &BatchId, start: usize, page: &Page) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.journal.extend(start, &page.outcomes);
        let ids: Vec<ItemId> = page.outcomes.iter().map(|o| o.id.clone()).collect();
        let mut needless = Vec::new();
        let mut done = false;
        if let Work::Running(active) = &mut job.work {
            needless = active.runner.listed(&ids);
            done = active.runner.is_done();
        }
        let listed = job.journal.len();
        for (run, target) in needless {
            self.effects.push(Effect::Stop(run));
            self.directory.release(now, &target, CallEnd::Dropped);
        }
        let total = self.jobs.get(id).map_or(0, |job| job.head.total);
        self.log(
            Event::ResultsListed,
            vec![
                ("batch", id.to_string()),
                ("listed", listed.to_string()),
                ("total", total.to_string()),
                ("done", done.to_string()),
            ],
        );
        self.answer_readers(id);
    }

    /// Marks a job as ended.
    pub(super) fn end(&mut self, call: CallId, id: BatchId, workspace: Option<WorkspaceName>) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            self.find(call, id, Wanted::End(workspace));
            return;
        };
        if !job.belongs_to(workspace.as_ref()) {
            self.reply(call, Reply::Absent);
            return;
        }
        if job.head.ended {
            self.reply(call, Reply::Ended);
            return;
        }
        let until = now + END_LIMIT;
        match &mut job.ending {
            Some(ending) => ending.calls.push(call),
            None => {
                job.ending = Some(Ending {
                    calls: vec![call],
                    until,
                });
                self.write_end(&id);
            }
        }
    }

    fn write_end(&mut self, id: &BatchId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let head = Head {
            ended: true,
            ..job.head.clone()
        };
        let revision = job.revision;
        self.update_head(Purpose::End(id.clone()), id, head, revision);
    }

    pub(super) fn update_head(
        &mut self,
        purpose: Purpose,
        id: &BatchId,
        head: Head,
        revision: Revision,
    ) {
        let name = Arc::from(id.as_str());
        let call = StoreCall::Update(Kind::Heads, name, Record::Head(head), revision);
        self.call_store(purpose, call);
    }

    /// Takes in the answer to the write that ends a job.
    pub(super) fn ended(&mut self, id: &BatchId, answer: &Result<Answer, ObjectError>) {
        match answer {
            Ok(Answer::Written(revision)) => {
                let Some(job) = self.jobs.get(id) else {
                    return;
                };
                let head = Head {
                    ended: true,
                    ..job.head.clone()
                };
                self.learn_head(id, *revision, head);
            }
            _ => self.refresh(id),
        }
    }

    /// Reads a head whose state is in doubt.
    pub(super) fn refresh(&mut self, id: &BatchId) {
        let name = Arc::from(id.as_str());
        let call = StoreCall::Get(Kind::Heads, name);
        self.call_store(Purpose::Refresh(id.clone()), call);
    }

    /// Takes in a head that was read because its state was in doubt.
    pub(super) fn refreshed(&mut self, id: &BatchId, answer: Result<Answer, ObjectError>) {
        match answer {
            Ok(Answer::Found(Some((revision, Record::Head(head))))) => {
                self.learn_head(id, revision, head);
                if let Some(job) = self.jobs.get_mut(id) {
                    job.moving = false;
                    if job.ending.is_some() {
                        self.write_end(id);
                    }
                }
            }
            Ok(Answer::Found(None)) => self.drop_job(id),
            _ => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.moving = false;
                    // `expire_end` answers the callers if the object API stays away.
                    if job.ending.is_some() {
                        self.refresh(id);
                    }
                }
            }
        }
    }

    /// Answers callers that wait for an end that is stored.
    fn confirm_end(&mut self, id: &BatchId) {
        let ending = self.jobs.get_mut(id).and_then(|job| job.ending.take());
        for call in ending.map(|e| e.calls).unwrap_or_default() {
            self.log(Event::BatchEnded, vec![("batch", id.to_string())]);
            self.reply(call, Reply::Ended);
        }
    }

    fn expire_end(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.ending.as_ref().is_some_and(|e| now >= e.until) {
            for call in job.ending.take().map(|e| e.calls).unwrap_or_default() {
                self.reply(call, Reply::Unsure);
            }
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

    /// Gives all jobs of this process to others.
    pub(super) fn hand_over(&mut self) {
        let mine: Vec<BatchId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_mine(&self.me.peer) && !job.head.ended && !job.moving)
            .map(|(id, _)| id.clone())
            .collect();
        for id in mine {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.moving = true;
                let head = Head {
                    runner: None,
                    ..job.head.clone()
                };
                let revision = job.revision;
                self.update_head(Purpose::HandOver(id.clone()), &id, head, revision);
            }
        }
    }

    /// Takes in the answer to a change of the runner.
    pub(super) fn moved(
        &mut self,
        id: &BatchId,
        runner: Option<RunnerName>,
        answer: &Result<Answer, ObjectError>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match answer {
            Ok(Answer::Written(revision)) => {
                job.moving = false;
                let head = Head {
                    runner,
                    ..job.head.clone()
                };
                self.learn_head(id, *revision, head);
            }
            _ => self.refresh(id),
        }
    }
}

/// Finds the route of a job in the newest configuration.
pub(super) fn find_route(table: &RouteTable, head: &Head) -> Option<Arc<Route>> {
    let routes = table.hosts.get(&head.host)?;
    routes.iter().find(|r| r.name == head.route).cloned()
}
