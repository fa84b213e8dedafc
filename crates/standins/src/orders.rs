//! The platform's interface that starts and stops targets by data centre.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::port::order::OrderAction;
use sardinepath_core::port::order::TargetOrder;
use sardinepath_core::port::order::TargetState;
use serde_json::json;

use crate::http::Seen;
use crate::service::Protocol;
use crate::service::Reply;
use crate::service::Service;

/// A running order interface. It stops when dropped.
pub type Orders = Service<OrderState>;

/// What became of an order that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// It took effect.
    Applied,
    /// Its intent had been applied before, so it was ignored.
    Repeated,
    /// Its fencing token was older than one seen before.
    Fenced,
}

/// An order in the book.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderEntry {
    /// The order, with its fencing token.
    pub order: TargetOrder,
    /// Time at which it reached the interface.
    pub time: Instant,
    /// What became of it.
    pub result: OrderResult,
}

/// State of the order interface.
#[derive(Debug)]
pub struct OrderState {
    /// True if an older fencing token than one seen before is refused, by data centre.
    pub checks_fence: bool,
    /// Time from a start order until the target runs.
    pub start_time: Duration,
    /// Every order that arrived, in order.
    pub book: Vec<OrderEntry>,
    fences: BTreeMap<CentreName, Fence>,
    intents: BTreeSet<String>,
    targets: BTreeMap<(CentreName, TargetName), Target>,
}

#[derive(Debug)]
struct Target {
    started: Option<Instant>,
    intent: String,
}

impl OrderState {
    /// Creates an interface without targets.
    pub fn new(checks_fence: bool, start_time: Duration) -> Self {
        Self {
            checks_fence,
            start_time,
            book: Vec::new(),
            fences: BTreeMap::new(),
            intents: BTreeSet::new(),
            targets: BTreeMap::new(),
        }
    }

    /// Returns the targets that have been started for the start time.
    pub fn running(&self, now: Instant) -> Vec<TargetName> {
        let runs = |target: &Target| target.started.is_some_and(|at| at + self.start_time <= now);
        let running = self.targets.iter().filter(|(_, target)| runs(target));
        running.map(|((_, name), _)| name.clone()).collect()
    }

    fn order(&mut self, order: TargetOrder, now: Instant) -> OrderResult {
        let result = self.apply(&order, now);
        self.book.push(OrderEntry {
            order,
            time: now,
            result,
        });
        result
    }

    fn apply(&mut self, order: &TargetOrder, now: Instant) -> OrderResult {
        let fence = self.fences.entry(order.centre.clone()).or_default();
        if self.checks_fence && order.fence < *fence {
            return OrderResult::Fenced;
        }
        *fence = order.fence.max(*fence);
        if !self.intents.insert(order.intent.clone()) {
            return OrderResult::Repeated;
        }
        let key = (order.centre.clone(), order.target.clone());
        let before = self.targets.get(&key).and_then(|target| target.started);
        let target = Target {
            started: match order.action {
                OrderAction::Start => before.or(Some(now)),
                OrderAction::Stop => None,
            },
            intent: order.intent.clone(),
        };
        self.targets.insert(key, target);
        OrderResult::Applied
    }

    fn states(&self, centre: &str) -> Vec<TargetState> {
        let targets = self.targets.iter();
        let own = targets.filter(|((found, _), _)| found.as_str() == centre);
        own.map(|((_, name), target)| TargetState {
            target: name.clone(),
            started: target.started.is_some(),
            intent: target.intent.clone(),
        })
        .collect()
    }
}

impl Protocol for OrderState {
    fn handle(&mut self, seen: &Seen, now: Instant) -> Reply {
        let parts: Vec<_> = seen.route().split('/').skip(1).collect();
        match (seen.method.as_str(), parts.as_slice()) {
            ("POST", ["orders"]) => match serde_json::from_slice(&seen.body) {
                Ok(order) => match self.order(order, now) {
                    OrderResult::Applied => Reply::Json(200, json!({"applied": true})),
                    OrderResult::Repeated => Reply::Json(200, json!({"applied": false})),
                    OrderResult::Fenced => Reply::Json(409, json!({"error": "fenced"})),
                },
                Err(e) => Reply::Json(400, json!({"error": e.to_string()})),
            },
            ("GET", ["centres", centre, "targets"]) => Reply::Json(200, json!(self.states(centre))),
            _ => Reply::Json(404, json!({"error": "unknown path"})),
        }
    }
}
