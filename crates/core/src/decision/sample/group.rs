//! Life cycle of one group: `Open`, `Generated`, `Recorded`.
//!
//! Only a generated group can be recorded, and only a recorded group can be delivered or expired.
//! A delivered group has no further transition.

use std::fmt;
use std::sync::Arc;

use crate::decision::sample::GroupId;
use crate::decision::sample::GroupRecord;
use crate::decision::sample::GroupState;
use crate::decision::sample::GroupWrite;
use crate::decision::sample::Sample;
use crate::decision::sample::StalenessLimit;
use crate::domain::ids::Revision;
use crate::port::object::ObjectError;
use crate::port::object::Precondition;

/// The group has no complete result in this round.
#[derive(Clone, Debug)]
pub struct Open {
    size: u32,
    round: u32,
    expect: Precondition,
}

/// The group has a complete result that is not known to be stored.
#[derive(Clone, Debug)]
pub struct Generated {
    round: u32,
    expect: Precondition,
    samples: Vec<Sample>,
}

/// The group is stored and waits for delivery to the trainer.
#[derive(Clone, Debug)]
pub struct Recorded {
    revision: Revision,
    record: GroupRecord,
}

/// A group in one state of its life cycle.
#[derive(Clone, Debug)]
pub struct Group<S> {
    id: GroupId,
    state: S,
}

/// Reason for which a result is not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// An index is missing, duplicated or out of range.
    Incomplete,
    /// A sample carries no weight version.
    Unlabelled,
    /// A sample exceeds the staleness bound. The group must be generated again.
    Stale,
}

/// Outcome of a write or a read-back of a generated group.
#[derive(Debug)]
pub enum Recording {
    /// A result of this round or a later one is stored. Another process may have written it.
    Recorded(Revision, GroupRecord),
    /// Read the object at this path and pass the result to `read`.
    ReadBack(Group<Generated>, Arc<str>),
    /// The result is not stored. Check the staleness bound and write again after a pause.
    Retry(Group<Generated>),
}

impl Group<Open> {
    /// Starts the first round of a group of this size.
    pub fn first(id: GroupId, size: u32) -> Self {
        let (round, expect) = (0, Precondition::Absent);
        let state = Open {
            size,
            round,
            expect,
        };
        Self { id, state }
    }

    /// Starts the next round of a group whose expired record is stored at this revision.
    pub fn next_round(id: GroupId, size: u32, revision: Revision, expired: &GroupRecord) -> Self {
        let (round, expect) = (expired.round + 1, Precondition::At(revision));
        let state = Open {
            size,
            round,
            expect,
        };
        Self { id, state }
    }

    /// Returns the number of the round, from 0.
    pub fn round(&self) -> u32 {
        self.state.round
    }

    /// Completes the group with the samples of all members.
    ///
    /// Fails if an index is missing or duplicated, or if a sample carries no weight version.
    pub fn generated(self, mut samples: Vec<Sample>) -> Result<Group<Generated>, RecordError> {
        samples.sort_by_key(|sample| sample.index);
        let indexes = samples.iter().map(|sample| sample.index);
        if !indexes.eq(0..self.state.size) {
            return Err(RecordError::Incomplete);
        }
        if samples.iter().any(|sample| sample.versions.is_empty()) {
            return Err(RecordError::Unlabelled);
        }
        let state = Generated {
            round: self.state.round,
            expect: self.state.expect,
            samples,
        };
        Ok(Group { id: self.id, state })
    }
}

impl Group<Generated> {
    /// Returns the samples ordered by index.
    pub fn samples(&self) -> &[Sample] {
        &self.state.samples
    }

    /// Drops a result that exceeds the staleness bound and returns the group to the start of the
    /// same round. If a write of the dropped result still takes effect, the next write conflicts.
    pub fn reopen(self) -> Group<Open> {
        let Generated {
            round,
            expect,
            samples,
        } = self.state;
        let size = u32::try_from(samples.len()).unwrap_or(u32::MAX);
        let state = Open {
            size,
            round,
            expect,
        };
        Group { id: self.id, state }
    }

    /// Returns the write that records the group, or an error if a sample exceeds the staleness
    /// bound.
    pub fn record(&self, limit: StalenessLimit) -> Result<GroupWrite, RecordError> {
        let samples = &self.state.samples;
        if !samples.iter().all(|sample| limit.allows(&sample.versions)) {
            return Err(RecordError::Stale);
        }
        let record = GroupRecord {
            state: GroupState::Recorded,
            round: self.state.round,
            samples: samples.clone(),
        };
        let (path, expect) = (self.id.path(), self.state.expect);
        Ok(GroupWrite {
            path,
            record,
            expect,
        })
    }

    /// Handles the answer to the write.
    pub fn answered(self, write: &GroupWrite, answer: &Result<Revision, ObjectError>) -> Recording {
        match answer {
            Ok(revision) => Recording::Recorded(*revision, write.record.clone()),
            Err(ObjectError::Conflict(_) | ObjectError::Unknown(_)) => {
                Recording::ReadBack(self, write.path.clone())
            }
            Err(_) => Recording::Retry(self),
        }
    }

    /// Handles the object that was read back. The first complete result of a round is kept.
    pub fn read(self, found: Result<Option<(Revision, GroupRecord)>, ObjectError>) -> Recording {
        match found {
            Ok(Some((revision, record))) if record.round >= self.state.round => {
                Recording::Recorded(revision, record)
            }
            Ok(_) => Recording::Retry(self),
            Err(_) => {
                let path = self.id.path();
                Recording::ReadBack(self, path)
            }
        }
    }
}

impl Group<Recorded> {
    /// Continues with a stored group whose state is `GroupState::Recorded`.
    pub fn recorded(id: GroupId, revision: Revision, record: GroupRecord) -> Self {
        let state = Recorded { revision, record };
        Self { id, state }
    }

    /// Returns the write that delivers the group, or that expires it if it exceeds the staleness
    /// bound at this poll. Unless the write succeeds, the poll must read the objects again.
    pub fn deliver(self, limit: StalenessLimit) -> GroupWrite {
        let Recorded { revision, record } = self.state;
        let usable = record.samples.iter().all(|s| limit.allows(&s.versions));
        let (state, samples) = match usable {
            true => (GroupState::Delivered, record.samples),
            false => (GroupState::Expired, Vec::new()),
        };
        GroupWrite {
            path: self.id.path(),
            record: GroupRecord {
                state,
                round: record.round,
                samples,
            },
            expect: Precondition::At(revision),
        }
    }
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Incomplete => "the group does not have each index once",
            Self::Unlabelled => "a sample names no weight version",
            Self::Stale => "a sample is older than the staleness bound",
        })
    }
}

impl std::error::Error for RecordError {}
