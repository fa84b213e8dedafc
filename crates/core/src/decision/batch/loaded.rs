//! A batch job that is loaded, before its limits are known.

use std::sync::Arc;

use crate::decision::batch::Journal;
use crate::decision::batch::Runner;
use crate::decision::batch::RunnerLimits;
use crate::domain::batch::Batch;
use crate::domain::batch::Draft;
use crate::domain::batch::ItemFailures;
use crate::domain::time::Time;

/// A job whose submission and drafts are loaded, and whose route is not known.
///
/// It has no limits: it sends nothing, gives nothing up and lists nothing until `start` gets those of
/// its route.
#[derive(Debug)]
pub struct LoadedJob {
    batch: Arc<Batch>,
    drafts: Vec<Draft>,
    failures: Vec<ItemFailures>,
}

impl LoadedJob {
    /// Creates a job from its submission, and the drafts and failures of its items.
    pub fn new(batch: Arc<Batch>, drafts: Vec<Draft>, failures: Vec<ItemFailures>) -> Self {
        Self {
            batch,
            drafts,
            failures,
        }
    }

    /// Starts the runner of the job with the limits of its route.
    pub fn start(self, now: Time, limits: RunnerLimits, journal: &Journal) -> Runner {
        let mut runner = Runner::new(now, self.batch, limits, journal, &self.drafts);
        runner.learn_failures(&self.failures);
        runner
    }
}
