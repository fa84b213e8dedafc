//! Handling of trainers' polls on the control thread.

use std::sync::Arc;
use std::time::Duration;

use sardinepath_core::decision::sample::StepKey;
use sardinepath_core::decision::sample::StepRecord;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::step::Delivery;

use crate::entry::step::PollRequest;
use crate::entry::step::Polled;
use crate::entry::step::StepMessage;
use crate::entry::step::Steps;
use crate::entry::step::running::TrainerView;
use crate::entry::step::store;

/// Maximum time that a poll waits for a group.
const POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a waiting poll reads the groups again. Groups that another entry records are
/// found only in this way.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// A poll that waits for a group.
pub(super) struct WaitingPoll {
    request: PollRequest,
    due: Time,
}

impl Steps {
    /// Handles a new poll.
    pub(super) fn poll(&mut self, now: Time, request: PollRequest) {
        let known = self.trainers.contains_key(&request.key.trainer);
        if known {
            // A trainer is added only once it names a step that exists.
            self.record_call(now, &request.key.trainer.clone(), trainer_view(&request));
        }
        self.queue_delivery(request);
    }

    /// Queues the call that delivers the recorded groups.
    fn queue_delivery(&mut self, request: PollRequest) {
        let objects = self.ports.objects.clone();
        let trainer = self.trainers.get(&request.key.trainer);
        let known = trainer.and_then(|trainer| trainer.step(request.key.step));
        let reply = request.reply.clone();
        let queued = self.ports.platform.call(move || {
            let polled = deliver(&*objects, &request, known);
            Some(StepMessage::Polled(request, polled))
        });
        if queued.is_err() {
            self.refuse(&reply, ErrorKind::Overloaded);
        }
    }

    /// Answers a poll, or keeps it until it can be answered.
    pub(super) fn polled(&mut self, now: Time, poll: PollRequest, polled: Polled) {
        let (revision, record, outcome) = match polled {
            Ok(Some(found)) => found,
            Ok(None) => return self.refuse(&poll.reply, ErrorKind::NoStep),
            Err(ObjectError::Invalid(_)) => return self.refuse(&poll.reply, ErrorKind::Internal),
            Err(_) => return self.refuse(&poll.reply, ErrorKind::PlatformDown),
        };
        self.ports
            .metrics
            .count_deliveries(outcome.delivered, outcome.expired);
        if outcome.delivery.done {
            if let Some(trainer) = self.trainers.get_mut(&poll.key.trainer) {
                trainer.finish(&poll.key);
            }
        } else if !self.draining {
            self.record_call(now, &poll.key.trainer, trainer_view(&poll));
            self.add_step(&poll.key, revision, &record);
        }
        let must_answer = now.since(poll.received) >= POLL_TIMEOUT || self.draining;
        if outcome.delivery.groups.is_empty() && !outcome.delivery.done && !must_answer {
            let due = now + READ_INTERVAL;
            return self.waiting.push(WaitingPoll { request: poll, due });
        }
        answer(&poll, outcome.delivery);
    }

    /// Reads again for the polls that are due, and drops those whose trainer has disconnected.
    pub(super) fn check_waiting(&mut self, now: Time) {
        self.waiting
            .retain(|poll| !poll.request.reply.is_disconnected());
        let all = std::mem::take(&mut self.waiting);
        let (due, rest) = all.into_iter().partition(|poll| now >= poll.due);
        self.waiting = rest;
        for poll in Vec::<WaitingPoll>::from_iter(due) {
            self.queue_delivery(poll.request);
        }
    }

    /// Makes the waiting polls of a step due at once.
    pub(super) fn wake_polls(&mut self, now: Time, key: &StepKey) {
        for poll in &mut self.waiting {
            if poll.request.key == *key {
                poll.due = now;
            }
        }
    }
}

/// Makes the calls of a poll. Blocks, so it runs on a platform thread.
fn deliver(
    objects: &dyn ObjectPort,
    request: &PollRequest,
    known: Option<(Revision, Arc<StepRecord>)>,
) -> Polled {
    let found = match known {
        Some(known) => Some(known),
        None => store::load(objects, &request.key)?.map(|(rev, record)| (rev, Arc::new(record))),
    };
    let Some((revision, record)) = found else {
        return Ok(None);
    };
    let outcome = store::deliver(
        objects,
        &request.key,
        &record,
        request.after,
        request.version,
    )?;
    Ok(Some((revision, record, outcome)))
}

fn answer(request: &PollRequest, delivery: Delivery) {
    // A trainer that has disconnected polls again with its old cursor.
    let _ = request.reply.try_send(Ok(delivery));
}

fn trainer_view(request: &PollRequest) -> TrainerView {
    TrainerView {
        version: request.version,
        digest: request.digest,
    }
}
