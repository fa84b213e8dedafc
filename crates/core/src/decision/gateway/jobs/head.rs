//! Stored heads of batch jobs, and changes of their runner.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::STORE_RETRY_DELAY;
use crate::decision::gateway::jobs::Job;
use crate::decision::gateway::jobs::Work;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::batch::Head;
use crate::domain::batch::Runner as RunnerName;
use crate::domain::ids::Revision;
use crate::domain::name::BatchId;
use crate::port::object::ObjectError;

/// Time for which a draining process waits for the records of its jobs before it hands them over.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Gateway {
    /// Applies a stored head, unless a newer revision is known.
    pub(in crate::decision::gateway) fn apply_head(
        &mut self,
        id: &BatchId,
        revision: Revision,
        head: Head,
    ) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(id) {
            if revision <= job.revision {
                return;
            }
            let held = !job.is_stored();
            if job.head.runner != head.runner {
                job.runner_since = now;
            }
            job.revision = revision;
            job.head = head;
            job.suspected_since = None;
            if held {
                self.settle_held(id);
            }
        } else {
            self.jobs.insert(id.clone(), Job::new(head, revision, now));
        }
        self.reconcile_job(id);
        self.check_runner(id);
    }

    pub(in crate::decision::gateway) fn update_head(
        &mut self,
        purpose: Purpose,
        id: &BatchId,
        head: Head,
        revision: Revision,
    ) {
        let name = Arc::from(id.as_str());
        let call = StoreCall::Update(Kind::Heads, name, Record::Head(head), revision);
        self.call_store(purpose, call);
    }

    /// Reads the stored head of a job after a call with an unknown outcome.
    pub(in crate::decision::gateway) fn refresh(&mut self, id: &BatchId) {
        let call = StoreCall::Get(Kind::Heads, Arc::from(id.as_str()));
        self.call_store(Purpose::Refresh(id.clone()), call);
    }

    /// Repeats a failed read of a head after a delay.
    fn refresh_again(&mut self, id: &BatchId) {
        let call = StoreCall::Get(Kind::Heads, Arc::from(id.as_str()));
        self.retry_store_call(Purpose::Refresh(id.clone()), call);
    }

    /// Handles the answer to the read of a head by `refresh`.
    pub(in crate::decision::gateway) fn head_refreshed(
        &mut self,
        id: &BatchId,
        answer: Result<Answer, ObjectError>,
    ) {
        match answer {
            Ok(Answer::Found(Some((revision, Record::Head(head))))) => {
                self.apply_head(id, revision, head);
                if let Some(job) = self.jobs.get_mut(id) {
                    job.changing_runner = false;
                    if job.ending.is_some() {
                        self.write_end(id);
                    }
                }
            }
            Ok(Answer::Found(None)) => self.drop_job(id),
            _ => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.changing_runner = false;
                    // `expire_end` answers the callers if the object API remains unavailable.
                    if job.ending.is_some() || !job.is_stored() {
                        self.refresh_again(id);
                    }
                }
            }
        }
    }

    /// Begins to hand over the jobs of this process. Nothing more is sent for a moment, so that the drafts
    /// and failures that the next runner needs are stored first.
    pub(in crate::decision::gateway) fn begin_hand_over(&mut self) {
        self.hand_over_by = self.now + RECORD_TIMEOUT;
        self.write_all_drafts();
        self.write_failures();
        self.hand_over();
    }

    /// Returns `true` while jobs wait for their records before they are handed over.
    pub(in crate::decision::gateway) fn is_recording(&self) -> bool {
        self.draining && self.now < self.hand_over_by
    }

    /// Hands over the jobs whose records are stored, while this process drains.
    pub(in crate::decision::gateway) fn hand_over_recorded(&mut self) {
        if self.is_recording() {
            self.hand_over();
        }
    }

    /// Clears the runner of all jobs of this process, so that other processes take them over. A job is
    /// kept for a moment until its drafts and failures are stored.
    pub(in crate::decision::gateway) fn hand_over(&mut self) {
        let recording = self.is_recording();
        let mine: Vec<BatchId> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                let mine = job.is_run_by(&self.settings.peer) && job.is_stored();
                let recorded = match &job.work {
                    Work::Running(active) => active.is_recorded(),
                    _ => true,
                };
                let ready = recorded || !recording;
                mine && ready && !job.head.ended && !job.changing_runner
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in mine {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.changing_runner = true;
                let head = Head {
                    runner: None,
                    ..job.head.clone()
                };
                let revision = job.revision;
                self.update_head(Purpose::HandOver(id.clone()), &id, head, revision);
            }
        }
    }

    /// Hands over the jobs that are still with this process while it drains, since the calls that
    /// should have handed them over failed.
    pub(in crate::decision::gateway) fn tick_hand_over(&mut self) {
        if !self.draining || self.now < self.next_hand_over {
            return;
        }
        self.next_hand_over = self.now + STORE_RETRY_DELAY;
        self.hand_over();
    }

    /// Handles the answer to a change of the runner.
    pub(in crate::decision::gateway) fn runner_changed(
        &mut self,
        id: &BatchId,
        runner: Option<RunnerName>,
        answer: &Result<Answer, ObjectError>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match answer {
            Ok(Answer::Written(revision)) => {
                job.changing_runner = false;
                let head = Head {
                    runner,
                    ..job.head.clone()
                };
                self.apply_head(id, *revision, head);
            }
            _ => self.refresh(id),
        }
    }
}
