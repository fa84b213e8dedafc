//! Local copy of the list of results of a job.

use std::collections::HashSet;
use std::sync::Arc;

use crate::decision::batch::EncodedPage;
use crate::domain::batch::Outcome;
use crate::domain::name::ItemId;

/// Maximum encoded size of the results in one answer, in bytes. An answer holds at most one megabyte.
const MAX_ANSWER_BYTES: usize = 900 * 1024;

/// Contiguous prefix of the stored results of a job.
#[derive(Debug, Default)]
pub struct Journal {
    outcomes: Vec<Arc<Outcome>>,
    listed: HashSet<ItemId>,
}

impl Journal {
    /// Returns the number of known results, which is also the position of the next page.
    pub fn len(&self) -> usize {
        self.outcomes.len()
    }

    /// Returns `true` if no result is known.
    pub fn is_empty(&self) -> bool {
        self.outcomes.is_empty()
    }

    /// Returns `true` if the result of an item is listed.
    pub fn contains(&self, item: &ItemId) -> bool {
        self.listed.contains(item)
    }

    /// Adds a stored page that starts at a position. Known results are skipped, and a page after a
    /// gap is ignored.
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

    /// Returns the results from a position on, up to the size of one answer.
    pub fn page(&self, after: usize) -> Vec<Arc<Outcome>> {
        let mut page = EncodedPage::new(MAX_ANSWER_BYTES);
        let rest = self.outcomes.iter().skip(after);
        let fitting = rest.take_while(|outcome| page.add(outcome.encoded_size()));
        fitting.cloned().collect()
    }
}
