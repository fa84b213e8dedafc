//! Stored failures of the items of a job, on which the next runner goes on counting.
//!
//! A failure is stored before its item is sent again. All failures of a job share one object and one
//! write at a time, so many items that fail at once cost few writes. While the object API does not
//! answer, items do not wait: no other process can take the job over then.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::batch::FailureVersion;
use crate::decision::gateway::Gateway;
use crate::decision::gateway::STORE_RETRY_DELAY;
use crate::decision::gateway::jobs::ActiveJob;
use crate::decision::gateway::jobs::Work;
use crate::decision::gateway::jobs::draft::Loaded;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::batch::Failures;
use crate::domain::ids::Revision;
use crate::domain::name::BatchId;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Minimum time between two writes of the failures of a job.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// State of the writes of the failures of a job.
#[derive(Debug)]
pub(in crate::decision::gateway) struct FailureWrites {
    next: Time,
    /// Version of the failures in the outstanding write.
    writing: Option<FailureVersion>,
    /// Revision of the stored object, or `None` if it is not known to exist.
    revision: Option<Revision>,
}

impl FailureWrites {
    pub(in crate::decision::gateway) fn new(now: Time) -> Self {
        Self {
            next: now,
            writing: None,
            revision: None,
        }
    }
}

impl ActiveJob {
    /// Returns `true` if what the next runner needs is stored, or was tried to be.
    pub(in crate::decision::gateway) fn is_recorded(&self) -> bool {
        !self.drafts.is_writing() && self.runner.unstored_failures().is_none()
    }
}

impl Gateway {
    /// Writes the failures of running jobs that are not stored yet.
    pub(in crate::decision::gateway) fn write_failures(&mut self) {
        let now = self.now;
        let away = self.store.outage_start.is_some();
        let mut calls = Vec::new();
        for (id, job) in &mut self.jobs {
            let stored = job.is_stored();
            let Work::Running(active) = &mut job.work else {
                continue;
            };
            active.runner.await_failures(stored && !away);
            let writes = &mut active.failures;
            if !stored || away || writes.writing.is_some() || now < writes.next {
                continue;
            }
            let Some(version) = active.runner.unstored_failures() else {
                continue;
            };
            writes.writing = Some(version);
            let name = Arc::from(id.as_str());
            let items = active.runner.failures();
            let record = Record::Failures(Failures { items });
            let call = match writes.revision {
                Some(revision) => StoreCall::Update(Kind::Failures, name, record, revision),
                None => StoreCall::Create(Kind::Failures, name, record),
            };
            calls.push((Purpose::Failures(id.clone()), call));
        }
        for (purpose, call) in calls {
            self.call_store(purpose, call);
        }
    }

    /// Handles the answer to a write of failures, or to the read after a conflict.
    pub(in crate::decision::gateway) fn failures_stored(
        &mut self,
        id: &BatchId,
        answer: Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let Some(Work::Running(active)) = self.jobs.get_mut(id).map(|job| &mut job.work) else {
            return;
        };
        let writes = &mut active.failures;
        match answer {
            Ok(Answer::Written(revision)) => {
                writes.revision = Some(revision);
                writes.next = now + WRITE_INTERVAL;
                if let Some(version) = writes.writing.take() {
                    active.runner.failures_stored(version);
                }
            }
            // Another runner has written, or an earlier write of this one took effect late.
            Err(ObjectError::Conflict(_)) => {
                let call = StoreCall::Get(Kind::Failures, Arc::from(id.as_str()));
                return self.call_store(Purpose::Failures(id.clone()), call);
            }
            Ok(Answer::Found(found)) => {
                writes.writing = None;
                writes.revision = found.as_ref().map(|(revision, _)| *revision);
                if let Some((_, Record::Failures(failures))) = found {
                    active.runner.learn_failures(&failures.items);
                }
            }
            Err(_) => {
                writes.writing = None;
                writes.next = now + STORE_RETRY_DELAY;
            }
        }
        self.write_failures();
        self.dispatch();
        self.hand_over_recorded();
    }

    /// Handles the answer to the read of failures. Without them, items could be sent too often, so a
    /// failed read is repeated.
    pub(in crate::decision::gateway) fn failures_loaded(
        &mut self,
        id: &BatchId,
        answer: Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.failures = match answer {
            Ok(Answer::Found(Some((_, Record::Failures(found))))) => Loaded::Known(found.items),
            Ok(_) => Loaded::Known(Vec::new()),
            Err(_) => {
                job.next_load = now + STORE_RETRY_DELAY;
                Loaded::Unknown
            }
        };
        self.advance_load(id);
    }
}
