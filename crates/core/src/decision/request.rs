//! Life cycle of a request at an entry. Each state is a type, so a step out of order does not
//! compile.

use crate::domain::error::ErrorKind;
use crate::domain::error::Failure;
use crate::domain::error::RunState;
use crate::domain::ids::Attempt;
use crate::domain::ids::RequestId;
use crate::domain::time::Time;

/// Waits for a target.
#[derive(Debug)]
pub struct Admitted {
    /// True if an earlier attempt may have run.
    touched: bool,
}

/// Runs on a target.
#[derive(Debug)]
pub struct Dispatched {
    touched: bool,
    /// True once a part of the answer went to the caller.
    sent: bool,
}

/// Has got its whole answer or its failure.
#[derive(Debug)]
pub struct Answered {
    /// The failure, or none after a whole answer.
    pub failure: Option<Failure>,
}

/// A request in one state of its life cycle.
#[derive(Debug)]
pub struct Request<S> {
    id: RequestId,
    idempotent: bool,
    attempt: Attempt,
    state: S,
}

/// What follows a failed attempt.
#[derive(Debug)]
pub enum AfterFailure {
    /// Another attempt is allowed, if budget and deadline permit.
    Retry(Request<Admitted>),
    /// The failure is final.
    Final(Request<Answered>),
}

/// What follows when a target has been granted and the delay before the attempt is over.
#[derive(Debug)]
pub enum Departure {
    /// The attempt starts.
    Go(Request<Dispatched>),
    /// The deadline has passed, so the attempt does not start.
    Late(Request<Answered>),
    /// The choice of the target counts no more, so another one has to be made.
    Expired(Request<Admitted>, Failure),
}

impl Request<Admitted> {
    /// Starts the life of a request.
    pub fn new(id: RequestId, idempotent: bool) -> Self {
        Self {
            id,
            idempotent,
            attempt: Attempt(0),
            state: Admitted { touched: false },
        }
    }

    /// Starts the next attempt if its target may still be used and time is left until the
    /// deadline. A pause of the process after the choice can outlast both.
    pub fn depart(self, now: Time, until: Time, deadline: Time) -> Departure {
        if now >= deadline {
            return Departure::Late(self.refuse(Failure::from(ErrorKind::DeadlineInQueue)));
        }
        if now >= until {
            return Departure::Expired(self, Failure::from(ErrorKind::NoTarget));
        }
        Departure::Go(self.dispatch())
    }

    /// Goes to a target as the next attempt.
    pub fn dispatch(self) -> Request<Dispatched> {
        Request {
            id: self.id,
            idempotent: self.idempotent,
            attempt: Attempt(self.attempt.0 + 1),
            state: Dispatched {
                touched: self.state.touched,
                sent: false,
            },
        }
    }

    /// Ends between attempts. Only earlier attempts can have run, whatever the failure's kind.
    pub fn refuse(self, failure: Failure) -> Request<Answered> {
        let run = if self.state.touched {
            RunState::MayHaveRun
        } else {
            RunState::NotRun
        };
        self.answered(Some(Failure { run, ..failure }))
    }
}

impl Request<Dispatched> {
    /// Returns the number of this attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Notes that a part of the answer goes to the caller, which rules out another attempt.
    pub fn mark_sent(&mut self) {
        self.state.sent = true;
    }

    /// Ends with a whole answer.
    pub fn finish(self) -> Request<Answered> {
        self.answered(None)
    }

    /// Ends because this entry stops the attempt. The attempt was sent, so it may have run.
    pub fn abort(self, failure: Failure) -> Request<Answered> {
        self.answered(Some(weaken(failure, true)))
    }

    /// Decides what follows a failed attempt.
    ///
    /// A request that may have run is repeated only if it is idempotent, and no request is
    /// repeated after a part of an answer went to the caller.
    pub fn fail(self, failure: Failure) -> AfterFailure {
        let clean = failure.run == RunState::NotRun;
        let safe = clean || self.idempotent;
        if !failure.kind.answer().elsewhere || self.state.sent || !safe {
            let touched = self.state.touched || self.state.sent;
            return AfterFailure::Final(self.answered(Some(weaken(failure, touched))));
        }
        AfterFailure::Retry(Request {
            id: self.id,
            idempotent: self.idempotent,
            attempt: self.attempt,
            state: Admitted {
                touched: self.state.touched || !clean,
            },
        })
    }
}

impl Request<Answered> {
    /// Returns the failure, or none after a whole answer.
    pub fn failure(&self) -> Option<Failure> {
        self.state.failure
    }
}

impl<S> Request<S> {
    /// Returns the id of the request.
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

/// Weakens "not run" if an earlier attempt may have run.
fn weaken(failure: Failure, touched: bool) -> Failure {
    let run = match (touched, failure.run) {
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
