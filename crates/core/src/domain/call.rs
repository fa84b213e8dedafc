//! Calls as ports exchange them, independent of any wire format.

use std::sync::Arc;
use std::time::Duration;

use crate::domain::declare::Priority;
use crate::domain::error::Failure;
use crate::domain::ids::Attempt;
use crate::domain::ids::Incarnation;
use crate::domain::ids::RequestId;
use crate::domain::ids::WeightVersion;
use crate::domain::name::WorkspaceId;

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: Arc<str>,
    /// Value as sent, which need not be valid UTF-8.
    pub value: Arc<[u8]>,
}

/// One attempt of a request. It never carries the key of the caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the request, the same for all of its attempts.
    pub request: RequestId,
    /// Number of this attempt, from 1.
    pub attempt: Attempt,
    /// Workspace for which the request runs.
    pub workspace: WorkspaceId,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query for the target.
    pub path: Arc<str>,
    /// Header fields on the allow-list.
    pub fields: Arc<[HeaderField]>,
    /// Complete body, shared between attempts.
    pub body: Arc<[u8]>,
    /// True if the request may run more than once.
    pub idempotent: bool,
    /// Time left until the answer must be complete.
    pub deadline: Duration,
    /// Priority class.
    pub priority: Priority,
    /// True if the target answers with server-sent events.
    pub streamed: bool,
}

/// An event of an attempt. The order is `Head`, any number of `Chunk`s, then `End` or `Failed`.
#[derive(Clone, Debug)]
pub enum CallEvent {
    /// Status and header fields of the answer.
    Head {
        /// HTTP status code.
        status: u16,
        /// Header fields on the allow-list.
        fields: Vec<HeaderField>,
    },
    /// A part of the body.
    Chunk(Vec<u8>),
    /// The target has sent nothing for a while, but its agent is alive.
    Heartbeat,
    /// The answer is complete.
    End(AnswerSummary),
    /// The attempt failed.
    Failed(Failure),
}

/// Metadata of a complete answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerSummary {
    /// Number of generated tokens.
    pub tokens: u64,
    /// Weight versions that produced the answer, ascending.
    pub versions: Vec<WeightVersion>,
    /// Usage counter of the agent, including this answer. Absent if the agent sent none.
    pub counter: Option<Counter>,
}

/// A cumulative usage counter of one agent incarnation and one workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counter {
    /// Run of the agent. The counter starts from zero in each run.
    pub incarnation: Incarnation,
    /// Workspace whose tokens are counted.
    pub workspace: WorkspaceId,
    /// Number of tokens in all complete answers since the agent started.
    pub tokens: u64,
}
