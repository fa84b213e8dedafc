//! Steps of trainers: the part of the control state that runs and delivers them.
//!
//! `front` handles the calls of trainers on traffic threads, `Steps` owns the state on the control
//! thread, `running` executes one step, `sample` generates one sample on a traffic thread and
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
use crate::entry::platform::PlatformPool;
use crate::entry::service::EntryService;
use crate::entry::step::poll::WaitingPoll;
use crate::entry::step::running::Ports;
use crate::entry::step::running::Progress;
use crate::entry::step::running::RunResult;
use crate::entry::step::running::TrainerView;
use crate::entry::step::store::PollOutcome;
use crate::entry::step::store::StoredStep;
use crate::entry::step::trainer::Trainer;
use crate::metrics::Metrics;

/// Number of threads for steps and groups. A poll of a large step occupies one for several calls.
const PLATFORM_THREADS: usize = 4;

/// Number of threads for leases. They are separate, so that a long listing does not delay a
/// renewal.
const LEASE_THREADS: usize = 1;

/// Number of threads for calls to the scoring service.
const SCORING_THREADS: usize = 4;

/// Message to the control thread about steps.
#[derive(Debug)]
pub enum StepMessage {
    /// A trainer posts a step.
    Post(PostRequest),
    /// Result of storing a posted step.
    Stored(PostRequest, Result<Revision, ErrorKind>),
    /// A trainer polls a step.
    Poll(PollRequest),
    /// Result of the calls to the object API for a poll.
    Polled(PollRequest, Polled),
    /// Result of a call of a trainer's lease.
    Lease(TrainerName, CallId, LeaseAnswer),
    /// Result of reading the steps of a trainer that were stored after a revision.
    NewerSteps(
        TrainerName,
        Result<(Revision, Vec<(StepKey, StoredStep)>), ObjectError>,
    ),
    /// Result of a call of a running step.
    Run {
        /// Key of the step.
        key: StepKey,
        /// Number of the run that made the call.
        run_number: u64,
        /// Result of the call.
        result: RunResult,
    },
    /// The process drains: releases the leases and refuses new steps.
    Drain,
}

/// Request of a trainer to store a step.
#[derive(Debug)]
pub struct PostRequest {
    /// Key of the step.
    pub key: StepKey,
    /// Content of the step.
    pub record: Arc<StepRecord>,
    /// Digest of the trainer's key.
    pub digest: KeyDigest,
    /// Channel for the answer.
    pub reply: Sender<Result<(), Failure>>,
}

/// Request of a trainer for the groups of a step.
#[derive(Debug)]
pub struct PollRequest {
    /// Key of the step.
    pub key: StepKey,
    /// Revision up to which the trainer has received groups.
    pub after: Revision,
    /// Weight version of the trainer.
    pub version: WeightVersion,
    /// Digest of the trainer's key.
    pub digest: KeyDigest,
    /// Time at which the poll was received.
    pub received: Time,
    /// Channel for the answer.
    pub reply: Sender<Result<Delivery, Failure>>,
}

/// Result of the calls of one poll: the step with its revision and the delivery, or none if there
/// is no such step.
pub type Polled = Result<Option<(Revision, Arc<StepRecord>, PollOutcome)>, ObjectError>;

/// The steps of all trainers that post to or poll this entry.
pub struct Steps {
    ports: Ports,
    leases: PlatformPool<StepMessage>,
    incarnation: Incarnation,
    trainers: BTreeMap<TrainerName, Trainer>,
    waiting: Vec<WaitingPoll>,
    /// Number of the last run that was started.
    last_number: u64,
    draining: bool,
}

impl Steps {
    /// Creates the state and starts its threads. Without `scores`, samples are recorded with score
    /// 0.
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
        let leases = PlatformPool::start(LEASE_THREADS, &control)?;
        let ports = Ports {
            objects,
            scores,
            platform: PlatformPool::start(PLATFORM_THREADS, &control)?,
            scoring: PlatformPool::start(SCORING_THREADS, &control)?,
            service,
            spawner,
            control,
            metrics,
        };
        Ok(Self {
            ports,
            leases,
            incarnation: Incarnation(rand::random()),
            trainers: BTreeMap::new(),
            waiting: Vec::new(),
            last_number: 0,
            draining: false,
        })
    }

    /// Handles a message.
    pub fn handle(&mut self, now: Time, config: &Config, message: StepMessage) {
        match message {
            StepMessage::Post(request) => self.queue_store(request),
            StepMessage::Stored(request, stored) => self.stored(now, &request, stored),
            StepMessage::Poll(request) => self.poll(now, request),
            StepMessage::Polled(request, polled) => self.polled(now, request, polled),
            StepMessage::Lease(name, id, answer) => {
                if let Some(trainer) = self.trainers.get_mut(&name) {
                    trainer.lease_answered(now, id, answer);
                }
            }
            StepMessage::NewerSteps(name, newer) => {
                if let Some(trainer) = self.trainers.get_mut(&name) {
                    trainer.add_newer(newer);
                }
            }
            StepMessage::Run {
                key,
                run_number,
                result,
            } => self.handle_result(now, config, &key, run_number, result),
            StepMessage::Drain => self.drain(),
        }
    }

    /// Runs the timers of leases, runs and waiting polls.
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
        self.last_number = trainer.start_runs(now, self.last_number);
        let keys: Vec<_> = trainer.steps.keys().copied().collect();
        for step in keys {
            let trainer = name.clone();
            self.advance(now, &StepKey { trainer, step });
        }
        let Some(trainer) = self.trainers.get_mut(name) else {
            return;
        };
        if trainer.is_expired(now) {
            trainer.release(&self.leases, &self.ports.objects);
            self.trainers.remove(name);
        }
    }

    fn handle_result(
        &mut self,
        now: Time,
        config: &Config,
        key: &StepKey,
        run_number: u64,
        result: RunResult,
    ) {
        let Some(trainer) = self.trainers.get_mut(&key.trainer) else {
            return;
        };
        let view = trainer.view();
        if let Some(running) = trainer.run_with_number(key.step, run_number) {
            running.handle_result(now, view, config, result);
            self.advance(now, key);
        }
    }

    /// Executes the due actions of a run and wakes polls that can be answered.
    fn advance(&mut self, now: Time, key: &StepKey) {
        let Some(trainer) = self.trainers.get_mut(&key.trainer) else {
            return;
        };
        if !trainer.holds_lease(now) {
            return;
        }
        let view = trainer.view();
        let Some(running) = trainer.run_of(key.step) else {
            return;
        };
        match running.advance(now, view, &self.ports) {
            Progress::None => {}
            Progress::Recorded => self.wake_polls(now, key),
            Progress::Complete => {
                trainer.finish(key);
                self.wake_polls(now, key);
            }
        }
    }

    /// Queues the call that stores a posted step.
    fn queue_store(&mut self, request: PostRequest) {
        if self.draining {
            return self.refuse(&request.reply, ErrorKind::Draining);
        }
        let objects = self.ports.objects.clone();
        let reply = request.reply.clone();
        let queued = self.ports.platform.call(move || {
            let stored = store::store(&*objects, &request.key, &request.record);
            Some(StepMessage::Stored(request, stored))
        });
        if queued.is_err() {
            self.refuse(&reply, ErrorKind::Overloaded);
        }
    }

    fn stored(&mut self, now: Time, request: &PostRequest, stored: Result<Revision, ErrorKind>) {
        match stored {
            Ok(revision) => {
                let (key, record) = (&request.key, &request.record);
                emit(
                    Event::StepStored,
                    &[("trainer", &key.trainer), ("step", &key.step)],
                );
                let view = TrainerView {
                    version: record.version,
                    digest: request.digest,
                };
                self.record_call(now, &key.trainer, view);
                self.add_step(key, revision, record);
                // A trainer that has disconnected posts the step again.
                let _ = request.reply.try_send(Ok(()));
            }
            Err(kind) => self.refuse(&request.reply, kind),
        }
    }

    /// Records a call of a trainer.
    fn record_call(&mut self, now: Time, name: &TrainerName, view: TrainerView) {
        match self.trainers.get_mut(name) {
            Some(trainer) => trainer.record_call(now, view),
            None => {
                let trainer = Trainer::new(now, name.clone(), self.incarnation, view);
                self.trainers.insert(name.clone(), trainer);
            }
        }
    }

    /// Adds a step, which runs while this entry holds the lease of its trainer.
    fn add_step(&mut self, key: &StepKey, revision: Revision, record: &Arc<StepRecord>) {
        if let Some(trainer) = self.trainers.get_mut(&key.trainer) {
            trainer.add_step(key.step, revision, record.clone());
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
        self.ports.metrics.count_refusal(kind);
        // The trainer may have disconnected.
        let _ = reply.try_send(Err(Failure::from(kind)));
    }
}
