//! Admission of requests and choice of targets at one entry.
//!
//! The control thread owns one `Traffic`. Each method takes the time and queues actions; the
//! control thread carries them out. Call sequence: `ask`, then for each failed attempt `retry`,
//! and at last `ended`; `tick` at short intervals; `next_action` until there is none.

mod admit;
mod budget;
mod choose;
mod mean;
mod members;
mod place;
mod queue;
mod rate;
mod slice;
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
use crate::decision::traffic::budget::Budget;
use crate::decision::traffic::mean::Mean;
use crate::decision::traffic::members::Member;
use crate::decision::traffic::queue::FairQueue;
use crate::decision::traffic::rate::Bucket;
use crate::decision::traffic::slice::Slice;
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

pub use slice::Demand;
pub use ticket::Action;
pub use ticket::Ask;
pub use ticket::Choice;
pub use ticket::Outcome;
pub use ticket::TicketKey;

/// Requests that may wait at one entry over all workspaces. A waiting request holds its body of
/// up to 1 MiB, so the bound also limits memory.
const WAITING: usize = 4096;

/// Time without a tick that counts as a pause of the process. Ticks come every 100 ms.
const PAUSE: Duration = Duration::from_secs(2);

/// Time after a pause in which queued reports are taken out.
const SETTLING: Duration = Duration::from_millis(500);

/// Time that a request waits for a pool in which no target serves, for example while its only
/// target restarts.
const NO_TARGET_WAIT: Duration = Duration::from_secs(2);

/// Tokens charged for an answer whose size cannot be guessed, and the least that is charged.
const LEAST_TOKENS: u64 = 16;

/// Admission and routing state of one entry.
#[derive(Debug)]
pub struct Traffic {
    config: Arc<Config>,
    centre: CentreName,
    /// Live entries, among which the limits of workspaces are divided.
    entries: u32,
    draining: bool,
    tickets: SlotMap<TicketKey, Ticket>,
    waiting: usize,
    queues: BTreeMap<PoolId, FairQueue>,
    slices: HashMap<PoolId, Slice>,
    /// Time of the last exchange of demand.
    exchanged: Time,
    /// Open requests of this entry at its last count.
    counted: Demand,
    buckets: HashMap<WorkspaceId, Bucket>,
    means: HashMap<WorkspaceId, Mean>,
    budgets: HashMap<RouteId, Budget>,
    targets: SlotMap<TargetKey, Target>,
    names: HashMap<TargetName, TargetKey>,
    members: HashMap<PoolId, Vec<Member>>,
    actions: VecDeque<Action>,
    random: ChaCha8Rng,
    /// Time of the last tick, or none before the first.
    ticked: Option<Time>,
    /// End of the time after a pause in which reports do not count.
    settled: Time,
}

impl Traffic {
    /// Creates the state of an entry in a data centre. The seed decides all random choices.
    pub fn new(centre: CentreName, seed: u64) -> Self {
        Self {
            config: Arc::default(),
            centre,
            entries: 1,
            draining: false,
            tickets: SlotMap::with_key(),
            waiting: 0,
            queues: BTreeMap::new(),
            slices: HashMap::new(),
            exchanged: Time(0),
            counted: Demand::new(),
            buckets: HashMap::new(),
            means: HashMap::new(),
            budgets: HashMap::new(),
            targets: SlotMap::with_key(),
            names: HashMap::new(),
            members: HashMap::new(),
            actions: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            ticked: None,
            settled: Time(0),
        }
    }

    /// Sets the number of live entries, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Refuses new requests from now on. Those that wait or run are finished.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of requests that wait or run.
    pub fn open(&self) -> usize {
        self.tickets.len()
    }

    /// Puts a configuration in force. Requests whose key was withdrawn are ended.
    pub fn configure(&mut self, now: Time, config: Arc<Config>) {
        self.config = config;
        self.resolve_members();
        let withdrawn: Vec<_> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| self.is_withdrawn(&ticket.ask))
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
        self.pump_all(now);
    }

    /// Takes in a target's report.
    ///
    /// Reports that waited while the process was paused tell an old state, so none counts until
    /// the queue has had time to empty.
    pub fn report(&mut self, now: Time, report: Report) {
        self.notice_pause(now);
        if now < self.settled {
            return;
        }
        let key = self.target_key(&report.target);
        if let Some(target) = self.targets.get_mut(key) {
            target.take_report(now, report);
        }
        self.pump_all(now);
    }

    /// Admits, queues or refuses a request.
    pub fn ask(&mut self, now: Time, ask: Ask) -> TicketKey {
        self.notice_pause(now);
        let pool = ask.pool.clone();
        let refusal = self.refusal(now, &ask);
        self.budgets.entry(ask.route.clone()).or_default().earn();
        let key = self.tickets.insert(Ticket::new(now, ask));
        match refusal {
            Some(failure) => self.refuse(key, failure),
            None => {
                self.enqueue(key);
                self.pump(now, &pool);
            }
        }
        key
    }

    /// Decides whether another attempt follows a failed one that may be repeated.
    ///
    /// An attempt whose choice expired did not start, so it costs no budget.
    pub fn retry(&mut self, now: Time, key: TicketKey, failure: Failure) {
        self.release(now, key, Some(failure.kind));
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        let route = ticket.ask.route.clone();
        let pool = ticket.ask.pool.clone();
        let expired = failure.kind == ErrorKind::NoTarget;
        let paid = expired || self.budgets.entry(route).or_default().take();
        let attempts = u32::try_from(ticket.tried.len()).unwrap_or(u32::MAX);
        let delay = budget::delay(attempts, &mut self.random);
        let late = now + delay >= ticket.ask.deadline;
        // The wait for a target counts from the failure, not from the arrival.
        ticket.since = now;
        if !paid || late {
            self.refuse(key, failure);
        } else if let Ok(choice) = self.choice(now, key) {
            self.grant(now, key, choice, delay);
        } else {
            self.enqueue(key);
        }
        self.pump(now, &pool);
    }

    /// Closes a ticket.
    pub fn ended(&mut self, now: Time, key: TicketKey, outcome: &Outcome) {
        let failure = match outcome {
            Outcome::Whole(_) => None,
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
            Outcome::Whole(tokens) => *tokens,
            Outcome::Failed(_) => 0,
        };
        self.learn(now, &ticket, outcome);
        self.settle(&ticket, tokens);
        self.pump(now, &ticket.ask.pool);
    }

    /// Refuses requests that have waited too long, and starts those that can go.
    pub fn tick(&mut self, now: Time) {
        self.notice_pause(now);
        self.ticked = Some(now);
        let mut late = vec![];
        for (pool, queue) in &self.queues {
            let serving = self.is_served(now, pool);
            let lateness = |key| Some((key, self.lateness(now, key, serving)?));
            late.extend(queue.keys().into_iter().filter_map(lateness));
        }
        for (key, kind) in late {
            self.refuse(key, Failure::from(kind));
        }
        self.pump_all(now);
    }

    /// Voids all reports if the timers have not run for so long that the process was paused.
    fn notice_pause(&mut self, now: Time) {
        if self.ticked.is_none_or(|last| now.since(last) < PAUSE) {
            return;
        }
        self.ticked = Some(now);
        self.settled = now + SETTLING;
        self.targets.values_mut().for_each(Target::void_report);
    }

    /// Returns the next action.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Ends a ticket with a failure.
    fn refuse(&mut self, key: TicketKey, failure: Failure) {
        self.dequeue(key);
        if let Some(ticket) = self.tickets.remove(key) {
            self.settle(&ticket, 0);
        }
        self.actions.push_back(Action::Refuse(key, failure));
    }
}
