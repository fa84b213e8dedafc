//! Messages between requests on traffic threads and the control thread.

use std::time::Duration;

use flume::Sender;
use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::decision::traffic::Choice;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::error::Failure;

/// Message from a request to the control thread.
#[derive(Debug)]
pub enum RequestMessage {
    /// A request asks for admission and a target.
    Admit {
        /// Properties of the request.
        request: AdmissionRequest,
        /// Channel for the decisions on the request.
        decisions: Sender<Decision>,
    },
    /// An attempt failed and may be repeated.
    Retry {
        /// Ticket of the request.
        ticket: TicketKey,
        /// Failure of the attempt.
        failure: Failure,
    },
    /// A request ended.
    Ended {
        /// Ticket of the request.
        ticket: TicketKey,
        /// Result of the request.
        outcome: Outcome,
        /// Usage counter of the agent, if it came with a complete answer.
        counter: Option<Counter>,
    },
}

/// Decision of the control thread on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to a target after a delay.
    Dispatch {
        /// Ticket that identifies the request in later messages.
        ticket: TicketKey,
        /// The chosen target.
        choice: Choice,
        /// Time to wait before the attempt.
        delay: Duration,
    },
    /// The request ends with a failure. Its ticket is closed.
    Refused(Failure),
    /// The running attempt is stopped and the request ends with a failure.
    Revoked(Failure),
}
