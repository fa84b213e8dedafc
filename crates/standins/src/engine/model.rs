//! State machine of the engine with batching, weight swaps and faults. It does no I/O.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use flume::Sender;
use sardinepath_core::domain::declare::Priority;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::ModelName;

use crate::control::Machine;
use crate::engine::answer::Script;
use crate::engine::cache::CacheEvents;
use crate::engine::cache::PrefixCache;
use crate::engine::record::Ending;
use crate::engine::record::EngineLog;
use crate::engine::record::OrderRecord;
use crate::engine::settings::EngineFaults;
use crate::engine::settings::EngineSettings;

/// Part of a generated answer that is sent to the HTTP interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Chunk {
    Token {
        text: String,
        version: WeightVersion,
    },
    /// Normal end of the answer, with the number of its tokens.
    End { tokens: u64, version: WeightVersion },
    /// The connection closes here.
    Disconnect,
    /// The stream ends here without its closing event, but with a complete HTTP body.
    EarlyEnd,
}

/// Reason for which a request or an order was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// A fault refused the request before it started.
    NotRun,
    /// The order has an outdated fencing token.
    Fenced,
    /// Another weight load is running.
    Busy,
    /// The weight load failed. The previous weights stay loaded.
    LoadFailed,
}

/// Completion to execute.
#[derive(Debug)]
pub(super) struct Job {
    /// Value of `x-request-id`, or empty.
    pub(super) request: String,
    pub(super) prompt: String,
    pub(super) script: Script,
    pub(super) priority: Priority,
    pub(super) chunks: Sender<Chunk>,
}

/// Order to load a weight version.
#[derive(Debug)]
pub(super) struct LoadOrder {
    pub(super) model: ModelName,
    pub(super) version: WeightVersion,
    pub(super) fence: Fence,
    pub(super) reply: Sender<Result<WeightVersion, Refusal>>,
}

/// State that the status call returns.
#[derive(Debug)]
pub(super) struct Status {
    pub(super) model: ModelName,
    pub(super) version: WeightVersion,
    pub(super) role: String,
    pub(super) running: usize,
    pub(super) queued: usize,
    pub(super) capacity: usize,
    pub(super) cache: CacheEvents,
}

/// Running completion.
#[derive(Debug)]
struct Sequence {
    job: Job,
    /// Index of its execution in the log.
    entry: usize,
    /// Index of the next token.
    next: usize,
    /// Time at which the next token is generated.
    due: Instant,
    /// Index of the token at which a fault ends the answer, and the kind of this end.
    planned_cut: Option<(usize, Chunk)>,
}

/// State of the engine, which its control thread owns.
#[derive(Debug)]
pub(super) struct Model {
    settings: EngineSettings,
    pub(super) faults: EngineFaults,
    pub(super) log: EngineLog,
    pub(super) cache: PrefixCache,
    name: ModelName,
    version: WeightVersion,
    role: String,
    /// Highest fencing token of an order so far.
    fence: Fence,
    /// True from the start of a crash until all connections are closed.
    pub(super) frozen: bool,
    loading: Option<(Instant, LoadOrder)>,
    running: BTreeMap<u64, Sequence>,
    /// Waiting jobs by priority, then by order of arrival.
    waiting: BTreeMap<(u8, u64), Job>,
    arrivals: u64,
    /// Past loads as time, running and queued completions, from which the status shows the load of
    /// `load_lag` ago.
    load_history: VecDeque<(Instant, usize, usize)>,
}

impl Model {
    pub(super) fn new(settings: EngineSettings) -> Self {
        Self {
            cache: PrefixCache::new(settings.cache_blocks),
            name: settings.model.clone(),
            version: settings.version,
            role: "serving".to_owned(),
            fence: Fence::default(),
            faults: EngineFaults::default(),
            log: EngineLog::default(),
            frozen: false,
            loading: None,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            load_history: VecDeque::new(),
            settings,
        }
    }

    /// Queues a completion.
    pub(super) fn submit(&mut self, job: Job) -> Result<(), Refusal> {
        if self.faults.refuse > 0 {
            self.faults.refuse -= 1;
            return Err(Refusal::NotRun);
        }
        self.arrivals += 1;
        self.waiting
            .insert((priority_rank(job.priority), self.arrivals), job);
        Ok(())
    }

    /// Starts a weight load. The reply is sent when the load has ended or was refused.
    pub(super) fn load(&mut self, order: LoadOrder, now: Instant) {
        let accepted = self.check_fence(order.fence);
        self.log.orders.push(OrderRecord {
            order: format!("load {} {}", order.model, order.version),
            fence: order.fence,
            accepted: accepted.is_ok(),
        });
        let accepted = accepted.and(match self.loading {
            Some(_) => Err(Refusal::Busy),
            None => Ok(()),
        });
        match accepted {
            Ok(()) => self.loading = Some((now + self.settings.swap_time, order)),
            // The sender of the order may have disconnected.
            Err(refusal) => drop(order.reply.send(Err(refusal))),
        }
    }

    /// Changes the role that the status shows.
    pub(super) fn set_role(&mut self, role: String, fence: Fence) -> Result<(), Refusal> {
        let accepted = self.check_fence(fence);
        self.log.orders.push(OrderRecord {
            order: format!("role {role}"),
            fence,
            accepted: accepted.is_ok(),
        });
        accepted?;
        self.role = role;
        Ok(())
    }

    /// Returns the status with the load of `load_lag` ago and the cache events after the sequence
    /// number `after`.
    pub(super) fn status(&self, after: u64, now: Instant) -> Status {
        let is_due = |load: &&(Instant, usize, usize)| load.0 + self.settings.load_lag <= now;
        let (running, queued) = self
            .load_history
            .iter()
            .rev()
            .find(is_due)
            .map_or((0, 0), |load| (load.1, load.2));
        Status {
            model: self.name.clone(),
            version: self.version,
            role: self.role.clone(),
            running,
            queued,
            capacity: self.settings.capacity,
            cache: self.cache.events_after(after, self.settings.event_lag, now),
        }
    }

    /// Returns the current numbers of running and waiting completions, not delayed by
    /// `load_lag`.
    pub(super) fn load_now(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Resets the state to that of the start, except the log and the faults.
    pub(super) fn crash(&mut self) {
        let running = std::mem::take(&mut self.running);
        for sequence in running.into_values() {
            self.log.finish(sequence.entry, Ending::Crashed);
        }
        let log = std::mem::take(&mut self.log);
        let faults = self.faults;
        *self = Self::new(self.settings.clone());
        self.log = log;
        self.faults = faults;
    }

    /// Checks and records the fencing token of an order.
    fn check_fence(&mut self, fence: Fence) -> Result<(), Refusal> {
        if self.settings.checks_fence && fence < self.fence {
            return Err(Refusal::Fenced);
        }
        self.fence = self.fence.max(fence);
        Ok(())
    }

    fn finish_load(&mut self, now: Instant) {
        let Some((_, order)) = self.loading.take_if(|(due, _)| *due <= now) else {
            return;
        };
        let result = if self.faults.fail_swaps > 0 {
            self.faults.fail_swaps -= 1;
            Err(Refusal::LoadFailed)
        } else {
            self.name = order.model;
            self.version = order.version;
            Ok(order.version)
        };
        // The sender of the order may have disconnected.
        let _ = order.reply.send(result);
    }

    /// Drops waiting jobs whose connection has closed. They were not executed.
    fn drop_abandoned(&mut self) {
        self.waiting.retain(|_, job| !job.chunks.is_disconnected());
    }

    fn start_waiting_jobs(&mut self, now: Instant) {
        while self.running.len() < self.settings.capacity {
            let Some(((_, id), job)) = self.waiting.pop_first() else {
                return;
            };
            let missing = u32::try_from(self.cache.admit(&job.prompt, now)).unwrap_or(u32::MAX);
            let prefill = self.settings.prefill_time.saturating_mul(missing);
            let entry = self.log.start(&job.request, job.script.tag());
            let planned_cut = self
                .faults
                .take_cut()
                .map(|chunk| (job.script.tokens() / 2, chunk));
            let sequence = Sequence {
                due: now + self.faults.delay + prefill + self.settings.token_time,
                next: 0,
                entry,
                planned_cut,
                job,
            };
            self.running.insert(id, sequence);
        }
    }

    /// Generates all tokens that are due.
    fn generate(&mut self, now: Instant) {
        let (version, token_time) = (self.version, self.settings.token_time);
        let log = &mut self.log;
        self.running.retain(|_, sequence| {
            let mut open = true;
            while open && sequence.due <= now {
                sequence.due += token_time;
                open = generate_token(sequence, version, log);
            }
            if open && sequence.job.chunks.is_disconnected() {
                log.finish(sequence.entry, Ending::Cancelled);
                open = false;
            }
            open
        });
    }

    fn record_load(&mut self, now: Instant) {
        let load = self.load_now();
        let last = self
            .load_history
            .back()
            .map(|(_, running, queued)| (*running, *queued));
        if last != Some(load) {
            self.load_history.push_back((now, load.0, load.1));
        }
        // Keeps the newest load that is older than the lag, since the status shows it.
        while self.load_history.len() > 1 && self.load_history[1].0 + self.settings.load_lag <= now
        {
            self.load_history.pop_front();
        }
    }
}

impl Machine for Model {
    fn advance(&mut self, now: Instant) -> Option<Instant> {
        if self.faults.hang || self.frozen {
            return None;
        }
        self.finish_load(now);
        self.generate(now);
        self.drop_abandoned();
        self.start_waiting_jobs(now);
        self.record_load(now);
        let tokens = self.running.values().map(|sequence| sequence.due);
        let load = self.loading.as_ref().map(|(due, _)| *due);
        // Limits the wait while completions run, so that closed connections are detected.
        let poll = (!self.running.is_empty()).then(|| now + Duration::from_millis(20));
        tokens.chain(load).chain(poll).min()
    }
}

/// Generates one token. Returns `false` if the sequence has ended.
fn generate_token(sequence: &mut Sequence, version: WeightVersion, log: &mut EngineLog) -> bool {
    let (entry, chunks) = (sequence.entry, &sequence.job.chunks);
    if let Some((_, chunk)) = sequence.planned_cut.take_if(|(at, _)| *at == sequence.next) {
        // A closed channel means that the caller has disconnected.
        let _ = chunks.send(chunk);
        log.finish(entry, Ending::Truncated);
        return false;
    }
    let text = sequence.job.script.token(sequence.next);
    if chunks.send(Chunk::Token { text, version }).is_err() {
        log.finish(entry, Ending::Cancelled);
        return false;
    }
    log.add_token(entry, version);
    sequence.next += 1;
    if sequence.next < sequence.job.script.tokens() {
        return true;
    }
    let tokens = sequence.next as u64;
    log.finish(entry, Ending::Completed);
    // A closed channel means that the caller disconnected after the last token.
    let _ = chunks.send(Chunk::End { tokens, version });
    false
}

impl EngineFaults {
    /// Uses up one truncation fault and returns the end of the answer, or `None` without a fault.
    fn take_cut(&mut self) -> Option<Chunk> {
        if self.truncate > 0 {
            self.truncate -= 1;
            Some(Chunk::Disconnect)
        } else if self.stop > 0 {
            self.stop -= 1;
            Some(Chunk::EarlyEnd)
        } else {
            None
        }
    }
}

/// Returns the position of a priority in the queue. Lower ranks run first.
fn priority_rank(priority: Priority) -> u8 {
    match priority {
        Priority::Training => 0,
        Priority::Interactive => 1,
        Priority::Batch => 2,
    }
}
