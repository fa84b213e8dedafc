//! Handles the calls of trainers on the traffic threads.

use std::sync::Arc;

use flume::Sender;
use sardinepath_core::decision::authorize::Authorized;
use sardinepath_core::decision::authorize::Inbound;
use sardinepath_core::decision::authorize::authorize_step;
use sardinepath_core::decision::authorize::is_model_route;
use sardinepath_core::decision::sample::StepKey;
use sardinepath_core::decision::sample::StepRecord;
use sardinepath_core::decision::sample::qualify_trainer;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::name::RouteId;
use sardinepath_core::port::clock::Clock;
use sardinepath_core::port::step::Delivery;
use sardinepath_core::port::step::StepFront;
use sardinepath_core::port::step::StepOrder;
use sardinepath_core::port::step::StepPoll;

use crate::entry::inbox::Inbox;
use crate::entry::snapshot::SharedSnapshot;
use crate::entry::step::PollRequest;
use crate::entry::step::PostRequest;
use crate::entry::step::StepMessage;
use crate::metrics::Metrics;

/// Service that authorizes the calls of trainers and passes them to the control thread.
#[derive(Clone)]
pub struct StepService {
    clock: Arc<dyn Clock>,
    snapshot: SharedSnapshot,
    control: Inbox<StepMessage>,
    metrics: Arc<Metrics>,
}

impl StepService {
    /// Creates the service.
    pub fn new(
        clock: Arc<dyn Clock>,
        snapshot: SharedSnapshot,
        control: Inbox<StepMessage>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            clock,
            snapshot,
            control,
            metrics,
        }
    }

    fn authorize(&self, inbound: &Inbound) -> Result<Authorized, ErrorKind> {
        let snapshot = self.snapshot.load();
        if !snapshot.ready {
            return Err(ErrorKind::KeysStale);
        }
        let fresh = snapshot.view().is_fresh(self.clock.now());
        authorize_step(&snapshot.config, fresh, inbound)
    }

    fn post_message(
        &self,
        inbound: &Inbound,
        order: StepOrder,
        reply: Sender<Result<(), Failure>>,
    ) -> Result<StepMessage, ErrorKind> {
        let authorized = self.authorize(inbound)?;
        let trainer = qualify_trainer(&authorized.workspace, &order.trainer)?;
        let record = StepRecord {
            route: authorized.route,
            workspace: authorized.workspace,
            version: order.version,
            staleness: order.staleness,
            groups: order.groups,
        };
        record.check()?;
        let step = order.step;
        Ok(StepMessage::Post(PostRequest {
            key: StepKey { trainer, step },
            record: Arc::new(record),
            digest: authorized.key.ok_or(ErrorKind::NoKey)?,
            reply,
        }))
    }

    fn poll_message(
        &self,
        inbound: &Inbound,
        poll: &StepPoll,
        reply: Sender<Result<Delivery, Failure>>,
    ) -> Result<StepMessage, ErrorKind> {
        let authorized = self.authorize(inbound)?;
        let trainer = qualify_trainer(&authorized.workspace, &poll.trainer)?;
        let step = poll.step;
        Ok(StepMessage::Poll(PollRequest {
            key: StepKey { trainer, step },
            after: poll.after,
            version: poll.version,
            digest: authorized.key.ok_or(ErrorKind::NoKey)?,
            received: self.clock.now(),
            reply,
        }))
    }

    /// Sends a message to the control thread, or answers the trainer with the refusal.
    fn send<T>(&self, message: Result<StepMessage, ErrorKind>, reply: &Sender<Result<T, Failure>>) {
        let sent = message.and_then(|message| {
            let sent = self.control.try_send(message);
            sent.map_err(|_| ErrorKind::Overloaded)
        });
        if let Err(kind) = sent {
            self.metrics.count_refusal(kind);
            // The trainer may have disconnected.
            let _ = reply.try_send(Err(Failure::from(kind)));
        }
    }
}

impl StepFront for StepService {
    fn is_model_route(&self, route: &RouteId) -> bool {
        is_model_route(&self.snapshot.load().config, route)
    }

    fn post(&self, inbound: &Inbound, order: StepOrder, reply: Sender<Result<(), Failure>>) {
        let message = self.post_message(inbound, order, reply.clone());
        self.send(message, &reply);
    }

    fn poll(&self, inbound: &Inbound, poll: StepPoll, reply: Sender<Result<Delivery, Failure>>) {
        let message = self.poll_message(inbound, &poll, reply.clone());
        self.send(message, &reply);
    }
}
