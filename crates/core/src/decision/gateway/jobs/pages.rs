//! Writes of result pages. Results are listed for readers once their page is stored.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::Completed;
use crate::decision::directory::CallEnd;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::STORE_RETRY_DELAY;
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

/// Time for which complete groups are collected into one page while other texts are being scored. A
/// trainer reads the next page half a second later, which is too late for a group that completes
/// shortly after the first one.
const GROUP_DELAY: Duration = Duration::from_millis(120);

/// Time after a page until results without a group are written, so that several share one write.
const UNGROUPED_INTERVAL: Duration = Duration::from_millis(300);

/// Time after a page until results are written even if they complete no group.
const MAX_PAGE_INTERVAL: Duration = Duration::from_millis(2_500);

/// Delay before a failed write of a page is repeated while no call to the object API is answered. The
/// page is written at once when one is.
const OUTAGE_PAGE_DELAY: Duration = Duration::from_millis(800);

impl Gateway {
    /// Writes the next page of each running job whose results are due.
    pub(in crate::decision::gateway) fn write_pages(&mut self) {
        let now = self.now;
        let mut calls = Vec::new();
        for (id, job) in &mut self.jobs {
            if !job.is_stored() {
                continue;
            }
            let Work::Running(active) = &mut job.work else {
                continue;
            };
            if active.writing_page || now < active.next_page {
                continue;
            }
            // An earlier write of the page may still take effect, so the same page is written
            // again.
            let (start, page) = match active.pending_page.clone() {
                Some(pending) => pending,
                None => {
                    let due = match active.runner.completed() {
                        Completed::Nothing => continue,
                        Completed::Group if !active.runner.awaits_score() => now,
                        Completed::Group => *active.group_since.get_or_insert(now) + GROUP_DELAY,
                        Completed::Ungrouped => active.last_page + UNGROUPED_INTERVAL,
                        Completed::PartialGroup => active.last_page + MAX_PAGE_INTERVAL,
                    };
                    if now < due {
                        continue;
                    }
                    active.group_since = None;
                    let outcomes = active.runner.finished();
                    (job.journal.len(), Page { outcomes })
                }
            };
            active.pending_page = Some((start, page.clone()));
            active.writing_page = true;
            calls.push((id.clone(), start, page));
        }
        for (id, start, page) in calls {
            self.append(id, start, page);
        }
    }

    /// Writes the pages that waited for the object API without the delay after a failed write.
    pub(in crate::decision::gateway) fn resume_pages(&mut self) {
        let now = self.now;
        for job in self.jobs.values_mut() {
            if let Work::Running(active) = &mut job.work {
                active.next_page = now;
            }
        }
        self.write_pages();
    }

    pub(in crate::decision::gateway) fn append(&mut self, id: BatchId, start: usize, page: Page) {
        let name = Arc::from(page_name(&id, start));
        let call = StoreCall::Create(Kind::Pages, name, Record::Page(page));
        self.call_store(Purpose::Append(id, start), call);
    }

    /// Handles the answer to the write of a page, or to the read after a conflict.
    pub(in crate::decision::gateway) fn page_appended(
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
        if active
            .pending_page
            .as_ref()
            .is_none_or(|(at, _)| *at != start)
        {
            return;
        }
        active.writing_page = false;
        match answer {
            Ok(Answer::Written(_)) => {
                if let Some((_, page)) = active.pending_page.take() {
                    active.last_page = now;
                    self.apply_page(id, start, &page);
                }
            }
            // The position is taken by the page of another runner, or by this one if an earlier
            // answer was lost.
            Err(ObjectError::Conflict(_)) => {
                active.writing_page = true;
                let name = Arc::from(page_name(id, start));
                let call = StoreCall::Get(Kind::Pages, name);
                self.call_store(Purpose::Append(id.clone(), start), call);
            }
            Ok(Answer::Found(Some((_, Record::Page(page))))) => {
                active.pending_page = None;
                active.last_page = now;
                let page = page.clone();
                self.apply_page(id, start, &page);
            }
            _ if self.store.outage_start.is_some() => active.next_page = now + OUTAGE_PAGE_DELAY,
            _ => active.next_page = now + STORE_RETRY_DELAY,
        }
    }

    /// Adds a stored page to the journal, stops runs of its items and answers readers.
    pub(in crate::decision::gateway) fn apply_page(
        &mut self,
        id: &BatchId,
        start: usize,
        page: &Page,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.journal.extend(start, &page.outcomes);
        let ids: Vec<ItemId> = page.outcomes.iter().map(|o| o.id.clone()).collect();
        let mut obsolete = Vec::new();
        let mut done = false;
        if let Work::Running(active) = &mut job.work {
            obsolete = active.runner.mark_listed(&ids);
            done = active.runner.is_done();
        }
        let listed = job.journal.len();
        for (run, target) in obsolete {
            self.runs.remove(&run);
            self.effects.push(Effect::StopRun(run));
            self.directory.release(now, &target, CallEnd::Cancelled);
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
