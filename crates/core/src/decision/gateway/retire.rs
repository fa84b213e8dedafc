//! Removes the objects of old batch jobs from the object API, where nothing expires by itself.
//!
//! The holder of the duty does it, one job at a time. Pages go from the last to the first and the
//! head goes last, so another holder can begin anew at any point. Each removal may be repeated.

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

/// Time between two looks for an old job.
const LOOK: Duration = Duration::from_secs(5);

/// Time after its acceptance for which a job that nobody has ended is kept.
const ABANDONED: Duration = Duration::from_secs(3_600);

/// Windows for which the stored figures are kept after their report.
const WINDOWS_KEPT: u64 = 24;

/// The removal of one job.
#[derive(Debug)]
pub(super) struct Retiring {
    id: BatchId,
    step: Step,
}

#[derive(Debug)]
enum Step {
    /// Looks for the page at a position. Holds the names of the pages before.
    Counting(usize, Vec<Arc<str>>),
    /// Removes objects, the last one first.
    Removing(Vec<(Kind, Arc<str>)>),
}

impl Gateway {
    /// Begins to remove the oldest job whose time is over.
    pub(super) fn tick_retire(&mut self) {
        if self.retiring.is_some() || self.now < self.next_retire || self.permit().is_none() {
            return;
        }
        self.next_retire = self.now + LOOK;
        let old = self.jobs.iter().filter(|(_, job)| self.is_old(job));
        let oldest = old.min_by_key(|(_, job)| job.head.accepted);
        if let Some((id, _)) = oldest {
            let id = id.clone();
            let step = Step::Counting(0, Vec::new());
            self.retiring = Some(Retiring { id, step });
            self.step_retire();
        }
    }

    fn is_old(&self, job: &Job) -> bool {
        let age = self.wall().0.saturating_sub(job.head.accepted.0);
        let limit = match job.head.ended {
            true => self.me.keep,
            false => self.me.keep.max(ABANDONED),
        };
        let limit = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        age >= limit && !job.is_busy()
    }

    fn retire_call(&self) -> Option<(Purpose, StoreCall)> {
        let retiring = self.retiring.as_ref()?;
        let call = match &retiring.step {
            Step::Counting(start, _) => {
                StoreCall::Get(Kind::Pages, Arc::from(page_name(&retiring.id, *start)))
            }
            Step::Removing(left) => {
                let (kind, name) = left.last()?;
                StoreCall::Delete(*kind, name.clone())
            }
        };
        Some((Purpose::Retire(retiring.id.clone()), call))
    }

    fn step_retire(&mut self) {
        match self.retire_call() {
            Some((purpose, call)) => self.call_store(purpose, call),
            None => self.retiring = None,
        }
    }

    /// Takes in the answer to a step of the removal.
    pub(super) fn retired(&mut self, id: &BatchId, answer: &Result<Answer, ObjectError>) {
        let parts = self.jobs.get(id).map_or(0, |job| job.head.parts);
        let Some(retiring) = self.retiring.as_mut().filter(|r| r.id == *id) else {
            return;
        };
        match (&mut retiring.step, answer) {
            (Step::Counting(start, pages), Ok(Answer::Found(Some((_, Record::Page(page)))))) => {
                pages.push(Arc::from(page_name(id, *start)));
                *start += page.outcomes.len().max(1);
            }
            (Step::Counting(_, pages), Ok(Answer::Found(None))) => {
                let mut left = vec![(Kind::Heads, Arc::from(id.as_str()))];
                left.extend((0..parts).map(|p| (Kind::Parts, Arc::from(part_name(id, p)))));
                left.push((Kind::Drafts, Arc::from(id.as_str())));
                left.extend(pages.drain(..).map(|page| (Kind::Pages, page)));
                retiring.step = Step::Removing(left);
            }
            (Step::Removing(left), Ok(_)) => {
                left.pop();
                if left.is_empty() {
                    self.retiring = None;
                    self.next_retire = self.now;
                    self.log(Event::BatchRemoved, vec![("batch", id.to_string())]);
                    self.drop_job(id);
                    return;
                }
            }
            _ => {
                if let Some((purpose, call)) = self.retire_call() {
                    self.call_store_again(purpose, call);
                }
                return;
            }
        }
        self.step_retire();
    }

    /// Removes the figures of a window whose report is long done.
    pub(super) fn forget_window(&mut self, reported: u64) {
        let old = reported.saturating_sub(WINDOWS_KEPT);
        let name = Arc::from(old.to_string());
        self.call_store(Purpose::Forget, StoreCall::Delete(Kind::Windows, name));
    }

    /// Stops what the holder of the duty had begun to remove.
    pub(super) fn reset_retire(&mut self) {
        self.retiring = None;
        self.next_retire = self.now + LOOK;
    }
}
