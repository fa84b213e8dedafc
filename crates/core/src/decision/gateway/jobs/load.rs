//! Loading of the submission, results and drafts of a job from the object API.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::STORE_RETRY_DELAY;
use crate::decision::gateway::jobs::Work;
use crate::decision::gateway::jobs::draft::Loaded;
use crate::decision::gateway::jobs::memory::without_source;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::batch::Batch;
use crate::domain::batch::page_name;
use crate::domain::batch::part_name;
use crate::domain::name::BatchId;
use crate::port::object::ObjectError;

/// Delay before a submission is read again that could not be decoded. It is likely to be the same.
const UNDECODABLE_DELAY: Duration = Duration::from_secs(5);

impl Gateway {
    /// Requests the objects of a job that are needed and not loaded yet: the submission to run the
    /// job or to return an item body, results to run the job or to answer a reader.
    pub(in crate::decision::gateway) fn load_more(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if now < job.next_load {
            return;
        }
        let loading = matches!(job.work, Work::Loading);
        let mut calls = Vec::new();
        if job.batch.is_none() && !job.loading_part && (loading || !job.bodies.is_empty()) {
            job.loading_part = true;
            let part = job.parts.len();
            let name = Arc::from(part_name(id, part));
            let purpose = Purpose::LoadPart(id.clone(), part);
            calls.push((purpose, StoreCall::Get(Kind::Parts, name)));
        }
        if loading && matches!(job.drafts, Loaded::Unknown) {
            job.drafts = Loaded::Requested;
            let call = StoreCall::Get(Kind::Drafts, Arc::from(id.as_str()));
            calls.push((Purpose::LoadDrafts(id.clone()), call));
        }
        if loading && matches!(job.failures, Loaded::Unknown) {
            job.failures = Loaded::Requested;
            let call = StoreCall::Get(Kind::Failures, Arc::from(id.as_str()));
            calls.push((Purpose::LoadFailures(id.clone()), call));
        }
        let reading = !job.lists_alone() && !job.readers.is_empty() && !job.has_all_results();
        let unread = loading && job.complete_at.is_none();
        if !job.loading_page && (unread || reading) {
            job.loading_page = true;
            job.page_requested = now;
            let start = job.journal.len();
            let name = Arc::from(page_name(id, start));
            let purpose = Purpose::LoadPage(id.clone(), start);
            calls.push((purpose, StoreCall::Get(Kind::Pages, name)));
        }
        for (purpose, call) in calls {
            self.call_store(purpose, call);
        }
    }

    /// Handles the answer to the read of a part of a submission.
    pub(in crate::decision::gateway) fn part_loaded(
        &mut self,
        id: &BatchId,
        part: usize,
        answer: Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.loading_part = false;
        let Ok(Answer::Found(Some((_, Record::Part(text))))) = answer else {
            job.next_load = now + STORE_RETRY_DELAY;
            return;
        };
        if part == job.parts.len() {
            job.parts.push(text);
        }
        if job.parts.len() < job.head.parts {
            self.load_more(id);
            return;
        }
        job.loading_part = true;
        let source = job.parts.drain(..).map(|part| part.to_string()).collect();
        self.effects.push(Effect::Decode(id.clone(), source));
    }

    /// Handles a decoded submission.
    pub(in crate::decision::gateway) fn decoded(
        &mut self,
        id: &BatchId,
        batch: Option<Arc<Batch>>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.loading_part = false;
        if batch.is_none() {
            job.next_load = self.now + UNDECODABLE_DELAY;
        }
        job.batch = batch.map(without_source);
        self.advance_load(id);
        self.answer_bodies(id);
    }

    /// Handles the answer to the read of a page. A missing page means that the journal is complete.
    pub(in crate::decision::gateway) fn page_loaded(
        &mut self,
        id: &BatchId,
        start: usize,
        answer: Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.loading_page = false;
        match answer {
            Ok(Answer::Found(Some((_, Record::Page(page))))) => {
                if start + page.outcomes.len() >= job.head.total {
                    job.complete_at = Some(job.page_requested);
                }
                if matches!(job.work, Work::Running(_)) {
                    self.apply_page(id, start, &page);
                } else {
                    job.journal.extend(start, &page.outcomes);
                }
            }
            Ok(Answer::Found(None)) => {
                job.complete_at = Some(job.page_requested);
                job.next_load = now + STORE_RETRY_DELAY;
            }
            _ => job.next_load = now + STORE_RETRY_DELAY,
        }
        self.advance_load(id);
        self.answer_readers(id);
        self.load_more(id);
    }

    /// Starts the runner once the submission, results, drafts and failures are loaded.
    pub(in crate::decision::gateway) fn advance_load(&mut self, id: &BatchId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if matches!(job.work, Work::Loading)
            && job.complete_at.is_some()
            && matches!(job.drafts, Loaded::Known(_))
            && matches!(job.failures, Loaded::Known(_))
            && let Some(batch) = job.batch.clone()
        {
            self.start_loaded(id, batch);
            self.dispatch();
        }
    }
}
