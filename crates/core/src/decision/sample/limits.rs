//! Limits on the generation of the samples of a step.

use std::time::Duration;

use crate::decision::config::Config;
use crate::decision::sample::StepRecord;

/// Maximum number of samples of one step that run at once. A workspace with a higher limit has the
/// rest for its other requests.
const MAX_STEP_SLOTS: u32 = 256;

/// Limits on the generation of samples.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunLimits {
    /// Maximum number of samples generated concurrently.
    pub slots: usize,
    /// Time after which the generation of a sample is cancelled.
    pub time: Duration,
}

impl RunLimits {
    /// Returns the limits of a step, or `None` if the configuration does not contain its route or its
    /// workspace. A step without limits must not run.
    pub fn of(config: &Config, record: &StepRecord) -> Option<Self> {
        let workspace = config.workspace(&record.workspace)?;
        let route = config.route(&record.route)?;
        Some(Self {
            slots: workspace.concurrency.clamp(1, MAX_STEP_SLOTS) as usize,
            time: Duration::from_secs(route.deadline.into()),
        })
    }
}
