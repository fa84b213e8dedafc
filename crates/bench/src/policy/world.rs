//! The virtual world: clients, targets, faults and time around a policy.

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
use crate::policy::demand::offered;
use crate::policy::deployment::Demand;
use crate::policy::event::Agenda;
use crate::policy::event::Event;
use crate::policy::fault::BREAK;
use crate::policy::fault::FaultKind;
use crate::policy::fault::MEND;
use crate::policy::job::Job;
use crate::policy::job::JobId;
use crate::policy::measure::Recorder;
use crate::policy::measure::Summary;
use crate::policy::port::Policy;
use crate::policy::port::Step;
use crate::policy::source::Draft;
use crate::policy::source::Source;
use crate::policy::target::Health;
use crate::policy::target::Target;
use crate::policy::target::rank;
use crate::policy::trainer::Next;
use crate::policy::trainer::Trainer;

/// Interval of reports.
const REPORT: Duration = Duration::from_secs(1);

/// Interval of the entries' timers, as in the entry's control thread.
const TICK: Duration = Duration::from_millis(100);

/// Interval at which loads are sampled for reports and for the spread.
const SAMPLE: Duration = Duration::from_millis(100);

/// Interval of new weights.
const PUBLISH: Duration = Duration::from_secs(180);

/// Time in which one target loads weights.
const SWAP: Duration = Duration::from_secs(5);

/// Time to a target in the same data centre and in another one.
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(2);

/// Time after which a failing target fails a request.
pub(super) const FAILURE: Duration = Duration::from_millis(20);

/// Time after which a target that cannot be reached is given up.
const CONNECT: Duration = Duration::from_millis(500);

/// All state of one run.
pub struct World<'a, P> {
    pub(super) settings: &'a Settings,
    policy: P,
    pub(super) agenda: Agenda,
    pub(super) now: Time,
    end: Time,
    pub(super) jobs: Vec<Job>,
    pub(super) targets: Vec<Target>,
    pub(super) sources: Vec<Source>,
    trainers: Vec<Trainer>,
    pub(super) recorder: Recorder,
    /// Latest published weight version.
    version: u64,
    /// Counts the reports, for gaps in every second one.
    reports: u64,
    /// True while the fault schedule is in force.
    pub(super) broken: bool,
    arrivals: usize,
    /// Jobs of each client that are asked for and do not run.
    pub(super) waiting: Vec<BTreeSet<JobId>>,
}

impl<'a, P: Policy> World<'a, P> {
    /// Creates a world in which nothing has happened yet.
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
            let offered = offered(settings, number);
            Source::new(*client, number, offered, settings.seed)
        });
        let sources = sources.collect();
        let trainers = deployment.clients.iter().map(|_| Trainer::default());
        Self {
            policy,
            agenda: Agenda::default(),
            now: Time(0),
            end,
            jobs: vec![],
            targets: kinds.into_iter().flat_map(target).collect(),
            sources,
            trainers: trainers.collect(),
            recorder: Recorder::new(deployment, end),
            version: 1,
            reports: 0,
            broken: false,
            arrivals: 0,
            waiting: vec![BTreeSet::new(); deployment.clients.len()],
            settings,
        }
    }

    /// Runs to the end of the virtual time.
    pub fn run(mut self) -> Summary {
        self.begin();
        while let Some((now, event)) = self.agenda.take() {
            if now >= self.end {
                break;
            }
            self.now = now;
            self.handle(event);
            while let Some(step) = self.policy.next_step() {
                self.carry_out(step);
            }
        }
        for (client, trainer) in self.trainers.iter().enumerate() {
            if self.settings.deployment.clients[client].demand == Demand::Steps {
                let (idle, all) = trainer.times(self.end);
                self.recorder.trainer(idle, all);
            }
        }
        self.recorder.summary(self.end)
    }

    /// Plans the first events. Targets report before the first request arrives.
    fn begin(&mut self) {
        for target in 0..self.targets.len() {
            self.report(target);
            let phase = Duration::from_millis(37 * target as u64 % 1000);
            self.agenda.add(self.now + phase, Event::Report(target));
        }
        self.agenda.add(Time(0) + TICK, Event::Tick);
        self.agenda.add(Time(0) + SAMPLE, Event::Sample);
        self.agenda.add(Time(0) + PUBLISH, Event::Publish);
        if self.settings.fault != FaultKind::None {
            self.agenda.add(BREAK, Event::Break);
            self.agenda.add(MEND, Event::Mend);
        }
        for client in 0..self.sources.len() {
            if self.settings.deployment.clients[client].demand == Demand::Steps {
                self.post(client);
            } else {
                let gap = self.sources[client].gap(self.now);
                self.agenda.add(self.now + gap, Event::Arrive(client));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(client) => self.arrive(client),
            Event::Trained(client) => self.advance(client),
            Event::Again(job) => self.again(job),
            Event::Reach(job, attempt, target) => self.reach(job, attempt, target),
            Event::Done(job, attempt, target) => self.done(job, attempt, target),
            Event::Fail(job, attempt, kind) => self.fail(job, attempt, kind),
            Event::Report(target) => {
                self.report(target);
                self.agenda.add(self.now + REPORT, Event::Report(target));
            }
            Event::Tick => {
                self.policy.tick(self.now);
                self.agenda.add(self.now + TICK, Event::Tick);
            }
            Event::Sample => self.sample(),
            Event::Publish => self.publish(),
            Event::Swapped(target, version) => {
                self.targets[target].version = version;
            }
            Event::Break => self.disturb(),
            Event::Mend => self.mend(),
        }
    }

    /// Carries out what the policy decided.
    fn carry_out(&mut self, step: Step) {
        match step {
            Step::Start(id, name, delay) => {
                let job = &mut self.jobs[id];
                job.attempt += 1;
                self.recorder.attempt(job.attempt == 1);
                let (attempt, entry) = (job.attempt, job.entry);
                if let Some((at, way)) = self.way(entry, &name) {
                    let event = Event::Reach(id, attempt, at);
                    self.agenda.add(self.now + delay + way, event);
                }
            }
            Step::Refuse(id, failure) => self.refused(id, failure),
        }
    }

    /// Finds a target and the time to it.
    fn way(&self, entry: usize, name: &TargetName) -> Option<(usize, Duration)> {
        let at = self.targets.iter().position(|t| t.name == *name)?;
        let near = self.targets[at].centre == self.settings.deployment.centre(entry);
        Some((at, if near { NEAR } else { FAR }))
    }

    fn arrive(&mut self, client: usize) {
        let draft = self.sources[client].call(self.now);
        self.arrivals += 1;
        let entry = self.arrivals % self.settings.deployment.centres;
        self.submit(client, entry, draft);
        let gap = self.sources[client].gap(self.now);
        self.agenda.add(self.now + gap, Event::Arrive(client));
    }

    fn submit(&mut self, client: usize, entry: usize, draft: Draft) -> JobId {
        self.recorder.offer(self.now, client, draft.tokens);
        let id = self.jobs.len();
        self.jobs.push(Job {
            client,
            entry,
            ask: draft.ask.clone(),
            tokens: draft.tokens,
            born: self.now,
            attempt: 0,
            version: WeightVersion(0),
            start: self.now,
        });
        self.waiting[client].insert(id);
        self.policy.ask(self.now, entry, id, draft.ask);
        id
    }

    /// Posts the next step of a trainer at its entry, which runs the step.
    fn post(&mut self, client: usize) {
        let drafts = self.sources[client].step(self.now);
        let entry = client % self.settings.deployment.centres;
        self.trainers[client].open = drafts.len();
        let ids = drafts
            .into_iter()
            .map(|draft| self.submit(client, entry, draft));
        self.trainers[client].samples = ids.collect();
    }

    fn again(&mut self, id: JobId) {
        let job = &mut self.jobs[id];
        job.ask.deadline = Source::sample_deadline(self.now);
        job.attempt = 0;
        let (entry, ask) = (job.entry, job.ask.clone());
        self.policy.ask(self.now, entry, id, ask);
    }

    fn reach(&mut self, id: JobId, attempt: u32, at: usize) {
        let rank = if P::CLASSES {
            rank(self.jobs[id].ask.priority)
        } else {
            0
        };
        match self.targets[at].accept(rank, id, attempt) {
            Ok(()) => self.fill(at),
            Err(kind) => {
                let wait = match kind {
                    ErrorKind::Unreachable => CONNECT,
                    _ => FAILURE,
                };
                let event = Event::Fail(id, attempt, kind);
                self.agenda.add(self.now + wait, event);
            }
        }
    }

    /// Starts attempts on the free slots of a target.
    fn fill(&mut self, at: usize) {
        while let Some(started) = self.targets[at].start(&self.jobs) {
            let version = WeightVersion(self.targets[at].version);
            let job = &mut self.jobs[started.job];
            self.waiting[job.client].remove(&started.job);
            job.start = self.now;
            job.version = version;
            let blocks = job.ask.prefixes.len();
            let since = (self.now + started.first).since(job.born);
            self.recorder.first(since, started.hits, blocks);
            let due = (self.now + started.total).min(job.ask.deadline);
            let event = Event::Done(started.job, started.attempt, at);
            self.agenda.add(due.max(self.now), event);
        }
    }

    fn done(&mut self, id: JobId, attempt: u32, at: usize) {
        if !self.targets[at].finish(id, attempt) {
            return;
        }
        self.fill(at);
        let job = &self.jobs[id];
        if self.now >= job.ask.deadline {
            let failure = Failure::from(ErrorKind::DeadlinePassed);
            self.note_waste(id, attempt);
            self.policy.ended(self.now, id, &Outcome::Failed(failure));
            self.refused(id, failure);
            return;
        }
        let (client, tokens) = (job.client, job.tokens);
        self.recorder.serve(self.now, client, tokens);
        self.policy.ended(self.now, id, &Outcome::Complete(tokens));
        if self.settings.deployment.clients[client].demand == Demand::Steps
            && self.trainers[client].sample()
        {
            let (jobs, version) = (&self.jobs, self.version);
            let ages = self.trainers[client].samples.iter();
            self.recorder
                .step(ages.map(|id| version - jobs[*id].version.0));
            self.advance(client);
        }
    }

    fn fail(&mut self, id: JobId, attempt: u32, kind: ErrorKind) {
        if self.jobs[id].attempt == attempt {
            self.policy.retry(self.now, id, Failure::from(kind));
        }
    }

    /// Ends a request without an answer. Trainers ask again, other callers go away.
    fn refused(&mut self, id: JobId, failure: Failure) {
        let client = self.jobs[id].client;
        self.recorder.fail(client);
        // Events of attempts before the refusal are ignored.
        self.jobs[id].attempt += 1;
        self.waiting[client].remove(&id);
        if self.settings.deployment.clients[client].demand == Demand::Steps {
            let wait = u64::from(failure.retry_after.unwrap_or(1).max(1));
            self.waiting[client].insert(id);
            let time = self.now + Duration::from_secs(wait);
            self.agenda.add(time, Event::Again(id));
        }
    }

    fn advance(&mut self, client: usize) {
        if let Next::Train(end) = self.trainers[client].advance(self.now) {
            self.agenda.add(end, Event::Trained(client));
            self.post(client);
        }
    }

    fn report(&mut self, at: usize) {
        self.reports += 1;
        if self.targets[at].health == Health::Down {
            return;
        }
        let gaps = self.broken && self.settings.fault == FaultKind::Gaps;
        let gap = gaps && self.reports.is_multiple_of(2);
        let report = self.targets[at].report(gap);
        self.policy.report(self.now, &report);
    }

    fn sample(&mut self) {
        for target in &mut self.targets {
            target.note_load(self.now);
        }
        let live = self
            .targets
            .iter()
            .filter(|target| target.kind == TargetKind::Model && target.health == Health::Up);
        let loads: Vec<_> = live.map(|target| target.load().0).collect();
        self.recorder.loads(&loads);
        for kind in [TargetKind::Model, TargetKind::Plain] {
            let claims = self.claims(kind);
            self.recorder.claims(&claims, SAMPLE);
        }
        self.agenda.add(self.now + SAMPLE, Event::Sample);
    }

    /// Publishes weights and plans their loading in waves of a quarter of the pool.
    fn publish(&mut self) {
        self.version += 1;
        let engines = self.settings.deployment.engines;
        let wave = engines.div_ceil(4);
        for engine in 0..engines {
            let waves = u32::try_from(engine / wave + 1).unwrap_or(u32::MAX);
            let event = Event::Swapped(engine, self.version);
            self.agenda.add(self.now + SWAP * waves, event);
        }
        self.agenda.add(self.now + PUBLISH, Event::Publish);
    }
}
