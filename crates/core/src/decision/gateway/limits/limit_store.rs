//! Stored request limits, which a process that starts reads before it sends requests.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::STORE_RETRY_DELAY;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::decision::gateway::stored::StoredLimit;
use crate::domain::ids::Revision;
use crate::domain::name::TargetName;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Minimum time between two writes of the limit of a target.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the statement of a target without an entry is kept. The entry may come back after
/// an outage of the object API.
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// Write of a limit that this process has to store or delete.
#[derive(Clone, Copy, Debug)]
pub(in crate::decision::gateway) struct LimitWrite {
    state: WriteState,
    /// Revision of the stored object, or `None` if it is not known to exist.
    revision: Option<Revision>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// The stored limit is up to date. The next write may start at this time.
    Done(Time),
    /// A write is due at this time.
    Due(Time),
    /// A write is outstanding.
    Outstanding,
    /// A write is outstanding, and the limit has changed since.
    Outdated,
}

impl LimitWrite {
    /// Creates the state of a limit that was never written by this process.
    fn new(now: Time) -> Self {
        Self {
            state: WriteState::Done(now),
            revision: None,
        }
    }

    /// Marks the stored limit as outdated.
    fn schedule(&mut self) {
        self.state = match self.state {
            WriteState::Done(at) | WriteState::Due(at) => WriteState::Due(at),
            WriteState::Outstanding | WriteState::Outdated => WriteState::Outdated,
        };
    }

    /// Records the end of a write. A failed one is repeated.
    fn ended(&mut self, now: Time, written: bool) {
        self.state = match self.state {
            _ if !written => WriteState::Due(now + STORE_RETRY_DELAY),
            WriteState::Outdated => WriteState::Due(now + WRITE_INTERVAL),
            _ => WriteState::Done(now + WRITE_INTERVAL),
        };
    }
}

impl Gateway {
    /// Schedules a write of the limit of a target.
    pub(in crate::decision::gateway) fn schedule_write(&mut self, target: &TargetName) {
        let now = self.now;
        let writes = &mut self.permits.writes;
        let write = writes.entry(target.clone());
        write.or_insert_with(|| LimitWrite::new(now)).schedule();
    }

    /// Writes the limits that are due, and drops those of targets that are gone.
    pub(in crate::decision::gateway) fn tick_limits(&mut self) {
        let now = self.now;
        self.permits.silent.retain(|_, until| now < *until);
        self.drop_gone_limits();
        let limits = &self.directory.limits;
        self.permits.writes.retain(|target, write| {
            !matches!(write.state, WriteState::Done(_)) || limits.get(target).is_some()
        });
        let mut calls = Vec::new();
        for (target, write) in &mut self.permits.writes {
            let WriteState::Due(at) = write.state else {
                continue;
            };
            if now < at {
                continue;
            }
            write.state = WriteState::Outstanding;
            let name = Arc::from(target.as_str());
            let statement = self.directory.limits.get(target);
            let stored = statement.and_then(|statement| {
                Some(Record::Limit(StoredLimit {
                    limit: statement.limit?,
                    started_at: statement.started_at,
                }))
            });
            let call = match (stored, write.revision) {
                // A deletion names a revision, since it may take effect when a new limit is stored.
                (None, Some(at)) => StoreCall::DeleteAt(Kind::Limits, name, at),
                (None, None) => StoreCall::Get(Kind::Limits, name),
                (Some(record), None) => StoreCall::Create(Kind::Limits, name, record),
                (Some(record), Some(at)) => StoreCall::Update(Kind::Limits, name, record, at),
            };
            calls.push((Purpose::Limit(target.clone()), call));
        }
        for (purpose, call) in calls {
            self.call_store(purpose, call);
        }
    }

    /// Handles the answer to a write of a limit.
    pub(in crate::decision::gateway) fn limit_stored(
        &mut self,
        target: &TargetName,
        answer: &Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let limited = self
            .directory
            .limits
            .get(target)
            .is_some_and(|s| s.limit.is_some());
        let Some(write) = self.permits.writes.get_mut(target) else {
            return;
        };
        match answer {
            Ok(Answer::Written(revision)) => write.revision = limited.then_some(*revision),
            Ok(Answer::Found(Some((revision, _)))) => {
                write.revision = Some(*revision);
                write.schedule();
            }
            Err(ObjectError::Conflict(revision)) => write.revision = *revision,
            _ => {}
        }
        write.ended(now, answer.is_ok());
    }

    /// Drops the statements of targets that have had no entry for some time. The granter also
    /// deletes the stored limit.
    fn drop_gone_limits(&mut self) {
        let now = self.now;
        let limits = &self.directory.limits;
        let is_gone = |target: &&TargetName| {
            let old = limits
                .get(target)
                .is_some_and(|s| now.since(s.heard) >= GONE_RETENTION);
            old && self.directory.get(target).is_none()
        };
        let gone: Vec<TargetName> = limits.targets().filter(is_gone).cloned().collect();
        for target in gone {
            self.directory.limits.forget(&target);
            self.permits.buckets.remove(&target);
            self.permits.requests.retain(|(of, _), _| *of != target);
            if self.is_granter(&target) {
                self.schedule_write(&target);
            }
        }
    }
}
