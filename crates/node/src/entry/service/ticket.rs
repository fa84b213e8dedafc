//! Guard that tells the control thread how a request ended.

use std::sync::OnceLock;

use sardinepath_core::decision::request::Answered;
use sardinepath_core::decision::request::Request;
use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::decision::traffic::TicketKey;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;

use crate::entry::inbox::Inbox;
use crate::entry::request::RequestMessage;

/// Guard that reports the end of a request to the control thread when it is dropped, also if its
/// task is cancelled or its key is withdrawn between two attempts.
pub(super) struct Ticket<'a> {
    key: TicketKey,
    control: &'a Inbox<RequestMessage>,
    counter: &'a OnceLock<Counter>,
    outcome: Outcome,
    /// `false` once the control thread has closed the ticket.
    open: bool,
}

impl<'a> Ticket<'a> {
    /// Creates the guard of a request that was dispatched. `counter` is the usage counter of the request.
    pub(super) fn new(
        key: TicketKey,
        control: &'a Inbox<RequestMessage>,
        counter: &'a OnceLock<Counter>,
    ) -> Self {
        Self {
            key,
            control,
            counter,
            outcome: Outcome::Failed(Failure::from(ErrorKind::Cancelled)),
            open: true,
        }
    }

    /// Asks for another target after a failed attempt. The ticket stays open.
    pub(super) async fn retry(&self, failure: Failure) {
        // If the control thread has ended, the request sees a closed channel of decisions.
        let message = RequestMessage::Retry {
            ticket: self.key,
            failure,
        };
        let _ = self.control.send_async(message).await;
    }

    /// Marks the ticket as closed by the control thread.
    pub(super) fn close(&mut self) {
        self.open = false;
    }

    /// Sets the result of the request, which is reported on drop.
    pub(super) fn set_outcome(&mut self, answered: &Request<Answered>, tokens: u64) {
        self.outcome = match answered.failure() {
            None => Outcome::Complete(tokens),
            Some(failure) => Outcome::Failed(failure),
        };
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let outcome = self.outcome.clone();
        // The result does not matter once the control thread has stopped.
        let _ = self.control.send(RequestMessage::Ended {
            ticket: self.key,
            outcome,
            counter: self.counter.get().cloned(),
        });
    }
}
