//! Requests as the control thread knows them.

use std::net::SocketAddr;
use std::time::Duration;

use slotmap::new_key_type;

use crate::decision::traffic::target::TargetKey;
use crate::domain::declare::Priority;
use crate::domain::error::Failure;
use crate::domain::ids::WeightVersion;
use crate::domain::key::KeyDigest;
use crate::domain::name::PoolId;
use crate::domain::name::RouteId;
use crate::domain::name::TargetName;
use crate::domain::name::WorkspaceId;
use crate::domain::time::Time;

new_key_type! {
    /// Names a request at the control thread from admission to its end.
    pub struct TicketKey;
}

/// What a request asks of the control thread.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The route.
    pub route: RouteId,
    /// The pool that serves it.
    pub pool: PoolId,
    /// The workspace for which it runs.
    pub workspace: WorkspaceId,
    /// Digest of the key that came with it.
    pub key: Option<KeyDigest>,
    /// Priority class.
    pub priority: Priority,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefixes: Vec<u64>,
    /// Most tokens that the answer can have.
    pub tokens: u32,
    /// Lowest weight version that may answer.
    pub floor: WeightVersion,
    /// Time by which the answer must be whole.
    pub deadline: Time,
}

/// The target of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetName,
    /// Address of its agent.
    pub agent: SocketAddr,
    /// Time until which the report behind the choice counts. No attempt starts later.
    pub until: Time,
}

/// How an admitted request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was whole, with this many tokens.
    Whole(u64),
    /// The request failed.
    Failed(Failure),
}

/// What the control thread has to tell a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Go to this target after a delay.
    Grant(TicketKey, Choice, Duration),
    /// End with this failure. The ticket is closed.
    Refuse(TicketKey, Failure),
    /// Stop what runs and end with this failure. The ticket stays open until `ended`.
    Revoke(TicketKey, Failure),
}

/// Where a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// In the queue of its pool.
    Waiting,
    /// On this target.
    Running(TargetKey),
    /// Between the queue and a target, within one step of the control thread.
    Between,
}

/// One request that waits or runs.
#[derive(Debug)]
pub(super) struct Ticket {
    pub(super) ask: Ask,
    pub(super) since: Time,
    pub(super) state: State,
    /// Targets of all attempts.
    pub(super) tried: Vec<TargetKey>,
    /// Time of the last grant.
    pub(super) granted: Option<Time>,
    /// Tokens charged at the first attempt.
    pub(super) charged: Option<u64>,
}

impl Ticket {
    pub(super) fn new(now: Time, ask: Ask) -> Self {
        Self {
            ask,
            since: now,
            state: State::Between,
            tried: Vec::new(),
            granted: None,
            charged: None,
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.state == State::Waiting
    }
}
