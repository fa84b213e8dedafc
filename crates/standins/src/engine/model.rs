//! The engine's state machine: batching, weight swaps and faults, without I/O.

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
use crate::engine::book::Book;
use crate::engine::book::Ending;
use crate::engine::book::OrderRecord;
use crate::engine::cache::CacheEvents;
use crate::engine::cache::PrefixCache;
use crate::engine::settings::EngineFaults;
use crate::engine::settings::EngineSettings;

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Part {
    Token {
        text: String,
        version: WeightVersion,
    },
    Whole {
        tokens: u64,
        version: WeightVersion,
    },
    /// The connection breaks here.
    Cut,
    /// The stream ends here, without its closing event but with a whole HTTP body.
    Stop,
}

/// Why a request or an order was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// Refused before it started.
    NotRun,
    /// The order carries an old fencing token.
    Fenced,
    /// Another load runs.
    Busy,
    /// The load failed; the old weights stay.
    LoadFailed,
}

/// A completion to run.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) request: String,
    pub(super) prompt: String,
    pub(super) script: Script,
    pub(super) priority: Priority,
    pub(super) parts: Sender<Part>,
}

/// An order to load weights.
#[derive(Debug)]
pub(super) struct LoadOrder {
    pub(super) model: ModelName,
    pub(super) version: WeightVersion,
    pub(super) fence: Fence,
    pub(super) reply: Sender<Result<WeightVersion, Refusal>>,
}

/// State that the engine tells of itself.
#[derive(Debug)]
pub(super) struct Status {
    pub(super) model: ModelName,
    pub(super) version: WeightVersion,
    pub(super) role: String,
    pub(super) running: usize,
    pub(super) queued: usize,
    pub(super) capacity: usize,
    pub(super) news: CacheEvents,
}

#[derive(Debug)]
struct Sequence {
    job: Job,
    /// Place in the book.
    entry: usize,
    next: usize,
    due: Instant,
    /// Token at which a fault ends the answer, and how.
    cut: Option<(usize, Part)>,
}

/// The engine's state, owned by its control thread.
#[derive(Debug)]
pub(super) struct Model {
    settings: EngineSettings,
    pub(super) faults: EngineFaults,
    pub(super) book: Book,
    pub(super) cache: PrefixCache,
    name: ModelName,
    version: WeightVersion,
    role: String,
    fence: Fence,
    /// True between the moment of a crash and the close of all connections.
    pub(super) frozen: bool,
    loading: Option<(Instant, LoadOrder)>,
    running: BTreeMap<u64, Sequence>,
    /// Waiting jobs by priority, then by arrival.
    waiting: BTreeMap<(u8, u64), Job>,
    arrivals: u64,
    /// Past loads as time, running and queued, for the lag of the status.
    loads: VecDeque<(Instant, usize, usize)>,
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
            book: Book::default(),
            frozen: false,
            loading: None,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            loads: VecDeque::new(),
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
            .insert((rank(job.priority), self.arrivals), job);
        Ok(())
    }

    /// Starts to load weights. The reply comes when the load has ended.
    pub(super) fn load(&mut self, order: LoadOrder, now: Instant) {
        let accepted = self.accept(order.fence);
        self.book.orders.push(OrderRecord {
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
            // The sender of the order may have gone.
            Err(refusal) => drop(order.reply.send(Err(refusal))),
        }
    }

    /// Changes the role.
    pub(super) fn set_role(&mut self, role: String, fence: Fence) -> Result<(), Refusal> {
        let accepted = self.accept(fence);
        self.book.orders.push(OrderRecord {
            order: format!("role {role}"),
            fence,
            accepted: accepted.is_ok(),
        });
        accepted?;
        self.role = role;
        Ok(())
    }

    /// Returns the state as of the lag ago, and the cache events after a sequence number.
    pub(super) fn status(&self, after: u64, now: Instant) -> Status {
        let seen = |load: &&(Instant, usize, usize)| load.0 + self.settings.load_lag <= now;
        let (running, queued) = self
            .loads
            .iter()
            .rev()
            .find(seen)
            .map_or((0, 0), |load| (load.1, load.2));
        Status {
            model: self.name.clone(),
            version: self.version,
            role: self.role.clone(),
            running,
            queued,
            capacity: self.settings.capacity,
            news: self.cache.news(after, self.settings.event_lag, now),
        }
    }

    /// Returns how many completions run and wait now, without the lag of the status.
    pub(super) fn load_now(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Loses everything but the book, as a crash does. The first weights are loaded again.
    pub(super) fn crash(&mut self) {
        let running = std::mem::take(&mut self.running);
        for sequence in running.into_values() {
            self.book.end(sequence.entry, Ending::Crashed);
        }
        let book = std::mem::take(&mut self.book);
        let faults = self.faults;
        *self = Self::new(self.settings.clone());
        self.book = book;
        self.faults = faults;
    }

    fn accept(&mut self, fence: Fence) -> Result<(), Refusal> {
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
        // The sender of the order may have gone.
        let _ = order.reply.send(result);
    }

    /// Drops waiting jobs whose connection has closed. They have not run.
    fn drop_abandoned(&mut self) {
        self.waiting.retain(|_, job| !job.parts.is_disconnected());
    }

    fn start_waiting(&mut self, now: Instant) {
        while self.running.len() < self.settings.capacity {
            let Some(((_, id), job)) = self.waiting.pop_first() else {
                return;
            };
            let missing = u32::try_from(self.cache.admit(&job.prompt, now)).unwrap_or(u32::MAX);
            let prefill = self.settings.prefill_time.saturating_mul(missing);
            let entry = self.book.begin(&job.request, job.script.tag());
            let cut = self
                .faults
                .cut()
                .map(|part| (job.script.tokens() / 2, part));
            let sequence = Sequence {
                due: now + self.faults.delay + prefill + self.settings.token_time,
                next: 0,
                entry,
                cut,
                job,
            };
            self.running.insert(id, sequence);
        }
    }

    /// Generates every token that is due.
    fn generate(&mut self, now: Instant) {
        let (version, token_time) = (self.version, self.settings.token_time);
        let book = &mut self.book;
        self.running.retain(|_, sequence| {
            let mut open = true;
            while open && sequence.due <= now {
                sequence.due += token_time;
                open = step(sequence, version, book);
            }
            if open && sequence.job.parts.is_disconnected() {
                book.end(sequence.entry, Ending::Cancelled);
                open = false;
            }
            open
        });
    }

    fn note_load(&mut self, now: Instant) {
        let load = self.load_now();
        let last = self
            .loads
            .back()
            .map(|(_, running, queued)| (*running, *queued));
        if last != Some(load) {
            self.loads.push_back((now, load.0, load.1));
        }
        // The newest load that is older than the lag is still needed.
        while self.loads.len() > 1 && self.loads[1].0 + self.settings.load_lag <= now {
            self.loads.pop_front();
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
        self.start_waiting(now);
        self.note_load(now);
        let tokens = self.running.values().map(|sequence| sequence.due);
        let load = self.loading.as_ref().map(|(due, _)| *due);
        // Long waits are split, so that closed connections are noticed.
        let poll = (!self.running.is_empty()).then(|| now + Duration::from_millis(20));
        tokens.chain(load).chain(poll).min()
    }
}

/// Generates one token. Returns false if the sequence has ended.
fn step(sequence: &mut Sequence, version: WeightVersion, book: &mut Book) -> bool {
    let (entry, parts) = (sequence.entry, &sequence.job.parts);
    if let Some((_, part)) = sequence.cut.take_if(|(at, _)| *at == sequence.next) {
        // A closed channel means that the caller has gone.
        let _ = parts.send(part);
        book.end(entry, Ending::Truncated);
        return false;
    }
    let text = sequence.job.script.token(sequence.next);
    if parts.send(Part::Token { text, version }).is_err() {
        book.end(entry, Ending::Cancelled);
        return false;
    }
    book.token(entry, version);
    sequence.next += 1;
    if sequence.next < sequence.job.script.tokens() {
        return true;
    }
    let tokens = sequence.next as u64;
    book.end(entry, Ending::Whole);
    // A closed channel means that the caller has gone after the last token.
    let _ = parts.send(Part::Whole { tokens, version });
    false
}

impl EngineFaults {
    /// Counts the next truncation down. Returns how the answer is to end.
    fn cut(&mut self) -> Option<Part> {
        if self.truncate > 0 {
            self.truncate -= 1;
            Some(Part::Cut)
        } else if self.stop > 0 {
            self.stop -= 1;
            Some(Part::Stop)
        } else {
            None
        }
    }
}

fn rank(priority: Priority) -> u8 {
    match priority {
        Priority::Training => 0,
        Priority::Interactive => 1,
        Priority::Batch => 2,
    }
}
