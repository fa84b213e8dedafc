//! Tests of the logs of the platform's services under faults.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use common::open;
use common::read_all;
use common::wait_until;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::port::host::HostEntry;
use sardinepath_standins::hosts::HostState;
use sardinepath_standins::hosts::Hosts;
use sardinepath_standins::orders::OrderResult;
use sardinepath_standins::orders::OrderState;
use sardinepath_standins::orders::Orders;
use sardinepath_standins::plain::PlainService;
use sardinepath_standins::scoring::ScoreState;
use sardinepath_standins::scoring::Scoring;
use sardinepath_standins::usage::Usage;
use sardinepath_standins::usage::UsageState;
use sardinepath_standins::weights::WeightState;
use sardinepath_standins::weights::Weights;
use serde_json::json;

const HOUR: Duration = Duration::from_secs(3600);

/// Sends a request and returns the status of the answer, or `None` without an answer. `minreq` is
/// not used, since it reports a connection that closes without an answer as status 503.
fn post(address: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let answer = read_all(open(address, path, "", body));
    answer.split(' ').nth(1)?.parse().ok()
}

fn order(intent: &str, fence: u64, action: &str) -> String {
    let order = json!({
        "intent": intent, "fence": fence, "centre": "cx1", "target": "engine-1", "action": action,
    });
    order.to_string()
}

fn report(tokens: u64) -> String {
    let workspace = json!({"team": "print", "name": "dream-diary"});
    json!({"id": "print/dream-diary/7", "workspace": workspace, "window": 7, "tokens": tokens})
        .to_string()
}

fn host(name: &str) -> HostEntry {
    HostEntry {
        host: name.into(),
        centre: "cx1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        target: None,
        leaving: false,
    }
}

fn results(orders: &Orders) -> Vec<OrderResult> {
    orders.ask(|state| state.log.iter().map(|entry| entry.result).collect())
}

/// Guards against a log without calls whose answer failed, or with calls that were not executed.
#[test]
fn plain_service_logs_exactly_what_it_executed() {
    let service = PlainService::start().unwrap();
    let call = |path: &str| post(service.address, path, "");
    service.set_faults(|faults| faults.refuse = 1);
    let refused = call("/refused");
    service.set_faults(|faults| faults.fail = 1);
    let failed = call("/failed");
    service.set_faults(|faults| faults.lose = 1);
    let lost = call("/lost");
    service.stop();
    let down = TcpStream::connect(service.address).is_err();
    service.restart().unwrap();
    let fine = call("/fine");

    let statuses = [refused, failed, lost, fine];
    assert_eq!(statuses, [Some(503), Some(500), None, Some(200)]);
    assert!(down);
    let paths: Vec<_> = service
        .executed()
        .into_iter()
        .map(|call| call.path)
        .collect();
    assert_eq!(paths, ["/failed", "/lost", "/fine"]);
}

/// Guards against delays that also apply to the status. The agent would then report that the target
/// is not serving, and tests of slow calls would fail on a busy machine.
#[test]
fn delays_of_calls_leave_the_status_alone() {
    let service = PlainService::start().unwrap();
    service.set_faults(|faults| faults.delay = Duration::from_secs(600));
    let url = format!("http://{}/status?after=0", service.address);

    let answer = minreq::get(url).with_timeout(60).send().unwrap();

    assert_eq!(answer.status_code, 200);
}

/// Guards against a repeated intent that takes effect twice, and an outdated fence that takes
/// effect at all.
#[test]
fn order_log_distinguishes_applied_repeated_and_fenced() {
    let orders = Orders::serve(OrderState::new(true, Duration::ZERO)).unwrap();
    let send = |body: String| post(orders.address, "/orders", &body);
    orders.set_faults(|faults| faults.lose = 1);

    let statuses = [
        send(order("i1", 5, "start")),
        send(order("i1", 5, "start")),
        send(order("i2", 4, "stop")),
    ];

    assert_eq!(statuses, [None, Some(200), Some(409)]);
    let expected = [
        OrderResult::Applied,
        OrderResult::Repeated,
        OrderResult::Fenced,
    ];
    assert_eq!(results(&orders), expected);
    let fences = orders.ask(|state| state.log.iter().map(|e| e.order.fence).collect::<Vec<_>>());
    assert_eq!(fences, [Fence(5), Fence(5), Fence(4)]);
    assert_eq!(orders.ask(|state| state.running(Instant::now())).len(), 1);
}

/// Guards against a stand-in that checks fences although the check is off. Tests would then not
/// cover order APIs without the check.
#[test]
fn old_fence_takes_effect_where_it_is_not_checked() {
    let orders = Orders::serve(OrderState::new(false, Duration::ZERO)).unwrap();

    post(orders.address, "/orders", &order("i1", 5, "start"));
    post(orders.address, "/orders", &order("i2", 4, "stop"));

    assert_eq!(results(&orders), [OrderResult::Applied; 2]);
    assert!(orders.ask(|state| state.running(Instant::now())).is_empty());
}

/// Guards against targets that run before their start time has passed, and a second start order
/// that restarts this time.
#[test]
fn start_takes_its_time_from_the_first_order() {
    let orders = Orders::serve(OrderState::new(true, HOUR)).unwrap();
    post(orders.address, "/orders", &order("i1", 1, "start"));
    post(orders.address, "/orders", &order("i2", 1, "start"));
    let first = orders.ask(|state| state.log[0].time);

    let running = |at: Instant| orders.ask(move |state| state.running(at).len());

    assert_eq!((running(Instant::now()), running(first + HOUR)), (0, 1));
}

/// Guards against a held order that is dropped when its sender disconnects.
#[test]
fn held_order_takes_effect_after_its_sender_has_gone() {
    let orders = Orders::serve(OrderState::new(true, Duration::ZERO)).unwrap();
    orders.set_faults(|faults| faults.hold = Duration::from_secs(3));

    let stream = open(orders.address, "/orders", "", &order("i1", 1, "start"));
    std::thread::sleep(Duration::from_secs(1));
    let early = results(&orders);
    drop(stream);

    wait_until("the late effect", || !results(&orders).is_empty());
    assert!(early.is_empty());
}

/// Guards against reports that are billed twice, or accepted with changed figures.
#[test]
fn usage_log_keeps_repeats_and_flags_other_figures() {
    let usage = Usage::serve(UsageState::default()).unwrap();
    let send = |tokens| post(usage.address, "/reports", &report(tokens));
    usage.set_faults(|faults| faults.lose = 1);

    let statuses = [send(40), send(40), send(41)];

    assert_eq!(statuses, [None, Some(200), Some(409)]);
    let flags = usage.ask(|state| state.log.iter().map(|e| e.contradicts).collect::<Vec<_>>());
    assert_eq!(flags, [false, false, true]);
    assert_eq!(
        usage.ask(|state| state.billed().into_values().sum::<u64>()),
        40
    );
}

/// Guards against a host list that shows changes before its lag has passed.
#[test]
fn host_list_shows_changes_after_its_lag() {
    let lagging = Hosts::serve(HostState::new(HOUR, vec![host("old")])).unwrap();

    lagging.ask(|state| state.set(vec![host("new")]));

    let shown = |at: Instant| lagging.ask(move |state| state.visible_hosts(at).to_vec());
    assert_eq!(shown(Instant::now()), [host("old")]);
    assert_eq!(shown(Instant::now() + HOUR), [host("new")]);
}

/// Guards against a rate limit that applies to each reader instead of all readers together.
#[test]
fn weight_store_shares_its_rate_among_readers() {
    let weights = Weights::serve(WeightState::new(500_000, 1_000_000)).unwrap();
    let url = format!("http://{}/models/small/versions/3", weights.address);
    let publish = minreq::put(&url)
        .with_timeout(60)
        .send()
        .unwrap()
        .status_code;
    let again = minreq::put(&url)
        .with_timeout(60)
        .send()
        .unwrap()
        .status_code;
    let start = Instant::now();

    let read = || {
        minreq::get(&url)
            .with_timeout(60)
            .send()
            .unwrap()
            .into_bytes()
            .len()
    };
    let lengths = std::thread::scope(|scope| {
        let readers = [scope.spawn(read), scope.spawn(read)];
        readers.map(|reader| reader.join().unwrap())
    });

    assert_eq!((publish, again, lengths), (200, 409, [500_000; 2]));
    assert!(start.elapsed() >= Duration::from_millis(990));
    assert_eq!(
        weights.ask(|state| state.latest("small")),
        Some(WeightVersion(3))
    );
    assert_eq!(weights.ask(|state| state.reads.len()), 2);
}

/// Guards against a log without the scored calls whose answer was lost.
#[test]
fn scoring_log_counts_calls_with_lost_answers() {
    let scoring = Scoring::serve(ScoreState::default()).unwrap();
    let body = json!({"prompt": "a pump", "answer": "it leaks"}).to_string();
    let call = || post(scoring.address, "/score", &body);
    scoring.set_faults(|faults| {
        faults.refuse = 1;
        faults.lose = 1;
    });

    let statuses = [call(), call(), call()];

    assert_eq!(statuses, [Some(503), None, Some(200)]);
    assert_eq!(scoring.ask(|state| state.log.len()), 2);
}
