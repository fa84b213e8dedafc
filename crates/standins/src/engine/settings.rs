//! Settings and faults of the model engine.

use std::time::Duration;

use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;

/// How an engine behaves when nothing fails.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Model that is loaded at start.
    pub model: ModelName,
    /// Weight version that is loaded at start.
    pub version: WeightVersion,
    /// Completions that run at once.
    pub capacity: usize,
    /// Time for one token of each running completion.
    pub token_time: Duration,
    /// Time for each block of the prompt that is not in the cache.
    pub prefill_time: Duration,
    /// Blocks of prompts that the cache holds.
    pub cache_blocks: usize,
    /// Age of the load that the status tells.
    pub load_lag: Duration,
    /// Age at which cache events are published.
    pub event_lag: Duration,
    /// Time that a weight load takes.
    pub swap_time: Duration,
    /// True if orders with an old fencing token are refused.
    pub checks_fence: bool,
    /// Changes the words of all answers.
    pub seed: u64,
}

/// What an engine does wrong. Counts apply to the next requests or orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Requests that are refused before they start (503, `x-not-run: 1`).
    pub refuse: u32,
    /// Answers whose connection breaks half-way.
    pub truncate: u32,
    /// Streams that end half-way without `[DONE]` but with a whole HTTP body. Other answers break.
    pub stop: u32,
    /// Weight loads that fail after their time.
    pub fail_swaps: u32,
    /// Time added before the first token.
    pub delay: Duration,
    /// True if no request, order or status call is answered any more.
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
