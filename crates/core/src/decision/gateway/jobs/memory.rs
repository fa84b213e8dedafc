//! Bytes of the submissions that are kept in memory.
//!
//! It answers the load of many large submissions at once: a submission for which there is no room is
//! not accepted, and another process may take it. Jobs that nothing uses give way first; what they
//! held is read from the object API again when it is needed.

use std::sync::Arc;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::jobs::Job;
use crate::domain::batch::Batch;
use crate::domain::event::Event;
use crate::domain::name::BatchId;
use crate::domain::table::RouteTable;

impl Gateway {
    /// Makes room for a submission. Returns `false` if there is none. A submission of any size has
    /// room while no other one is kept.
    pub(in crate::decision::gateway) fn make_room(&mut self, id: &BatchId, batch: &Batch) -> bool {
        let (needed, limit) = (batch.bytes(), self.settings.memory.jobs);
        let fits = |kept: usize| kept == 0 || kept + needed <= limit;
        if fits(self.kept_bytes()) {
            return true;
        }
        self.evict_oldest(limit.saturating_sub(needed));
        let kept = self.kept_bytes();
        if !fits(kept) {
            self.log(
                Event::BatchNoRoom,
                vec![
                    ("batch", id.to_string()),
                    ("bytes", needed.to_string()),
                    ("kept", kept.to_string()),
                    ("limit", limit.to_string()),
                ],
            );
        }
        fits(kept)
    }

    /// Logs that the memory of the host does not hold one body of the size that a configuration
    /// permits. Such a body is refused; smaller ones are served.
    pub(in crate::decision::gateway) fn check_memory(&mut self, table: &RouteTable) {
        let largest = self.settings.memory.largest();
        let permitted = usize::try_from(table.limits.max_body).unwrap_or(usize::MAX);
        if !self.settings.memory.fits(permitted) {
            self.log(
                Event::MemoryShort,
                vec![
                    ("largest", largest.to_string()),
                    ("permitted", permitted.to_string()),
                    ("config", table.version.to_string()),
                ],
            );
        }
    }

    /// Returns the size of all submissions that are kept, in bytes.
    pub fn kept_bytes(&self) -> usize {
        let jobs: usize = self.jobs.values().map(Job::kept_bytes).sum();
        let stored = self.submissions.values();
        jobs + stored
            .map(|submission| submission.batch.bytes())
            .sum::<usize>()
    }

    /// Evicts the copies of jobs that nothing uses, the one first that was used longest ago, until
    /// the submissions take at most `limit` bytes.
    fn evict_oldest(&mut self, limit: usize) {
        let mut kept = self.kept_bytes();
        let idle = self.jobs.values_mut().filter(|job| job.is_idle());
        let mut idle: Vec<&mut Job> = idle.collect();
        idle.sort_by_key(|job| job.last_used);
        for job in idle {
            if kept <= limit {
                return;
            }
            kept -= job.kept_bytes();
            job.evict();
        }
    }
}

impl Job {
    /// Returns the size of what is kept of the submission, in bytes.
    fn kept_bytes(&self) -> usize {
        let parts: usize = self.parts.iter().map(|part| part.len()).sum();
        parts + self.batch.as_ref().map_or(0, |batch| batch.bytes())
    }
}

/// Returns a submission without its encoded form, which is needed only until it is stored.
pub(super) fn without_source(batch: Arc<Batch>) -> Arc<Batch> {
    let mut batch = Arc::unwrap_or_clone(batch);
    batch.source = Arc::from("");
    Arc::new(batch)
}
