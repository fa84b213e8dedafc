//! Calls as they pass between ports, free of any wire format.

use std::sync::Arc;
use std::time::Duration;

use crate::domain::declare::Priority;
use crate::domain::error::Failure;
use crate::domain::ids::Attempt;
use crate::domain::ids::Incarnation;
use crate::domain::ids::RequestId;
use crate::domain::ids::WeightVersion;
use crate::domain::name::WorkspaceId;

/// A header field. Names are lower case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Field name in lower case.
    pub name: Arc<str>,
    /// Field value as sent.
    pub value: Arc<[u8]>,
}

/// One attempt of a request, without any caller key.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifies the request.
    pub request: RequestId,
    /// Counts the attempts.
    pub attempt: Attempt,
    /// Workspace for which the request runs.
    pub workspace: WorkspaceId,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query as the target sees them.
    pub path: Arc<str>,
    /// Header fields on the allow-list.
    pub fields: Arc<[Field]>,
    /// Body, shared between attempts.
    pub body: Arc<[u8]>,
    /// True if the request may run more than once.
    pub idempotent: bool,
    /// Time left for the whole answer.
    pub deadline: Duration,
    /// Priority class.
    pub priority: Priority,
    /// True if the target answers with server-sent events.
    pub streamed: bool,
}

/// What an attempt yields, in order: `Head`, `Chunk`s, then `End` or `Failed`.
#[derive(Clone, Debug)]
pub enum CallEvent {
    /// Status and header fields of the answer.
    Head {
        /// HTTP status code.
        status: u16,
        /// Header fields on the allow-list.
        fields: Vec<Field>,
    },
    /// A part of the body.
    Chunk(Vec<u8>),
    /// The target is silent but its agent lives.
    Heartbeat,
    /// The answer is whole.
    End(Ending),
    /// The attempt failed.
    Failed(Failure),
}

/// What is known of a whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ending {
    /// Tokens generated.
    pub tokens: u64,
    /// Weight versions that produced the answer, ascending.
    pub versions: Vec<WeightVersion>,
    /// The agent's usage counter after this answer.
    pub counter: Option<Counter>,
}

/// A cumulative usage counter of one agent incarnation and one workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counter {
    /// The counting run of the agent.
    pub incarnation: Incarnation,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Tokens of all complete answers since the agent started.
    pub tokens: u64,
}
