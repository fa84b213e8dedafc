//! Heads of jobs: what is stored of them, and changes of their runner.

use std::sync::Arc;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Job;
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

impl Gateway {
    /// Takes in the state of a job as it is stored.
    pub(super) fn learn_head(&mut self, id: &BatchId, revision: Revision, head: Head) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(id) {
            if revision <= job.revision {
                return;
            }
            job.revision = revision;
            job.head = head;
            job.suspected = None;
        } else {
            self.jobs.insert(id.clone(), Job::new(head, revision, now));
        }
        self.settle_job(id);
        self.check_runner(id);
    }

    pub(super) fn update_head(
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

    /// Reads a head whose state is in doubt.
    pub(super) fn refresh(&mut self, id: &BatchId) {
        let call = StoreCall::Get(Kind::Heads, Arc::from(id.as_str()));
        self.call_store(Purpose::Refresh(id.clone()), call);
    }

    /// Reads a head whose state is in doubt after a read that failed.
    fn refresh_again(&mut self, id: &BatchId) {
        let call = StoreCall::Get(Kind::Heads, Arc::from(id.as_str()));
        self.call_store_again(Purpose::Refresh(id.clone()), call);
    }

    /// Takes in a head that was read because its state was in doubt.
    pub(super) fn refreshed(&mut self, id: &BatchId, answer: Result<Answer, ObjectError>) {
        match answer {
            Ok(Answer::Found(Some((revision, Record::Head(head))))) => {
                self.learn_head(id, revision, head);
                if let Some(job) = self.jobs.get_mut(id) {
                    job.moving = false;
                    if job.ending.is_some() {
                        self.write_end(id);
                    }
                }
            }
            Ok(Answer::Found(None)) => self.drop_job(id),
            _ => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.moving = false;
                    // `expire_end` answers the callers if the object API stays away.
                    if job.ending.is_some() {
                        self.refresh_again(id);
                    }
                }
            }
        }
    }

    /// Gives all jobs of this process to others.
    pub(super) fn hand_over(&mut self) {
        let mine: Vec<BatchId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_mine(&self.me.peer) && !job.head.ended && !job.moving)
            .map(|(id, _)| id.clone())
            .collect();
        for id in mine {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.moving = true;
                let head = Head {
                    runner: None,
                    ..job.head.clone()
                };
                let revision = job.revision;
                self.update_head(Purpose::HandOver(id.clone()), &id, head, revision);
            }
        }
    }

    /// Takes in the answer to a change of the runner.
    pub(super) fn moved(
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
                job.moving = false;
                let head = Head {
                    runner,
                    ..job.head.clone()
                };
                self.learn_head(id, *revision, head);
            }
            _ => self.refresh(id),
        }
    }
}
