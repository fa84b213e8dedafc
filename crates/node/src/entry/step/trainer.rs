//! State of one trainer: its lease and its steps.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_adapters::event::emit;
use sardinepath_core::decision::sample::StepKey;
use sardinepath_core::decision::sample::StepRecord;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::DutyName;
use sardinepath_core::domain::name::TrainerName;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;

use crate::entry::duty::lease::CallId;
use crate::entry::duty::lease::LeaseAnswer;
use crate::entry::duty::lease::LeaseCall;
use crate::entry::duty::lease::LeaseChange;
use crate::entry::duty::lease::LeaseDriver;
use crate::entry::duty::lease::call_objects;
use crate::entry::platform::PlatformPool;
use crate::entry::step::StepMessage;
use crate::entry::step::running::Ports;
use crate::entry::step::running::RunningStep;
use crate::entry::step::running::TrainerView;
use crate::entry::step::store;
use crate::entry::step::store::StoredStep;

/// Interval at which the steps that other entries stored for the trainer are read.
const STEP_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Time since the trainer's last call after which an entry without the lease drops its state.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time since the trainer's last call after which the holder of the lease abandons its steps. The
/// samples of a step are complete within 28 minutes, so a trainer that still wants them has called
/// by then.
const ABANDON_TIMEOUT: Duration = Duration::from_secs(60 * 60);

/// A trainer that has called this entry.
pub(super) struct Trainer {
    name: TrainerName,
    lease: LeaseDriver,
    view: TrainerView,
    last_call: Time,
    pub(super) steps: BTreeMap<u64, Step>,
    /// Revision up to which the stored steps are known.
    known_revision: Option<Revision>,
    /// Time of the next read of newer steps.
    next_read: Time,
}

/// A step that is not complete.
pub(super) struct Step {
    revision: Revision,
    record: Arc<StepRecord>,
    running: Option<RunningStep>,
}

impl Trainer {
    pub(super) fn new(
        now: Time,
        name: TrainerName,
        incarnation: Incarnation,
        view: TrainerView,
    ) -> Self {
        let duty = DutyName::from(format!("steps/{name}"));
        Self {
            name,
            lease: LeaseDriver::new(duty, incarnation),
            view,
            last_call: now,
            steps: BTreeMap::new(),
            known_revision: None,
            next_read: now,
        }
    }

    pub(super) fn view(&self) -> TrainerView {
        self.view
    }

    /// Records a call of the trainer. Its version never decreases, since calls can arrive out of
    /// order.
    pub(super) fn record_call(&mut self, now: Time, view: TrainerView) {
        self.last_call = now;
        self.view.version = self.view.version.max(view.version);
        self.view.digest = view.digest;
    }

    pub(super) fn add_step(&mut self, step: u64, revision: Revision, record: Arc<StepRecord>) {
        self.steps.entry(step).or_insert(Step {
            revision,
            record,
            running: None,
        });
        let known = self.known_revision.unwrap_or(revision);
        self.known_revision = Some(known.min(revision));
    }

    pub(super) fn finish(&mut self, key: &StepKey) {
        let step = self.steps.remove(&key.step);
        if step.is_some_and(|step| step.running.is_some()) {
            emit(
                Event::StepComplete,
                &[("trainer", &key.trainer), ("step", &key.step)],
            );
        }
    }

    pub(super) fn step(&self, step: u64) -> Option<(Revision, Arc<StepRecord>)> {
        let step = self.steps.get(&step)?;
        Some((step.revision, step.record.clone()))
    }

    /// Returns `true` if this entry holds the lease and so may run the steps.
    pub(super) fn holds_lease(&self, now: Time) -> bool {
        self.lease.permit().is_some_and(|p| p.allows(now))
    }

    /// Returns the run of a step, if it has the given number.
    pub(super) fn run_with_number(
        &mut self,
        step: u64,
        run_number: u64,
    ) -> Option<&mut RunningStep> {
        self.run_of(step)
            .filter(|run| run.run_number() == run_number)
    }

    pub(super) fn run_of(&mut self, step: u64) -> Option<&mut RunningStep> {
        self.steps.get_mut(&step)?.running.as_mut()
    }

    /// Makes the next call of the lease if it is due.
    pub(super) fn tick_lease(
        &mut self,
        now: Time,
        leases: &PlatformPool<StepMessage>,
        objects: &Arc<dyn ObjectPort>,
    ) {
        let (change, call) = self.lease.tick(now);
        self.handle_change(change);
        let Some((id, call)) = call else {
            return;
        };
        let (objects, name) = (objects.clone(), self.name.clone());
        let queued = leases.call(move || {
            let answer = call_objects(&*objects, &call);
            Some(StepMessage::Lease(name, id, answer))
        });
        if queued.is_err() {
            let unsent = ObjectError::Unavailable("the call queue is full".to_owned());
            let change = self
                .lease
                .answer(now, id, LeaseAnswer::Written(Err(unsent)));
            self.handle_change(change);
        }
    }

    pub(super) fn lease_answered(&mut self, now: Time, id: CallId, answer: LeaseAnswer) {
        let change = self.lease.answer(now, id, answer);
        self.handle_change(change);
    }

    /// Starts a run for each step without one. Returns the number of the last run.
    pub(super) fn start_runs(&mut self, now: Time, last_number: u64) -> u64 {
        let mut run_number = last_number;
        if !self.holds_lease(now) {
            return run_number;
        }
        for (step, state) in &mut self.steps {
            if state.running.is_none() {
                run_number += 1;
                let (trainer, step) = (self.name.clone(), *step);
                let key = StepKey { trainer, step };
                state.running = Some(RunningStep::new(key, state.record.clone(), run_number));
            }
        }
        run_number
    }

    /// Queues the read of the steps that the trainer posted to other entries, if it is due.
    pub(super) fn read_newer(&mut self, now: Time, ports: &Ports) {
        let Some(known) = self
            .known_revision
            .filter(|_| self.holds_lease(now) && now >= self.next_read)
        else {
            return;
        };
        self.next_read = now + STEP_READ_INTERVAL;
        let (objects, name) = (ports.objects.clone(), self.name.clone());
        let read = move || {
            let newer = store::newer(&*objects, &name, known);
            Some(StepMessage::NewerSteps(name, newer))
        };
        // If the queue is full, the next read follows after the interval.
        let _ = ports.platform.call(read);
    }

    pub(super) fn add_newer(
        &mut self,
        newer: Result<(Revision, Vec<(StepKey, StoredStep)>), ObjectError>,
    ) {
        let Ok((revision, steps)) = newer else {
            return;
        };
        for (key, (at, record)) in steps {
            self.add_step(key.step, at, Arc::new(record));
        }
        self.known_revision = self.known_revision.max(Some(revision));
    }

    /// Returns `true` if the state of the trainer can be dropped.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        let quiet = now.since(self.last_call);
        let limit = if self.holds_lease(now) {
            ABANDON_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        self.steps.is_empty() || quiet >= limit
    }

    /// Stops the runs and releases the lease, if it is held.
    pub(super) fn release(
        &mut self,
        leases: &PlatformPool<StepMessage>,
        objects: &Arc<dyn ObjectPort>,
    ) {
        self.stop_runs();
        let Some(write) = self.lease.release() else {
            return;
        };
        let objects = objects.clone();
        let release = move || {
            call_objects(&*objects, &LeaseCall::Write(write));
            None
        };
        // If the release is not sent, the next holder waits until the lease expires.
        let _ = leases.call(release);
    }

    fn handle_change(&mut self, change: LeaseChange) {
        if change == LeaseChange::Lost {
            emit(Event::StepsLost, &[("trainer", &self.name)]);
            self.stop_runs();
        }
    }

    fn stop_runs(&mut self) {
        for step in self.steps.values_mut() {
            step.running = None;
        }
    }
}
