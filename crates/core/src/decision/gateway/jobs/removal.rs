//! Removal of the objects of old batch jobs from the object API, which does not expire them.
//!
//! The holder of the duty removes one job at a time. Pages are deleted from the last to the first
//! and the head is deleted last, so another holder can start over at any point. Every deletion may
//! be repeated.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Job;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::batch::page_name;
use crate::domain::batch::part_name;
use crate::domain::event::Event;
use crate::domain::name::BatchId;
use crate::port::object::ObjectError;

/// Interval between searches for an old job.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(5);

/// Time after acceptance until a job that was never ended is removed.
const ABANDONED_JOB_RETENTION: Duration = Duration::from_secs(3_600);

/// Number of reported usage windows whose counts are kept.
const RETAINED_WINDOWS: u64 = 24;

/// Removal of one job in progress.
#[derive(Debug)]
pub(in crate::decision::gateway) struct Removal {
    id: BatchId,
    step: Step,
}

#[derive(Debug)]
enum Step {
    /// Looks up the page at a position. Holds the names of the pages before it.
    Listing(usize, Vec<Arc<str>>),
    /// Deletes the remaining objects, the last one first.
    Deleting(Vec<(Kind, Arc<str>)>),
}

impl Gateway {
    /// Starts to remove the oldest job whose retention time has passed.
    pub(in crate::decision::gateway) fn tick_removal(&mut self) {
        if self.removal.is_some() || self.now < self.next_removal || self.permit().is_none() {
            return;
        }
        self.next_removal = self.now + REMOVAL_INTERVAL;
        let old = self.jobs.iter().filter(|(_, job)| self.is_old(job));
        let oldest = old.min_by_key(|(_, job)| job.head.accepted);
        if let Some((id, _)) = oldest {
            let id = id.clone();
            let step = Step::Listing(0, Vec::new());
            self.removal = Some(Removal { id, step });
            self.step_removal();
        }
    }

    fn is_old(&self, job: &Job) -> bool {
        let age = self.wall_time().0.saturating_sub(job.head.accepted.0);
        let limit = match job.head.ended {
            true => self.settings.job_retention,
            false => self.settings.job_retention.max(ABANDONED_JOB_RETENTION),
        };
        let limit = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        age >= limit && !job.is_busy()
    }

    fn removal_call(&self) -> Option<(Purpose, StoreCall)> {
        let removal = self.removal.as_ref()?;
        let call = match &removal.step {
            Step::Listing(start, _) => {
                StoreCall::Get(Kind::Pages, Arc::from(page_name(&removal.id, *start)))
            }
            Step::Deleting(remaining) => {
                let (kind, name) = remaining.last()?;
                StoreCall::Delete(*kind, name.clone())
            }
        };
        Some((Purpose::Retire(removal.id.clone()), call))
    }

    fn step_removal(&mut self) {
        match self.removal_call() {
            Some((purpose, call)) => self.call_store(purpose, call),
            None => self.removal = None,
        }
    }

    /// Handles the answer to a call of the removal.
    pub(in crate::decision::gateway) fn removal_answered(
        &mut self,
        id: &BatchId,
        answer: &Result<Answer, ObjectError>,
    ) {
        let parts = self.jobs.get(id).map_or(0, |job| job.head.parts);
        let Some(removal) = self.removal.as_mut().filter(|r| r.id == *id) else {
            return;
        };
        match (&mut removal.step, answer) {
            (Step::Listing(start, pages), Ok(Answer::Found(Some((_, Record::Page(page)))))) => {
                pages.push(Arc::from(page_name(id, *start)));
                *start += page.outcomes.len().max(1);
            }
            (Step::Listing(_, pages), Ok(Answer::Found(None))) => {
                let mut remaining = vec![(Kind::Heads, Arc::from(id.as_str()))];
                remaining.extend((0..parts).map(|p| (Kind::Parts, Arc::from(part_name(id, p)))));
                remaining.push((Kind::Drafts, Arc::from(id.as_str())));
                remaining.extend(pages.drain(..).map(|page| (Kind::Pages, page)));
                removal.step = Step::Deleting(remaining);
            }
            (Step::Deleting(remaining), Ok(_)) => {
                remaining.pop();
                if remaining.is_empty() {
                    self.removal = None;
                    self.next_removal = self.now;
                    self.log(Event::BatchRemoved, vec![("batch", id.to_string())]);
                    self.drop_job(id);
                    return;
                }
            }
            _ => {
                if let Some((purpose, call)) = self.removal_call() {
                    self.retry_store_call(purpose, call);
                }
                return;
            }
        }
        self.step_removal();
    }

    /// Deletes the counts of the window that is `RETAINED_WINDOWS` older than a reported one.
    pub(in crate::decision::gateway) fn remove_window(&mut self, reported: u64) {
        let old = reported.saturating_sub(RETAINED_WINDOWS);
        let name = Arc::from(old.to_string());
        self.call_store(Purpose::Forget, StoreCall::Delete(Kind::Windows, name));
    }

    /// Cancels the removal in progress after this process gained the duty.
    pub(in crate::decision::gateway) fn reset_removal(&mut self) {
        self.removal = None;
        self.next_removal = self.now + REMOVAL_INTERVAL;
    }
}
