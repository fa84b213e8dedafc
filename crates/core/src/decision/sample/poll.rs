//! Answers to the polls of trainers.

use crate::decision::sample::GroupId;
use crate::decision::sample::GroupRecord;
use crate::decision::sample::GroupState;
use crate::decision::sample::StalenessLimit;
use crate::decision::sample::Stored;
use crate::domain::ids::Revision;

/// Answer to a trainer's poll.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Groups delivered after the cursor, in order of delivery.
    pub groups: Vec<(GroupId, GroupRecord)>,
    /// Groups delivered after the cursor that now exceed the staleness bound.
    pub withheld: Vec<GroupId>,
    /// Cursor to pass with the next poll.
    pub cursor: Revision,
}

/// Builds the answer to a poll from one listing of the step's groups.
///
/// The listing must be read after the writes that deliver groups were answered, and it must be a
/// consistent snapshot of the store. Every group delivered later then has a revision above the
/// returned cursor.
pub fn answer_poll(mut stored: Vec<Stored>, after: Revision, limit: StalenessLimit) -> Reply {
    stored
        .retain(|(_, revision, record)| record.state == GroupState::Delivered && *revision > after);
    stored.sort_by_key(|(_, revision, _)| *revision);
    let mut reply = Reply {
        groups: Vec::new(),
        withheld: Vec::new(),
        cursor: stored.last().map_or(after, |last| last.1),
    };
    for (id, _, record) in stored {
        let usable = record.samples.iter().all(|s| limit.allows(&s.versions));
        match usable {
            true => reply.groups.push((id, record)),
            false => reply.withheld.push(id),
        }
    }
    reply
}
