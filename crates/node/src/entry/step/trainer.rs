//! One trainer at one entry: its lease and its steps.

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
use crate::entry::duty::lease::make;
use crate::entry::platform::Platform;
use crate::entry::step::StepMessage;
use crate::entry::step::running::Ports;
use crate::entry::step::running::Running;
use crate::entry::step::running::TrainerView;
use crate::entry::step::store;
use crate::entry::step::store::StoredStep;

/// Time between two reads of the steps that other entries stored for the trainer.
const NEWER: Duration = Duration::from_secs(2);

/// Time after the trainer's last call until an entry that does not run its steps forgets them.
const FORGET: Duration = Duration::from_secs(60);

/// Time after the trainer's last call until its steps are given up. The samples of a step are
/// whole within 28 minutes, so a trainer that still wants them has called by then.
const ABANDON: Duration = Duration::from_secs(60 * 60);

/// A trainer that called this entry.
pub(super) struct Trainer {
    name: TrainerName,
    keeper: LeaseDriver,
    view: TrainerView,
    seen: Time,
    pub(super) steps: BTreeMap<u64, Step>,
    /// Revision up to which the steps that other entries stored are known.
    known: Option<Revision>,
    /// Time of the next read of newer steps.
    due: Time,
}

/// A step that is not complete.
pub(super) struct Step {
    revision: Revision,
    record: Arc<StepRecord>,
    running: Option<Running>,
}

impl Trainer {
    pub(super) fn new(now: Time, name: TrainerName, me: Incarnation, view: TrainerView) -> Self {
        let duty = DutyName::from(format!("steps/{name}"));
        Self {
            name,
            keeper: LeaseDriver::new(duty, me),
            view,
            seen: now,
            steps: BTreeMap::new(),
            known: None,
            due: now,
        }
    }

    pub(super) fn view(&self) -> TrainerView {
        self.view
    }

    /// Notes a call of the trainer. Its version never goes back, since calls can be crossed.
    pub(super) fn see(&mut self, now: Time, view: TrainerView) {
        self.seen = now;
        self.view.version = self.view.version.max(view.version);
        self.view.digest = view.digest;
    }

    pub(super) fn adopt(&mut self, step: u64, revision: Revision, record: Arc<StepRecord>) {
        self.steps.entry(step).or_insert(Step {
            revision,
            record,
            running: None,
        });
        let known = self.known.unwrap_or(revision);
        self.known = Some(known.min(revision));
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

    /// Tells whether this entry may run the steps.
    pub(super) fn holds(&self, now: Time) -> bool {
        self.keeper.permit().is_some_and(|p| p.allows(now))
    }

    /// Returns the run of a step, if it is the one with this term.
    pub(super) fn running(&mut self, step: u64, term: u64) -> Option<&mut Running> {
        self.any_running(step).filter(|run| run.term() == term)
    }

    pub(super) fn any_running(&mut self, step: u64) -> Option<&mut Running> {
        self.steps.get_mut(&step)?.running.as_mut()
    }

    /// Takes the lease's next step.
    pub(super) fn tick_lease(
        &mut self,
        now: Time,
        leases: &Platform<StepMessage>,
        objects: &Arc<dyn ObjectPort>,
    ) {
        let (change, call) = self.keeper.tick(now);
        self.follow(change);
        let Some((id, call)) = call else {
            return;
        };
        let (objects, name) = (objects.clone(), self.name.clone());
        let queued = leases.call(move || {
            let answer = make(&*objects, &call);
            Some(StepMessage::Lease(name, id, answer))
        });
        if queued.is_err() {
            let refused = ObjectError::Unavailable("the queue of calls is full".to_owned());
            let change = self
                .keeper
                .answer(now, id, LeaseAnswer::Written(Err(refused)));
            self.follow(change);
        }
    }

    pub(super) fn lease_answered(&mut self, now: Time, id: CallId, answer: LeaseAnswer) {
        let change = self.keeper.answer(now, id, answer);
        self.follow(change);
    }

    /// Starts the run of each step that has none. Returns the last term.
    pub(super) fn start_runs(&mut self, now: Time, terms: u64) -> u64 {
        let mut term = terms;
        if !self.holds(now) {
            return term;
        }
        for (step, state) in &mut self.steps {
            if state.running.is_none() {
                term += 1;
                let (trainer, step) = (self.name.clone(), *step);
                let key = StepKey { trainer, step };
                state.running = Some(Running::new(key, state.record.clone(), term));
            }
        }
        term
    }

    /// Reads the steps that the trainer posted to other entries.
    pub(super) fn read_newer(&mut self, now: Time, ports: &Ports) {
        let Some(known) = self.known.filter(|_| self.holds(now) && now >= self.due) else {
            return;
        };
        self.due = now + NEWER;
        let (objects, name) = (ports.objects.clone(), self.name.clone());
        let read = move || {
            let newer = store::newer(&*objects, &name, known);
            Some(StepMessage::Newer(name, newer))
        };
        // A full queue only delays the read to its next time.
        let _ = ports.platform.call(read);
    }

    pub(super) fn take_newer(
        &mut self,
        newer: Result<(Revision, Vec<(StepKey, StoredStep)>), ObjectError>,
    ) {
        let Ok((revision, steps)) = newer else {
            return;
        };
        for (key, (at, record)) in steps {
            self.adopt(key.step, at, Arc::new(record));
        }
        self.known = self.known.max(Some(revision));
    }

    /// Tells whether the trainer can be forgotten.
    pub(super) fn is_over(&self, now: Time) -> bool {
        let quiet = now.since(self.seen);
        let limit = if self.holds(now) { ABANDON } else { FORGET };
        self.steps.is_empty() || quiet >= limit
    }

    /// Gives the lease up, if it is held, and stops the runs.
    pub(super) fn release(
        &mut self,
        leases: &Platform<StepMessage>,
        objects: &Arc<dyn ObjectPort>,
    ) {
        self.stop_runs();
        let Some(write) = self.keeper.release() else {
            return;
        };
        let objects = objects.clone();
        let release = move || {
            make(&*objects, &LeaseCall::Write(write));
            None
        };
        // A release that is not sent costs the next holder the length of the lease.
        let _ = leases.call(release);
    }

    fn follow(&mut self, change: LeaseChange) {
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
