//! Polls of trainers at the control thread.

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

use crate::entry::step::PollAsk;
use crate::entry::step::Polled;
use crate::entry::step::StepMessage;
use crate::entry::step::Steps;
use crate::entry::step::running::TrainerView;
use crate::entry::step::store;

/// Longest time that a poll waits for a group.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Time between two looks of a waiting poll. Only a look shows the groups that another entry
/// records.
const POLL_AGAIN: Duration = Duration::from_secs(1);

/// A poll that waits for a group.
pub(super) struct Waiting {
    ask: PollAsk,
    due: Time,
}

impl Steps {
    /// Takes in a poll.
    pub(super) fn poll(&mut self, now: Time, ask: PollAsk) {
        let known = self.trainers.contains_key(&ask.key.trainer);
        if known {
            // A trainer becomes known only by a step that exists.
            self.see(now, &ask.key.trainer.clone(), view(&ask));
        }
        self.ask_platform(ask);
    }

    /// Delivers what is recorded, on a platform thread.
    fn ask_platform(&mut self, ask: PollAsk) {
        let objects = self.ports.objects.clone();
        let trainer = self.trainers.get(&ask.key.trainer);
        let known = trainer.and_then(|trainer| trainer.step(ask.key.step));
        let reply = ask.reply.clone();
        let queued = self.ports.platform.call(move || {
            let polled = deliver(&*objects, &ask, known);
            Some(StepMessage::Polled(ask, polled))
        });
        if queued.is_err() {
            self.refuse(&reply, ErrorKind::Overloaded);
        }
    }

    /// Answers a poll, or lets it wait.
    pub(super) fn polled(&mut self, now: Time, ask: PollAsk, polled: Polled) {
        let (revision, record, made) = match polled {
            Ok(Some(found)) => found,
            Ok(None) => return self.refuse(&ask.reply, ErrorKind::NoStep),
            Err(ObjectError::Invalid(_)) => return self.refuse(&ask.reply, ErrorKind::Internal),
            Err(_) => return self.refuse(&ask.reply, ErrorKind::PlatformDown),
        };
        self.ports
            .metrics
            .deliver_groups(made.delivered, made.expired);
        if made.delivery.done {
            if let Some(trainer) = self.trainers.get_mut(&ask.key.trainer) {
                trainer.finish(&ask.key);
            }
        } else if !self.draining {
            self.see(now, &ask.key.trainer, view(&ask));
            self.adopt(&ask.key, revision, &record);
        }
        let over = now.since(ask.since) >= POLL_WAIT || self.draining;
        if made.delivery.groups.is_empty() && !made.delivery.done && !over {
            let due = now + POLL_AGAIN;
            return self.waiting.push(Waiting { ask, due });
        }
        answer(&ask, made.delivery);
    }

    /// Looks again for the polls that are due, and forgets those whose trainer hung up.
    pub(super) fn check_waiting(&mut self, now: Time) {
        self.waiting
            .retain(|poll| !poll.ask.reply.is_disconnected());
        let all = std::mem::take(&mut self.waiting);
        let (due, rest) = all.into_iter().partition(|poll| now >= poll.due);
        self.waiting = rest;
        for poll in Vec::<Waiting>::from_iter(due) {
            self.ask_platform(poll.ask);
        }
    }

    /// Has the waiting polls of a step look again at once.
    pub(super) fn wake(&mut self, now: Time, key: &StepKey) {
        for poll in &mut self.waiting {
            if poll.ask.key == *key {
                poll.due = now;
            }
        }
    }
}

/// Makes the calls of a poll.
fn deliver(
    objects: &dyn ObjectPort,
    ask: &PollAsk,
    known: Option<(Revision, Arc<StepRecord>)>,
) -> Polled {
    let found = match known {
        Some(known) => Some(known),
        None => store::load(objects, &ask.key)?.map(|(rev, record)| (rev, Arc::new(record))),
    };
    let Some((revision, record)) = found else {
        return Ok(None);
    };
    let made = store::deliver(objects, &ask.key, &record, ask.after, ask.version)?;
    Ok(Some((revision, record, made)))
}

fn answer(ask: &PollAsk, delivery: Delivery) {
    // A trainer that hung up polls again with its old cursor.
    let _ = ask.reply.try_send(Ok(delivery));
}

fn view(ask: &PollAsk) -> TrainerView {
    TrainerView {
        version: ask.version,
        digest: ask.digest,
    }
}
