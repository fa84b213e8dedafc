//! Admission of requests and choice of targets at one entry.
//!
//! The control thread owns one `Traffic`. Each method takes the time and returns or queues
//! actions; the control thread carries the actions out.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::decision::config::Config;
use crate::domain::declare::Priority;
use crate::domain::error::ErrorKind;
use crate::domain::error::Failure;
use crate::domain::key::KeyDigest;
use crate::domain::name::PoolId;
use crate::domain::name::RouteId;
use crate::domain::name::TargetName;
use crate::domain::name::WorkspaceId;
use crate::domain::target::Report;
use crate::domain::target::ServingState;
use crate::domain::time::Time;

new_key_type! {
    /// Names a request at the control thread from admission to its end.
    pub struct TicketKey;
}

/// What a request asks of the control thread.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The route.
    pub route: RouteId,
    /// The pool that serves it.
    pub pool: PoolId,
    /// The workspace for which it runs.
    pub workspace: WorkspaceId,
    /// Digest of the key that came with it.
    pub key: Option<KeyDigest>,
    /// Priority class.
    pub priority: Priority,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefixes: Vec<u64>,
    /// Most tokens that the answer can have.
    pub tokens: u32,
    /// Time by which the answer must be whole.
    pub deadline: Time,
}

/// The target of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetName,
    /// Address of its agent.
    pub agent: SocketAddr,
}

/// How an admitted request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was whole, with this many tokens.
    Whole(u64),
    /// The request failed.
    Failed(Failure),
}

/// What the control thread has to tell a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Go to this target after a delay.
    Grant(TicketKey, Choice, Duration),
    /// End with this failure. The ticket is closed.
    Refuse(TicketKey, Failure),
    /// Stop what runs and end with this failure. The ticket stays open until `ended`.
    Revoke(TicketKey, Failure),
}

/// One admitted or waiting request.
#[derive(Debug)]
struct Ticket {
    ask: Ask,
    target: Option<TargetName>,
}

/// What is known of one target.
#[derive(Debug)]
struct Target {
    report: Option<Report>,
    inflight: u32,
}

/// Admission and routing state of one entry.
#[derive(Debug, Default)]
pub struct Traffic {
    config: Arc<Config>,
    tickets: SlotMap<TicketKey, Ticket>,
    targets: HashMap<TargetName, Target>,
    actions: VecDeque<Action>,
}

impl Traffic {
    /// Puts a configuration in force. Requests whose key was withdrawn are revoked.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
        for (key, ticket) in &self.tickets {
            let Some(digest) = &ticket.ask.key else {
                continue;
            };
            if self.config.workspace_of(digest) != Some(&ticket.ask.workspace) {
                let failure = Failure::from(ErrorKind::KeyWithdrawn);
                self.actions.push_back(Action::Revoke(key, failure));
            }
        }
    }

    /// Takes in a target's report.
    pub fn report(&mut self, report: Report) {
        let name = report.target.clone();
        let target = self.targets.entry(name).or_insert(Target {
            report: None,
            inflight: 0,
        });
        target.report = Some(report);
    }

    /// Admits or refuses a request.
    pub fn ask(&mut self, now: Time, ask: Ask) -> TicketKey {
        let key = self.tickets.insert(Ticket { ask, target: None });
        self.place(now, key);
        key
    }

    /// Chooses another target after a failed attempt.
    pub fn retry(&mut self, now: Time, key: TicketKey, _failure: Failure) {
        self.release(key);
        self.place(now, key);
    }

    /// Closes a ticket.
    pub fn ended(&mut self, _now: Time, key: TicketKey, _outcome: &Outcome) {
        self.release(key);
        self.tickets.remove(key);
    }

    /// Returns the next action.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Grants a target or refuses the ticket.
    fn place(&mut self, _now: Time, key: TicketKey) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        let Some(choice) = choose(&self.config, &self.targets, &ticket.ask) else {
            let failure = Failure::from(ErrorKind::NoTarget);
            self.tickets.remove(key);
            self.actions.push_back(Action::Refuse(key, failure));
            return;
        };
        ticket.target = Some(choice.target.clone());
        if let Some(target) = self.targets.get_mut(&choice.target) {
            target.inflight += 1;
        }
        let grant = Action::Grant(key, choice, Duration::ZERO);
        self.actions.push_back(grant);
    }

    /// Takes the ticket's request off its target's count.
    fn release(&mut self, key: TicketKey) {
        let held = self.tickets.get_mut(key).and_then(|t| t.target.take());
        if let Some(target) = held.and_then(|name| self.targets.get_mut(&name)) {
            target.inflight = target.inflight.saturating_sub(1);
        }
    }
}

/// Chooses the serving target of the pool with the fewest requests of this entry.
fn choose(config: &Config, targets: &HashMap<TargetName, Target>, ask: &Ask) -> Option<Choice> {
    let pool = config.pool(&ask.pool)?;
    let serving = pool.targets.iter().filter_map(|(name, spec)| {
        let target = targets.get(name)?;
        let report = target.report.as_ref()?;
        (report.state == ServingState::Serving).then_some((target.inflight, name, spec))
    });
    let (_, name, spec) = serving.min_by_key(|(load, name, _)| (*load, (*name).clone()))?;
    Some(Choice {
        target: name.clone(),
        agent: spec.agent,
    })
}
