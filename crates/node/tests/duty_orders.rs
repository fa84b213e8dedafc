//! Target orders and weight loads of running entries, compared with the books of the order
//! interface and of the engine.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod duty_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sardinepath_adapters::clock::HostClock;
use sardinepath_adapters::platform::HttpOrders;
use sardinepath_adapters::runtime::Runtime;
use sardinepath_core::decision::lease::Permit;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::CentreName;
use sardinepath_core::domain::name::ModelName;
use sardinepath_core::domain::name::TargetName;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::ObjectPort;
use sardinepath_core::port::object::Precondition;
use sardinepath_core::port::order::OrderAction;
use sardinepath_core::port::order::OrderError;
use sardinepath_core::port::order::TargetOrder;
use sardinepath_node::entry::duty::context::Ports;
use sardinepath_standins::object_api::Service;
use sardinepath_standins::objects::MemoryObjects;
use sardinepath_standins::orders::OrderEntry;
use sardinepath_standins::orders::OrderResult;
use sardinepath_standins::orders::OrderState;
use sardinepath_standins::orders::Orders;
use sardinepath_standins::relay::Relay;
use sardinepath_standins::weights::WeightState;
use sardinepath_standins::weights::Weights;
use serde_json::Value;
use serde_json::json;

use crate::duty_support::Member;
use crate::duty_support::World;
use crate::duty_support::await_true;
use crate::duty_support::cut_off;
use crate::duty_support::held;
use crate::duty_support::metric;
use crate::duty_support::start_with;
use crate::duty_support::start_world;
use crate::duty_support::windows;

/// Declares a pool of plain targets whose floor is two.
fn declare_floor(world: &World) {
    let agent: SocketAddr = ([127, 0, 0, 1], 9).into();
    let target = |centre: &str| json!({"agent": agent, "centre": centre});
    let tree = json!({
        "scheme": "slug",
        "workspaces": {"field": {}},
        "pools": {"orders": {
            "kind": "plain", "floor": 2,
            "targets": {"o1": target("cx1"), "o2": target("cx1"), "o3": target("cx1"), "p1": target("cx2")},
        }},
        "routes": {},
    });
    let tree = tree.to_string();
    world
        .api
        .objects
        .put("config/pump", &tree, Precondition::Absent)
        .unwrap();
}

fn start_orders() -> Orders {
    Orders::serve(OrderState::new(true, Duration::ZERO)).unwrap()
}

fn start_orderer(world: &World, host: &str, orders: SocketAddr) -> Member {
    let member = start_with(world, host, |settings| settings.orders = Some(orders));
    let ready = format!("http://{}/readyz", member.entry.admin);
    await_true("the entry", || {
        minreq::get(&ready)
            .send()
            .is_ok_and(|a| a.status_code == 200)
    });
    member
}

fn book(orders: &Orders) -> Vec<OrderEntry> {
    orders.ask(|state| state.book.clone())
}

/// Returns target and fencing token of the orders that took effect.
fn applied(orders: &Orders) -> Vec<(String, u64)> {
    let book = book(orders).into_iter();
    let applied = book.filter(|entry| entry.result == OrderResult::Applied);
    applied
        .map(|entry| (entry.order.target.to_string(), entry.order.fence.0))
        .collect()
}

/// Counts the intents that are stored as done.
fn settled(world: &World) -> usize {
    let intents = windows(world, "intents/cx1/");
    let done = |intent: &&Value| intent["state"] == "done";
    intents.iter().filter(done).count()
}

/// Guards against a floor that is not kept, orders for another data centre, and repeated orders.
#[test]
fn floor_is_started_once_and_restored() {
    let world = start_world();
    declare_floor(&world);
    let orders = start_orders();
    let member = start_orderer(&world, "host-1", orders.address);

    await_true("the first orders", || settled(&world) == 2);
    let stop = json!({
        "intent": "by-hand", "fence": 1, "centre": "cx1", "target": "o1", "action": "stop",
    });
    let url = format!("http://{}/orders", orders.address);
    let stopped = minreq::post(url)
        .with_body(stop.to_string())
        .send()
        .unwrap();
    await_true("the restart", || {
        applied(&orders).len() == 4 && settled(&world) == 2
    });

    assert_eq!(stopped.status_code, 200);
    let expected = ["o1", "o2", "o1", "o1"].map(|target| (target.to_owned(), 1));
    assert_eq!(applied(&orders), expected);
    assert_eq!(book(&orders).len(), 4);
    assert_eq!(
        metric(&member, "sardinepath_orders_sent_total{action=\"start\"}"),
        3.0
    );
}

/// Guards against an order that runs twice, or never, after the answer to a write of its intent or
/// to a renewal was lost.
#[test]
fn lost_answers_to_intents_lead_to_one_order_for_each_target() {
    let world = start_world();
    declare_floor(&world);
    let orders = start_orders();
    let member = start_orderer(&world, "host-1", orders.address);
    await_true("the duty", || held(&member, "orders/cx1") == 1);

    // From here on no write to the object API is answered.
    world.api.set(|faults| faults.lost = 1000);

    await_true("the settled intents", || settled(&world) == 2);
    assert!(world.api.faults().lost < 1000);
    assert_started_once(&orders);
}

/// Guards against an order that is sent again, or given up, after its answer was lost.
#[test]
fn lost_answers_to_orders_are_resolved_by_the_states() {
    let world = start_world();
    declare_floor(&world);
    let orders = start_orders();
    let _member = start_orderer(&world, "host-1", orders.address);

    // The next call to the interface after the first intent is the order itself.
    await_true("an intent", || !windows(&world, "intents/cx1/").is_empty());
    orders.set_faults(|faults| faults.lose = 1);

    await_true("the settled intents", || settled(&world) == 2);
    let (tell, told) = flume::bounded(1);
    orders.set_faults(move |faults| tell.send(faults.lose).unwrap());
    assert_eq!(told.recv().unwrap(), 0);
    assert_started_once(&orders);
}

fn assert_started_once(orders: &Orders) {
    let mut started = applied(orders);
    started.sort();
    assert_eq!(started, ["o1", "o2"].map(|target| (target.to_owned(), 1)));
    assert_eq!(book(orders).len(), 2);
}

/// Guards against an order that is written after the lease of its sender has ended.
#[test]
fn order_is_not_written_without_a_valid_permit() {
    let runtime = Runtime::start(1).unwrap();
    let orders = start_orders();
    let interface = HttpOrders::new(runtime.spawner(), orders.address);
    let ports = Ports {
        clock: Arc::new(HostClock),
        objects: Arc::new(MemoryObjects::default()),
        usage: None,
        orders: Some(Arc::new(interface)),
        weights: None,
    };
    let order = TargetOrder {
        intent: "o1-4-1".to_owned(),
        fence: Fence(4),
        centre: CentreName::from("cx1"),
        target: TargetName::from("o1"),
        action: OrderAction::Start,
    };
    let permit = |until| Permit {
        fence: Fence(4),
        until,
    };

    let late = ports.order(&order, permit(Time(0)));
    let written = book(&orders).len();
    let timely = ports.order(&order, permit(Time(u64::MAX)));

    assert!(matches!(late, Err(OrderError::Unavailable(_))), "{late:?}");
    assert_eq!((written, timely), (0, Ok(())));
    assert_eq!(applied(&orders), [("o1".to_owned(), 4)]);
}

/// Guards against orders without a recorded intent while the platform is down.
#[test]
fn orders_wait_for_the_object_api() {
    let world = start_world();
    declare_floor(&world);
    let orders = start_orders();
    let member = start_orderer(&world, "host-1", orders.address);
    await_true("the duty", || held(&member, "orders/cx1") == 1);

    world.api.set(|faults| faults.service = Service::Refusing);
    thread::sleep(Duration::from_secs(20));
    let during = book(&orders).len();
    world.api.set(|faults| faults.service = Service::Up);

    await_true("the settled intents", || settled(&world) == 2);
    assert_eq!(during, 0);
    assert_eq!(applied(&orders).len(), 2);
}

/// Guards against two processes that order for one data centre: an order of a holder whose lease
/// lapsed in the middle of it must not take effect after the next holder has taken over.
#[test]
fn late_order_of_a_former_holder_has_no_effect() {
    let world = start_world();
    declare_floor(&world);
    let orders = start_orders();
    let path = Relay::start(orders.address).unwrap();
    let first = start_orderer(&world, "host-1", path.address);
    await_true("the duty", || held(&first, "orders/cx1") == 1);
    let second = start_orderer(&world, "host-2", orders.address);

    // Intents are recorded after the states were read, so what is delayed is the order itself.
    await_true("an intent", || !windows(&world, "intents/cx1/").is_empty());
    path.delay(Duration::from_secs(60));
    cut_off(&first);
    await_true("the take-over", || held(&second, "orders/cx1") == 1);
    await_true("the settled intents", || settled(&world) == 2);
    let mut taken_over = applied(&orders);
    let seen = book(&orders).len();
    await_true("the late order", || book(&orders).len() > seen);

    let late = book(&orders).split_off(seen);
    let refused =
        |entry: &OrderEntry| entry.order.fence.0 == 1 && entry.result == OrderResult::Fenced;
    assert!(late.iter().all(refused), "{late:?}");
    taken_over.sort();
    assert_eq!(taken_over.len(), 2);
    assert_eq!(taken_over[1], ("o2".to_owned(), 2));
    assert_eq!(held(&first, "orders/cx1"), 0);
}

/// Guards against versions that are not loaded, are loaded again, or are given up after a failed
/// swap.
#[test]
fn new_versions_are_loaded_with_the_fence() {
    let world = start_world();
    let weights = Weights::serve(WeightState::new(1, 1)).unwrap();
    let model = ModelName::from("small");
    let published = model.clone();
    weights.ask(move |state| state.publish(published, WeightVersion(3)));
    world.engine.set_faults(|faults| faults.fail_swaps = 1);
    let address = weights.address;
    let member = start_with(&world, "host-1", |settings| {
        settings.weights = Some(address)
    });

    let loads = |version: u64| {
        let orders = world.engine.book().orders;
        let wanted = format!("load small {version}");
        orders.into_iter().filter(move |o| o.order == wanted)
    };
    let count =
        |metric_of: &Member| metric(metric_of, "sardinepath_orders_sent_total{action=\"load\"}");
    await_true("the first version", || count(&member) == 1.0);
    weights.ask(move |state| state.publish(model, WeightVersion(4)));
    await_true("the second version", || count(&member) == 2.0);

    assert_eq!(loads(3).count(), 2);
    assert_eq!(loads(4).count(), 1);
    assert!(
        loads(3)
            .chain(loads(4))
            .all(|o| o.accepted && o.fence.0 == 1)
    );
}
