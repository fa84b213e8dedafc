//! Reads what this process lacks of a job: the submission, the results and the drafts.

use std::sync::Arc;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::STORE_PAUSE;
use crate::decision::gateway::draft::LoadedDrafts;
use crate::decision::gateway::jobs::Work;
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

impl Gateway {
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
        let idle = !matches!(job.work, Work::Running(_));
        let reading = idle && !job.readers.is_empty() && !job.is_whole();
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
                if job.is_whole() {
                    job.complete = Some(job.page_asked);
                }
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
}
