//! Tests the clients of the platform's interfaces with refused calls, and late and lost responses.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use sardinepath_adapters::platform::HttpHosts;
use sardinepath_adapters::platform::HttpOrders;
use sardinepath_adapters::platform::HttpScores;
use sardinepath_adapters::platform::HttpUsage;
use sardinepath_adapters::platform::HttpWeights;
use sardinepath_adapters::runtime::Runtime;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::port::host::HostEntry;
use sardinepath_core::port::host::HostPort;
use sardinepath_core::port::order::OrderAction;
use sardinepath_core::port::order::OrderError;
use sardinepath_core::port::order::OrderPort;
use sardinepath_core::port::order::TargetOrder;
use sardinepath_core::port::score::ScorePort;
use sardinepath_core::port::usage::UsageError;
use sardinepath_core::port::usage::UsagePort;
use sardinepath_core::port::usage::UsageReport;
use sardinepath_core::port::weight::WeightPort;
use sardinepath_standins::hosts::HostState;
use sardinepath_standins::hosts::Hosts;
use sardinepath_standins::orders::OrderResult;
use sardinepath_standins::orders::OrderState;
use sardinepath_standins::orders::Orders;
use sardinepath_standins::scoring::ScoreState;
use sardinepath_standins::scoring::Scoring;
use sardinepath_standins::scoring::score;
use sardinepath_standins::usage::Usage;
use sardinepath_standins::usage::UsageState;
use sardinepath_standins::weights::WeightState;
use sardinepath_standins::weights::Weights;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

struct OrderFixture {
    platform: Orders,
    adapter: HttpOrders,
    _runtime: Runtime,
}

struct UsageFixture {
    platform: Usage,
    adapter: HttpUsage,
    _runtime: Runtime,
}

/// Listener whose accept queue is full, so that further connection attempts time out.
struct FullQueue {
    address: SocketAddr,
    _listener: TcpListener,
    _streams: Vec<TcpStream>,
}

fn orders() -> OrderFixture {
    let platform = Orders::serve(OrderState::new(true, Duration::ZERO)).unwrap();
    let runtime = Runtime::start(1).unwrap();
    OrderFixture {
        adapter: HttpOrders::new(runtime.spawner(), platform.address),
        platform,
        _runtime: runtime,
    }
}

fn usage() -> UsageFixture {
    let platform = Usage::serve(UsageState::default()).unwrap();
    let runtime = Runtime::start(1).unwrap();
    UsageFixture {
        adapter: HttpUsage::new(runtime.spawner(), platform.address),
        platform,
        _runtime: runtime,
    }
}

fn order(intent: &str, fence: u64) -> TargetOrder {
    TargetOrder {
        intent: intent.to_owned(),
        fence: Fence(fence),
        centre: "cx1".into(),
        target: "engine-1".into(),
        action: OrderAction::Start,
    }
}

fn report(tokens: u64) -> UsageReport {
    UsageReport {
        id: "print/dream-diary/7".to_owned(),
        workspace: WorkspaceId {
            team: "print".into(),
            name: "dream-diary".into(),
        },
        window: 7,
        tokens,
    }
}

fn results(platform: &Orders) -> Vec<OrderResult> {
    platform.ask(|state| state.log.iter().map(|entry| entry.result).collect())
}

/// Returns a listener whose accept queue is filled with connections that are never accepted.
fn full_queue(runtime: &Runtime) -> FullQueue {
    runtime.spawner().block_on(async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut streams = Vec::new();
        let limit = Duration::from_millis(500);
        while let Ok(stream) = timeout(limit, TcpStream::connect(address)).await {
            streams.push(stream.unwrap());
            assert!(streams.len() < 100, "the listen queue does not fill");
        }
        FullQueue {
            address,
            _listener: listener,
            _streams: streams,
        }
    })
}

/// Guards against a prepared order that is lost or sent twice.
#[test]
fn prepared_order_takes_effect_once() {
    let fixture = orders();

    fixture.adapter.prepare().unwrap();
    fixture.adapter.send(&order("i1", 1)).unwrap();

    assert_eq!(results(&fixture.platform), [OrderResult::Applied]);
    let states = fixture.adapter.states(&"cx1".into()).unwrap();
    assert_eq!((states[0].intent.as_str(), states[0].started), ("i1", true));
    assert!(fixture.adapter.states(&"cx2".into()).unwrap().is_empty());
}

/// Guards against an order on a connection that was opened after the lease check.
#[test]
fn order_without_a_prepared_connection_is_not_sent() {
    let fixture = orders();
    fixture.adapter.prepare().unwrap();
    fixture.adapter.send(&order("i1", 1)).unwrap();

    let second = fixture.adapter.send(&order("i2", 1));

    assert!(
        matches!(second, Err(OrderError::Unavailable(_))),
        "{second:?}"
    );
    assert_eq!(results(&fixture.platform).len(), 1);
}

/// Guards against an old lease holder that treats the refusal of its fence as a transient error.
#[test]
fn old_fence_is_distinguished_from_other_refusals() {
    let fixture = orders();
    fixture.adapter.prepare().unwrap();
    fixture.adapter.send(&order("i1", 5)).unwrap();

    fixture.adapter.prepare().unwrap();
    let fenced = fixture.adapter.send(&order("i2", 4));

    assert_eq!(fenced, Err(OrderError::Fenced));
}

/// Guards against `Unknown` for an order that certainly had no effect. It would block the intent
/// until the state is read.
#[test]
fn refused_order_certainly_had_no_effect() {
    let fixture = orders();
    fixture.platform.set_faults(|faults| faults.refuse = 1);
    fixture.adapter.prepare().unwrap();
    let refused = fixture.adapter.send(&order("i1", 1));
    fixture.adapter.prepare().unwrap();
    fixture.platform.stop();
    // Waits until the client has noticed the closed connection. If it noticed it only at the write,
    // the effect of the order would be unknown.
    std::thread::sleep(Duration::from_secs(2));
    let closed = fixture.adapter.send(&order("i2", 1));
    let unreachable = fixture.adapter.prepare();

    assert!(
        matches!(refused, Err(OrderError::Unavailable(_))),
        "{refused:?}"
    );
    assert!(
        matches!(closed, Err(OrderError::Unavailable(_))),
        "{closed:?}"
    );
    assert!(
        matches!(unreachable, Err(OrderError::Unavailable(_))),
        "{unreachable:?}"
    );
    assert!(results(&fixture.platform).is_empty());
}

/// Guards against `Unavailable` for an order that took effect, but whose response was lost, failed
/// or late.
#[test]
fn order_with_a_lost_failed_or_late_answer_may_have_taken_effect() {
    let fixture = orders();
    let send = |intent| {
        fixture.adapter.prepare().unwrap();
        fixture.adapter.send(&order(intent, 1))
    };
    fixture.platform.set_faults(|faults| faults.lose = 1);
    let lost = send("i1");
    fixture.platform.set_faults(|faults| faults.fail = 1);
    let failed = send("i2");
    fixture
        .platform
        .set_faults(|faults| faults.delay = Duration::from_secs(3600));
    let late = send("i3");

    for result in [lost, failed, late] {
        assert!(matches!(result, Err(OrderError::Unknown(_))), "{result:?}");
    }
    assert_eq!(results(&fixture.platform), [OrderResult::Applied; 3]);
}

/// Guards against a connect timeout that is reported as a call that may have arrived.
#[test]
fn connect_timeout_certainly_had_no_effect() {
    let runtime = Runtime::start(1).unwrap();
    let queue = full_queue(&runtime);
    let start = Instant::now();

    let order = HttpOrders::new(runtime.spawner(), queue.address).prepare();
    let report = HttpUsage::new(runtime.spawner(), queue.address).report(&report(1));

    assert!(
        matches!(order, Err(OrderError::Unavailable(_))),
        "{order:?}"
    );
    assert!(
        matches!(report, Err(UsageError::Unavailable(_))),
        "{report:?}"
    );
    assert!(start.elapsed() >= Duration::from_secs(2));
}

/// Guards against a repeated report that is billed twice, and a changed one that is accepted.
#[test]
fn usage_report_may_be_repeated_but_not_changed() {
    let fixture = usage();
    fixture.platform.set_faults(|faults| faults.lose = 1);

    let lost = fixture.adapter.report(&report(40));
    let repeated = fixture.adapter.report(&report(40));
    let changed = fixture.adapter.report(&report(41));

    assert!(matches!(lost, Err(UsageError::Unknown(_))), "{lost:?}");
    assert_eq!(
        (repeated, changed),
        (Ok(()), Err(UsageError::Contradiction))
    );
    let billed: Vec<_> = fixture
        .platform
        .ask(|state| state.billed().into_values().collect());
    assert_eq!(billed, [40]);
}

/// Guards against a report that is sent after the lease of its sender has ended.
#[test]
fn usage_report_is_not_written_without_permission() {
    let fixture = usage();

    let refused = fixture.adapter.report_if(&report(40), &|| false);
    let allowed = fixture.adapter.report_if(&report(41), &|| true);

    assert!(
        matches!(refused, Err(UsageError::Unavailable(_))),
        "{refused:?}"
    );
    assert_eq!(allowed, Ok(()));
    let billed: Vec<_> = fixture
        .platform
        .ask(|state| state.billed().into_values().collect());
    assert_eq!(billed, [41]);
}

/// Guards against a wrong error for a report that was refused, got a late response or could not be
/// sent.
#[test]
fn usage_report_distinguishes_no_effect_from_unknown() {
    let fixture = usage();
    fixture.platform.set_faults(|faults| faults.refuse = 1);
    let refused = fixture.adapter.report(&report(40));
    fixture
        .platform
        .set_faults(|faults| faults.delay = Duration::from_secs(3600));
    let late = fixture.adapter.report(&report(40));
    fixture.platform.stop();
    let down = fixture.adapter.report(&report(40));

    assert!(
        matches!(refused, Err(UsageError::Unavailable(_))),
        "{refused:?}"
    );
    assert!(matches!(late, Err(UsageError::Unknown(_))), "{late:?}");
    assert!(matches!(down, Err(UsageError::Unavailable(_))), "{down:?}");
    assert_eq!(fixture.platform.ask(|state| state.log.len()), 1);
}

/// Guards against a host list that is decoded wrongly, and an outage that is reported as an empty
/// list.
#[test]
fn host_list_is_read_and_an_outage_is_an_error() {
    let entry = HostEntry {
        host: "host-1".into(),
        centre: "cx1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        target: Some("engine-1".into()),
        leaving: true,
    };
    let platform = Hosts::serve(HostState::new(Duration::ZERO, vec![entry.clone()])).unwrap();
    let adapter = HttpHosts::new(platform.address);

    let listed = adapter.hosts();
    platform.set_faults(|faults| faults.fail = 1);
    let failed = adapter.hosts();
    platform.stop();

    assert_eq!(listed, Ok(vec![entry]));
    assert!(failed.is_err() && adapter.hosts().is_err());
}

/// Guards against a default weight version if the store does not respond.
#[test]
fn latest_weights_are_read_and_an_outage_is_an_error() {
    let platform = Weights::serve(WeightState::new(0, 1)).unwrap();
    let adapter = HttpWeights::new(platform.address);

    let none = adapter.latest(&"small".into());
    platform.ask(|state| state.publish("small".into(), WeightVersion(4)));
    let latest = adapter.latest(&"small".into());
    platform.set_faults(|faults| faults.delay = Duration::from_secs(3600));
    let late = adapter.latest(&"small".into());

    assert_eq!(latest, Ok(WeightVersion(4)));
    assert!(none.is_err() && late.is_err());
}

/// Guards against a wrong or default score, and a slow service that blocks its client for longer
/// than the limit.
#[test]
fn score_is_read_within_its_limit() {
    let platform = Scoring::serve(ScoreState::default()).unwrap();
    let adapter = HttpScores::new(platform.address);
    let limit = Duration::from_secs(30);

    let scored = adapter.score("a pump", "a long answer", limit);
    platform.set_faults(|faults| faults.delay = Duration::from_secs(3600));
    let late = adapter.score("a pump", "a long answer", Duration::from_secs(1));

    assert_eq!(scored, Ok(score("a long answer")));
    assert!(late.is_err());
    assert_eq!(platform.ask(|state| state.log.len()), 2);
}
