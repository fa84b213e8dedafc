//! What requests and the control thread tell each other.

use std::time::Duration;

use flume::Sender;
use sardinepath_core::decision::traffic::Ask;
use sardinepath_core::decision::traffic::Choice;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::error::Failure;

/// What a request tells the control thread.
#[derive(Debug)]
pub enum RequestMessage {
    /// A request asks for admission and a target.
    Ask {
        /// The question.
        ask: Ask,
        /// Where the answers go.
        verdicts: Sender<Verdict>,
    },
    /// An attempt failed and may be repeated.
    Retry {
        /// The request.
        ticket: TicketKey,
        /// Why the attempt failed.
        failure: Failure,
    },
    /// A request ended.
    Ended {
        /// The request.
        ticket: TicketKey,
        /// How it ended.
        outcome: Outcome,
        /// The agent's usage counter after a whole answer.
        counter: Option<Counter>,
    },
}

/// What a request is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Go to a target after a delay.
    Go {
        /// Names the request at the control thread.
        ticket: TicketKey,
        /// The target.
        choice: Choice,
        /// Time to wait first.
        delay: Duration,
    },
    /// End with this failure.
    Refused(Failure),
    /// Stop what runs and end with this failure.
    Revoked(Failure),
}
