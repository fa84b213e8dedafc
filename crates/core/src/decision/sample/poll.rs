//! The answer to a trainer's poll.

use crate::decision::sample::Freshness;
use crate::decision::sample::GroupId;
use crate::decision::sample::GroupRecord;
use crate::decision::sample::GroupState;
use crate::decision::sample::Stored;
use crate::domain::ids::Revision;

/// What a poll answers.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Delivered groups after the cursor, in the order of their delivery.
    pub groups: Vec<(GroupId, GroupRecord)>,
    /// Delivered groups after the cursor that have become too old for the trainer.
    pub withheld: Vec<GroupId>,
    /// Cursor of the next poll.
    pub cursor: Revision,
}

/// Builds the answer from one listing of the step. The listing must be read after the writes that
/// deliver groups were answered, and it must show one point of the store's history, so that every
/// group delivered later has a revision above the returned cursor.
pub fn collect(mut stored: Vec<Stored>, after: Revision, fresh: Freshness) -> Reply {
    stored
        .retain(|(_, revision, record)| record.state == GroupState::Delivered && *revision > after);
    stored.sort_by_key(|(_, revision, _)| *revision);
    let mut reply = Reply {
        groups: Vec::new(),
        withheld: Vec::new(),
        cursor: stored.last().map_or(after, |last| last.1),
    };
    for (id, _, record) in stored {
        let usable = record.samples.iter().all(|s| fresh.allows(&s.versions));
        match usable {
            true => reply.groups.push((id, record)),
            false => reply.withheld.push(id),
        }
    }
    reply
}
