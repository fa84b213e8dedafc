//! Progress of the stored drafts, which decides whether they are written again.

use std::collections::HashMap;

use crate::domain::batch::Draft;
use crate::domain::name::ItemId;

/// Number of events of each draft in the last write.
#[derive(Debug, Default)]
pub struct WrittenDrafts {
    events: HashMap<ItemId, u64>,
}

impl WrittenDrafts {
    /// Returns the number of events in the drafts that are not stored yet. Items that ended since
    /// the last write do not reduce it.
    pub fn growth(&self, drafts: &[Draft]) -> u64 {
        let new = |draft: &Draft| {
            let known = self.events.get(&draft.id).copied().unwrap_or(0);
            draft.partial.events.saturating_sub(known)
        };
        drafts.iter().map(new).sum()
    }

    /// Records that these drafts replace the stored ones.
    pub fn replace(&mut self, drafts: &[Draft]) {
        let events = drafts.iter().map(|d| (d.id.clone(), d.partial.events));
        self.events = events.collect();
    }

    /// Records that the stored drafts are unknown, so that all events count as new.
    pub fn clear(&mut self) {
        self.events.clear();
    }
}
