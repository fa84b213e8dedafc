//! The complete list of error kinds, each with its answer to the caller.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// What is known about the execution of a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No target started the request.
    NotRun,
    /// A target may have started the request, in part or in full.
    MayHaveRun,
    /// A target ran the request.
    Ran,
}

/// Answer to the caller for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// Stable code for callers, metrics and logs.
    pub code: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Run state, unless the failed attempt provides a more precise one.
    pub run: RunState,
    /// True if an attempt on another target can succeed.
    pub retryable: bool,
    /// Text for the caller.
    pub text: &'static str,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = ($code:literal, $status:literal, $run:ident, $retryable:literal, $text:literal),)*) => {
        /// Reason why the system refuses or fails a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// Returns the answer to the caller for this kind.
            pub fn answer(self) -> ErrorAnswer {
                match self {
                    $(ErrorKind::$kind => ErrorAnswer {
                        code: $code,
                        status: $status,
                        run: RunState::$run,
                        retryable: $retryable,
                        text: $text,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request is not valid HTTP, or its path or body is malformed.
    BadRequest = ("bad_request", 400, NotRun, false, "the request is malformed"),
    /// The request head exceeds its limit.
    HeadTooLarge = ("head_too_large", 431, NotRun, false, "the request head is too large"),
    /// The request body exceeds its limit.
    BodyTooLarge = ("body_too_large", 413, NotRun, false, "the request body is too large"),
    /// The caller sent its head or body too slowly.
    SlowCaller = ("slow_caller", 408, NotRun, false, "the request was sent too slowly"),
    /// No key came with a request to a route that needs one.
    NoKey = ("no_key", 401, NotRun, false, "the route needs a key"),
    /// The key is not known or has been withdrawn.
    BadKey = ("bad_key", 401, NotRun, false, "the key is not valid"),
    /// The key was withdrawn while the request was running.
    KeyWithdrawn = ("key_withdrawn", 401, MayHaveRun, false, "the key was withdrawn"),
    /// The text of the key occurs outside the header that carries it.
    KeyExposed = ("key_exposed", 400, NotRun, false, "the key must occur only in its header"),
    /// This entry has lost contact and cannot check whether keys are still valid.
    KeysStale = ("keys_stale", 503, NotRun, false, "this entry has lost contact and cannot check keys"),
    /// The key's workspace may not use the route.
    WrongWorkspace = ("wrong_workspace", 403, NotRun, false, "the workspace may not use this route"),
    /// The team or the route does not exist.
    NoRoute = ("no_route", 404, NotRun, false, "the route does not exist"),
    /// The trainer has no such step.
    NoStep = ("no_step", 404, NotRun, false, "the step does not exist"),
    /// No target of the route's pool can take the request.
    NoTarget = ("no_target", 503, NotRun, false, "no target can take the request"),
    /// The workspace has reached its limit of concurrent requests and its queue is full.
    QueueFull = ("queue_full", 429, NotRun, false, "the queue of the workspace is full"),
    /// The workspace has used up its token rate.
    RateLimited = ("rate_limited", 429, NotRun, false, "the token rate of the workspace is used up"),
    /// The entry has more work than it can queue.
    Overloaded = ("overloaded", 503, NotRun, false, "the entry is overloaded"),
    /// The request waited longer than its deadline allows.
    DeadlineInQueue = ("deadline_in_queue", 504, NotRun, false, "the deadline passed while the request waited"),
    /// The deadline passed while the request was running.
    DeadlinePassed = ("deadline_passed", 504, MayHaveRun, false, "the deadline passed while the request was running"),
    /// The process is shutting down.
    Draining = ("draining", 503, NotRun, true, "the process is shutting down"),
    /// The target is leaving.
    TargetLeaving = ("target_leaving", 503, NotRun, true, "the target is leaving"),
    /// The agent or the target could not be connected to.
    Unreachable = ("unreachable", 502, NotRun, true, "the target could not be reached"),
    /// The target refused the request before starting it.
    TargetBusy = ("target_busy", 503, NotRun, true, "the target refused the request"),
    /// The target failed while it was running the request.
    TargetFailed = ("target_failed", 502, MayHaveRun, true, "the target failed"),
    /// The target or its agent made no progress within the limit.
    TargetSilent = ("target_silent", 504, MayHaveRun, true, "the target made no progress"),
    /// The connection to the agent broke.
    AgentLost = ("agent_lost", 502, MayHaveRun, true, "the connection to the target's agent broke"),
    /// The answer ended before it was complete.
    Truncated = ("truncated", 502, MayHaveRun, true, "the answer ended early"),
    /// The answer exceeds the limit for buffered answers.
    AnswerTooLarge = ("answer_too_large", 502, Ran, false, "the answer is too large to buffer"),
    /// The agent has seen this non-idempotent request before.
    Repeated = ("repeated", 409, MayHaveRun, false, "the request was sent before"),
    /// The caller closed the connection.
    Cancelled = ("cancelled", 499, MayHaveRun, false, "the caller closed the connection"),
    /// The platform's object API does not answer.
    PlatformDown = ("platform_down", 503, NotRun, false, "the platform does not answer"),
    /// Another writer changed the object first.
    Conflict = ("conflict", 409, NotRun, false, "the object was changed by another writer"),
    /// An order carried an old fencing token.
    Fenced = ("fenced", 409, NotRun, false, "the order carries an old fencing token"),
    /// A sample would be older than the staleness bound.
    Stale = ("stale", 409, Ran, true, "the sample is older than the staleness bound"),
    /// An internal error occurred.
    Internal = ("internal", 500, MayHaveRun, false, "internal error"),
}

/// A failed request: the reason, what is known about its execution, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Reason of the failure.
    pub kind: ErrorKind,
    /// Whether a target ran the request.
    pub run: RunState,
    /// Seconds after which the caller should retry, if known.
    pub retry_after: Option<u32>,
}

impl ErrorKind {
    /// Returns the kind with this code, or `None` if there is none.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|kind| kind.answer().code == code)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().code)
    }
}

impl RunState {
    /// Returns the stable code used in answers and logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

impl From<ErrorKind> for Failure {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            run: kind.answer().run,
            retry_after: None,
        }
    }
}
