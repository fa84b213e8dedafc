//! Acceptance of batch jobs.
//!
//! The parts of the submission are stored first. Creating the head accepts the job, so a refusal
//! is given only while that write has not been sent or certainly had no effect.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Reply;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::batch::Batch;
use crate::domain::batch::Head;
use crate::domain::batch::Runner;
use crate::domain::batch::part_name;
use crate::domain::event::Event;
use crate::domain::name::BatchId;
use crate::domain::name::WorkspaceName;
use crate::domain::table::Route;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Most bytes of a submission in one object. An object holds at most one megabyte, and quotes in
/// the text double when it is encoded.
const PART_MOST: usize = 450 * 1024;

/// Time for which an acceptance without an answer is tried again.
const ACCEPT_LIMIT: Duration = Duration::from_secs(5);

/// The same while the process drains, so that the caller has its answer before the process ends.
const ACCEPT_DRAINING: Duration = Duration::from_secs(2);

/// A submission that is being stored.
#[derive(Debug)]
pub(super) struct Submission {
    calls: Vec<CallId>,
    batch: Arc<Batch>,
    head: Head,
    /// Parts that are not stored yet.
    missing: usize,
    until: Time,
    /// True if the head may have been created by a call that had no answer.
    unsure: bool,
}

impl Gateway {
    pub(super) fn submit(
        &mut self,
        call: CallId,
        id: BatchId,
        workspace: Option<WorkspaceName>,
        route: &Route,
        batch: Arc<Batch>,
    ) {
        if let Some(job) = self.jobs.get(&id) {
            let known = job.belongs_to(workspace.as_ref());
            self.reply(
                call,
                if known {
                    Reply::Accepted
                } else {
                    Reply::NotAccepted
                },
            );
            return;
        }
        if let Some(submission) = self.submissions.get_mut(&id) {
            submission.calls.push(call);
            return;
        }
        let parts = split(&batch.source);
        let runner = Runner::from(&self.me.peer);
        let head = Head {
            workspace,
            route: route.name.clone(),
            host: route.host.clone(),
            model: batch.model.clone(),
            least: batch.least,
            total: batch.items.len(),
            parts: parts.len(),
            accepted: self.wall(),
            runner: (!self.draining).then_some(runner),
            ended: false,
        };
        let submission = Submission {
            calls: vec![call],
            batch,
            head,
            missing: parts.len(),
            until: self.now + self.accept_limit(),
            unsure: false,
        };
        self.submissions.insert(id.clone(), submission);
        for (index, text) in parts.into_iter().enumerate() {
            let name = Arc::from(part_name(&id, index));
            let call = StoreCall::Create(Kind::Parts, name, Record::Part(text));
            self.call_store(Purpose::Part(id.clone(), index), call);
        }
    }

    /// Takes in the answer to the write of a part. A part that exists comes from an earlier
    /// attempt of the same submission.
    pub(super) fn stored_part(&mut self, id: &BatchId, answer: &Result<Answer, ObjectError>) {
        let Some(submission) = self.submissions.get_mut(id) else {
            return;
        };
        match answer {
            Ok(_) | Err(ObjectError::Conflict(_)) => {
                submission.missing = submission.missing.saturating_sub(1);
                if submission.missing == 0 {
                    self.accept(id);
                }
            }
            Err(error) => self.refuse_submission(id, error),
        }
    }

    fn accept(&mut self, id: &BatchId) {
        let Some(submission) = self.submissions.get(id) else {
            return;
        };
        let record = Record::Head(submission.head.clone());
        let call = StoreCall::Create(Kind::Heads, Arc::from(id.as_str()), record);
        self.call_store(Purpose::Accept(id.clone()), call);
    }

    /// Takes in the answer to the creation of the head.
    pub(super) fn accepted(&mut self, id: &BatchId, answer: &Result<Answer, ObjectError>) {
        let now = self.now;
        let Some(submission) = self.submissions.get_mut(id) else {
            return;
        };
        match answer {
            Ok(Answer::Written(revision)) => {
                let Some(submission) = self.submissions.remove(id) else {
                    return;
                };
                self.log(
                    Event::BatchAccepted,
                    vec![
                        ("batch", id.to_string()),
                        ("items", submission.head.total.to_string()),
                        ("least", submission.head.least.to_string()),
                        ("revision", revision.to_string()),
                    ],
                );
                for call in &submission.calls {
                    self.reply(*call, Reply::Accepted);
                }
                self.learn_head(id, *revision, submission.head.clone());
                // The job is new, so there is nothing to read before it runs.
                let fresh = self
                    .jobs
                    .get_mut(id)
                    .filter(|job| job.is_mine(&self.me.peer));
                if let Some(job) = fresh {
                    job.complete = Some(now);
                    job.batch = Some(submission.batch.clone());
                    self.start_runner(id, submission.batch);
                    self.dispatch();
                }
            }
            // The job was accepted before, here after a lost answer or at another process.
            Err(ObjectError::Conflict(_)) | Ok(Answer::Found(_)) => {
                let Some(submission) = self.submissions.remove(id) else {
                    return;
                };
                for call in &submission.calls {
                    self.reply(*call, Reply::Accepted);
                }
                if !self.jobs.contains_key(id) {
                    self.refresh(id);
                }
            }
            Err(ObjectError::Unknown(_)) if now < submission.until => {
                submission.unsure = true;
                self.accept(id);
            }
            Err(error) => self.refuse_submission(id, error),
        }
    }

    fn accept_limit(&self) -> Duration {
        match self.draining {
            true => ACCEPT_DRAINING,
            false => ACCEPT_LIMIT,
        }
    }

    /// Shortens the time of submissions when the process begins to drain.
    pub(super) fn hurry_submissions(&mut self) {
        let latest = self.now + self.accept_limit();
        for submission in self.submissions.values_mut() {
            submission.until = submission.until.min(latest);
        }
    }

    fn refuse_submission(&mut self, id: &BatchId, error: &ObjectError) {
        let Some(submission) = self.submissions.remove(id) else {
            return;
        };
        let unsure = submission.unsure;
        self.log(
            Event::BatchRefused,
            vec![
                ("batch", id.to_string()),
                ("unsure", unsure.to_string()),
                ("error", format!("{error:?}")),
            ],
        );
        for call in submission.calls {
            let reply = if unsure {
                Reply::Unsure
            } else {
                Reply::NotAccepted
            };
            self.reply(call, reply);
        }
    }
}

/// Splits a submission into parts that fit into objects.
fn split(source: &str) -> Vec<Arc<str>> {
    let mut parts = Vec::new();
    let mut rest = source;
    while rest.len() > PART_MOST {
        let mut end = PART_MOST;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, after) = rest.split_at(end);
        parts.push(Arc::from(part));
        rest = after;
    }
    parts.push(Arc::from(rest));
    parts
}
