//! Acceptance of batch jobs.
//!
//! The parts of the submission are stored first. Creating the head accepts the job, so a submission
//! is refused only if that write was not sent or certainly had no effect. `held` has what happens to a
//! submission while the object API does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Job;
use crate::decision::gateway::jobs::Work;
use crate::decision::gateway::jobs::held::Patience;
use crate::decision::gateway::jobs::held::Stage;
use crate::decision::gateway::jobs::held::Write;
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
use crate::domain::ids::Revision;
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
    pub(in crate::decision::gateway) calls: Vec<CallId>,
    pub(in crate::decision::gateway) batch: Arc<Batch>,
    pub(in crate::decision::gateway) head: Head,
    /// Parts with the state of their creation.
    pub(in crate::decision::gateway) parts: Vec<(Arc<str>, Write)>,
    /// Creation of the head.
    pub(in crate::decision::gateway) accept: Write,
    /// Time of the first call.
    pub(in crate::decision::gateway) since: Time,
    /// Time for which the callers wait.
    pub(in crate::decision::gateway) patience: Patience,
    /// Earliest time of the next write after a failed one.
    pub(in crate::decision::gateway) next_write: Time,
    /// Whether items may have run before the job is stored.
    pub(in crate::decision::gateway) stage: Stage,
    /// Whether an unanswered call may have created the head.
    pub(in crate::decision::gateway) maybe_created: bool,
}

/// A submission for the control thread.
#[derive(Debug)]
pub struct SubmitRequest {
    /// Name of the job.
    pub id: BatchId,
    /// Workspace of the key.
    pub workspace: Option<WorkspaceName>,
    /// Route of the job.
    pub route: Arc<Route>,
    /// Decoded submission.
    pub batch: Arc<Batch>,
    /// Time until which the caller waits, or `None` if it does not say.
    pub until: Option<Time>,
    /// Process that was sent the submission and did not answer in time.
    pub passed_to: Option<SocketAddr>,
}

impl Gateway {
    pub(in crate::decision::gateway) fn submit(&mut self, call: CallId, request: SubmitRequest) {
        let id = request.id.clone();
        let known = self.jobs.get(&id);
        if let Some(submission) = self.submissions.get_mut(&id)
            && known.is_none_or(|job| !job.is_stored())
        {
            submission.calls.push(call);
            submission.patience.extend(request.until);
            return;
        }
        if let Some(job) = known {
            let owned = job.belongs_to(request.workspace.as_ref());
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
        if !self.make_room(&id, &request.batch) {
            self.reply(call, Reply::NotAccepted);
            return;
        }
        let submission = self.new_submission(call, request);
        self.submissions.insert(id.clone(), submission);
        self.begin_submission(&id);
    }

    fn new_submission(&self, call: CallId, request: SubmitRequest) -> Submission {
        let now = self.now;
        let batch = request.batch;
        let parts = split(&batch.source);
        let batch = without_source(batch);
        let runner = Runner::from(&self.settings.peer);
        let head = Head {
            workspace: request.workspace,
            route: request.route.name.clone(),
            host: request.route.host.clone(),
            model: batch.model.clone(),
            min_version: batch.min_version,
            total: batch.items.len(),
            parts: parts.len(),
            accepted: self.wall_time(),
            runner: (!self.draining).then_some(runner),
            takeovers: 0,
            ended: false,
        };
        let patience = match request.until {
            Some(until) if !self.draining => Patience::Stated(until),
            _ => Patience::Unstated(now + self.accept_timeout()),
        };
        Submission {
            calls: vec![call],
            batch,
            head,
            parts: parts.into_iter().map(|text| (text, Write::Due)).collect(),
            accept: Write::Due,
            since: now,
            patience,
            next_write: now,
            stage: Stage::Waiting(request.passed_to),
            maybe_created: false,
        }
    }

    /// Sends the writes of a submission that are due, at most `limit`. The head follows the last part.
    pub(in crate::decision::gateway) fn send_writes(&mut self, id: &BatchId, limit: usize) {
        let now = self.now;
        let Some(submission) = self.submissions.get_mut(id) else {
            return;
        };
        let mut calls = Vec::new();
        let due = submission.parts.iter_mut().enumerate();
        let due = due.filter(|(_, (_, write))| *write == Write::Due);
        for (index, (text, write)) in due.take(limit) {
            *write = Write::Sent(now);
            let name = Arc::from(part_name(id, index));
            let call = StoreCall::Create(Kind::Parts, name, Record::Part(text.clone()));
            calls.push((Purpose::Part(id.clone(), index), call));
        }
        let stored = submission.parts.iter().all(|(_, w)| *w == Write::Done);
        if stored && submission.accept == Write::Due {
            submission.accept = Write::Sent(now);
            let record = Record::Head(submission.head.clone());
            let call = StoreCall::Create(Kind::Heads, Arc::from(id.as_str()), record);
            calls.push((Purpose::Accept(id.clone()), call));
        }
        for (purpose, call) in calls {
            self.call_store(purpose, call);
        }
    }

    /// Handles the answer to the write of a part. An existing part comes from an earlier attempt of
    /// the same submission.
    pub(in crate::decision::gateway) fn part_stored(
        &mut self,
        id: &BatchId,
        index: usize,
        answer: &Result<Answer, ObjectError>,
    ) {
        let Some(submission) = self.submissions.get_mut(id) else {
            return;
        };
        let Some((_, write)) = submission.parts.get_mut(index) else {
            return;
        };
        match answer {
            Ok(_) | Err(ObjectError::Conflict(_)) => {
                *write = Write::Done;
                self.send_writes(id, usize::MAX);
            }
            Err(_) if *write == Write::Done => {}
            Err(error) => {
                *write = Write::Due;
                self.write_failed(id, error);
            }
        }
    }

    /// Handles the answer to the creation of the head.
    pub(in crate::decision::gateway) fn head_created(
        &mut self,
        id: &BatchId,
        answer: &Result<Answer, ObjectError>,
    ) {
        match answer {
            Ok(Answer::Written(revision)) => {
                if let Some(submission) = self.submissions.remove(id) {
                    self.accepted(id, *revision, submission);
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
                if !self.jobs.get(id).is_some_and(Job::is_stored) {
                    self.refresh(id);
                }
            }
            Err(error) => {
                let Some(submission) = self.submissions.get_mut(id) else {
                    return;
                };
                submission.accept = Write::Due;
                submission.maybe_created |= matches!(error, ObjectError::Unknown(_));
                self.write_failed(id, error);
            }
        }
    }

    /// Answers the callers of a job whose head this process has created, and runs the job.
    fn accepted(&mut self, id: &BatchId, revision: Revision, submission: Submission) {
        let now = self.now;
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
        self.apply_head(id, revision, submission.head);
        let me = &self.settings.peer;
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_run_by(me)) else {
            return;
        };
        // The job is new, so it has no results or drafts to read before it runs.
        job.complete_at = Some(now);
        job.sole_runner = true;
        job.batch = Some(submission.batch.clone());
        // A held submission runs already.
        if matches!(job.work, Work::Idle | Work::Loading) {
            self.start_loaded(id, submission.batch);
            self.dispatch();
        }
        self.write_pages();
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
            submission.patience.shorten(latest);
            // A job that is stored from now on is for another process to run.
            if submission.accept == Write::Due && !submission.maybe_created {
                submission.head.runner = None;
            }
        }
    }

    /// Ends a submission that cannot be stored. `retry` is the delay after which the caller should
    /// come back, if it was chosen.
    pub(in crate::decision::gateway) fn refuse_submission(
        &mut self,
        id: &BatchId,
        reason: &str,
        retry: Option<Duration>,
    ) {
        let Some(submission) = self.submissions.remove(id) else {
            return;
        };
        self.drop_held(id);
        let pending = matches!(submission.accept, Write::Sent(_));
        let unsure = submission.maybe_created || pending || submission.stage == Stage::Begun;
        self.log(
            Event::BatchRefused,
            vec![
                ("batch", id.to_string()),
                ("unsure", unsure.to_string()),
                ("error", reason.to_owned()),
            ],
        );
        for call in submission.calls {
            let reply = match (unsure, retry) {
                (true, _) => Reply::Unsure,
                (false, Some(delay)) => Reply::Rejected(delay),
                (false, None) => Reply::NotAccepted,
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
