//! Stand-in of the platform's order API, which starts and stops targets in data centres.

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

use crate::http::ReceivedRequest;
use crate::service::Protocol;
use crate::service::Reply;
use crate::service::Service;

/// Running order API that stops when dropped.
pub type Orders = Service<OrderState>;

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The order took effect.
    Applied,
    /// The order was ignored, since its intent was applied before.
    Repeated,
    /// The order was refused, since its fencing token is outdated.
    Fenced,
}

/// Received order with its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderEntry {
    /// Order as it was received.
    pub order: TargetOrder,
    /// Time at which the order was carried out.
    pub time: Instant,
    /// Result of the order.
    pub result: OrderResult,
}

/// State of the order API.
#[derive(Debug)]
pub struct OrderState {
    /// True if orders are refused whose fencing token is lower than an earlier one in the same data
    /// centre.
    pub checks_fence: bool,
    /// Time from a start order until the target is running.
    pub start_time: Duration,
    /// All orders in order of arrival, including ignored and refused ones.
    pub log: Vec<OrderEntry>,
    /// Highest fencing token of an order so far, by data centre.
    fences: BTreeMap<CentreName, Fence>,
    /// Intents of the applied orders.
    intents: BTreeSet<String>,
    targets: BTreeMap<(CentreName, TargetName), Target>,
}

#[derive(Debug)]
struct Target {
    /// Time of the start order, or `None` if the target is stopped.
    started: Option<Instant>,
    /// Intent of the last applied order.
    intent: String,
}

impl OrderState {
    /// Creates the state without targets.
    pub fn new(checks_fence: bool, start_time: Duration) -> Self {
        Self {
            checks_fence,
            start_time,
            log: Vec::new(),
            fences: BTreeMap::new(),
            intents: BTreeSet::new(),
            targets: BTreeMap::new(),
        }
    }

    /// Returns the targets whose start time has passed at `now`.
    pub fn running(&self, now: Instant) -> Vec<TargetName> {
        let is_running =
            |target: &Target| target.started.is_some_and(|at| at + self.start_time <= now);
        let running = self.targets.iter().filter(|(_, target)| is_running(target));
        running.map(|((_, name), _)| name.clone()).collect()
    }

    /// Carries out an order and records its result.
    fn handle_order(&mut self, order: TargetOrder, now: Instant) -> OrderResult {
        let result = self.apply(&order, now);
        self.log.push(OrderEntry {
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
        let previous = self.targets.get(&key).and_then(|target| target.started);
        let target = Target {
            started: match order.action {
                OrderAction::Start => previous.or(Some(now)),
                OrderAction::Stop => None,
            },
            intent: order.intent.clone(),
        };
        self.targets.insert(key, target);
        OrderResult::Applied
    }

    fn states(&self, centre: &str) -> Vec<TargetState> {
        let targets = self.targets.iter();
        let matching = targets.filter(|((found, _), _)| found.as_str() == centre);
        matching
            .map(|((_, name), target)| TargetState {
                target: name.clone(),
                started: target.started.is_some(),
                intent: target.intent.clone(),
            })
            .collect()
    }
}

impl Protocol for OrderState {
    fn handle(&mut self, request: &ReceivedRequest, now: Instant) -> Reply {
        let parts: Vec<_> = request.route().split('/').skip(1).collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("POST", ["orders"]) => match serde_json::from_slice(&request.body) {
                Ok(order) => match self.handle_order(order, now) {
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
