//! Requests from admission to their end, as tracked by the control thread.

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
    /// Identifies a request at the control thread from admission to its end.
    pub struct TicketKey;
}

/// Properties of a request that admission and load balancing need.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Route that the request names.
    pub route: RouteId,
    /// Pool that serves the route.
    pub pool: PoolId,
    /// Workspace that is charged for the request.
    pub workspace: WorkspaceId,
    /// Digest of the caller's key, or `None` on an open route.
    pub key: Option<KeyDigest>,
    /// Priority class within the queue of the workspace.
    pub priority: Priority,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// Oldest weight version that may produce the answer.
    pub min_version: WeightVersion,
    /// Time by which the answer must be complete.
    pub deadline: Time,
}

/// Target chosen for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Name of the target.
    pub target: TargetName,
    /// Address of the target's agent.
    pub agent: SocketAddr,
    /// Time until which the attempt may start. The report behind the choice is too old afterwards.
    pub valid_until: Time,
}

/// Result of an admitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was complete, with this many tokens.
    Complete(u64),
    /// The request failed for the given reason.
    Failed(Failure),
}

/// Message from the control thread to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt at the chosen target after a delay.
    Grant(TicketKey, Choice, Duration),
    /// End the request with this failure. Its ticket is closed already.
    Refuse(TicketKey, Failure),
    /// Stop the running attempt and end with this failure. The ticket stays open until `finish`.
    Revoke(TicketKey, Failure),
}

/// Position of a request within the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waits in the queue of its pool.
    Waiting,
    /// Runs on this target.
    Running(TargetKey),
    /// Is neither in the queue nor on a target, which lasts at most one call of `Traffic`.
    Unassigned,
}

/// One waiting or running request.
#[derive(Debug)]
pub(super) struct Ticket {
    pub(super) request: AdmissionRequest,
    /// Time of arrival or of the last failed attempt, from which the wait is counted.
    pub(super) waiting_since: Time,
    pub(super) state: State,
    /// Targets of all attempts so far.
    pub(super) tried: Vec<TargetKey>,
    /// Time at which the last granted attempt starts, its delay included.
    pub(super) granted_at: Option<Time>,
    /// Number of tokens charged when the first attempt started.
    pub(super) charged_tokens: Option<u64>,
}

impl Ticket {
    pub(super) fn new(now: Time, request: AdmissionRequest) -> Self {
        Self {
            request,
            waiting_since: now,
            state: State::Unassigned,
            tried: Vec::new(),
            granted_at: None,
            charged_tokens: None,
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.state == State::Waiting
    }
}
