//! Acceptance of batch jobs.
//!
//! The parts of the submission are stored first. Creating the head accepts the job, so a submission
//! is refused only if that write was not sent or certainly had no effect.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::memory::without_source;
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

/// Maximum size of a part in bytes. An object holds at most one megabyte, and quotes in the text
/// take twice the space when it is encoded.
const MAX_PART_BYTES: usize = 450 * 1024;

/// Time for which the creation of a head is retried if its outcome is unknown.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Value of `ACCEPT_TIMEOUT` while draining. It is shorter, so that the caller is answered before
/// the process ends.
const DRAIN_ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Submission whose parts or head are being stored.
#[derive(Debug)]
pub(in crate::decision::gateway) struct Submission {
    calls: Vec<CallId>,
    pub(super) batch: Arc<Batch>,
    head: Head,
    /// Number of parts that are not stored yet.
    unstored: usize,
    deadline: Time,
    /// Whether an unanswered call may have created the head.
    maybe_created: bool,
}

impl Gateway {
    pub(in crate::decision::gateway) fn submit(
        &mut self,
        call: CallId,
        id: BatchId,
        workspace: Option<WorkspaceName>,
        route: &Route,
        batch: Arc<Batch>,
    ) {
        if let Some(job) = self.jobs.get(&id) {
            let owned = job.belongs_to(workspace.as_ref());
            self.reply(
                call,
                if owned {
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
        if !self.make_room(&id, &batch) {
            self.reply(call, Reply::NotAccepted);
            return;
        }
        let parts = split(&batch.source);
        let batch = without_source(batch);
        let runner = Runner::from(&self.settings.peer);
        let head = Head {
            workspace,
            route: route.name.clone(),
            host: route.host.clone(),
            model: batch.model.clone(),
            min_version: batch.min_version,
            total: batch.items.len(),
            parts: parts.len(),
            accepted: self.wall_time(),
            runner: (!self.draining).then_some(runner),
            ended: false,
        };
        let submission = Submission {
            calls: vec![call],
            batch,
            head,
            unstored: parts.len(),
            deadline: self.now + self.accept_timeout(),
            maybe_created: false,
        };
        self.submissions.insert(id.clone(), submission);
        for (index, text) in parts.into_iter().enumerate() {
            let name = Arc::from(part_name(&id, index));
            let call = StoreCall::Create(Kind::Parts, name, Record::Part(text));
            self.call_store(Purpose::Part(id.clone(), index), call);
        }
    }

    /// Handles the answer to the write of a part. An existing part comes from an earlier attempt of
    /// the same submission.
    pub(in crate::decision::gateway) fn part_stored(
        &mut self,
        id: &BatchId,
        answer: &Result<Answer, ObjectError>,
    ) {
        let Some(submission) = self.submissions.get_mut(id) else {
            return;
        };
        match answer {
            Ok(_) | Err(ObjectError::Conflict(_)) => {
                submission.unstored = submission.unstored.saturating_sub(1);
                if submission.unstored == 0 {
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

    /// Handles the answer to the creation of the head.
    pub(in crate::decision::gateway) fn head_created(
        &mut self,
        id: &BatchId,
        answer: &Result<Answer, ObjectError>,
    ) {
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
                        ("least", submission.head.min_version.to_string()),
                        ("revision", revision.to_string()),
                    ],
                );
                for call in &submission.calls {
                    self.reply(*call, Reply::Accepted);
                }
                self.apply_head(id, *revision, submission.head.clone());
                // The job is new, so it has no results or drafts to read before it runs.
                let fresh = self
                    .jobs
                    .get_mut(id)
                    .filter(|job| job.is_run_by(&self.settings.peer));
                if let Some(job) = fresh {
                    job.complete_at = Some(now);
                    job.sole_runner = true;
                    job.batch = Some(submission.batch.clone());
                    self.start_loaded(id, submission.batch);
                    self.dispatch();
                }
            }
            // The head exists: an earlier call without an answer or another process created it.
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
            Err(ObjectError::Unknown(_)) if now < submission.deadline => {
                submission.maybe_created = true;
                self.accept(id);
            }
            Err(error) => self.refuse_submission(id, error),
        }
    }

    fn accept_timeout(&self) -> Duration {
        match self.draining {
            true => DRAIN_ACCEPT_TIMEOUT,
            false => ACCEPT_TIMEOUT,
        }
    }

    /// Shortens the deadlines of pending submissions when the process starts to drain.
    pub(in crate::decision::gateway) fn shorten_submissions(&mut self) {
        let latest = self.now + self.accept_timeout();
        for submission in self.submissions.values_mut() {
            submission.deadline = submission.deadline.min(latest);
        }
    }

    fn refuse_submission(&mut self, id: &BatchId, error: &ObjectError) {
        let Some(submission) = self.submissions.remove(id) else {
            return;
        };
        let unsure = submission.maybe_created;
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

/// Splits the text of a submission into parts that each fit into one object.
fn split(source: &str) -> Vec<Arc<str>> {
    let mut parts = Vec::new();
    let mut rest = source;
    while rest.len() > MAX_PART_BYTES {
        let mut end = MAX_PART_BYTES;
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
