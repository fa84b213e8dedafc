//! Drafts: unfinished texts that are reused by another process or a later job.
//!
//! A runner periodically stores the texts of long generations, so that another process can continue
//! them. Texts that an ended job did not need are retained in memory, because a later job repeats
//! the groups that were incomplete.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::Journal;
use crate::decision::batch::Runner;
use crate::decision::batch::WrittenDrafts;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Work;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::batch::Draft;
use crate::domain::batch::Drafts;
use crate::domain::batch::Head;
use crate::domain::batch::Item;
use crate::domain::batch::Outcome;
use crate::domain::ids::Revision;
use crate::domain::name::BatchId;
use crate::domain::name::GroupName;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Interval between writes of the drafts of a job.
const DRAFT_INTERVAL: Duration = Duration::from_millis(800);

/// Minimum number of new events since the last write for another write.
const MIN_NEW_EVENTS: u64 = 24;

/// Time after an outage of the object API in which no drafts are written.
const DRAFT_PAUSE: Duration = Duration::from_millis(1_000);

/// Stored records of a job, as far as they have been read.
#[derive(Debug, Default)]
pub(in crate::decision::gateway) enum Loaded<T> {
    #[default]
    Unknown,
    Requested,
    Known(Vec<T>),
}

impl<T> Loaded<T> {
    /// Returns the records, and forgets them. There are none if they were not read.
    pub(in crate::decision::gateway) fn take(&mut self) -> Vec<T> {
        match std::mem::take(self) {
            Self::Known(records) => records,
            Self::Unknown | Self::Requested => Vec::new(),
        }
    }
}

/// State of the writes of a job's drafts.
#[derive(Debug)]
pub(in crate::decision::gateway) struct DraftWrites {
    next: Time,
    writing: bool,
    /// Revision of the stored object, or `None` if it is not known to exist.
    revision: Option<Revision>,
    /// Progress of the drafts that were stored last.
    stored: WrittenDrafts,
}

impl DraftWrites {
    /// Returns `true` if a write is outstanding.
    pub(in crate::decision::gateway) fn is_writing(&self) -> bool {
        self.writing
    }

    pub(in crate::decision::gateway) fn new(now: Time) -> Self {
        Self {
            next: now + DRAFT_INTERVAL,
            writing: false,
            revision: None,
            stored: WrittenDrafts::default(),
        }
    }
}

impl Gateway {
    /// Writes the drafts of running jobs that have grown enough since the last write.
    pub(in crate::decision::gateway) fn write_drafts(&mut self) {
        let now = self.now;
        // Heads and pages come first after an outage, and a draft would fail during one.
        let away = self.store.outage_start.is_some() || now < self.store.returned_at + DRAFT_PAUSE;
        if away && !self.draining {
            return;
        }
        let mut calls = Vec::new();
        for (id, job) in &mut self.jobs {
            if !job.is_stored() {
                continue;
            }
            let Work::Running(active) = &mut job.work else {
                continue;
            };
            let writes = &mut active.drafts;
            if writes.writing || now < writes.next {
                continue;
            }
            writes.next = now + DRAFT_INTERVAL;
            let drafts = active.runner.drafts();
            if writes.stored.growth(&drafts) < MIN_NEW_EVENTS {
                continue;
            }
            writes.stored.replace(&drafts);
            writes.writing = true;
            let name = Arc::from(id.as_str());
            let record = Record::Drafts(Drafts { drafts });
            let call = match writes.revision {
                Some(revision) => StoreCall::Update(Kind::Drafts, name, record, revision),
                None => StoreCall::Create(Kind::Drafts, name, record),
            };
            calls.push((Purpose::Draft(id.clone()), call));
        }
        for (purpose, call) in calls {
            self.call_store(purpose, call);
        }
    }

    /// Writes the drafts of all running jobs before they are handed over.
    pub(in crate::decision::gateway) fn write_all_drafts(&mut self) {
        let now = self.now;
        for job in self.jobs.values_mut() {
            if let Work::Running(active) = &mut job.work {
                active.drafts.next = now;
                active.drafts.stored.clear();
            }
        }
        self.write_drafts();
    }

    /// Handles the answer to a write of drafts. A failed write is not repeated, since the next one
    /// has newer texts.
    pub(in crate::decision::gateway) fn drafts_stored(
        &mut self,
        id: &BatchId,
        answer: &Result<Answer, ObjectError>,
    ) {
        let Some(Work::Running(active)) = self.jobs.get_mut(id).map(|job| &mut job.work) else {
            return;
        };
        active.drafts.writing = false;
        match answer {
            Ok(Answer::Written(revision)) => active.drafts.revision = Some(*revision),
            Err(ObjectError::Conflict(revision)) => {
                active.drafts.revision = *revision;
                active.drafts.stored.clear();
            }
            _ => active.drafts.stored.clear(),
        }
        self.hand_over_recorded();
    }

    /// Handles the answer to a read of drafts. If it failed, the items are generated from the
    /// start.
    pub(in crate::decision::gateway) fn drafts_loaded(
        &mut self,
        id: &BatchId,
        answer: Result<Answer, ObjectError>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let drafts = match answer {
            Ok(Answer::Found(Some((_, Record::Drafts(found))))) => found.drafts,
            _ => Vec::new(),
        };
        job.drafts = Loaded::Known(drafts);
        self.advance_load(id);
    }

    /// Retains the texts of an ended job for later ones.
    pub(in crate::decision::gateway) fn retain_drafts(
        &mut self,
        head: &Head,
        items: &[Arc<Item>],
        drafts: Vec<Draft>,
    ) {
        for draft in drafts {
            if let Some(item) = items.iter().find(|item| item.id == draft.id) {
                self.retained.insert(head, item, draft);
            }
        }
    }
}

/// Returns the texts of the listed items whose groups still have unlisted items.
pub(in crate::decision::gateway) fn open_group_drafts(
    runner: &Runner,
    journal: &Journal,
) -> Vec<Draft> {
    let items = &runner.batch.items;
    let missing = items.iter().filter(|item| !journal.contains(&item.id));
    let groups: HashSet<&GroupName> = missing.filter_map(|item| item.group.as_ref()).collect();
    let is_repeated = |outcome: &&Arc<Outcome>| {
        let item = items.iter().find(|item| item.id == outcome.id);
        let group = item.and_then(|item| item.group.as_ref());
        outcome.complete && group.is_some_and(|group| groups.contains(group))
    };
    let drafts = journal
        .outcomes()
        .iter()
        .filter(is_repeated)
        .map(|outcome| Draft::of_outcome(outcome));
    drafts.collect()
}
