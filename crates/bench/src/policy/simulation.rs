//! Discrete-event simulation of clients, targets and faults around a policy.

use std::collections::BTreeSet;
use std::time::Duration;

use sardinepath_core::decision::traffic::Outcome;
use sardinepath_core::domain::declare::TargetKind;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::time::Time;

use crate::policy::Settings;
use crate::policy::demand::offered_load;
use crate::policy::deployment::ClientKind;
use crate::policy::event::Event;
use crate::policy::event::EventQueue;
use crate::policy::fault::FAULT_END;
use crate::policy::fault::FAULT_START;
use crate::policy::fault::FaultKind;
use crate::policy::job::Job;
use crate::policy::job::JobId;
use crate::policy::measure::Recorder;
use crate::policy::measure::Summary;
use crate::policy::port::Decision;
use crate::policy::port::Policy;
use crate::policy::source::GeneratedRequest;
use crate::policy::source::Source;
use crate::policy::target::Health;
use crate::policy::target::Target;
use crate::policy::target::priority_rank;
use crate::policy::trainer::Trainer;
use crate::policy::trainer::TrainerAction;

/// Interval at which each target reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the timers of the entries. It equals the interval in the control thread of an entry.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which loads are sampled for reports, shares and the load spread.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which new weights are published.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(180);

/// Time that one wave of engines needs to load new weights.
const WEIGHT_LOAD_TIME: Duration = Duration::from_secs(5);

/// Network latency to a target in the same data centre and in another one.
const LOCAL_LATENCY: Duration = Duration::from_millis(1);
const REMOTE_LATENCY: Duration = Duration::from_millis(2);

/// Time after which a failing target returns an error.
pub(super) const FAILURE_DELAY: Duration = Duration::from_millis(20);

/// Timeout for connecting to an unreachable target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// State of a run.
pub struct Simulation<'a, P> {
    pub(super) settings: &'a Settings,
    policy: P,
    pub(super) queue: EventQueue,
    pub(super) now: Time,
    end: Time,
    pub(super) jobs: Vec<Job>,
    pub(super) targets: Vec<Target>,
    pub(super) sources: Vec<Source>,
    trainers: Vec<Trainer>,
    pub(super) recorder: Recorder,
    /// Latest published weight version.
    version: u64,
    /// Number of reports so far. Every other one has a gap during the `Gaps` fault.
    reports: u64,
    /// Whether the fault of the run is active.
    pub(super) fault_active: bool,
    arrivals: usize,
    /// Submitted jobs of each client that are not running.
    pub(super) waiting: Vec<BTreeSet<JobId>>,
}

impl<'a, P: Policy> Simulation<'a, P> {
    /// Returns a simulation at time zero.
    pub fn new(settings: &'a Settings, policy: P) -> Self {
        let end = Time(settings.minutes * 60_000);
        let deployment = &settings.deployment;
        let kinds = [TargetKind::Model, TargetKind::Plain];
        let target = |kind| {
            let targets = deployment.targets(kind).into_iter();
            targets.map(move |(name, centre)| Target::new(name, centre, kind))
        };
        let clients = deployment.clients.iter().enumerate();
        let sources = clients.map(|(number, client)| {
            let offered = offered_load(settings, number);
            Source::new(*client, number, offered, settings.seed)
        });
        let sources = sources.collect();
        let trainers = deployment.clients.iter().map(|_| Trainer::default());
        Self {
            policy,
            queue: EventQueue::default(),
            now: Time(0),
            end,
            jobs: vec![],
            targets: kinds.into_iter().flat_map(target).collect(),
            sources,
            trainers: trainers.collect(),
            recorder: Recorder::new(deployment, end),
            version: 1,
            reports: 0,
            fault_active: false,
            arrivals: 0,
            waiting: vec![BTreeSet::new(); deployment.clients.len()],
            settings,
        }
    }

    /// Runs to the end of the simulated time and returns the results.
    pub fn run(mut self) -> Summary {
        self.schedule_first_events();
        while let Some((now, event)) = self.queue.pop() {
            if now >= self.end {
                break;
            }
            self.now = now;
            self.handle(event);
            while let Some(decision) = self.policy.next_decision() {
                self.apply(decision);
            }
        }
        for (client, trainer) in self.trainers.iter().enumerate() {
            if self.settings.deployment.clients[client].kind == ClientKind::Steps {
                let (idle, all) = trainer.idle_and_total(self.end);
                self.recorder.trainer(idle, all);
            }
        }
        self.recorder.summary(self.end)
    }

    /// Schedules the first events. All targets report before the first request arrives.
    fn schedule_first_events(&mut self) {
        for target in 0..self.targets.len() {
            self.report(target);
            let phase = Duration::from_millis(37 * target as u64 % 1000);
            self.queue.push(self.now + phase, Event::Report(target));
        }
        self.queue.push(Time(0) + TICK_INTERVAL, Event::Tick);
        self.queue.push(Time(0) + SAMPLE_INTERVAL, Event::Sample);
        self.queue.push(Time(0) + PUBLISH_INTERVAL, Event::Publish);
        if self.settings.fault != FaultKind::None {
            self.queue.push(FAULT_START, Event::FaultStart);
            self.queue.push(FAULT_END, Event::FaultEnd);
        }
        for client in 0..self.sources.len() {
            if self.settings.deployment.clients[client].kind == ClientKind::Steps {
                self.post_step(client);
            } else {
                let gap = self.sources[client].next_gap(self.now);
                self.queue.push(self.now + gap, Event::Arrive(client));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(client) => self.arrive(client),
            Event::Trained(client) => self.advance_trainer(client),
            Event::Resubmit(job) => self.resubmit(job),
            Event::Reach(job, attempt, target) => self.reach(job, attempt, target),
            Event::Done(job, attempt, target) => self.done(job, attempt, target),
            Event::Fail(job, attempt, kind) => self.fail(job, attempt, kind),
            Event::Report(target) => {
                self.report(target);
                self.queue
                    .push(self.now + REPORT_INTERVAL, Event::Report(target));
            }
            Event::Tick => {
                self.policy.tick(self.now);
                self.queue.push(self.now + TICK_INTERVAL, Event::Tick);
            }
            Event::Sample => self.sample(),
            Event::Publish => self.publish(),
            Event::WeightsLoaded(target, version) => {
                self.targets[target].version = version;
            }
            Event::FaultStart => self.inject_fault(),
            Event::FaultEnd => self.clear_fault(),
        }
    }

    /// Carries out a decision of the policy.
    fn apply(&mut self, decision: Decision) {
        match decision {
            Decision::Start(id, name, delay) => {
                let job = &mut self.jobs[id];
                job.attempt += 1;
                self.recorder.attempt(job.attempt == 1);
                let (attempt, entry) = (job.attempt, job.entry);
                if let Some((index, latency)) = self.find_target(entry, &name) {
                    let event = Event::Reach(id, attempt, index);
                    self.queue.push(self.now + delay + latency, event);
                }
            }
            Decision::Refuse(id, failure) => self.end_refused(id, failure),
        }
    }

    /// Returns the index of a target and the latency from an entry to it.
    fn find_target(&self, entry: usize, name: &TargetName) -> Option<(usize, Duration)> {
        let index = self.targets.iter().position(|t| t.name == *name)?;
        let is_local = self.targets[index].centre == self.settings.deployment.centre(entry);
        Some((
            index,
            if is_local {
                LOCAL_LATENCY
            } else {
                REMOTE_LATENCY
            },
        ))
    }

    fn arrive(&mut self, client: usize) {
        let generated = self.sources[client].next_call(self.now);
        self.arrivals += 1;
        let entry = self.arrivals % self.settings.deployment.centres;
        self.submit(client, entry, generated);
        let gap = self.sources[client].next_gap(self.now);
        self.queue.push(self.now + gap, Event::Arrive(client));
    }

    fn submit(&mut self, client: usize, entry: usize, generated: GeneratedRequest) -> JobId {
        self.recorder.offer(self.now, client, generated.tokens);
        let id = self.jobs.len();
        self.jobs.push(Job {
            client,
            entry,
            request: generated.request.clone(),
            tokens: generated.tokens,
            arrival: self.now,
            attempt: 0,
            version: WeightVersion(0),
            started: self.now,
        });
        self.waiting[client].insert(id);
        self.policy.submit(self.now, entry, id, generated.request);
        id
    }

    /// Submits all samples of the next step of a trainer at the entry that runs the step.
    fn post_step(&mut self, client: usize) {
        let samples = self.sources[client].next_step(self.now);
        let entry = client % self.settings.deployment.centres;
        self.trainers[client].incomplete = samples.len();
        let ids = samples
            .into_iter()
            .map(|generated| self.submit(client, entry, generated));
        self.trainers[client].samples = ids.collect();
    }

    fn resubmit(&mut self, id: JobId) {
        let job = &mut self.jobs[id];
        job.request.deadline = Source::sample_deadline(self.now);
        job.attempt = 0;
        let (entry, request) = (job.entry, job.request.clone());
        self.policy.submit(self.now, entry, id, request);
    }

    fn reach(&mut self, id: JobId, attempt: u32, index: usize) {
        let rank = if P::USES_PRIORITIES {
            priority_rank(self.jobs[id].request.priority)
        } else {
            0
        };
        match self.targets[index].accept(rank, id, attempt) {
            Ok(()) => self.start_attempts(index),
            Err(kind) => {
                let wait = match kind {
                    ErrorKind::Unreachable => CONNECT_TIMEOUT,
                    _ => FAILURE_DELAY,
                };
                let event = Event::Fail(id, attempt, kind);
                self.queue.push(self.now + wait, event);
            }
        }
    }

    /// Starts waiting attempts while the target has free slots.
    fn start_attempts(&mut self, index: usize) {
        while let Some(started) = self.targets[index].start(&self.jobs) {
            let version = WeightVersion(self.targets[index].version);
            let job = &mut self.jobs[started.job];
            self.waiting[job.client].remove(&started.job);
            job.started = self.now;
            job.version = version;
            let blocks = job.request.prefixes.len();
            let since = (self.now + started.first_token).since(job.arrival);
            self.recorder.first_token(since, started.hits, blocks);
            let end = (self.now + started.total).min(job.request.deadline);
            let event = Event::Done(started.job, started.attempt, index);
            self.queue.push(end.max(self.now), event);
        }
    }

    fn done(&mut self, id: JobId, attempt: u32, index: usize) {
        if !self.targets[index].finish(id, attempt) {
            return;
        }
        self.start_attempts(index);
        let job = &self.jobs[id];
        if self.now >= job.request.deadline {
            let failure = Failure::from(ErrorKind::DeadlinePassed);
            self.record_waste(id, attempt);
            self.policy.finish(self.now, id, &Outcome::Failed(failure));
            self.end_refused(id, failure);
            return;
        }
        let (client, tokens) = (job.client, job.tokens);
        self.recorder.serve(self.now, client, tokens);
        self.policy.finish(self.now, id, &Outcome::Complete(tokens));
        if self.settings.deployment.clients[client].kind == ClientKind::Steps
            && self.trainers[client].complete_sample()
        {
            let (jobs, version) = (&self.jobs, self.version);
            let ages = self.trainers[client].samples.iter();
            self.recorder
                .step(ages.map(|id| version - jobs[*id].version.0));
            self.advance_trainer(client);
        }
    }

    fn fail(&mut self, id: JobId, attempt: u32, kind: ErrorKind) {
        if self.jobs[id].attempt == attempt {
            self.policy.retry(self.now, id, Failure::from(kind));
        }
    }

    /// Ends a request without an answer. Trainers resubmit it later, other clients give up.
    fn end_refused(&mut self, id: JobId, failure: Failure) {
        let client = self.jobs[id].client;
        self.recorder.fail(client);
        // Invalidates pending events of earlier attempts.
        self.jobs[id].attempt += 1;
        self.waiting[client].remove(&id);
        if self.settings.deployment.clients[client].kind == ClientKind::Steps {
            let wait = u64::from(failure.retry_after.unwrap_or(1).max(1));
            self.waiting[client].insert(id);
            let time = self.now + Duration::from_secs(wait);
            self.queue.push(time, Event::Resubmit(id));
        }
    }

    fn advance_trainer(&mut self, client: usize) {
        if let TrainerAction::Train(end) = self.trainers[client].advance(self.now) {
            self.queue.push(end, Event::Trained(client));
            self.post_step(client);
        }
    }

    fn report(&mut self, index: usize) {
        self.reports += 1;
        if self.targets[index].health == Health::Down {
            return;
        }
        let gaps_active = self.fault_active && self.settings.fault == FaultKind::Gaps;
        let gap = gaps_active && self.reports.is_multiple_of(2);
        let report = self.targets[index].report(gap);
        self.policy.report(self.now, &report);
    }

    fn sample(&mut self) {
        for target in &mut self.targets {
            target.record_load(self.now);
        }
        let live = self
            .targets
            .iter()
            .filter(|target| target.kind == TargetKind::Model && target.health == Health::Up);
        let loads: Vec<_> = live.map(|target| target.load().0).collect();
        self.recorder.loads(&loads);
        for kind in [TargetKind::Model, TargetKind::Plain] {
            let claims = self.claims(kind);
            self.recorder.claims(&claims, SAMPLE_INTERVAL);
        }
        self.queue.push(self.now + SAMPLE_INTERVAL, Event::Sample);
    }

    /// Publishes a weight version and schedules its loading in waves of a quarter of the engines.
    fn publish(&mut self) {
        self.version += 1;
        let engines = self.settings.deployment.engines;
        let wave_size = engines.div_ceil(4);
        for engine in 0..engines {
            let wave = u32::try_from(engine / wave_size + 1).unwrap_or(u32::MAX);
            let event = Event::WeightsLoaded(engine, self.version);
            self.queue.push(self.now + WEIGHT_LOAD_TIME * wave, event);
        }
        self.queue.push(self.now + PUBLISH_INTERVAL, Event::Publish);
    }
}
