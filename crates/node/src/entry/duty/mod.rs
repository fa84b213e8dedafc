//! Duties of an entry: work that at most one process does at a time.
//!
//! The control thread owns `Duties`. Calls to the platform run on platform threads and come back
//! as `DutyMessage`s.

pub mod chain;
pub mod context;
pub mod lease;
pub mod metrics;
mod orders;
mod post;
mod rollout;
mod usage;

use std::net::SocketAddr;
use std::time::Duration;

use flume::Sender;
use sardinepath_core::decision::config::Config;
use sardinepath_core::decision::lease::Permit;
use sardinepath_core::decision::order::Floor;
use sardinepath_core::decision::usage::SHARDS;
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
pub use crate::entry::duty::orders::OrderAnswer;
use crate::entry::duty::orders::OrderDuty;
use crate::entry::duty::orders::OrderNeed;
use crate::entry::duty::post::Duty;
use crate::entry::duty::post::Post;
pub use crate::entry::duty::rollout::Loaded;
use crate::entry::duty::rollout::RolloutDuty;
pub use crate::entry::duty::usage::ChainId;
use crate::entry::duty::usage::UsageDuty;

/// What the control thread is told of the duties.
#[derive(Debug)]
pub enum DutyMessage {
    /// Result of a call of a lease, by the place of the lease in the list.
    Lease(usize, CallId, LeaseAnswer),
    /// The write that released a lease was made.
    Released(usize),
    /// Result of a call of a workspace's chain of windows.
    Usage(ChainId, UsageAnswer),
    /// Result of a call of the target orders of a tenure.
    Orders(Fence, OrderAnswer),
    /// Latest version of a model, asked for in a tenure.
    Latest(Fence, ModelName, Result<WeightVersion, String>),
    /// Result of an order to load a version.
    Loaded(Loaded),
    /// Counters of other processes.
    Collected(Vec<Counter>),
    /// Another entry asks for the counters that this one keeps.
    Counters(Sender<Vec<Counter>>),
    /// The process drains: finish the calls under way and release all leases.
    Release(Sender<()>),
}

/// Which duties a process takes, and how.
#[derive(Clone, Debug)]
pub struct DutySettings {
    /// Run of this process.
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
    posts: Vec<Post>,
    usage: UsageDuty,
    orders: OrderDuty,
    rollout: RolloutDuty,
    /// Told once all leases are released.
    release: Option<Sender<()>>,
}

impl Duties {
    /// Starts as a challenger of every duty whose interface is known.
    pub fn new(settings: DutySettings, context: Context) -> Self {
        let mut posts = Vec::new();
        if context.ports.usage.is_some() {
            let shards = (0..SHARDS).map(Duty::Usage);
            posts.extend(shards.map(|duty| Post::new(duty, &settings)));
        }
        if context.ports.orders.is_some() || context.ports.weights.is_some() {
            posts.push(Post::new(Duty::Orders, &settings));
        }
        for post in &posts {
            context.metrics.hold(&post.name, false);
        }
        Self {
            host: settings.host,
            usage: UsageDuty::new(&context, settings.window),
            orders: OrderDuty::new(settings.centre.clone(), Box::new(Floor)),
            rollout: RolloutDuty::new(settings.centre),
            context,
            posts,
            release: None,
        }
    }

    /// Takes in the list of entries. Its own host is left out.
    pub fn know(&mut self, entries: &[(HostName, SocketAddr)]) {
        let others = entries.iter().filter(|(host, _)| *host != self.host);
        self.usage
            .know(others.map(|(_, address)| *address).collect());
    }

    /// Keeps the counter that came with a whole answer.
    pub fn count(&mut self, counter: Option<&Counter>) {
        if let Some(counter) = counter {
            self.usage.count(counter);
        }
    }

    /// Takes in a target's report.
    pub fn report(&mut self, now: Time, report: &Report) {
        self.rollout.report(now, report);
    }

    /// Takes in a message.
    pub fn handle(&mut self, now: Time, config: &Config, message: DutyMessage) {
        match message {
            DutyMessage::Lease(place, id, answer) => {
                let change = self.posts[place].keeper.answer(now, id, answer);
                self.change(now, place, change);
            }
            DutyMessage::Released(place) => self.posts[place].released(),
            DutyMessage::Usage(id, answer) => {
                self.context.running -= 1;
                self.usage.answer(now, &id, answer);
            }
            DutyMessage::Orders(fence, answer) => {
                self.context.running -= 1;
                self.orders
                    .answer(now, config, fence, answer, &self.context);
            }
            DutyMessage::Latest(fence, model, answer) => {
                self.context.running -= 1;
                self.rollout.latest(fence, &model, answer);
            }
            DutyMessage::Loaded(loaded) => self.rollout.loaded(now, &loaded, &self.context),
            DutyMessage::Collected(counters) => self.usage.collected(&counters),
            DutyMessage::Counters(reply) => {
                // A closed channel means that the collector has given up.
                let _ = reply.send(self.usage.counters());
            }
            DutyMessage::Release(done) => {
                self.release = Some(done);
                self.rollout.lose();
            }
        }
    }

    /// Makes the calls that are due.
    pub fn tick(&mut self, now: Time, config: &Config) {
        self.tick_leases(now);
        if self.release.is_some() {
            self.give_up();
            return;
        }
        self.tick_orders(now, config);
        let posts = &self.posts;
        let permits = |shard| permit(posts, Duty::Usage(shard));
        self.usage.tick(now, config, &mut self.context, permits);
        let (open, unreported, age) = self.usage.backlog();
        self.context.metrics.backlog(open, unreported, age);
    }

    fn tick_leases(&mut self, now: Time) {
        for place in 0..self.posts.len() {
            let post = &mut self.posts[place];
            // A process that drains acquires no lease.
            if self.release.is_some() && post.keeper.permit().is_none() {
                continue;
            }
            let (change, call) = post.keeper.tick(now);
            let refused = call.and_then(|(id, call)| {
                let answer = self.context.lease_call(place, id, call)?;
                Some((id, answer))
            });
            self.change(now, place, change);
            if let Some((id, answer)) = refused {
                let change = self.posts[place].keeper.answer(now, id, answer);
                self.change(now, place, change);
            }
        }
    }

    fn tick_orders(&mut self, now: Time, config: &Config) {
        let Some(place) = self.posts.iter().position(|p| p.duty == Duty::Orders) else {
            return;
        };
        let Some(permit) = self.posts[place].keeper.permit() else {
            return;
        };
        if self.context.ports.weights.is_some() {
            self.rollout.tick(now, config, &mut self.context, permit);
        }
        if self.context.ports.orders.is_some()
            && self.orders.tick(now, &mut self.context, permit) == OrderNeed::GiveUp
        {
            if let Some(write) = self.posts[place].give_up() {
                self.context.give_up_call(write);
            }
            self.change(now, place, LeaseChange::Lost);
        }
    }

    /// Starts or ends the work of a duty whose lease changed hands.
    fn change(&mut self, now: Time, place: usize, change: LeaseChange) {
        let post = &self.posts[place];
        match (change, post.duty) {
            (LeaseChange::None, _) => return,
            (LeaseChange::Acquired(permit), Duty::Usage(shard)) => {
                self.usage.acquire(shard, permit.fence);
            }
            (LeaseChange::Lost, Duty::Usage(shard)) => self.usage.lose(shard),
            (LeaseChange::Acquired(permit), Duty::Orders) => {
                self.orders.acquire(now, permit.fence);
                self.rollout.acquire(now, permit.fence);
            }
            (LeaseChange::Lost, Duty::Orders) => {
                self.orders.lose();
                self.rollout.lose();
            }
        }
        post.note(change, &self.context.metrics);
    }

    /// Releases the leases once no call is under way, and tells when all are released.
    fn give_up(&mut self) {
        if self.context.running > 0 {
            return;
        }
        for (place, post) in self.posts.iter_mut().enumerate() {
            if let Some(write) = post.release(&self.context.metrics) {
                self.context.release_call(place, write);
            }
        }
        if self.posts.iter().all(Post::is_released)
            && let Some(done) = &self.release
        {
            // A closed channel means that the drain does not wait any more.
            let _ = done.try_send(());
        }
    }
}

/// Returns the permit of a duty, if it is held.
fn permit(posts: &[Post], duty: Duty) -> Option<Permit> {
    let post = posts.iter().find(|post| post.duty == duty)?;
    post.keeper.permit()
}
