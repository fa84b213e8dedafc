//! The stand-in of a target, whose log decides whether gateways keep their promises.
#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use sardinepath_adapters::web::Body;
use sardinepath_adapters::web::Pool;
use sardinepath_platform::names;
use sardinepath_soak::store::StoreStandIn;
use sardinepath_soak::target::DRAIN_TIME;
use sardinepath_soak::target::TargetStandIn;
use tokio::runtime::Runtime;

/// Starts a target.
fn target(runtime: &Runtime) -> Arc<TargetStandIn> {
    let (store, _) = runtime.block_on(StoreStandIn::start()).unwrap();
    let started = TargetStandIn::start(store, "s0", "shop");
    runtime.block_on(started).unwrap()
}

/// Sends a request to a target on the connection of the pool, and waits for its answer.
fn send(runtime: &Runtime, pool: &Pool, target: &TargetStandIn, id: &str) {
    let request = Request::post("/page/x").header(names::REQUEST_ID, id);
    let request = request.body(Body::new(Bytes::new())).unwrap();
    let call = pool.call(target.address(), request, Duration::from_secs(2), 1024);
    runtime.block_on(call).unwrap();
}

/// Returns the ids of the requests that came too late.
fn late(target: &TargetStandIn) -> Vec<String> {
    let late = target.log().late_requests;
    late.into_iter().map(|late| late.id).collect()
}

/// Guards against a late request that is overlooked.
#[test]
fn a_request_long_after_the_statement_of_a_run_is_late() {
    let runtime = Runtime::new().unwrap();
    let (pool, target) = (Pool::default(), target(&runtime));
    target.say_leaving();
    send(&runtime, &pool, &target, "r1");

    std::thread::sleep(DRAIN_TIME + Duration::from_millis(200));
    send(&runtime, &pool, &target, "r2");

    assert_eq!(late(&target), ["r2"]);
}

/// Guards against a check that measures the statement of a run from that of an earlier run on the same
/// connection, and against one that forgets the statement of a run because of a later start.
#[test]
fn the_statement_of_an_earlier_run_does_not_count() {
    let runtime = Runtime::new().unwrap();
    let (pool, target) = (Pool::default(), target(&runtime));
    target.say_leaving();
    send(&runtime, &pool, &target, "r1");
    target.start_anew("shop");
    std::thread::sleep(DRAIN_TIME + Duration::from_millis(200));
    target.say_leaving();

    send(&runtime, &pool, &target, "r2");
    let first = late(&target);
    std::thread::sleep(DRAIN_TIME + Duration::from_millis(200));
    send(&runtime, &pool, &target, "r3");

    assert_eq!((first, late(&target)), (vec![], vec!["r3".to_owned()]));
}
