//! One authorized request on the traffic threads.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use futures_util::future::Either;
use futures_util::future::select;
use sardinepath_adapters::runtime::sleep;
use sardinepath_core::decision::authorize::Authorized;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::decision::request::Dispatched;
use sardinepath_core::decision::request::Request;
use sardinepath_core::domain::call::AnswerSummary;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::error::RunState;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::clock::Clock;

use crate::entry::request::Decision;

/// One authorized request.
pub(super) struct Job {
    pub(super) id: RequestId,
    pub(super) authorized: Authorized,
    pub(super) inbound: Inbound,
    pub(super) deadline: Time,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) streamed: bool,
    /// `true` if the target streams the answer but it is forwarded only once it is complete.
    pub(super) buffered: bool,
    pub(super) decisions: Receiver<Decision>,
    pub(super) events: Sender<CallEvent>,
    /// Usage counter of the agent, set by the end of a complete answer.
    pub(super) counter: OnceLock<Counter>,
}

impl Job {
    /// Builds the call of one attempt.
    pub(super) fn call(&self, request: &Request<Dispatched>, time_left: Duration) -> Call {
        Call {
            request: request.id(),
            attempt: request.attempt(),
            workspace: self.authorized.workspace.clone(),
            method: self.inbound.method.clone(),
            path: self.authorized.path.clone(),
            fields: self.authorized.fields.clone(),
            body: self.inbound.body.clone(),
            idempotent: self.authorized.idempotent,
            deadline: time_left,
            priority: self.authorized.priority,
            streamed: self.streamed,
        }
    }

    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.since(self.clock.now())
    }

    /// Waits for the delay before an attempt. Fails if the request is revoked meanwhile.
    pub(super) async fn wait_delay(&self, delay: Duration) -> Result<(), Failure> {
        let decision = Box::pin(self.decisions.recv_async());
        match select(decision, Box::pin(sleep(delay))).await {
            Either::Left((Ok(Decision::Revoked(failure) | Decision::Refused(failure)), _)) => {
                Err(failure)
            }
            Either::Left((Err(_), _)) => Err(Failure::from(ErrorKind::Draining)),
            // A request is dispatched only once per attempt, so no second dispatch can come.
            Either::Left((Ok(Decision::Dispatch { .. }), _)) | Either::Right(_) => Ok(()),
        }
    }

    /// Runs a part of an attempt. Fails if the request is revoked or its deadline passes meanwhile.
    ///
    /// The revocation is polled first, so that a steady stream of events cannot delay it.
    pub(super) async fn until_stopped<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        let decision = self.decisions.recv_async();
        let work = select(Box::pin(work), Box::pin(sleep(self.time_left())));
        match select(decision, work).await {
            Either::Right((Either::Left((done, _)), _)) => Ok(done),
            Either::Right((Either::Right(_), _)) => Err(Failure::from(ErrorKind::DeadlinePassed)),
            Either::Left((Ok(Decision::Revoked(failure)), _)) => Err(failure),
            // The control thread stopped while the target was running the request.
            Either::Left(_) => Err(Failure {
                run: RunState::MayHaveRun,
                ..Failure::from(ErrorKind::Draining)
            }),
        }
    }

    /// Waits for the next event of an attempt. A lost agent counts as a failed attempt.
    pub(super) async fn next_event(
        &self,
        events: &Receiver<CallEvent>,
    ) -> Result<CallEvent, Failure> {
        let event = self.until_stopped(events.recv_async()).await?;
        let lost = CallEvent::Failed(Failure::from(ErrorKind::AgentLost));
        Ok(event.unwrap_or(lost))
    }

    /// Stores the usage counter, which is counted even if the caller disconnects before it has read
    /// the answer.
    pub(super) fn store_counter(&self, ending: &AnswerSummary) {
        if let Some(counter) = &ending.counter {
            // A request has one complete answer, so the cell is empty.
            let _ = self.counter.set(counter.clone());
        }
    }

    /// Forwards an event to the caller.
    pub(super) async fn forward(&self, event: CallEvent) -> Result<(), Failure> {
        let sent = self.until_stopped(self.events.send_async(event)).await?;
        sent.map_err(|_| Failure::from(ErrorKind::Cancelled))
    }
}
