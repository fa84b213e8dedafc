//! Writes finished results in pages, and lists them once they are stored.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::Completed;
use crate::decision::directory::CallEnd;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::STORE_PAUSE;
use crate::decision::gateway::jobs::Work;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::batch::Page;
use crate::domain::batch::page_name;
use crate::domain::event::Event;
use crate::domain::name::BatchId;
use crate::domain::name::ItemId;
use crate::port::object::ObjectError;

/// Time for which complete groups are collected. A trainer that reads one page comes back half a
/// second later, and would get a group that ends shortly after the first one too late.
const GROUP_COLLECT: Duration = Duration::from_millis(120);

/// Time after a page until results without a group are written, so that several share a write.
const SINGLE_INTERVAL: Duration = Duration::from_millis(300);

/// Time after a page until results are written although they complete no group.
const PAGE_LONGEST: Duration = Duration::from_millis(2_500);

impl Gateway {
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
                    let due = match active.runner.completed() {
                        Completed::Nothing => continue,
                        Completed::Group => *active.complete.get_or_insert(now) + GROUP_COLLECT,
                        Completed::Single => active.paged + SINGLE_INTERVAL,
                        Completed::Part => active.paged + PAGE_LONGEST,
                    };
                    if now < due {
                        continue;
                    }
                    active.complete = None;
                    let outcomes = active.runner.finished();
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

    pub(super) fn append(&mut self, id: BatchId, start: usize, page: Page) {
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
                    active.paged = now;
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
                active.paged = now;
                let page = page.clone();
                self.list(id, start, &page);
            }
            _ => active.next_page = now + STORE_PAUSE,
        }
    }

    /// Adds a stored page to the journal and tells readers.
    pub(super) fn list(&mut self, id: &BatchId, start: usize, page: &Page) {
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
            self.runs.remove(&run);
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
}
