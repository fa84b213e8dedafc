//! The engine's own record of what it executed.

use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::WeightVersion;

use crate::http::Seen;

/// How an executed completion ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It still runs.
    Running,
    /// All tokens were generated.
    Whole,
    /// The connection closed before the last token.
    Cancelled,
    /// A fault broke the answer off.
    Truncated,
    /// The engine crashed.
    Crashed,
}

/// One executed completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Value of `x-request-id`, or empty.
    pub request: String,
    /// Tag that the answer repeats.
    pub tag: String,
    /// Tokens generated.
    pub tokens: u64,
    /// Weight versions that generated them, in order of first use.
    pub versions: Vec<WeightVersion>,
    /// How it ended.
    pub ending: Ending,
}

/// One order that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// Kind and content of the order, for example `load small 3`.
    pub order: String,
    /// Fencing token of the order.
    pub fence: Fence,
    /// False if the fencing token was old and is checked.
    pub accepted: bool,
}

/// Everything that an engine executed and saw. A crash does not clear it.
#[derive(Clone, Debug, Default)]
pub struct Book {
    /// Executed completions in order of their start.
    pub executions: Vec<Execution>,
    /// Orders in order of arrival.
    pub orders: Vec<OrderRecord>,
    /// All requests but status calls, with header fields and bodies.
    pub seen: Vec<Seen>,
}

impl Book {
    /// Returns the executions of the completions with a tag.
    pub fn tagged(&self, tag: &str) -> Vec<Execution> {
        let same = |execution: &&Execution| execution.tag == tag;
        self.executions.iter().filter(same).cloned().collect()
    }

    /// Records the start of a completion and returns its place in the book.
    pub(super) fn begin(&mut self, request: &str, tag: &str) -> usize {
        self.executions.push(Execution {
            request: request.to_owned(),
            tag: tag.to_owned(),
            tokens: 0,
            versions: Vec::new(),
            ending: Ending::Running,
        });
        self.executions.len() - 1
    }

    pub(super) fn token(&mut self, entry: usize, version: WeightVersion) {
        let execution = &mut self.executions[entry];
        execution.tokens += 1;
        if !execution.versions.contains(&version) {
            execution.versions.push(version);
        }
    }

    pub(super) fn end(&mut self, entry: usize, ending: Ending) {
        self.executions[entry].ending = ending;
    }
}
