//! Service-time models of targets, with batching, a prefix cache and delayed reports.

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

/// Number of requests that an engine runs concurrently.
const ENGINE_SLOTS: u32 = 16;

/// Number of requests that a plain service runs concurrently.
const PLAIN_SLOTS: u32 = 8;

/// Time per token of a request that runs alone.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// Relative increase of the time per token when all slots are in use.
const BATCH_OVERHEAD: f64 = 0.5;

/// Prefill time of a prompt block that is not in the cache.
const BLOCK_PREFILL_TIME: Duration = Duration::from_millis(4);

/// Time of a call to a plain service.
pub const PLAIN_CALL_TIME: Duration = Duration::from_millis(400);

/// Maximum number of prompt blocks in the cache of an engine.
const CACHE_CAPACITY: usize = 2048;

/// Usual age of the load in a report.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// Health of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Runs requests normally.
    Up,
    /// Is unreachable and sends no reports.
    Down,
    /// Fails every request but reports that it serves.
    Failing,
}

/// An attempt that a target has started to run.
#[derive(Clone, Copy, Debug)]
pub struct StartedAttempt {
    /// Job of the attempt.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Time from the start to the first token.
    pub first_token: Duration,
    /// Time from the start to the last token.
    pub total: Duration,
    /// Number of prompt blocks that were found in the cache.
    pub hits: usize,
}

/// A simulated engine or plain service.
#[derive(Debug)]
pub struct Target {
    /// Name of the target.
    pub name: TargetName,
    /// Data centre of the target.
    pub centre: CentreName,
    /// Whether the target is an engine or a plain service.
    pub kind: TargetKind,
    /// Current health.
    pub health: Health,
    /// Version of the loaded weights.
    pub version: u64,
    /// Additional age of the load in reports.
    pub report_delay: Duration,
    /// Running attempts.
    pub running: BTreeSet<(JobId, u32)>,
    /// Waiting attempts in the order in which they start: by rank, then by arrival.
    waiting: BTreeMap<(u8, u64), (JobId, u32)>,
    arrivals: u64,
    incarnation: u64,
    /// Cached prefixes with the value of the use counter at their last use.
    cache: HashMap<u64, u64>,
    /// Inverse of `cache`, from which the least recently used prefix is evicted.
    last_uses: BTreeMap<u64, u64>,
    use_counter: u64,
    cached: Vec<u64>,
    evicted: Vec<u64>,
    /// Recent samples of the running and waiting attempts.
    load_history: VecDeque<(Time, u32, u32)>,
}

impl Target {
    /// Returns an idle target with an empty cache.
    pub fn new(name: TargetName, centre: CentreName, kind: TargetKind) -> Self {
        Self {
            name,
            centre,
            kind,
            health: Health::Up,
            version: 1,
            report_delay: Duration::ZERO,
            running: BTreeSet::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            incarnation: 1,
            cache: HashMap::new(),
            last_uses: BTreeMap::new(),
            use_counter: 0,
            cached: vec![],
            evicted: vec![],
            load_history: VecDeque::new(),
        }
    }

    /// Queues an attempt. Fails if the target is not up.
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

    /// Starts the next waiting attempt if a slot is free.
    pub fn start(&mut self, jobs: &[Job]) -> Option<StartedAttempt> {
        if self.running.len() >= capacity(self.kind) as usize {
            return None;
        }
        let (_, (id, attempt)) = self.waiting.pop_first()?;
        self.running.insert((id, attempt));
        let job = &jobs[id];
        if self.kind == TargetKind::Plain {
            return Some(StartedAttempt {
                job: id,
                attempt,
                first_token: PLAIN_CALL_TIME,
                total: PLAIN_CALL_TIME,
                hits: 0,
            });
        }
        let prefixes = &job.request.prefixes;
        let known = prefixes.iter().take_while(|p| self.cache.contains_key(p));
        let hits = known.count();
        self.touch(prefixes);
        let missing = u32::try_from(prefixes.len() - hits).unwrap_or(u32::MAX);
        let first_token = BLOCK_PREFILL_TIME * missing;
        let tokens = u32::try_from(job.tokens).unwrap_or(u32::MAX);
        let total = first_token + token_time(self.running.len()) * tokens;
        Some(StartedAttempt {
            job: id,
            attempt,
            first_token: first_token + token_time(self.running.len()),
            total,
            hits,
        })
    }

    /// Frees the slot of an attempt. Returns `false` if the attempt is no longer running.
    pub fn finish(&mut self, job: JobId, attempt: u32) -> bool {
        self.running.remove(&(job, attempt))
    }

    /// Clears the cache and drops all attempts. Returns the dropped attempts.
    pub fn crash(&mut self) -> Vec<(JobId, u32)> {
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let lost = std::mem::take(&mut self.running).into_iter().chain(waiting);
        self.cache.clear();
        self.last_uses.clear();
        self.cached.clear();
        self.evicted.clear();
        self.load_history.clear();
        self.incarnation += 1;
        lost.collect()
    }

    /// Returns the numbers of running and waiting attempts.
    pub fn load(&self) -> (u32, u32) {
        let count = |n| u32::try_from(n).unwrap_or(u32::MAX);
        (count(self.running.len()), count(self.waiting.len()))
    }

    /// Records the current load for later reports.
    pub fn record_load(&mut self, now: Time) {
        let (running, queued) = self.load();
        self.load_history.push_back((now, running, queued));
        let lag = REPORT_LAG + self.report_delay;
        while self.load_history.len() > 1 && self.load_history[1].0 + lag <= now {
            self.load_history.pop_front();
        }
    }

    /// Returns the next report. `gap` signals that cache events were lost.
    pub fn report(&mut self, gap: bool) -> Report {
        let (_, running, queued) = self.load_history.front().copied().unwrap_or_default();
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

    /// Marks prefixes as used and evicts the least recently used ones.
    fn touch(&mut self, prefixes: &[u64]) {
        for prefix in prefixes {
            self.use_counter += 1;
            match self.cache.insert(*prefix, self.use_counter) {
                Some(last) => drop(self.last_uses.remove(&last)),
                None => self.cached.push(*prefix),
            }
            self.last_uses.insert(self.use_counter, *prefix);
        }
        while self.cache.len() > CACHE_CAPACITY {
            let Some((_, oldest)) = self.last_uses.pop_first() else {
                return;
            };
            self.cache.remove(&oldest);
            self.evicted.push(oldest);
        }
    }
}

/// Returns the number of requests that a target runs concurrently.
pub fn capacity(kind: TargetKind) -> u32 {
    match kind {
        TargetKind::Model => ENGINE_SLOTS,
        TargetKind::Plain => PLAIN_SLOTS,
    }
}

/// Returns the tokens per second of an engine with all slots in use.
pub fn engine_peak_rate() -> f64 {
    let slots = ENGINE_SLOTS as usize;
    f64::from(ENGINE_SLOTS) / token_time(slots).as_secs_f64()
}

/// Returns the calls per second of a plain service with all slots in use.
pub fn plain_peak_rate() -> f64 {
    f64::from(PLAIN_SLOTS) / PLAIN_CALL_TIME.as_secs_f64()
}

/// Returns the rank of a priority class in the queue of a target. Lower ranks start first.
pub fn priority_rank(priority: Priority) -> u8 {
    match priority {
        Priority::Training => 0,
        Priority::Interactive => 1,
        Priority::Batch => 2,
    }
}

/// Returns the time per token of an attempt, which depends on the number of running attempts when
/// it starts.
fn token_time(running: usize) -> Duration {
    let running = u32::try_from(running).unwrap_or(u32::MAX);
    let share = f64::from(running) / f64::from(ENGINE_SLOTS);
    TOKEN_TIME.mul_f64(1.0 + BATCH_OVERHEAD * share)
}
