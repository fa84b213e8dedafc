//! Execution of one step: makes the calls that its run decides on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_adapters::event::emit;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::sample::GroupRecord;
use sardinepath_core::decision::sample::GroupWrite;
use sardinepath_core::decision::sample::Member;
use sardinepath_core::decision::sample::Run;
use sardinepath_core::decision::sample::RunLimits;
use sardinepath_core::decision::sample::RunStep;
use sardinepath_core::decision::sample::Sample;
use sardinepath_core::decision::sample::StepEvent;
use sardinepath_core::decision::sample::StepKey;
use sardinepath_core::decision::sample::StepRecord;
use sardinepath_core::decision::sample::StepRun;
use sardinepath_core::decision::sample::Stored;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::key::KeyDigest;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::score::ScorePort;
use sardinepath_core::port::target::CallGuard;

use crate::entry::inbox::Inbox;
use crate::entry::platform::PlatformPool;
use crate::entry::service::EntryService;
use crate::entry::service::SampleCall;
use crate::entry::step::StepMessage;
use crate::entry::step::sample::generate;
use crate::entry::step::store;
use crate::metrics::Metrics;

/// Delay before the first listing of the groups is repeated, if it failed or the route is missing.
const LIST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Timeout of a call to the scoring service.
const SCORE_TIMEOUT: Duration = Duration::from_secs(10);

/// Ports and threads that all steps of an entry share.
pub(super) struct Ports {
    pub(super) objects: Arc<dyn ObjectPort>,
    pub(super) scores: Option<Arc<dyn ScorePort>>,
    /// Threads for calls about groups and steps.
    pub(super) platform: PlatformPool<StepMessage>,
    /// Threads for scores only, so that a slow scoring service does not delay the recording of
    /// groups.
    pub(super) scoring: PlatformPool<StepMessage>,
    pub(super) service: EntryService,
    pub(super) spawner: Spawner,
    pub(super) control: Inbox<StepMessage>,
    pub(super) metrics: Arc<Metrics>,
}

/// Result of a call of a running step.
#[derive(Debug)]
pub enum RunResult {
    /// Result of listing the groups.
    Listed(Result<Vec<Stored>, ObjectError>),
    /// Result of generating a sample.
    Generated(Member, Run, Result<Sample, Failure>),
    /// Score of a sample, or none if the scoring service failed.
    Scored(Member, Run, Option<f64>),
    /// Result of writing a group.
    Written(u32, GroupWrite, Result<Revision, ObjectError>),
    /// Result of reading a group back.
    Read(u32, Result<Option<(Revision, GroupRecord)>, ObjectError>),
}

/// A step that this entry runs.
pub(super) struct RunningStep {
    pub(super) key: StepKey,
    record: Arc<StepRecord>,
    /// Number of this run, which distinguishes its results from those of an earlier run.
    run_number: u64,
    /// State of the run, or none until the groups are listed.
    run: Option<StepRun>,
    /// Time of the next action, or none while the first listing is under way.
    due: Option<Time>,
    /// Samples that are being generated. Dropping a guard cancels its sample.
    tasks: BTreeMap<Run, Box<dyn CallGuard>>,
}

/// Weight version and key that the trainer sent with its last call.
#[derive(Clone, Copy)]
pub(super) struct TrainerView {
    pub(super) version: WeightVersion,
    pub(super) digest: KeyDigest,
}

/// Change of a step that its trainer can see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// No change.
    None,
    /// A group was recorded.
    Recorded,
    /// Every group was delivered.
    Complete,
}

impl RunningStep {
    pub(super) fn new(key: StepKey, record: Arc<StepRecord>, run_number: u64) -> Self {
        emit(
            Event::StepStarted,
            &[("trainer", &key.trainer), ("step", &key.step)],
        );
        Self {
            key,
            record,
            run_number,
            run: None,
            due: Some(Time(0)),
            tasks: BTreeMap::new(),
        }
    }

    pub(super) fn run_number(&self) -> u64 {
        self.run_number
    }

    /// Handles the result of a call.
    pub(super) fn handle_result(
        &mut self,
        now: Time,
        view: TrainerView,
        config: &Config,
        result: RunResult,
    ) {
        match (&mut self.run, result) {
            (None, RunResult::Listed(Ok(stored))) => {
                let limit = self.record.staleness_limit(view.version);
                let Some(limits) = RunLimits::of(config, &self.record) else {
                    self.await_route(now);
                    return;
                };
                let (key, record) = (self.key.clone(), self.record.clone());
                self.run = Some(StepRun::start(now, key, record, limit, limits, stored));
                self.due = Some(now);
            }
            (None, _) => self.due = Some(now + LIST_RETRY_DELAY),
            (Some(run), result) => {
                self.due = Some(now);
                match result {
                    RunResult::Listed(listed) => run.listed(now, listed),
                    RunResult::Generated(member, id, generated) => {
                        self.tasks.remove(&id);
                        match generated {
                            Ok(sample) => {
                                run.generated(now, member, id, sample);
                            }
                            Err(failure) => {
                                log_failure(&self.key, &failure.kind);
                                run.failed(now, member, id);
                            }
                        }
                    }
                    RunResult::Scored(member, id, score) => run.scored(now, member, id, score),
                    RunResult::Written(index, write, answer) => {
                        run.written(now, index, &write, &answer);
                    }
                    RunResult::Read(index, found) => run.read(now, index, found),
                }
            }
        }
    }

    /// Waits for a configuration that contains the route and the workspace of the step.
    fn await_route(&mut self, now: Time) {
        emit(
            Event::StepRouteMissing,
            &[
                ("trainer", &self.key.trainer),
                ("step", &self.key.step),
                ("route", &self.record.route),
            ],
        );
        self.due = Some(now + LIST_RETRY_DELAY);
    }

    /// Executes the actions that are due.
    pub(super) fn advance(&mut self, now: Time, view: TrainerView, ports: &Ports) -> Progress {
        if self.due.is_none_or(|due| now < due) {
            return Progress::None;
        }
        let Some(mut run) = self.run.take() else {
            self.due = None;
            self.list(ports);
            return Progress::None;
        };
        run.observe(view.version);
        let mut progress = Progress::None;
        loop {
            match run.next(now) {
                RunStep::Wait(due) => {
                    self.due = Some(due);
                    break;
                }
                RunStep::Complete => {
                    progress = Progress::Complete;
                    break;
                }
                step => self.execute(now, step, &mut run, view, ports),
            }
        }
        let recorded = self.count_events(&mut run, &ports.metrics);
        self.run = Some(run);
        match progress {
            Progress::None if recorded => Progress::Recorded,
            other => other,
        }
    }

    fn execute(
        &mut self,
        now: Time,
        step: RunStep,
        run: &mut StepRun,
        view: TrainerView,
        ports: &Ports,
    ) {
        match step {
            RunStep::Generate(member, id, min_version) => {
                let task = self.generate(member, id, min_version, view, ports);
                self.tasks.insert(id, task);
            }
            RunStep::Cancel(id) => {
                self.tasks.remove(&id);
            }
            RunStep::Score(member, id, text) => match &ports.scores {
                None => run.scored(now, member, id, Some(0.0)),
                Some(scores) => {
                    let prompt = self.record.groups[member.0 as usize].prompt.clone();
                    let scores = scores.clone();
                    let job =
                        move || RunResult::Scored(member, id, score(&*scores, &prompt, &text));
                    if !self.call(&ports.scoring, job) {
                        run.scored(now, member, id, None);
                    }
                }
            },
            RunStep::Record(index, write) => {
                let (objects, unsent) = (ports.objects.clone(), write.clone());
                let job = move || {
                    let answer = store::write(&*objects, &write);
                    RunResult::Written(index, write, answer)
                };
                if !self.call(&ports.platform, job) {
                    run.written(now, index, &unsent, &Err(queue_full()));
                }
            }
            RunStep::ReadBack(index, path) => {
                let objects = ports.objects.clone();
                let job = move || RunResult::Read(index, store::group(&*objects, &path));
                if !self.call(&ports.platform, job) {
                    run.read(now, index, Err(queue_full()));
                }
            }
            RunStep::List => {
                if !self.list(ports) {
                    run.listed(now, Err(queue_full()));
                }
            }
            RunStep::Wait(_) | RunStep::Complete => {}
        }
    }

    /// Starts the generation of a sample.
    fn generate(
        &self,
        member: Member,
        run: Run,
        min_version: WeightVersion,
        view: TrainerView,
        ports: &Ports,
    ) -> Box<dyn CallGuard> {
        let spec = &self.record.groups[member.0 as usize];
        let call = SampleCall {
            record: self.record.clone(),
            key: view.digest,
            prompt: spec.prompt.clone(),
            max_tokens: spec.max_tokens,
            min_version,
        };
        let (key, run_number) = (self.key.clone(), self.run_number);
        let (service, control) = (ports.service.clone(), ports.control.clone());
        let work = async move {
            let generated = generate(service, call, member.1).await;
            let result = RunResult::Generated(member, run, generated);
            let message = StepMessage::Run {
                key,
                run_number,
                result,
            };
            // The sample does not matter once the control thread has stopped.
            let _ = control.send_async(message).await;
        };
        Box::new(ports.spawner.spawn(work))
    }

    fn list(&mut self, ports: &Ports) -> bool {
        let (objects, key) = (ports.objects.clone(), self.key.clone());
        let called = self.call(&ports.platform, move || {
            RunResult::Listed(store::groups(&*objects, &key))
        });
        if !called && self.run.is_none() {
            self.due = Some(Time(0));
        }
        called
    }

    /// Queues a blocking call. Returns `false` if the queue is full.
    fn call(
        &self,
        platform: &PlatformPool<StepMessage>,
        job: impl FnOnce() -> RunResult + Send + 'static,
    ) -> bool {
        let (key, run_number) = (self.key.clone(), self.run_number);
        let call = move || {
            let result = job();
            Some(StepMessage::Run {
                key,
                run_number,
                result,
            })
        };
        platform.call(call).is_ok()
    }

    /// Counts and logs the events of a run. Returns `true` if a group was recorded.
    fn count_events(&self, run: &mut StepRun, metrics: &Metrics) -> bool {
        let mut recorded = false;
        for event in run.take_events() {
            match event {
                StepEvent::Recorded => {
                    recorded = true;
                    metrics.count_recorded_group();
                }
                StepEvent::Dropped(reason, count) => {
                    metrics.count_dropped_samples(reason, count);
                    let key = &self.key;
                    emit(
                        Event::SamplesDropped,
                        &[
                            ("trainer", &key.trainer),
                            ("step", &key.step),
                            ("reason", &reason),
                            ("count", &count),
                        ],
                    );
                }
            }
        }
        recorded
    }
}

/// Scores a sample. Returns none and logs the error if the service fails.
fn score(scores: &dyn ScorePort, prompt: &str, answer: &str) -> Option<f64> {
    let scored = scores.score(prompt, answer, SCORE_TIMEOUT);
    if let Err(error) = &scored {
        emit(Event::ScoreFailed, &[("error", error)]);
    }
    scored.ok()
}

fn log_failure(key: &StepKey, error: &dyn std::fmt::Display) {
    emit(
        Event::SampleFailed,
        &[
            ("trainer", &key.trainer),
            ("step", &key.step),
            ("error", &error),
        ],
    );
}

fn queue_full() -> ObjectError {
    ObjectError::Unavailable("the call queue is full".to_owned())
}
