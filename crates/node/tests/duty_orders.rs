//! Orders to targets and loads of weight versions by running entries, compared with what the order
//! interface and the engine recorded.

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
use sardinepath_standins::object_api::Availability;
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

use crate::duty_support::Fixture;
use crate::duty_support::Member;
use crate::duty_support::count_held;
use crate::duty_support::disconnect;
use crate::duty_support::read_metric;
use crate::duty_support::start_entry_with;
use crate::duty_support::start_fixture;
use crate::duty_support::stored_records;
use crate::duty_support::wait_for;

/// Declares a pool of plain targets with a floor of two started targets in each data centre.
fn declare_floor(fixture: &Fixture) {
    let agent: SocketAddr = ([127, 0, 0, 1], 9).into();
    let target = |centre: &str| json!({"agent": agent, "centre": centre});
    let team_tree = json!({
        "scheme": "slug",
        "workspaces": {"field": {}},
        "pools": {"orders": {
            "kind": "plain", "floor": 2,
            "targets": {"o1": target("cx1"), "o2": target("cx1"), "o3": target("cx1"), "p1": target("cx2")},
        }},
        "routes": {},
    });
    let team_tree = team_tree.to_string();
    fixture
        .api
        .objects
        .put("config/pump", &team_tree, Precondition::Absent)
        .unwrap();
}

fn start_order_interface() -> Orders {
    Orders::serve(OrderState::new(true, Duration::ZERO)).unwrap()
}

/// Starts an entry with the order duties and waits until it is ready.
fn start_order_entry(fixture: &Fixture, host: &str, orders: SocketAddr) -> Member {
    let member = start_entry_with(fixture, host, |settings| settings.orders = Some(orders));
    let ready = format!("http://{}/readyz", member.entry.admin);
    wait_for("the entry to be ready", || {
        minreq::get(&ready)
            .send()
            .is_ok_and(|a| a.status_code == 200)
    });
    member
}

/// Returns all orders that the order interface received.
fn order_log(orders: &Orders) -> Vec<OrderEntry> {
    orders.ask(|state| state.log.clone())
}

/// Returns the target and fencing token of each order that took effect.
fn applied_orders(orders: &Orders) -> Vec<(String, u64)> {
    let log = order_log(orders).into_iter();
    let applied = log.filter(|entry| entry.result == OrderResult::Applied);
    applied
        .map(|entry| (entry.order.target.to_string(), entry.order.fence.0))
        .collect()
}

/// Returns the number of intents that are stored as done.
fn count_settled(fixture: &Fixture) -> usize {
    let intents = stored_records(fixture, "intents/cx1/");
    let done = |intent: &&Value| intent["state"] == "done";
    intents.iter().filter(done).count()
}

/// Guards against a floor that is not kept or not restored after a target was stopped by hand,
/// against orders for another data centre, and against orders that are sent twice.
#[test]
fn floor_is_started_once_and_restored() {
    let fixture = start_fixture();
    declare_floor(&fixture);
    let orders = start_order_interface();
    let member = start_order_entry(&fixture, "host-1", orders.address);

    wait_for("the completion of the first orders", || {
        count_settled(&fixture) == 2
    });
    let stop = json!({
        "intent": "by-hand", "fence": 1, "centre": "cx1", "target": "o1", "action": "stop",
    });
    let url = format!("http://{}/orders", orders.address);
    let stopped = minreq::post(url)
        .with_body(stop.to_string())
        .send()
        .unwrap();
    wait_for("the restart", || {
        applied_orders(&orders).len() == 4 && count_settled(&fixture) == 2
    });

    assert_eq!(stopped.status_code, 200);
    let mut applied = applied_orders(&orders);
    // The intents of the two targets are written at the same time, so only the orders of one target
    // have an order.
    applied[..2].sort();
    let expected = ["o1", "o2", "o1", "o1"].map(|target| (target.to_owned(), 1));
    assert_eq!(applied, expected);
    assert_eq!(order_log(&orders).len(), 4);
    assert_eq!(
        read_metric(&member, "sardinepath_orders_sent_total{action=\"start\"}"),
        3.0
    );
}

/// Guards against an order that is executed twice or never because the answer to the write of its
/// intent or to a lease renewal was lost.
#[test]
fn lost_answers_to_intents_lead_to_one_order_for_each_target() {
    let fixture = start_fixture();
    declare_floor(&fixture);
    let orders = start_order_interface();
    let member = start_order_entry(&fixture, "host-1", orders.address);
    wait_for("the order duty", || count_held(&member, "orders/cx1") == 1);

    // The object API answers none of the next 1000 writes.
    fixture.api.set_faults(|faults| faults.lost_answers = 1000);

    wait_for("the completion of the intents", || {
        count_settled(&fixture) == 2
    });
    assert!(fixture.api.faults().lost_answers < 1000);
    assert_started_once(&orders);
}

/// Guards against an order that is sent again or abandoned because its answer was lost, instead of
/// being looked up in the target states.
#[test]
fn lost_answers_to_orders_are_resolved_by_the_states() {
    let fixture = start_fixture();
    declare_floor(&fixture);
    let orders = start_order_interface();
    let _member = start_order_entry(&fixture, "host-1", orders.address);

    // The next call to the order interface after the first intent is the order itself.
    wait_for("an intent", || {
        !stored_records(&fixture, "intents/cx1/").is_empty()
    });
    orders.set_faults(|faults| faults.lose = 1);

    wait_for("the completion of the intents", || {
        count_settled(&fixture) == 2
    });
    let (result_sender, lost_left) = flume::bounded(1);
    orders.set_faults(move |faults| result_sender.send(faults.lose).unwrap());
    assert_eq!(lost_left.recv().unwrap(), 0);
    assert_started_once(&orders);
}

fn assert_started_once(orders: &Orders) {
    let mut started = applied_orders(orders);
    started.sort();
    assert_eq!(started, ["o1", "o2"].map(|target| (target.to_owned(), 1)));
    assert_eq!(order_log(orders).len(), 2);
}

/// Guards against an order that is sent after the lease of its sender has expired.
#[test]
fn order_is_not_written_without_a_valid_permit() {
    let runtime = Runtime::start(1).unwrap();
    let orders = start_order_interface();
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
    let written = order_log(&orders).len();
    let timely = ports.order(&order, permit(Time(u64::MAX)));

    assert!(matches!(late, Err(OrderError::Unavailable(_))), "{late:?}");
    assert_eq!((written, timely), (0, Ok(())));
    assert_eq!(applied_orders(&orders), [("o1".to_owned(), 4)]);
}

/// Guards against orders that are sent without a recorded intent while the object API is down.
#[test]
fn orders_wait_for_the_object_api() {
    let fixture = start_fixture();
    declare_floor(&fixture);
    let orders = start_order_interface();
    let member = start_order_entry(&fixture, "host-1", orders.address);
    wait_for("the order duty", || count_held(&member, "orders/cx1") == 1);

    fixture
        .api
        .set_faults(|faults| faults.availability = Availability::Refusing);
    thread::sleep(Duration::from_secs(20));
    let during = order_log(&orders).len();
    fixture
        .api
        .set_faults(|faults| faults.availability = Availability::Up);

    wait_for("the completion of the intents", || {
        count_settled(&fixture) == 2
    });
    assert_eq!(during, 0);
    assert_eq!(applied_orders(&orders).len(), 2);
}

/// Guards against two processes that send orders for one data centre. The lease of the first holder
/// expires while its order is on its way, so the order must have no effect after the next holder
/// has taken over.
#[test]
fn late_order_of_a_former_holder_has_no_effect() {
    let fixture = start_fixture();
    declare_floor(&fixture);
    let orders = start_order_interface();
    let relay = Relay::start(orders.address).unwrap();
    let first = start_order_entry(&fixture, "host-1", relay.address);
    wait_for("the order duty", || count_held(&first, "orders/cx1") == 1);
    let second = start_order_entry(&fixture, "host-2", orders.address);

    // The states are read before an intent is recorded, so the delay applies to the order itself.
    wait_for("an intent", || {
        !stored_records(&fixture, "intents/cx1/").is_empty()
    });
    relay.delay(Duration::from_secs(60));
    disconnect(&first);
    wait_for("the take-over", || count_held(&second, "orders/cx1") == 1);
    wait_for("the completion of the intents", || {
        count_settled(&fixture) == 2
    });
    let mut taken_over = applied_orders(&orders);
    let received = order_log(&orders).len();
    wait_for("the late order", || order_log(&orders).len() > received);

    let late = order_log(&orders).split_off(received);
    let refused =
        |entry: &OrderEntry| entry.order.fence.0 == 1 && entry.result == OrderResult::Fenced;
    assert!(late.iter().all(refused), "{late:?}");
    taken_over.sort();
    assert_eq!(taken_over.len(), 2);
    assert_eq!(taken_over[1], ("o2".to_owned(), 2));
    assert_eq!(count_held(&first, "orders/cx1"), 0);
}

/// Guards against weight versions that are never loaded, loaded twice, or abandoned after a failed
/// swap.
#[test]
fn new_versions_are_loaded_with_the_fence() {
    let fixture = start_fixture();
    let weights = Weights::serve(WeightState::new(1, 1)).unwrap();
    let model = ModelName::from("small");
    let published = model.clone();
    weights.ask(move |state| state.publish(published, WeightVersion(3)));
    fixture.engine.set_faults(|faults| faults.fail_swaps = 1);
    let address = weights.address;
    let member = start_entry_with(&fixture, "host-1", |settings| {
        settings.weights = Some(address)
    });

    let loads = |version: u64| {
        let orders = fixture.engine.log().orders;
        let wanted = format!("load small {version}");
        orders.into_iter().filter(move |o| o.order == wanted)
    };
    let load_count =
        |member: &Member| read_metric(member, "sardinepath_orders_sent_total{action=\"load\"}");
    wait_for("the load of the first version", || {
        load_count(&member) == 1.0
    });
    weights.ask(move |state| state.publish(model, WeightVersion(4)));
    wait_for("the load of the second version", || {
        load_count(&member) == 2.0
    });

    assert_eq!(loads(3).count(), 2);
    assert_eq!(loads(4).count(), 1);
    assert!(
        loads(3)
            .chain(loads(4))
            .all(|o| o.accepted && o.fence.0 == 1)
    );
}
