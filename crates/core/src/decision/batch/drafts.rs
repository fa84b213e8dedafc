//! Which drafts are worth another write.

use std::collections::HashMap;

use crate::domain::batch::Draft;
use crate::domain::name::ItemId;

/// How far the texts were that have been written last.
#[derive(Debug, Default)]
pub struct Written {
    events: HashMap<ItemId, u64>,
}

impl Written {
    /// Returns the events that the drafts have beyond those that are written. Items that have
    /// ended since then take nothing away.
    pub fn growth(&self, drafts: &[Draft]) -> u64 {
        let new = |draft: &Draft| {
            let known = self.events.get(&draft.id).copied().unwrap_or(0);
            draft.partial.events.saturating_sub(known)
        };
        drafts.iter().map(new).sum()
    }

    /// Notes that drafts are written in place of the earlier ones.
    pub fn replace(&mut self, drafts: &[Draft]) {
        let events = drafts.iter().map(|d| (d.id.clone(), d.partial.events));
        self.events = events.collect();
    }

    /// Notes that nothing is known to be written.
    pub fn clear(&mut self) {
        self.events.clear();
    }
}
