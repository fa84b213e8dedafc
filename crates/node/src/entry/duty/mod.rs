//! Duties of an entry: work that at most one process does at a time, guarded by a lease.
//!
//! The control thread owns `Duties`. Calls to the platform run on platform threads and return their
//! results as `DutyMessage`s.

pub mod chain;
pub mod context;
pub mod lease;
mod leased;
pub mod metrics;
mod orders;
mod rollout;
mod usage;

use std::net::SocketAddr;
use std::time::Duration;

use flume::Sender;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::lease::Permit;
use sardinepath_core::decision::order::PoolFloorPolicy;
use sardinepath_core::decision::usage::SHARD_COUNT;
use sardinepath_core::domain::call::Counter;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::HostName;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::target::Report;
use sardinepath_core::domain::time::Time;

use crate::entry::duty::chain::UsageAnswer;
use crate::entry::duty::context::Context;
use crate::entry::duty::lease::CallId;
use crate::entry::duty::lease::LeaseAnswer;
use crate::entry::duty::lease::LeaseChange;
use crate::entry::duty::leased::DutyKind;
use crate::entry::duty::leased::LeasedDuty;
use crate::entry::duty::orders::LeaseNeed;
pub use crate::entry::duty::orders::OrderAnswer;
use crate::entry::duty::orders::OrderDuty;
pub use crate::entry::duty::rollout::LoadResult;
use crate::entry::duty::rollout::RolloutDuty;
pub use crate::entry::duty::usage::UsageCallId;
use crate::entry::duty::usage::UsageDuty;

/// Message to the control thread about duties.
#[derive(Debug)]
pub enum DutyMessage {
    /// Result of a call of a lease, with the index of its duty.
    Lease(usize, CallId, LeaseAnswer),
    /// The write that releases the lease of the duty with this index has ended.
    Released(usize),
    /// Result of a call about the usage windows of a workspace.
    Usage(UsageCallId, UsageAnswer),
    /// Result of a call about target orders, with the fencing token under which it was made.
    Orders(Fence, OrderAnswer),
    /// Latest version of a model, or why it is not known, with the fencing token of the call.
    Latest(Fence, ModelName, Result<WeightVersion, String>),
    /// Result of an order to load a weight version.
    Loaded(LoadResult),
    /// Usage counters collected from other processes.
    Collected(Vec<Counter>),
    /// Request of another entry for the usage counters that this one keeps.
    Counters(Sender<Vec<Counter>>),
    /// The process drains: waits for the calls under way, releases all leases and then replies.
    Release(Sender<()>),
}

/// Settings of the duties of a process.
#[derive(Clone, Debug)]
pub struct DutySettings {
    /// Random number of this run of the process.
    pub incarnation: Incarnation,
    /// Host of this process.
    pub host: HostName,
    /// Data centre of this process.
    pub centre: CentreName,
    /// Length of a usage window.
    pub window: Duration,
}

/// The duties of one entry.
pub struct Duties {
    host: HostName,
    context: Context,
    leased: Vec<LeasedDuty>,
    usage: UsageDuty,
    orders: OrderDuty,
    rollout: RolloutDuty,
    /// Reply channel of the drain, notified once all leases are released.
    release: Option<Sender<()>>,
}

impl Duties {
    /// Creates the duties whose platform interface is configured. None of them is held yet.
    pub fn new(settings: DutySettings, context: Context) -> Self {
        let mut leased = Vec::new();
        if context.ports.usage.is_some() {
            let shards = (0..SHARD_COUNT).map(DutyKind::Usage);
            leased.extend(shards.map(|kind| LeasedDuty::new(kind, &settings)));
        }
        if context.ports.orders.is_some() || context.ports.weights.is_some() {
            leased.push(LeasedDuty::new(DutyKind::Orders, &settings));
        }
        for duty in &leased {
            context.metrics.set_held(&duty.name, false);
        }
        Self {
            host: settings.host,
            usage: UsageDuty::new(&context, settings.window),
            orders: OrderDuty::new(settings.centre.clone(), Box::new(PoolFloorPolicy)),
            rollout: RolloutDuty::new(settings.centre),
            context,
            leased,
            release: None,
        }
    }

    /// Sets the other entries, whose counters are collected. The own host is ignored.
    pub fn set_entries(&mut self, entries: &[(HostName, SocketAddr)]) {
        let others = entries.iter().filter(|(host, _)| *host != self.host);
        self.usage
            .set_entries(others.map(|(_, address)| *address).collect());
    }

    /// Adds the usage counter that came with a complete answer, if any.
    pub fn add_counter(&mut self, counter: Option<&Counter>) {
        if let Some(counter) = counter {
            self.usage.add_counter(counter);
        }
    }

    /// Records a target's report.
    pub fn add_report(&mut self, now: Time, report: &Report) {
        self.rollout.add_report(now, report);
    }

    /// Handles a message.
    pub fn handle(&mut self, now: Time, config: &Config, message: DutyMessage) {
        match message {
            DutyMessage::Lease(index, id, answer) => {
                let change = self.leased[index].lease.answer(now, id, answer);
                self.apply_change(now, index, change);
            }
            DutyMessage::Released(index) => self.leased[index].mark_released(),
            DutyMessage::Usage(id, answer) => {
                self.context.pending -= 1;
                self.usage.answer(now, &id, answer);
            }
            DutyMessage::Orders(fence, answer) => {
                self.context.pending -= 1;
                self.orders
                    .answer(now, config, fence, answer, &self.context);
            }
            DutyMessage::Latest(fence, model, answer) => {
                self.context.pending -= 1;
                self.rollout.set_latest(fence, &model, answer);
            }
            DutyMessage::Loaded(loaded) => self.rollout.loaded(now, &loaded, &self.context),
            DutyMessage::Collected(counters) => self.usage.add_collected(&counters),
            DutyMessage::Counters(reply) => {
                // A closed channel means that the collecting entry has given up.
                let _ = reply.send(self.usage.counters());
            }
            DutyMessage::Release(done) => {
                self.release = Some(done);
                self.rollout.lose();
            }
        }
    }

    /// Runs the timers and makes the calls that are due.
    pub fn tick(&mut self, now: Time, config: &Config) {
        self.tick_leases(now);
        if self.release.is_some() {
            self.release_leases();
            return;
        }
        self.tick_orders(now, config);
        let leased = &self.leased;
        let permits = |shard| permit(leased, DutyKind::Usage(shard));
        self.usage.tick(now, config, &mut self.context, permits);
        let (open, unreported, age) = self.usage.backlog();
        self.context.metrics.set_backlog(open, unreported, age);
    }

    fn tick_leases(&mut self, now: Time) {
        for index in 0..self.leased.len() {
            let duty = &mut self.leased[index];
            // A process that drains acquires no lease.
            if self.release.is_some() && duty.lease.permit().is_none() {
                continue;
            }
            let (change, call) = duty.lease.tick(now);
            let unsent = call.and_then(|(id, call)| {
                let answer = self.context.lease_call(index, id, call)?;
                Some((id, answer))
            });
            self.apply_change(now, index, change);
            if let Some((id, answer)) = unsent {
                let change = self.leased[index].lease.answer(now, id, answer);
                self.apply_change(now, index, change);
            }
        }
    }

    fn tick_orders(&mut self, now: Time, config: &Config) {
        let Some(index) = self
            .leased
            .iter()
            .position(|duty| duty.kind == DutyKind::Orders)
        else {
            return;
        };
        let Some(permit) = self.leased[index].lease.permit() else {
            return;
        };
        if self.context.ports.weights.is_some() {
            self.rollout.tick(now, config, &mut self.context, permit);
        }
        if self.context.ports.orders.is_some()
            && self.orders.tick(now, &mut self.context, permit) == LeaseNeed::GiveUp
        {
            if let Some(write) = self.leased[index].hand_over() {
                self.context.hand_over_call(write);
            }
            self.apply_change(now, index, LeaseChange::Lost);
        }
    }

    /// Starts or ends the work of a duty after a change of its lease.
    fn apply_change(&mut self, now: Time, index: usize, change: LeaseChange) {
        let duty = &self.leased[index];
        match (change, duty.kind) {
            (LeaseChange::None, _) => return,
            (LeaseChange::Acquired(permit), DutyKind::Usage(shard)) => {
                self.usage.acquire(shard, permit.fence);
            }
            (LeaseChange::Lost, DutyKind::Usage(shard)) => self.usage.lose(shard),
            (LeaseChange::Acquired(permit), DutyKind::Orders) => {
                self.orders.acquire(now, permit.fence);
                self.rollout.acquire(now, permit.fence);
            }
            (LeaseChange::Lost, DutyKind::Orders) => {
                self.orders.lose();
                self.rollout.lose();
            }
        }
        duty.log_change(change, &self.context.metrics);
    }

    /// Releases the leases once no call is under way, and notifies the drain when all are released.
    fn release_leases(&mut self) {
        if self.context.pending > 0 {
            return;
        }
        for (index, duty) in self.leased.iter_mut().enumerate() {
            if let Some(write) = duty.release(&self.context.metrics) {
                self.context.release_call(index, write);
            }
        }
        if self.leased.iter().all(LeasedDuty::is_released)
            && let Some(done) = &self.release
        {
            // A closed channel means that the drain no longer waits.
            let _ = done.try_send(());
        }
    }
}

/// Returns the permit of a duty, or none if it is not held.
fn permit(leased: &[LeasedDuty], kind: DutyKind) -> Option<Permit> {
    let duty = leased.iter().find(|duty| duty.kind == kind)?;
    duty.lease.permit()
}
