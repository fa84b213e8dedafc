//! Admission control and load balancing at one entry.
//!
//! The control thread owns one `Traffic`. Each method takes the current time and queues actions,
//! which the control thread carries out. A request calls `admit` once, `retry` after each failed
//! attempt, and `finish` at its end. The control thread also calls `tick` at short intervals and
//! `next_action` until the queue of actions is empty.

mod admit;
mod budget;
mod choose;
mod mean;
mod members;
mod place;
mod pool_share;
mod queue;
mod rate;
mod target;
mod ticket;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::decision::config::Config;
use crate::decision::traffic::budget::RetryBudget;
use crate::decision::traffic::mean::AnswerMeans;
use crate::decision::traffic::members::Member;
use crate::decision::traffic::pool_share::PoolShare;
use crate::decision::traffic::queue::FairQueue;
use crate::decision::traffic::rate::TokenBucket;
use crate::decision::traffic::target::Target;
use crate::decision::traffic::target::TargetKey;
use crate::decision::traffic::ticket::Ticket;
use crate::domain::error::ErrorKind;
use crate::domain::error::Failure;
use crate::domain::error::RunState;
use crate::domain::name::CentreName;
use crate::domain::name::PoolId;
use crate::domain::name::RouteId;
use crate::domain::name::TargetName;
use crate::domain::name::WorkspaceId;
use crate::domain::target::Report;
use crate::domain::time::Time;

pub use pool_share::Demand;
pub use ticket::Action;
pub use ticket::AdmissionRequest;
pub use ticket::Choice;
pub use ticket::Outcome;
pub use ticket::TicketKey;

/// Maximum number of requests that wait at one entry, over all workspaces. A waiting request
/// holds its body of up to 1 MiB, so this also bounds memory.
const MAX_WAITING: usize = 4096;

/// Time without a tick after which the process counts as having been paused. Ticks come every
/// 100 ms.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Time after a pause during which reports are ignored, because they were queued before it.
const REPORT_SETTLE_TIME: Duration = Duration::from_millis(500);

/// Time after which a request is refused if no target of its pool is serving, for example while
/// the only target restarts.
const NO_TARGET_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum number of tokens charged for an answer, also used while its size cannot be estimated.
const MIN_TOKENS: u64 = 16;

/// Admission and routing state of one entry.
#[derive(Debug)]
pub struct Traffic {
    config: Arc<Config>,
    centre: CentreName,
    /// Number of live entries, among which the limits of each workspace are divided.
    entries: u32,
    draining: bool,
    tickets: SlotMap<TicketKey, Ticket>,
    waiting: usize,
    queues: BTreeMap<PoolId, FairQueue>,
    shares: HashMap<PoolId, PoolShare>,
    /// Time at which the demand of all entries was last received.
    demand_time: Time,
    /// Open requests of this entry when they were last counted for the exchange of demand.
    own_demand: Demand,
    buckets: HashMap<WorkspaceId, TokenBucket>,
    means: HashMap<WorkspaceId, AnswerMeans>,
    budgets: HashMap<RouteId, RetryBudget>,
    targets: SlotMap<TargetKey, Target>,
    names: HashMap<TargetName, TargetKey>,
    members: HashMap<PoolId, Vec<Member>>,
    actions: VecDeque<Action>,
    random: ChaCha8Rng,
    /// Time of the last tick, or `None` before the first one.
    last_tick: Option<Time>,
    /// Time until which reports are ignored after a pause.
    settle_until: Time,
}

impl Traffic {
    /// Creates the state of an entry in a data centre. The seed determines all random choices.
    pub fn new(centre: CentreName, seed: u64) -> Self {
        Self {
            config: Arc::default(),
            centre,
            entries: 1,
            draining: false,
            tickets: SlotMap::with_key(),
            waiting: 0,
            queues: BTreeMap::new(),
            shares: HashMap::new(),
            demand_time: Time(0),
            own_demand: Demand::new(),
            buckets: HashMap::new(),
            means: HashMap::new(),
            budgets: HashMap::new(),
            targets: SlotMap::with_key(),
            names: HashMap::new(),
            members: HashMap::new(),
            actions: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            last_tick: None,
            settle_until: Time(0),
        }
    }

    /// Sets the number of live entries, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Refuses new requests from now on. Waiting and running requests still finish.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of waiting and running requests.
    pub fn open(&self) -> usize {
        self.tickets.len()
    }

    /// Applies a configuration and ends requests whose key it has withdrawn.
    pub fn configure(&mut self, now: Time, config: Arc<Config>) {
        self.config = config;
        self.resolve_members();
        let withdrawn: Vec<_> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| self.is_withdrawn(&ticket.request))
            .map(|(key, ticket)| (key, ticket.is_waiting()))
            .collect();
        for (key, waits) in withdrawn {
            if waits {
                let failure = Failure {
                    run: RunState::NotRun,
                    ..Failure::from(ErrorKind::KeyWithdrawn)
                };
                self.refuse(key, failure);
            } else {
                let failure = Failure::from(ErrorKind::KeyWithdrawn);
                self.actions.push_back(Action::Revoke(key, failure));
            }
        }
        self.dispatch_all(now);
    }

    /// Applies a report of a target.
    ///
    /// Reports that were queued while the process was paused describe an old state, so all reports
    /// are ignored until that queue has had time to empty.
    pub fn handle_report(&mut self, now: Time, report: Report) {
        self.detect_pause(now);
        if now < self.settle_until {
            return;
        }
        let key = self.target_key(&report.target);
        if let Some(target) = self.targets.get_mut(key) {
            target.handle_report(now, report);
        }
        self.dispatch_all(now);
    }

    /// Admits, queues or refuses a request and returns its key.
    pub fn admit(&mut self, now: Time, request: AdmissionRequest) -> TicketKey {
        self.detect_pause(now);
        let pool = request.pool.clone();
        let refusal = self.refusal(now, &request);
        self.budgets
            .entry(request.route.clone())
            .or_default()
            .deposit();
        let key = self.tickets.insert(Ticket::new(now, request));
        match refusal {
            Some(failure) => self.refuse(key, failure),
            None => {
                self.enqueue(key);
                self.dispatch_pool(now, &pool);
            }
        }
        key
    }

    /// Retries or refuses a request whose last attempt failed and may be repeated.
    ///
    /// An attempt whose choice of a target expired did not start, so it does not use up the retry
    /// budget.
    pub fn retry(&mut self, now: Time, key: TicketKey, failure: Failure) {
        self.release(now, key, Some(failure.kind));
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        let route = ticket.request.route.clone();
        let pool = ticket.request.pool.clone();
        let expired = failure.kind == ErrorKind::NoTarget;
        let paid = expired || self.budgets.entry(route).or_default().withdraw();
        let attempts = u32::try_from(ticket.tried.len()).unwrap_or(u32::MAX);
        let delay = budget::backoff(attempts, &mut self.random);
        let late = now + delay >= ticket.request.deadline;
        // The timeout for a target starts at the failure, not at the arrival of the request.
        ticket.waiting_since = now;
        if !paid || late {
            self.refuse(key, failure);
        } else if let Ok(choice) = self.choice(now, key) {
            self.grant(now, key, choice, delay);
        } else {
            self.enqueue(key);
        }
        self.dispatch_pool(now, &pool);
    }

    /// Closes the ticket of a request that has ended.
    pub fn finish(&mut self, now: Time, key: TicketKey, outcome: &Outcome) {
        let failure = match outcome {
            Outcome::Complete(_) => None,
            Outcome::Failed(failure) => Some(failure.kind),
        };
        self.release(now, key, failure);
        if self.tickets.get(key).is_some_and(Ticket::is_waiting) {
            self.dequeue(key);
        }
        let Some(ticket) = self.tickets.remove(key) else {
            return;
        };
        let tokens = match outcome {
            Outcome::Complete(tokens) => *tokens,
            Outcome::Failed(_) => 0,
        };
        self.record_cost(now, &ticket, outcome);
        self.settle(&ticket, tokens);
        self.dispatch_pool(now, &ticket.request.pool);
    }

    /// Refuses requests that have waited too long and starts those for which a target has a
    /// free slot.
    pub fn tick(&mut self, now: Time) {
        self.detect_pause(now);
        self.last_tick = Some(now);
        let mut timed_out = vec![];
        for (pool, queue) in &self.queues {
            let serving = self.has_serving(now, pool);
            let timeout_error = |key| Some((key, self.timeout_error(now, key, serving)?));
            timed_out.extend(queue.keys().into_iter().filter_map(timeout_error));
        }
        for (key, kind) in timed_out {
            self.refuse(key, Failure::from(kind));
        }
        self.dispatch_all(now);
    }

    /// Expires all reports if ticks stopped for so long that the process must have been paused.
    fn detect_pause(&mut self, now: Time) {
        if self
            .last_tick
            .is_none_or(|last| now.since(last) < PAUSE_THRESHOLD)
        {
            return;
        }
        self.last_tick = Some(now);
        self.settle_until = now + REPORT_SETTLE_TIME;
        self.targets.values_mut().for_each(Target::expire_report);
    }

    /// Removes and returns the next action, or `None` if the queue is empty.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Closes the ticket of a request that is not running and queues its refusal.
    fn refuse(&mut self, key: TicketKey, failure: Failure) {
        self.dequeue(key);
        if let Some(ticket) = self.tickets.remove(key) {
            self.settle(&ticket, 0);
        }
        self.actions.push_back(Action::Refuse(key, failure));
    }
}
