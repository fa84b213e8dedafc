//! Requests of callers to end a job.

use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Ending;
use crate::decision::gateway::jobs::read::JobQuestion;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::Reply;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Purpose;
use crate::domain::batch::Head;
use crate::domain::event::Event;
use crate::domain::ids::Revision;
use crate::domain::name::BatchId;
use crate::domain::name::WorkspaceName;
use crate::port::object::ObjectError;

/// Time for which an unconfirmed end is retried before the caller gets `Reply::Unsure`.
const END_TIMEOUT: Duration = Duration::from_millis(2_500);

impl Gateway {
    /// Ends a job. The caller is answered once the end is stored.
    pub(in crate::decision::gateway) fn end_job(
        &mut self,
        call: CallId,
        id: BatchId,
        workspace: Option<WorkspaceName>,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_stored()) else {
            self.find(call, id, JobQuestion::EndJob(workspace));
            return;
        };
        if !job.belongs_to(workspace.as_ref()) {
            self.reply(call, Reply::NotFound);
            return;
        }
        if job.head.ended {
            self.reply(call, Reply::Ended);
            return;
        }
        let deadline = now + END_TIMEOUT;
        match &mut job.ending {
            Some(ending) => ending.calls.push(call),
            None => {
                job.ending = Some(Ending {
                    calls: vec![call],
                    deadline,
                });
                self.write_end(&id);
            }
        }
    }

    pub(in crate::decision::gateway) fn write_end(&mut self, id: &BatchId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let head = Head {
            ended: true,
            ..job.head.clone()
        };
        let revision = job.revision;
        self.update_head(Purpose::End(id.clone()), id, head, revision);
    }

    /// Handles the answer to the write that ends a job.
    pub(in crate::decision::gateway) fn end_stored(
        &mut self,
        id: &BatchId,
        answer: &Result<Answer, ObjectError>,
    ) {
        match answer {
            Ok(Answer::Written(revision)) => {
                let Some(job) = self.jobs.get(id) else {
                    return;
                };
                let head = Head {
                    ended: true,
                    ..job.head.clone()
                };
                self.tell_runner(id, &head, *revision);
                self.apply_head(id, *revision, head);
            }
            _ => self.refresh(id),
        }
    }

    /// Tells the runner of a job that it has ended. Its watch may be silent without showing so.
    fn tell_runner(&mut self, id: &BatchId, head: &Head, revision: Revision) {
        let me = &self.settings.peer.host;
        let runner = head.runner.as_ref().filter(|runner| runner.host != *me);
        let told = runner.map(|r| Effect::TellEnded(r.address, id.clone(), revision));
        self.effects.extend(told);
    }

    /// Handles the word of another process that it has ended a job with this revision of the head.
    pub(in crate::decision::gateway) fn end_told(
        &mut self,
        call: CallId,
        id: &BatchId,
        revision: Revision,
    ) {
        if let Some(job) = self.jobs.get(id) {
            let head = Head {
                ended: true,
                ..job.head.clone()
            };
            self.apply_head(id, revision, head);
        }
        self.reply(call, Reply::Ended);
    }

    /// Answers callers that wait for the end of a job after it has been stored.
    pub(in crate::decision::gateway) fn confirm_end(&mut self, id: &BatchId) {
        let ending = self.jobs.get_mut(id).and_then(|job| job.ending.take());
        for call in ending.map(|e| e.calls).unwrap_or_default() {
            self.log(Event::BatchEnded, vec![("batch", id.to_string())]);
            self.reply(call, Reply::Ended);
        }
    }

    pub(in crate::decision::gateway) fn expire_end(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.ending.as_ref().is_some_and(|e| now >= e.deadline) {
            for call in job.ending.take().map(|e| e.calls).unwrap_or_default() {
                self.reply(call, Reply::Unsure);
            }
        }
    }
}
