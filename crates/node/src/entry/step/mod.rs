//! Steps of trainers: the part of the control state that runs and delivers them.
//!
//! `front` takes the calls of trainers on traffic threads, `Steps` owns the state on the control
//! thread, `running` carries out one step, `sample` generates one sample on a traffic thread and
//! `store` makes the calls to the object API on platform threads.

pub mod front;
mod poll;
pub mod running;
mod sample;
pub mod store;
mod trainer;

use std::collections::BTreeMap;
use std::sync::Arc;

use flume::Sender;
use sardinepath_adapters::event::emit;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::sample::StepKey;
use sardinepath_core::decision::sample::StepRecord;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::domain::name::TrainerName;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::score::ScorePort;
use sardinepath_core::port::step::Delivery;

use crate::entry::duty::lease::CallId;
use crate::entry::duty::lease::LeaseAnswer;
use crate::entry::inbox::Inbox;
use crate::entry::platform::Platform;
use crate::entry::service::EntryService;
use crate::entry::step::poll::Waiting;
use crate::entry::step::running::Ports;
use crate::entry::step::running::Progress;
use crate::entry::step::running::RunNews;
use crate::entry::step::running::TrainerView;
use crate::entry::step::store::Delivered;
use crate::entry::step::store::StoredStep;
use crate::entry::step::trainer::Trainer;
use crate::metrics::Metrics;

/// Threads for steps and groups. A poll of a large step holds one for several calls.
const PLATFORM_THREADS: usize = 4;

/// Threads for leases, so that a long listing does not delay a renewal.
const LEASE_THREADS: usize = 1;

/// Threads for scores.
const SCORING_THREADS: usize = 4;

/// What the control thread is told of steps.
#[derive(Debug)]
pub enum StepMessage {
    /// A trainer posts a step.
    Post(PostAsk),
    /// A posted step was stored or not.
    Stored(PostAsk, Result<Revision, ErrorKind>),
    /// A trainer polls.
    Poll(PollAsk),
    /// The object API answered a poll.
    Polled(PollAsk, Polled),
    /// The object API answered a call of a trainer's lease.
    Lease(TrainerName, CallId, LeaseAnswer),
    /// The steps that were stored after a revision were read.
    Newer(
        TrainerName,
        Result<(Revision, Vec<(StepKey, StoredStep)>), ObjectError>,
    ),
    /// A call of a running step has its result.
    Run {
        /// The step.
        key: StepKey,
        /// The run that made the call.
        term: u64,
        /// The result.
        news: RunNews,
    },
    /// The process drains.
    Drain,
}

/// A step that a trainer posts.
#[derive(Debug)]
pub struct PostAsk {
    /// The step.
    pub key: StepKey,
    /// Its content.
    pub record: Arc<StepRecord>,
    /// Digest of the trainer's key.
    pub digest: KeyDigest,
    /// Where the answer goes.
    pub reply: Sender<Result<(), Failure>>,
}

/// A poll of a trainer.
#[derive(Debug)]
pub struct PollAsk {
    /// The step.
    pub key: StepKey,
    /// Cursor of the trainer.
    pub after: Revision,
    /// Version of the trainer.
    pub version: WeightVersion,
    /// Digest of the trainer's key.
    pub digest: KeyDigest,
    /// Time at which the poll arrived.
    pub since: Time,
    /// Where the answer goes.
    pub reply: Sender<Result<Delivery, Failure>>,
}

/// Result of the calls of one poll: the step, if there is one, and what was delivered.
pub type Polled = Result<Option<(Revision, Arc<StepRecord>, Delivered)>, ObjectError>;

/// The steps of all trainers that post to or poll this entry.
pub struct Steps {
    ports: Ports,
    leases: Platform<StepMessage>,
    me: Incarnation,
    trainers: BTreeMap<TrainerName, Trainer>,
    waiting: Vec<Waiting>,
    /// Runs started so far.
    terms: u64,
    draining: bool,
}

impl Steps {
    /// Creates the state and starts its platform threads.
    pub fn start(
        objects: Arc<dyn ObjectPort>,
        scores: Option<Arc<dyn ScorePort>>,
        service: EntryService,
        spawner: Spawner,
        control: Inbox<StepMessage>,
        metrics: Arc<Metrics>,
    ) -> anyhow::Result<Self> {
        if scores.is_none() {
            emit(Event::ScoringOff, &[]);
        }
        let leases = Platform::start(LEASE_THREADS, &control)?;
        let ports = Ports {
            objects,
            scores,
            platform: Platform::start(PLATFORM_THREADS, &control)?,
            scoring: Platform::start(SCORING_THREADS, &control)?,
            service,
            spawner,
            control,
            metrics,
        };
        Ok(Self {
            ports,
            leases,
            me: Incarnation(rand::random()),
            trainers: BTreeMap::new(),
            waiting: Vec::new(),
            terms: 0,
            draining: false,
        })
    }

    /// Takes in a message.
    pub fn handle(&mut self, now: Time, config: &Config, message: StepMessage) {
        match message {
            StepMessage::Post(ask) => self.store(ask),
            StepMessage::Stored(ask, stored) => self.stored(now, &ask, stored),
            StepMessage::Poll(ask) => self.poll(now, ask),
            StepMessage::Polled(ask, polled) => self.polled(now, ask, polled),
            StepMessage::Lease(name, id, answer) => {
                if let Some(trainer) = self.trainers.get_mut(&name) {
                    trainer.lease_answered(now, id, answer);
                }
            }
            StepMessage::Newer(name, newer) => {
                if let Some(trainer) = self.trainers.get_mut(&name) {
                    trainer.take_newer(newer);
                }
            }
            StepMessage::Run { key, term, news } => self.take_news(now, config, &key, term, news),
            StepMessage::Drain => self.drain(),
        }
    }

    /// Runs the timers: leases, runs and waiting polls.
    pub fn tick(&mut self, now: Time) {
        self.check_waiting(now);
        let names: Vec<_> = self.trainers.keys().cloned().collect();
        for name in names {
            if !self.draining {
                self.tick_trainer(now, &name);
            }
        }
    }

    fn tick_trainer(&mut self, now: Time, name: &TrainerName) {
        let Some(trainer) = self.trainers.get_mut(name) else {
            return;
        };
        trainer.tick_lease(now, &self.leases, &self.ports.objects);
        trainer.read_newer(now, &self.ports);
        self.terms = trainer.start_runs(now, self.terms);
        let keys: Vec<_> = trainer.steps.keys().copied().collect();
        for step in keys {
            let trainer = name.clone();
            self.pump(now, &StepKey { trainer, step });
        }
        let Some(trainer) = self.trainers.get_mut(name) else {
            return;
        };
        if trainer.is_over(now) {
            trainer.release(&self.leases, &self.ports.objects);
            self.trainers.remove(name);
        }
    }

    fn take_news(&mut self, now: Time, config: &Config, key: &StepKey, term: u64, news: RunNews) {
        let Some(trainer) = self.trainers.get_mut(&key.trainer) else {
            return;
        };
        let view = trainer.view();
        if let Some(running) = trainer.running(key.step, term) {
            running.take(now, view, config, news);
            self.pump(now, key);
        }
    }

    /// Takes every due step of a run.
    fn pump(&mut self, now: Time, key: &StepKey) {
        let Some(trainer) = self.trainers.get_mut(&key.trainer) else {
            return;
        };
        if !trainer.holds(now) {
            return;
        }
        let view = trainer.view();
        let Some(running) = trainer.any_running(key.step) else {
            return;
        };
        match running.pump(now, view, &self.ports) {
            Progress::None => {}
            Progress::Recorded => self.wake(now, key),
            Progress::Complete => {
                trainer.finish(key);
                self.wake(now, key);
            }
        }
    }

    /// Stores a posted step on a platform thread.
    fn store(&mut self, ask: PostAsk) {
        if self.draining {
            return self.refuse(&ask.reply, ErrorKind::Draining);
        }
        let objects = self.ports.objects.clone();
        let reply = ask.reply.clone();
        let queued = self.ports.platform.call(move || {
            let stored = store::store(&*objects, &ask.key, &ask.record);
            Some(StepMessage::Stored(ask, stored))
        });
        if queued.is_err() {
            self.refuse(&reply, ErrorKind::Overloaded);
        }
    }

    fn stored(&mut self, now: Time, ask: &PostAsk, stored: Result<Revision, ErrorKind>) {
        match stored {
            Ok(revision) => {
                let (key, record) = (&ask.key, &ask.record);
                emit(
                    Event::StepStored,
                    &[("trainer", &key.trainer), ("step", &key.step)],
                );
                let view = TrainerView {
                    version: record.version,
                    digest: ask.digest,
                };
                self.see(now, &key.trainer, view);
                self.adopt(key, revision, record);
                // The trainer may have hung up and posts again.
                let _ = ask.reply.try_send(Ok(()));
            }
            Err(kind) => self.refuse(&ask.reply, kind),
        }
    }

    /// Notes a call of a trainer.
    fn see(&mut self, now: Time, name: &TrainerName, view: TrainerView) {
        match self.trainers.get_mut(name) {
            Some(trainer) => trainer.see(now, view),
            None => {
                let trainer = Trainer::new(now, name.clone(), self.me, view);
                self.trainers.insert(name.clone(), trainer);
            }
        }
    }

    /// Runs a step from now on, if this entry gets the lease of the trainer.
    fn adopt(&mut self, key: &StepKey, revision: Revision, record: &Arc<StepRecord>) {
        if let Some(trainer) = self.trainers.get_mut(&key.trainer) {
            trainer.adopt(key.step, revision, record.clone());
        }
    }

    fn drain(&mut self) {
        self.draining = true;
        for trainer in self.trainers.values_mut() {
            trainer.release(&self.leases, &self.ports.objects);
        }
        self.trainers.clear();
    }

    fn refuse<T>(&self, reply: &Sender<Result<T, Failure>>, kind: ErrorKind) {
        self.ports.metrics.refuse(kind);
        // The trainer may have hung up.
        let _ = reply.try_send(Err(Failure::from(kind)));
    }
}
