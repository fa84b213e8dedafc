//! Removal of the objects of old batch jobs from the object API, which does not expire them.
//!
//! The holder of the duty removes one job at a time. Pages are deleted from the last to the first
//! and the head is deleted last, so another holder can start over at any point. Every deletion may
//! be repeated.
//!
//! A deletion without an answer may take effect late, when a job of the same ID has been accepted. So
//! the head and the pages are deleted at their revisions, and the head only once the deletions of the
//! other objects have had their effect.

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
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Interval between searches for an old job.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(5);

/// Time after acceptance until a job that was never ended is removed.
const ABANDONED_JOB_RETENTION: Duration = Duration::from_secs(3_600);

/// Number of reported usage windows whose counts are kept.
const RETAINED_WINDOWS: u64 = 24;

/// Time after which a deletion without an answer no longer takes effect.
const LATE_EFFECT_TIME: Duration = Duration::from_secs(10);

/// Removal of one job in progress.
#[derive(Debug)]
pub(in crate::decision::gateway) struct Removal {
    id: BatchId,
    step: Step,
    /// Time until which a deletion without an answer may take effect.
    unsettled_until: Time,
}

#[derive(Debug)]
enum Step {
    /// Looks up the page at a position. Holds the names of the pages before it.
    Listing(usize, Vec<StoreCall>),
    /// Makes the remaining deletions, the last one first.
    Deleting(Vec<StoreCall>),
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
            self.removal = Some(Removal {
                id,
                step,
                unsettled_until: self.now,
            });
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
            Step::Deleting(remaining) => remaining.last()?.clone(),
        };
        Some((Purpose::Retire(removal.id.clone()), call))
    }

    fn step_removal(&mut self) {
        let Some((purpose, call)) = self.removal_call() else {
            self.removal = None;
            return;
        };
        let unsettled_until = self.removal.as_ref().map(|r| r.unsettled_until);
        match unsettled_until.filter(|until| is_head(&call) && self.now < *until) {
            Some(until) => self.retries.push((until, purpose, call)),
            None => self.call_store(purpose, call),
        }
    }

    /// Handles the answer to a call of the removal.
    pub(in crate::decision::gateway) fn removal_answered(
        &mut self,
        id: &BatchId,
        answer: &Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let Some((parts, revision)) = self.jobs.get(id).map(|job| (job.head.parts, job.revision))
        else {
            return;
        };
        let Some(removal) = self.removal.as_mut().filter(|r| r.id == *id) else {
            return;
        };
        match (&mut removal.step, answer) {
            (
                Step::Listing(start, pages),
                Ok(Answer::Found(Some((revision, Record::Page(page))))),
            ) => {
                let name = Arc::from(page_name(id, *start));
                pages.push(StoreCall::DeleteAt(Kind::Pages, name, *revision));
                *start += page.outcomes.len().max(1);
            }
            (Step::Listing(_, pages), Ok(Answer::Found(None))) => {
                let name: Arc<str> = Arc::from(id.as_str());
                let part = |p| StoreCall::Delete(Kind::Parts, Arc::from(part_name(id, p)));
                let mut remaining = vec![StoreCall::DeleteAt(Kind::Heads, name.clone(), revision)];
                remaining.extend((0..parts).map(part));
                remaining.push(StoreCall::Delete(Kind::Drafts, name.clone()));
                remaining.push(StoreCall::Delete(Kind::Failures, name));
                remaining.append(pages);
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
            // The object is that of another job by now, or the head has changed.
            (Step::Deleting(_), Err(ObjectError::Conflict(_))) => {
                self.reset_removal();
                self.refresh(id);
                return;
            }
            (_, answer) => {
                if matches!(answer, Err(ObjectError::Unknown(_))) {
                    removal.unsettled_until = now + LATE_EFFECT_TIME;
                }
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

    /// Cancels the removal in progress, which another holder may have gone on with or which another job
    /// of the same ID stops.
    pub(in crate::decision::gateway) fn reset_removal(&mut self) {
        self.removal = None;
        self.next_removal = self.now + REMOVAL_INTERVAL;
    }
}

/// Returns `true` if a call deletes the head of a job.
fn is_head(call: &StoreCall) -> bool {
    matches!(call, StoreCall::DeleteAt(Kind::Heads, ..))
}
