//! One step at one entry: carries out what its run decides.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_adapters::event::emit;
use sardinepath_adapters::runtime::Spawner;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::sample::Fact;
use sardinepath_core::decision::sample::GroupRecord;
use sardinepath_core::decision::sample::GroupWrite;
use sardinepath_core::decision::sample::Member;
use sardinepath_core::decision::sample::Run;
use sardinepath_core::decision::sample::RunLimits;
use sardinepath_core::decision::sample::RunStep;
use sardinepath_core::decision::sample::Sample;
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
use crate::entry::platform::Platform;
use crate::entry::service::EntryService;
use crate::entry::service::SampleCall;
use crate::entry::step::StepMessage;
use crate::entry::step::sample::generate;
use crate::entry::step::store;
use crate::metrics::Metrics;

/// Time between two first listings that fail.
const RETRY: Duration = Duration::from_secs(1);

/// Longest call to the scoring service.
const SCORE_LIMIT: Duration = Duration::from_secs(10);

/// Samples of one step that may run at once. A workspace with a higher limit keeps the rest for
/// its other requests.
const SLOTS_MOST: u32 = 256;

/// What the steps of an entry share.
pub(super) struct Ports {
    pub(super) objects: Arc<dyn ObjectPort>,
    pub(super) scores: Option<Arc<dyn ScorePort>>,
    /// Threads for groups and steps.
    pub(super) platform: Platform<StepMessage>,
    /// Threads of their own, so that a slow scoring service does not hold up records.
    pub(super) scoring: Platform<StepMessage>,
    pub(super) service: EntryService,
    pub(super) spawner: Spawner,
    pub(super) control: Inbox<StepMessage>,
    pub(super) metrics: Arc<Metrics>,
}

/// Result of a call of one run.
#[derive(Debug)]
pub enum RunNews {
    /// Groups were listed.
    Listed(Result<Vec<Stored>, ObjectError>),
    /// A sample was generated or failed.
    Generated(Member, Run, Result<Sample, Failure>),
    /// A sample was scored, or the scoring service failed.
    Scored(Member, Run, Option<f64>),
    /// A group was written or not.
    Written(u32, GroupWrite, Result<Revision, ObjectError>),
    /// A group was read back.
    Read(u32, Result<Option<(Revision, GroupRecord)>, ObjectError>),
}

/// A step that this entry runs.
pub(super) struct Running {
    pub(super) key: StepKey,
    record: Arc<StepRecord>,
    /// Tells the results of this run from those of an earlier one.
    term: u64,
    /// None until the groups are listed.
    run: Option<StepRun>,
    /// Time of the next step, or none while the first listing is under way.
    due: Option<Time>,
    /// Running generations. Dropping one cancels it.
    tasks: BTreeMap<Run, Box<dyn CallGuard>>,
}

/// What the trainer last told.
#[derive(Clone, Copy)]
pub(super) struct TrainerView {
    pub(super) version: WeightVersion,
    pub(super) digest: KeyDigest,
}

/// What a step came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Nothing that the trainer sees.
    None,
    /// A group was recorded.
    Recorded,
    /// Every group was delivered.
    Complete,
}

impl Running {
    pub(super) fn new(key: StepKey, record: Arc<StepRecord>, term: u64) -> Self {
        emit(
            Event::StepStarted,
            &[("trainer", &key.trainer), ("step", &key.step)],
        );
        Self {
            key,
            record,
            term,
            run: None,
            due: Some(Time(0)),
            tasks: BTreeMap::new(),
        }
    }

    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// Takes in the result of a call.
    pub(super) fn take(&mut self, now: Time, view: TrainerView, config: &Config, news: RunNews) {
        match (&mut self.run, news) {
            (None, RunNews::Listed(Ok(stored))) => {
                let fresh = self.record.fresh(view.version);
                let limits = limits(config, &self.record);
                let (key, record) = (self.key.clone(), self.record.clone());
                self.run = Some(StepRun::start(now, key, record, fresh, limits, stored));
                self.due = Some(now);
            }
            (None, _) => self.due = Some(now + RETRY),
            (Some(run), news) => {
                self.due = Some(now);
                match news {
                    RunNews::Listed(listed) => run.listed(now, listed),
                    RunNews::Generated(member, id, made) => {
                        self.tasks.remove(&id);
                        match made {
                            Ok(sample) => {
                                run.generated(now, member, id, sample);
                            }
                            Err(failure) => {
                                note_failure(&self.key, &failure.kind);
                                run.failed(now, member, id);
                            }
                        }
                    }
                    RunNews::Scored(member, id, score) => run.scored(now, member, id, score),
                    RunNews::Written(index, write, answer) => {
                        run.written(now, index, &write, &answer);
                    }
                    RunNews::Read(index, found) => run.read(now, index, found),
                }
            }
        }
    }

    /// Takes every step that is due.
    pub(super) fn pump(&mut self, now: Time, view: TrainerView, ports: &Ports) -> Progress {
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
                step => self.carry_out(now, step, &mut run, view, ports),
            }
        }
        let recorded = self.count(&mut run, &ports.metrics);
        self.run = Some(run);
        match progress {
            Progress::None if recorded => Progress::Recorded,
            other => other,
        }
    }

    fn carry_out(
        &mut self,
        now: Time,
        step: RunStep,
        run: &mut StepRun,
        view: TrainerView,
        ports: &Ports,
    ) {
        match step {
            RunStep::Generate(member, id, floor) => {
                let task = self.generate(member, id, floor, view, ports);
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
                    let job = move || RunNews::Scored(member, id, score(&*scores, &prompt, &text));
                    if !self.call(&ports.scoring, job) {
                        run.scored(now, member, id, None);
                    }
                }
            },
            RunStep::Record(index, write) => {
                let (objects, refused) = (ports.objects.clone(), write.clone());
                let job = move || {
                    let answer = store::write(&*objects, &write);
                    RunNews::Written(index, write, answer)
                };
                if !self.call(&ports.platform, job) {
                    run.written(now, index, &refused, &Err(busy()));
                }
            }
            RunStep::ReadBack(index, path) => {
                let objects = ports.objects.clone();
                let job = move || RunNews::Read(index, store::group(&*objects, &path));
                if !self.call(&ports.platform, job) {
                    run.read(now, index, Err(busy()));
                }
            }
            RunStep::List => {
                if !self.list(ports) {
                    run.listed(now, Err(busy()));
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
        floor: WeightVersion,
        view: TrainerView,
        ports: &Ports,
    ) -> Box<dyn CallGuard> {
        let spec = &self.record.groups[member.0 as usize];
        let call = SampleCall {
            record: self.record.clone(),
            key: view.digest,
            prompt: spec.prompt.clone(),
            tokens: spec.max_tokens,
            floor,
        };
        let (key, term) = (self.key.clone(), self.term);
        let (service, control) = (ports.service.clone(), ports.control.clone());
        let work = async move {
            let made = generate(service, call, member.1).await;
            let news = RunNews::Generated(member, run, made);
            let message = StepMessage::Run { key, term, news };
            // A control thread that has stopped needs no samples.
            let _ = control.send_async(message).await;
        };
        Box::new(ports.spawner.spawn(work))
    }

    fn list(&mut self, ports: &Ports) -> bool {
        let (objects, key) = (ports.objects.clone(), self.key.clone());
        let called = self.call(&ports.platform, move || {
            RunNews::Listed(store::groups(&*objects, &key))
        });
        if !called && self.run.is_none() {
            self.due = Some(Time(0));
        }
        called
    }

    /// Queues a blocking call. Returns false if the queue is full.
    fn call(
        &self,
        platform: &Platform<StepMessage>,
        job: impl FnOnce() -> RunNews + Send + 'static,
    ) -> bool {
        let (key, term) = (self.key.clone(), self.term);
        let call = move || {
            let news = job();
            Some(StepMessage::Run { key, term, news })
        };
        platform.call(call).is_ok()
    }

    /// Counts what happened. Returns true if a group was recorded.
    fn count(&self, run: &mut StepRun, metrics: &Metrics) -> bool {
        let mut recorded = false;
        for fact in run.take_facts() {
            match fact {
                Fact::Recorded => {
                    recorded = true;
                    metrics.record_group();
                }
                Fact::Dropped(reason, count) => {
                    metrics.drop_samples(reason, count);
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

/// Returns the bounds of a step from the configuration in force.
fn limits(config: &Config, record: &StepRecord) -> RunLimits {
    let workspace = config.workspace(&record.workspace);
    let slots = workspace.map_or(1, |spec| spec.concurrency.clamp(1, SLOTS_MOST));
    let deadline = config.route(&record.route).map_or(1, |spec| spec.deadline);
    RunLimits {
        slots: slots as usize,
        time: Duration::from_secs(deadline.into()),
    }
}

/// Scores a sample. Returns none if the service fails.
fn score(scores: &dyn ScorePort, prompt: &str, answer: &str) -> Option<f64> {
    let scored = scores.score(prompt, answer, SCORE_LIMIT);
    if let Err(error) = &scored {
        emit(Event::ScoreFailed, &[("error", error)]);
    }
    scored.ok()
}

fn note_failure(key: &StepKey, error: &dyn std::fmt::Display) {
    emit(
        Event::SampleFailed,
        &[
            ("trainer", &key.trainer),
            ("step", &key.step),
            ("error", &error),
        ],
    );
}

fn busy() -> ObjectError {
    ObjectError::Unavailable("the queue of calls is full".to_owned())
}
