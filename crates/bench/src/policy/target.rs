//! Service-time models of targets: batching, prefix cache, reports with a lag.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sardinepath_core::domain::declare::Priority;
use sardinepath_core::domain::declare::TargetKind;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::target::ServingState;
use sardinepath_core::domain::time::Time;

use crate::policy::job::Job;
use crate::policy::job::JobId;

/// Requests that an engine runs at once.
const ENGINE_SLOTS: u32 = 16;

/// Requests that a plain service runs at once.
const PLAIN_SLOTS: u32 = 8;

/// Time of one token of a request that runs alone.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// Growth of the time of a token when all slots are in use.
const BATCH_COST: f64 = 0.5;

/// Time of one prompt block that is not in the cache.
const PREFILL_TIME: Duration = Duration::from_millis(4);

/// Time of a call of a plain service.
pub const PLAIN_TIME: Duration = Duration::from_millis(400);

/// Prompt blocks that the cache of an engine holds.
const CACHE_BLOCKS: usize = 2048;

/// Age of the load in a report.
const LOAD_LAG: Duration = Duration::from_millis(500);

/// Whether a target works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Runs requests.
    Up,
    /// Cannot be reached and sends no reports.
    Down,
    /// Fails every request and reports itself as serving.
    Failing,
}

/// A started attempt.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: u32,
    /// Time to the first token.
    pub first: Duration,
    /// Time to the last token.
    pub total: Duration,
    /// Prompt blocks that were cached.
    pub hits: usize,
}

/// One target.
#[derive(Debug)]
pub struct Target {
    /// Name.
    pub name: TargetName,
    /// Data centre.
    pub centre: CentreName,
    /// Kind.
    pub kind: TargetKind,
    /// Whether it works.
    pub health: Health,
    /// Version of the loaded weights.
    pub version: u64,
    /// Additional age of the load in reports.
    pub delay: Duration,
    /// Attempts that run.
    pub running: BTreeSet<(JobId, u32)>,
    waiting: BTreeMap<(u8, u64), (JobId, u32)>,
    arrivals: u64,
    incarnation: u64,
    /// Cached prefixes with the time of their last use as a counter.
    cache: HashMap<u64, u64>,
    uses: BTreeMap<u64, u64>,
    clock: u64,
    cached: Vec<u64>,
    evicted: Vec<u64>,
    loads: VecDeque<(Time, u32, u32)>,
}

impl Target {
    /// Creates an idle target.
    pub fn new(name: TargetName, centre: CentreName, kind: TargetKind) -> Self {
        Self {
            name,
            centre,
            kind,
            health: Health::Up,
            version: 1,
            delay: Duration::ZERO,
            running: BTreeSet::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            incarnation: 1,
            cache: HashMap::new(),
            uses: BTreeMap::new(),
            clock: 0,
            cached: vec![],
            evicted: vec![],
            loads: VecDeque::new(),
        }
    }

    /// Queues an attempt, or returns why it fails.
    pub fn accept(&mut self, rank: u8, job: JobId, attempt: u32) -> Result<(), ErrorKind> {
        match self.health {
            Health::Down => Err(ErrorKind::Unreachable),
            Health::Failing => Err(ErrorKind::TargetFailed),
            Health::Up => {
                self.arrivals += 1;
                self.waiting.insert((rank, self.arrivals), (job, attempt));
                Ok(())
            }
        }
    }

    /// Starts the next waiting attempt if there is a slot.
    pub fn start(&mut self, jobs: &[Job]) -> Option<Started> {
        if self.running.len() >= capacity(self.kind) as usize {
            return None;
        }
        let (_, (id, attempt)) = self.waiting.pop_first()?;
        self.running.insert((id, attempt));
        let job = &jobs[id];
        if self.kind == TargetKind::Plain {
            return Some(Started {
                job: id,
                attempt,
                first: PLAIN_TIME,
                total: PLAIN_TIME,
                hits: 0,
            });
        }
        let prefixes = &job.ask.prefixes;
        let known = prefixes.iter().take_while(|p| self.cache.contains_key(p));
        let hits = known.count();
        self.touch(prefixes);
        let missing = u32::try_from(prefixes.len() - hits).unwrap_or(u32::MAX);
        let first = PREFILL_TIME * missing;
        let tokens = u32::try_from(job.tokens).unwrap_or(u32::MAX);
        let total = first + token_time(self.running.len()) * tokens;
        Some(Started {
            job: id,
            attempt,
            first: first + token_time(self.running.len()),
            total,
            hits,
        })
    }

    /// Frees the slot of an attempt. Returns false if the attempt does not run here any more.
    pub fn finish(&mut self, job: JobId, attempt: u32) -> bool {
        self.running.remove(&(job, attempt))
    }

    /// Drops everything that runs and waits, and the cache.
    pub fn crash(&mut self) -> Vec<(JobId, u32)> {
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let lost = std::mem::take(&mut self.running).into_iter().chain(waiting);
        self.cache.clear();
        self.uses.clear();
        self.cached.clear();
        self.evicted.clear();
        self.loads.clear();
        self.incarnation += 1;
        lost.collect()
    }

    /// Returns the requests that run and wait.
    pub fn load(&self) -> (u32, u32) {
        let count = |n| u32::try_from(n).unwrap_or(u32::MAX);
        (count(self.running.len()), count(self.waiting.len()))
    }

    /// Notes the load for later reports.
    pub fn note_load(&mut self, now: Time) {
        let (running, queued) = self.load();
        self.loads.push_back((now, running, queued));
        let lag = LOAD_LAG + self.delay;
        while self.loads.len() > 1 && self.loads[1].0 + lag <= now {
            self.loads.pop_front();
        }
    }

    /// Builds the next report.
    pub fn report(&mut self, gap: bool) -> Report {
        let (_, running, queued) = self.loads.front().copied().unwrap_or_default();
        Report {
            incarnation: Incarnation(self.incarnation),
            target: self.name.clone(),
            version: WeightVersion(self.version),
            running,
            queued,
            capacity: capacity(self.kind),
            state: ServingState::Serving,
            cached: std::mem::take(&mut self.cached),
            evicted: std::mem::take(&mut self.evicted),
            cache_gap: gap,
        }
    }

    /// Marks prefixes as used and evicts those that were not used for the longest time.
    fn touch(&mut self, prefixes: &[u64]) {
        for prefix in prefixes {
            self.clock += 1;
            match self.cache.insert(*prefix, self.clock) {
                Some(last) => drop(self.uses.remove(&last)),
                None => self.cached.push(*prefix),
            }
            self.uses.insert(self.clock, *prefix);
        }
        while self.cache.len() > CACHE_BLOCKS {
            let Some((_, oldest)) = self.uses.pop_first() else {
                return;
            };
            self.cache.remove(&oldest);
            self.evicted.push(oldest);
        }
    }
}

/// Returns the requests that a target runs at once.
pub fn capacity(kind: TargetKind) -> u32 {
    match kind {
        TargetKind::Model => ENGINE_SLOTS,
        TargetKind::Plain => PLAIN_SLOTS,
    }
}

/// Returns the tokens per second of an engine whose slots are all in use.
pub fn engine_peak() -> f64 {
    let slots = ENGINE_SLOTS as usize;
    f64::from(ENGINE_SLOTS) / token_time(slots).as_secs_f64()
}

/// Returns the calls per second of a plain service whose slots are all in use.
pub fn plain_peak() -> f64 {
    f64::from(PLAIN_SLOTS) / PLAIN_TIME.as_secs_f64()
}

/// Returns the rank of a class in the queue of a target.
pub fn rank(priority: Priority) -> u8 {
    match priority {
        Priority::Training => 0,
        Priority::Interactive => 1,
        Priority::Batch => 2,
    }
}

/// Returns the time of one token. It is fixed when an attempt starts.
fn token_time(running: usize) -> Duration {
    let running = u32::try_from(running).unwrap_or(u32::MAX);
    let share = f64::from(running) / f64::from(ENGINE_SLOTS);
    TOKEN_TIME.mul_f64(1.0 + BATCH_COST * share)
}
