//! Reads of batch jobs: results and bodies of items.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Work;
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

/// Least time for a read, so that the object API can be asked once.
const READ_LIMIT: Duration = Duration::from_millis(900);

/// Time for the body of an item.
const BODY_LIMIT: Duration = Duration::from_millis(1_500);

/// Time after which a job that is not known here is reported as unknown state.
const FIND_LIMIT: Duration = Duration::from_millis(2_500);

/// A caller that waits for results.
#[derive(Debug)]
pub(super) struct Reader {
    pub(super) call: CallId,
    after: usize,
    since: Time,
    /// The caller gets an empty answer at this time if there is surely no result.
    until: Time,
    /// The caller is told at this time that the state is not known.
    last: Time,
}

/// A question for a job that is not known here.
#[derive(Debug)]
pub(super) struct Search {
    call: CallId,
    wanted: Wanted,
    until: Time,
}

/// What a question wants of a job.
#[derive(Debug)]
pub(super) enum Wanted {
    /// Results.
    Results(Option<WorkspaceName>, usize, Duration, bool),
    /// Body of an item.
    Body(Option<WorkspaceName>, ItemId),
    /// Its end.
    End(Option<WorkspaceName>),
}

impl Gateway {
    pub(super) fn read(
        &mut self,
        call: CallId,
        id: BatchId,
        workspace: Option<WorkspaceName>,
        after: usize,
        wait: Duration,
        here: bool,
    ) {
        let now = self.now;
        let mine = self.me.peer.incarnation;
        let Some(job) = self.jobs.get_mut(&id) else {
            self.find(call, id, Wanted::Results(workspace, after, wait, here));
            return;
        };
        if !job.belongs_to(workspace.as_ref()) {
            self.reply(call, Reply::Absent);
            return;
        }
        job.touched = now;
        if job.journal.len() <= after
            && !here
            && let Some(runner) = &job.head.runner
            && runner.incarnation != mine
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
            last: until.max(now + READ_LIMIT),
        });
        self.load_more(&id);
        self.answer_readers(&id);
    }

    /// Answers readers for whom there are results or whose time is over.
    pub(super) fn answer_readers(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.readers.is_empty() {
            return;
        }
        let running = matches!(job.work, Work::Running(_));
        let total = job.head.total;
        let whole = job.is_whole();
        let full = whole || job.head.ended;
        let mut replies = Vec::new();
        job.readers.retain(|reader| {
            let outcomes = job.journal.page(reader.after);
            let sure = running || whole || job.complete.is_some_and(|at| at >= reader.since);
            if !outcomes.is_empty() {
                let reply = Reply::Results(total, reader.after, outcomes);
                replies.push((reader.call, reply));
                false
            } else if sure && (now >= reader.until || full) {
                let reply = Reply::Results(total, reader.after, Vec::new());
                replies.push((reader.call, reply));
                false
            } else if now >= reader.last {
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

    pub(super) fn body(
        &mut self,
        call: CallId,
        id: BatchId,
        workspace: Option<WorkspaceName>,
        item: ItemId,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            self.find(call, id, Wanted::Body(workspace, item));
            return;
        };
        if !job.belongs_to(workspace.as_ref()) {
            self.reply(call, Reply::Absent);
            return;
        }
        job.touched = now;
        job.bodies.push((call, item, now + BODY_LIMIT));
        self.load_more(&id);
        self.answer_bodies(&id);
    }

    /// Answers questions for bodies once the submission is known.
    pub(super) fn answer_bodies(&mut self, id: &BatchId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut replies = Vec::new();
        if let Some(batch) = &job.batch {
            for (call, item, _) in job.bodies.drain(..) {
                let found = batch.items.iter().find(|i| i.id == item);
                let reply = found.map_or(Reply::Absent, |i| Reply::Body(i.body.clone()));
                replies.push((call, reply));
            }
        }
        job.bodies.retain(|(call, _, until)| {
            let over = now >= *until;
            if over {
                replies.push((*call, Reply::Unsure));
            }
            !over
        });
        for (call, reply) in replies {
            self.reply(call, reply);
        }
    }

    /// Asks the object API for a job that is not known here.
    pub(super) fn find(&mut self, call: CallId, id: BatchId, wanted: Wanted) {
        let until = self.now + FIND_LIMIT;
        let searches = self.searches.entry(id.clone()).or_default();
        searches.push(Search {
            call,
            wanted,
            until,
        });
        if searches.len() == 1 {
            self.ask_head(id);
        }
    }

    fn ask_head(&mut self, id: BatchId) {
        let call = StoreCall::Get(Kind::Heads, Arc::from(id.as_str()));
        self.call_store(Purpose::Find(id), call);
    }

    /// Takes in the head of a job that was not known here, or that there is none.
    pub(super) fn found(&mut self, id: &BatchId, answer: Result<Answer, ObjectError>) {
        let now = self.now;
        match answer {
            Ok(Answer::Found(Some((revision, Record::Head(head))))) => {
                self.learn_head(id, revision, head);
                for search in self.searches.remove(id).unwrap_or_default() {
                    self.ask(search.call, search.wanted.question(id.clone()));
                }
            }
            Ok(Answer::Found(None)) if !self.jobs.contains_key(id) => {
                for search in self.searches.remove(id).unwrap_or_default() {
                    self.reply(search.call, Reply::Absent);
                }
            }
            _ => {
                let searches = self.searches.remove(id).unwrap_or_default();
                let (over, rest): (Vec<_>, Vec<_>) =
                    searches.into_iter().partition(|search| now >= search.until);
                for search in over {
                    self.reply(search.call, Reply::Unsure);
                }
                if !rest.is_empty() {
                    self.searches.insert(id.clone(), rest);
                    let call = StoreCall::Get(Kind::Heads, Arc::from(id.as_str()));
                    self.call_store_again(Purpose::Find(id.clone()), call);
                }
            }
        }
    }
}

impl Wanted {
    fn question(self, id: BatchId) -> Question {
        match self {
            Wanted::Results(workspace, after, wait, here) => Question::Read {
                id,
                workspace,
                after,
                wait,
                here,
            },
            Wanted::Body(workspace, item) => Question::Body {
                id,
                workspace,
                item,
            },
            Wanted::End(workspace) => Question::End { id, workspace },
        }
    }
}
