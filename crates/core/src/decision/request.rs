//! Life cycle of a request at an entry. Each state is a type, so an invalid transition does not
//! compile.

use crate::domain::error::ErrorKind;
use crate::domain::error::Failure;
use crate::domain::error::RunState;
use crate::domain::ids::Attempt;
use crate::domain::ids::RequestId;
use crate::domain::time::Time;

/// State of a request that waits for a target.
#[derive(Debug)]
pub struct Admitted {
    /// `true` if an earlier attempt may have run.
    may_have_run: bool,
}

/// State of a request that runs on a target.
#[derive(Debug)]
pub struct Dispatched {
    /// `true` if an earlier attempt may have run.
    may_have_run: bool,
    /// `true` once a part of the answer has been sent to the caller.
    sent: bool,
}

/// State of a request that has ended with a complete answer or a failure.
#[derive(Debug)]
pub struct Answered {
    /// The failure, or `None` after a complete answer.
    pub failure: Option<Failure>,
}

/// A request in one state of its life cycle.
#[derive(Debug)]
pub struct Request<S> {
    id: RequestId,
    idempotent: bool,
    /// Number of the last attempt, zero before the first one.
    attempt: Attempt,
    state: S,
}

/// Result of a failed attempt.
#[derive(Debug)]
pub enum AfterFailure {
    /// Another attempt is safe, if the retry budget and the deadline allow it.
    Retry(Request<Admitted>),
    /// The failure is final.
    Final(Request<Answered>),
}

/// Result of starting an attempt after a target has been granted and the delay has passed.
#[derive(Debug)]
pub enum AttemptStart {
    /// The attempt starts.
    Started(Request<Dispatched>),
    /// The deadline has passed, so the attempt does not start.
    TimedOut(Request<Answered>),
    /// The choice of the target has expired, so a target has to be chosen again.
    ChoiceExpired(Request<Admitted>, Failure),
}

impl Request<Admitted> {
    /// Creates an admitted request without attempts.
    pub fn new(id: RequestId, idempotent: bool) -> Self {
        Self {
            id,
            idempotent,
            attempt: Attempt(0),
            state: Admitted {
                may_have_run: false,
            },
        }
    }

    /// Starts the next attempt unless the deadline has passed or the choice of its target, valid
    /// until `until`, has expired. Both can happen if the process is paused after the choice.
    pub fn start_attempt(self, now: Time, until: Time, deadline: Time) -> AttemptStart {
        if now >= deadline {
            return AttemptStart::TimedOut(self.refuse(Failure::from(ErrorKind::DeadlineInQueue)));
        }
        if now >= until {
            return AttemptStart::ChoiceExpired(self, Failure::from(ErrorKind::NoTarget));
        }
        AttemptStart::Started(self.dispatch())
    }

    /// Starts the next attempt without checking the time.
    pub fn dispatch(self) -> Request<Dispatched> {
        Request {
            id: self.id,
            idempotent: self.idempotent,
            attempt: Attempt(self.attempt.0 + 1),
            state: Dispatched {
                may_have_run: self.state.may_have_run,
                sent: false,
            },
        }
    }

    /// Ends the request between attempts. Only earlier attempts can have run, whatever the kind of
    /// the failure.
    pub fn refuse(self, failure: Failure) -> Request<Answered> {
        let run = if self.state.may_have_run {
            RunState::MayHaveRun
        } else {
            RunState::NotRun
        };
        self.answered(Some(Failure { run, ..failure }))
    }
}

impl Request<Dispatched> {
    /// Returns the number of the running attempt, starting at one.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Records that a part of the answer is sent to the caller, which rules out another attempt.
    pub fn mark_sent(&mut self) {
        self.state.sent = true;
    }

    /// Ends the request with a complete answer.
    pub fn finish(self) -> Request<Answered> {
        self.answered(None)
    }

    /// Ends the request because this entry stops its attempt. The attempt was sent, so it may have
    /// run.
    pub fn abort(self, failure: Failure) -> Request<Answered> {
        self.answered(Some(correct_run_state(failure, true)))
    }

    /// Decides whether a failed attempt may be repeated.
    ///
    /// A request that may have run is repeated only if it is idempotent, and no request is repeated
    /// after a part of its answer has been sent to the caller.
    pub fn fail(self, failure: Failure) -> AfterFailure {
        let not_run = failure.run == RunState::NotRun;
        let repeatable = not_run || self.idempotent;
        if !failure.kind.answer().retryable || self.state.sent || !repeatable {
            let may_have_run = self.state.may_have_run || self.state.sent;
            return AfterFailure::Final(
                self.answered(Some(correct_run_state(failure, may_have_run))),
            );
        }
        AfterFailure::Retry(Request {
            id: self.id,
            idempotent: self.idempotent,
            attempt: self.attempt,
            state: Admitted {
                may_have_run: self.state.may_have_run || !not_run,
            },
        })
    }
}

impl Request<Answered> {
    /// Returns the failure, or `None` after a complete answer.
    pub fn failure(&self) -> Option<Failure> {
        self.state.failure
    }
}

impl<S> Request<S> {
    /// Returns the id of the request, which all of its attempts share.
    pub fn id(&self) -> RequestId {
        self.id
    }

    fn answered(self, failure: Option<Failure>) -> Request<Answered> {
        Request {
            id: self.id,
            idempotent: self.idempotent,
            attempt: self.attempt,
            state: Answered { failure },
        }
    }
}

/// Replaces `NotRun` by `MayHaveRun` in a failure if an earlier attempt may have run.
fn correct_run_state(failure: Failure, may_have_run: bool) -> Failure {
    let run = match (may_have_run, failure.run) {
        (true, RunState::NotRun) => RunState::MayHaveRun,
        (_, run) => run,
    };
    Failure { run, ..failure }
}

impl From<&Request<Answered>> for Option<ErrorKind> {
    fn from(request: &Request<Answered>) -> Self {
        request.state.failure.map(|failure| failure.kind)
    }
}
