//! Texts that outlive a process or a job.
//!
//! A runner stores the texts of long generations now and then, so that another process can go on
//! from them. Texts of items that an ended job did not need are kept in memory, because groups
//! that were not complete come again in a later job.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::Journal;
use crate::decision::batch::Runner;
use crate::decision::batch::Written;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Work;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::batch::Draft;
use crate::domain::batch::Drafts;
use crate::domain::batch::Outcome;
use crate::domain::batch::Partial;
use crate::domain::ids::Revision;
use crate::domain::name::BatchId;
use crate::domain::name::GroupName;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Time between two writes of the drafts of a job.
const INTERVAL: Duration = Duration::from_millis(800);

/// New events since the last write that are worth another one.
const WORTH: u64 = 24;

/// Texts that are kept for later jobs.
const KEPT: usize = 256;

/// Drafts of a job as they are stored.
#[derive(Debug, Default)]
pub(super) enum LoadedDrafts {
    #[default]
    Unknown,
    Asked,
    Known(Vec<Draft>),
}

/// Writes of the drafts of a job.
#[derive(Debug)]
pub(super) struct DraftWrites {
    next: Time,
    writing: bool,
    /// Revision of the object, once it is known to exist.
    revision: Option<Revision>,
    /// The drafts that were written last.
    written: Written,
}

impl DraftWrites {
    pub(super) fn new(now: Time) -> Self {
        Self {
            next: now + INTERVAL,
            writing: false,
            revision: None,
            written: Written::default(),
        }
    }
}

impl Gateway {
    /// Writes the drafts of running jobs.
    pub(super) fn write_drafts(&mut self) {
        let now = self.now;
        let mut calls = Vec::new();
        for (id, job) in &mut self.jobs {
            let Work::Running(active) = &mut job.work else {
                continue;
            };
            let writes = &mut active.drafts;
            if writes.writing || now < writes.next {
                continue;
            }
            writes.next = now + INTERVAL;
            let drafts = active.runner.drafts();
            if writes.written.growth(&drafts) < WORTH {
                continue;
            }
            writes.written.replace(&drafts);
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

    /// Writes the drafts of running jobs before they are handed over.
    pub(super) fn write_drafts_now(&mut self) {
        let now = self.now;
        for job in self.jobs.values_mut() {
            if let Work::Running(active) = &mut job.work {
                active.drafts.next = now;
                active.drafts.written.clear();
            }
        }
        self.write_drafts();
    }

    /// Takes in the answer to a write of drafts. A write that failed is not repeated, since the
    /// next one has newer texts.
    pub(super) fn drafted(&mut self, id: &BatchId, answer: &Result<Answer, ObjectError>) {
        let Some(Work::Running(active)) = self.jobs.get_mut(id).map(|job| &mut job.work) else {
            return;
        };
        active.drafts.writing = false;
        match answer {
            Ok(Answer::Written(revision)) => active.drafts.revision = Some(*revision),
            Err(ObjectError::Conflict(revision)) => {
                active.drafts.revision = *revision;
                active.drafts.written.clear();
            }
            _ => active.drafts.written.clear(),
        }
    }

    /// Takes in the stored drafts. Without them the items are generated from the start.
    pub(super) fn loaded_drafts(&mut self, id: &BatchId, answer: Result<Answer, ObjectError>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let drafts = match answer {
            Ok(Answer::Found(Some((_, Record::Drafts(stored))))) => stored.drafts,
            _ => Vec::new(),
        };
        job.drafts = LoadedDrafts::Known(drafts);
        self.advance_load(id);
    }

    /// Keeps texts for later jobs.
    pub(super) fn keep(&mut self, drafts: Vec<Draft>) {
        for draft in drafts {
            self.kept.retain(|known| known.id != draft.id);
            self.kept.push_back(draft);
        }
        while self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }
}

/// Returns the listed texts of groups of which not all items are listed.
pub(super) fn unfinished(runner: &Runner, journal: &Journal) -> Vec<Draft> {
    let items = &runner.batch.items;
    let missing = items.iter().filter(|item| !journal.has(&item.id));
    let groups: HashSet<&GroupName> = missing.filter_map(|item| item.group.as_ref()).collect();
    let again = |outcome: &&Arc<Outcome>| {
        let item = items.iter().find(|item| item.id == outcome.id);
        let group = item.and_then(|item| item.group.as_ref());
        outcome.complete && group.is_some_and(|group| groups.contains(group))
    };
    let drafts = journal
        .outcomes()
        .iter()
        .filter(again)
        .map(|outcome| Draft {
            id: outcome.id.clone(),
            partial: Partial {
                text: outcome.text.to_string(),
                // The number of events only matters for texts that go on.
                events: u64::MAX,
                versions: outcome.versions.clone(),
            },
            whole: true,
        });
    drafts.collect()
}
