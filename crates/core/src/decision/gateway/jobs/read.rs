//! Reads of the results and item bodies of batch jobs.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::CallId;
use crate::decision::gateway::message::Question;
use crate::decision::gateway::message::Reply;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::domain::name::BatchId;
use crate::domain::name::ItemId;
use crate::domain::name::WorkspaceName;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Minimum timeout of a read, long enough for one call to the object API.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout for reading the body of an item.
const BODY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout for finding a job that this process does not know. After it the caller gets
/// `Reply::Unsure`.
const FIND_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Caller that waits for results.
#[derive(Debug)]
pub(in crate::decision::gateway) struct Reader {
    pub(in crate::decision::gateway) call: CallId,
    after: usize,
    since: Time,
    /// Time at which the caller gets an empty answer if there is certainly no result.
    until: Time,
    /// Time at which the caller gets `Reply::Unsure`.
    deadline: Time,
}

/// Question about a job that this process does not know yet.
#[derive(Debug)]
pub(in crate::decision::gateway) struct JobLookup {
    call: CallId,
    question: JobQuestion,
    deadline: Time,
}

/// Question to repeat once the job is known.
#[derive(Debug)]
pub(in crate::decision::gateway) enum JobQuestion {
    /// Read results. Holds the workspace, first position, wait time and `local` of the question.
    Read(Option<WorkspaceName>, usize, Duration, bool),
    /// Read the body of an item.
    ReadItem(Option<WorkspaceName>, ItemId),
    /// End the job.
    EndJob(Option<WorkspaceName>),
}

impl Gateway {
    pub(in crate::decision::gateway) fn read(
        &mut self,
        call: CallId,
        id: BatchId,
        workspace: Option<WorkspaceName>,
        after: usize,
        wait: Duration,
        local: bool,
    ) {
        let now = self.now;
        let incarnation = self.settings.peer.incarnation;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_stored()) else {
            self.find(call, id, JobQuestion::Read(workspace, after, wait, local));
            return;
        };
        if !job.belongs_to(workspace.as_ref()) {
            self.reply(call, Reply::NotFound);
            return;
        }
        job.last_used = now;
        if job.journal.len() <= after
            && !local
            && let Some(runner) = &job.head.runner
            && runner.incarnation != incarnation
        {
            let address = runner.address;
            self.reply(call, Reply::Forward(address));
            return;
        }
        let until = now + wait;
        job.readers.push(Reader {
            call,
            after,
            since: now,
            until,
            deadline: until.max(now + MIN_READ_TIMEOUT),
        });
        self.load_more(&id);
        self.answer_readers(&id);
    }

    /// Answers readers that have results or whose wait time has passed.
    pub(in crate::decision::gateway) fn answer_readers(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.readers.is_empty() {
            return;
        }
        let alone = job.lists_alone();
        let total = job.head.total;
        let whole = job.has_all_results();
        let full = whole || job.head.ended;
        let mut replies = Vec::new();
        job.readers.retain(|reader| {
            let outcomes = job.journal.page(reader.after);
            let certain = alone || whole || job.complete_at.is_some_and(|at| at >= reader.since);
            if !outcomes.is_empty() {
                let reply = Reply::Results(total, reader.after, outcomes);
                replies.push((reader.call, reply));
                false
            } else if certain && (now >= reader.until || full) {
                let reply = Reply::Results(total, reader.after, Vec::new());
                replies.push((reader.call, reply));
                false
            } else if now >= reader.deadline {
                replies.push((reader.call, Reply::Unsure));
                false
            } else {
                true
            }
        });
        for (call, reply) in replies {
            self.reply(call, reply);
        }
    }

    pub(in crate::decision::gateway) fn body(
        &mut self,
        call: CallId,
        id: BatchId,
        workspace: Option<WorkspaceName>,
        item: ItemId,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_stored()) else {
            self.find(call, id, JobQuestion::ReadItem(workspace, item));
            return;
        };
        if !job.belongs_to(workspace.as_ref()) {
            self.reply(call, Reply::NotFound);
            return;
        }
        job.last_used = now;
        job.bodies.push((call, item, now + BODY_TIMEOUT));
        self.load_more(&id);
        self.answer_bodies(&id);
    }

    /// Answers callers that wait for item bodies once the submission is loaded.
    pub(in crate::decision::gateway) fn answer_bodies(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut replies = Vec::new();
        if let Some(batch) = &job.batch {
            for (call, item, _) in job.bodies.drain(..) {
                let found = batch.items.iter().find(|i| i.id == item);
                let reply = found.map_or(Reply::NotFound, |i| Reply::Body(i.body.clone()));
                replies.push((call, reply));
            }
        }
        job.bodies.retain(|(call, _, until)| {
            let expired = now >= *until;
            if expired {
                replies.push((*call, Reply::Unsure));
            }
            !expired
        });
        for (call, reply) in replies {
            self.reply(call, reply);
        }
    }

    /// Looks up an unknown job in the object API before the question is answered.
    pub(in crate::decision::gateway) fn find(
        &mut self,
        call: CallId,
        id: BatchId,
        question: JobQuestion,
    ) {
        let deadline = self.now + FIND_TIMEOUT;
        let lookups = self.lookups.entry(id.clone()).or_default();
        lookups.push(JobLookup {
            call,
            question,
            deadline,
        });
        if lookups.len() == 1 {
            self.request_head(id);
        }
    }

    fn request_head(&mut self, id: BatchId) {
        let call = StoreCall::Get(Kind::Heads, Arc::from(id.as_str()));
        self.call_store(Purpose::Find(id), call);
    }

    /// Handles the answer to the lookup of an unknown job.
    pub(in crate::decision::gateway) fn head_found(
        &mut self,
        id: &BatchId,
        answer: Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        match answer {
            Ok(Answer::Found(Some((revision, Record::Head(head))))) => {
                self.apply_head(id, revision, head);
                for lookup in self.lookups.remove(id).unwrap_or_default() {
                    self.handle_question(lookup.call, lookup.question.into_question(id.clone()));
                }
            }
            Ok(Answer::Found(None)) if !self.jobs.contains_key(id) => {
                for lookup in self.lookups.remove(id).unwrap_or_default() {
                    self.reply(lookup.call, Reply::NotFound);
                }
            }
            _ => {
                let lookups = self.lookups.remove(id).unwrap_or_default();
                let (expired, remaining): (Vec<_>, Vec<_>) = lookups
                    .into_iter()
                    .partition(|lookup| now >= lookup.deadline);
                for lookup in expired {
                    self.reply(lookup.call, Reply::Unsure);
                }
                if !remaining.is_empty() {
                    self.lookups.insert(id.clone(), remaining);
                    let call = StoreCall::Get(Kind::Heads, Arc::from(id.as_str()));
                    self.retry_store_call(Purpose::Find(id.clone()), call);
                }
            }
        }
    }
}

impl JobQuestion {
    fn into_question(self, id: BatchId) -> Question {
        match self {
            JobQuestion::Read(workspace, after, wait, local) => Question::Read {
                id,
                workspace,
                after,
                wait,
                local,
            },
            JobQuestion::ReadItem(workspace, item) => Question::ReadItem {
                id,
                workspace,
                item,
            },
            JobQuestion::EndJob(workspace) => Question::EndJob { id, workspace },
        }
    }
}
