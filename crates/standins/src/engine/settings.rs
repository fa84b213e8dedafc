//! Settings and faults of the model engine.

use std::time::Duration;

use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;

/// Settings of an engine without faults.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Model that is loaded at the start.
    pub model: ModelName,
    /// Weight version that is loaded at the start.
    pub version: WeightVersion,
    /// Maximum number of completions that run at once.
    pub capacity: usize,
    /// Time per generated token, the same for each running completion.
    pub token_time: Duration,
    /// Prefill time for each block of a prompt that is not in the cache.
    pub prefill_time: Duration,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Delay after which the status shows a change of the load.
    pub load_lag: Duration,
    /// Delay after which cache events are published.
    pub event_lag: Duration,
    /// Duration of a weight load.
    pub swap_time: Duration,
    /// True if orders with an outdated fencing token are refused.
    pub checks_fence: bool,
    /// Seed of the words of all answers.
    pub seed: u64,
}

/// Faults of an engine. Each count applies to the next requests or orders and is then used up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Number of requests that are refused before they start (status 503, `x-not-run: 1`).
    pub refuse: u32,
    /// Number of answers whose connection closes in the middle.
    pub truncate: u32,
    /// Number of streams that end in the middle without `[DONE]`, but with a complete HTTP body.
    /// Answers that are not streamed are truncated instead.
    pub stop: u32,
    /// Number of weight loads that fail at the end of their duration.
    pub fail_swaps: u32,
    /// Additional time before the first token.
    pub delay: Duration,
    /// True if no request, order or status call is answered.
    pub hang: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            model: ModelName::from("small"),
            version: WeightVersion(1),
            capacity: 64,
            token_time: Duration::from_millis(2),
            prefill_time: Duration::from_millis(1),
            cache_blocks: 1024,
            load_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            swap_time: Duration::from_millis(50),
            checks_fence: true,
            seed: 0,
        }
    }
}
