//! Log of the completions and orders of an engine.

use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::WeightVersion;

use crate::http::ReceivedRequest;

/// State or end of an executed completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The completion is still running.
    Running,
    /// All tokens were generated.
    Completed,
    /// The connection closed before the last token.
    Cancelled,
    /// A fault ended the answer early.
    Truncated,
    /// The engine crashed.
    Crashed,
}

/// Executed completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Value of `x-request-id`, or empty if the request had none.
    pub request: String,
    /// Tag of the prompt, or the hash of a prompt without a tag.
    pub tag: String,
    /// Number of generated tokens.
    pub tokens: u64,
    /// Weight versions that generated the tokens, in order of their first use.
    pub versions: Vec<WeightVersion>,
    /// State or end of the completion.
    pub ending: Ending,
}

/// Order that the engine received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// Kind and content of the order, for example `load small 3`.
    pub order: String,
    /// Fencing token of the order.
    pub fence: Fence,
    /// False if the fencing token was checked and outdated.
    pub accepted: bool,
}

/// Log of an engine, which a crash does not clear.
#[derive(Clone, Debug, Default)]
pub struct EngineLog {
    /// Executed completions, in order of their start.
    pub executions: Vec<Execution>,
    /// Orders, in order of arrival.
    pub orders: Vec<OrderRecord>,
    /// All requests except status calls, in order of arrival.
    pub requests: Vec<ReceivedRequest>,
}

impl EngineLog {
    /// Returns the executions whose tag is `tag`.
    pub fn tagged(&self, tag: &str) -> Vec<Execution> {
        let matches = |execution: &&Execution| execution.tag == tag;
        self.executions.iter().filter(matches).cloned().collect()
    }

    /// Records the start of a completion and returns its index in the log.
    pub(super) fn start(&mut self, request: &str, tag: &str) -> usize {
        self.executions.push(Execution {
            request: request.to_owned(),
            tag: tag.to_owned(),
            tokens: 0,
            versions: Vec::new(),
            ending: Ending::Running,
        });
        self.executions.len() - 1
    }

    /// Records a generated token.
    pub(super) fn add_token(&mut self, entry: usize, version: WeightVersion) {
        let execution = &mut self.executions[entry];
        execution.tokens += 1;
        if !execution.versions.contains(&version) {
            execution.versions.push(version);
        }
    }

    /// Records the end of a completion.
    pub(super) fn finish(&mut self, entry: usize, ending: Ending) {
        self.executions[entry].ending = ending;
    }
}
