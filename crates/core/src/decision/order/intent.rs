//! Life cycle of one intent: `Drafted`, `Recorded`, `Applied`.
//!
//! Only a recorded intent yields an order, and only an applied one can be settled.

use std::sync::Arc;

use crate::decision::order::IntentRecord;
use crate::decision::order::IntentState;
use crate::decision::order::IntentWrite;
use crate::decision::order::path;
use crate::domain::ids::Fence;
use crate::domain::ids::Revision;
use crate::domain::name::CentreName;
use crate::domain::name::TargetName;
use crate::port::object::Precondition;
use crate::port::order::OrderAction;
use crate::port::order::TargetOrder;

/// The intent is not known to be stored.
#[derive(Clone, Debug)]
pub struct Drafted {
    expect: Precondition,
}

/// The intent is stored as open.
#[derive(Clone, Debug)]
pub struct Recorded {
    revision: Revision,
}

/// The order has taken effect at the interface.
#[derive(Clone, Debug)]
pub struct Applied {
    revision: Revision,
}

/// An intent in one state of its life cycle.
#[derive(Clone, Debug)]
pub struct Intent<S> {
    record: IntentRecord,
    state: S,
}

impl Intent<Drafted> {
    /// Drafts an intent. `number` is its sequence number within the tenure, from 1.
    pub fn draft(
        fence: Fence,
        number: u64,
        target: TargetName,
        action: OrderAction,
        expect: Precondition,
    ) -> Self {
        let record = IntentRecord {
            id: Arc::from(format!("{target}-{}-{number}", fence.0)),
            fence,
            target,
            action,
            state: IntentState::Open,
        };
        let state = Drafted { expect };
        Self { record, state }
    }

    /// Returns the write that records the intent.
    pub fn write(&self, centre: &CentreName) -> IntentWrite {
        IntentWrite {
            path: path(centre, &self.record.target),
            record: self.record.clone(),
            expect: self.state.expect,
        }
    }

    /// Returns `true` if the stored object has not changed since the intent was drafted.
    pub fn is_unchanged(&self, found: Option<&(Revision, IntentRecord)>) -> bool {
        match (self.state.expect, found) {
            (Precondition::Absent, None) => true,
            (Precondition::At(revision), Some(found)) => found.0 == revision,
            _ => false,
        }
    }

    /// Marks the intent as recorded at this revision.
    pub fn recorded(self, revision: Revision) -> Intent<Recorded> {
        let state = Recorded { revision };
        Intent {
            record: self.record,
            state,
        }
    }
}

impl Intent<Recorded> {
    /// Adopts an open intent that is stored at this revision.
    pub fn adopt(record: IntentRecord, revision: Revision) -> Self {
        let state = Recorded { revision };
        Self { record, state }
    }

    /// Returns the order, which carries the id of the intent and the fencing token of the sender.
    pub fn order(&self, centre: &CentreName, fence: Fence) -> TargetOrder {
        TargetOrder {
            intent: self.record.id.to_string(),
            fence,
            centre: centre.clone(),
            target: self.record.target.clone(),
            action: self.record.action,
        }
    }

    /// Marks the order as carried out by the interface.
    pub fn applied(self) -> Intent<Applied> {
        let revision = self.state.revision;
        let state = Applied { revision };
        Intent {
            record: self.record,
            state,
        }
    }
}

impl Intent<Applied> {
    /// Returns the write that settles the intent.
    pub fn write(&self, centre: &CentreName) -> IntentWrite {
        let mut record = self.record.clone();
        record.state = IntentState::Done;
        IntentWrite {
            path: path(centre, &record.target),
            record,
            expect: Precondition::At(self.state.revision),
        }
    }
}

impl<S> Intent<S> {
    /// Returns the record of the open intent.
    pub fn record(&self) -> &IntentRecord {
        &self.record
    }
}
