//! The list of results as one process knows it.

use std::collections::HashSet;
use std::sync::Arc;

use crate::domain::batch::Outcome;
use crate::domain::name::ItemId;

/// Most bytes of results in one answer. An answer holds at most one megabyte.
const ANSWER_MOST: usize = 900 * 1024;

/// A contiguous start of the list of results. Only stored results are in it.
#[derive(Debug, Default)]
pub struct Journal {
    outcomes: Vec<Arc<Outcome>>,
    listed: HashSet<ItemId>,
}

impl Journal {
    /// Returns the number of known results, which is the position of the next page.
    pub fn len(&self) -> usize {
        self.outcomes.len()
    }

    /// Returns true if no result is known.
    pub fn is_empty(&self) -> bool {
        self.outcomes.is_empty()
    }

    /// Tells whether an item is listed.
    pub fn has(&self, item: &ItemId) -> bool {
        self.listed.contains(item)
    }

    /// Adds a stored page that starts at a position. Results that are known are skipped.
    pub fn extend(&mut self, start: usize, outcomes: &[Arc<Outcome>]) {
        let known = self.outcomes.len();
        if start > known {
            return;
        }
        for outcome in outcomes.iter().skip(known - start) {
            self.listed.insert(outcome.id.clone());
            self.outcomes.push(outcome.clone());
        }
    }

    /// Returns all known results.
    pub fn outcomes(&self) -> &[Arc<Outcome>] {
        &self.outcomes
    }

    /// Returns the results from a position on, as many as fit into one answer.
    pub fn page(&self, after: usize) -> Vec<Arc<Outcome>> {
        let mut room = ANSWER_MOST;
        let rest = self.outcomes.iter().skip(after);
        let fitting = rest.take_while(|outcome| {
            let fits = room > 0;
            room = room.saturating_sub(outcome.weight());
            fits
        });
        fitting.cloned().collect()
    }
}
