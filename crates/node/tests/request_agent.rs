//! The interface of an agent to entries: weight versions, orders, look-ups and counters.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod request_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use request_support::ScriptedTarget;
use request_support::WAIT_TIMEOUT;
use request_support::start_agent;
use request_support::wait_until;
use sardinepath_adapters::rpc::client::RpcClient;
use sardinepath_adapters::runtime::Runtime;
use sardinepath_core::decision::agent::RequestState;
use sardinepath_core::domain::call::AnswerSummary;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::call::CallEvent;
use sardinepath_core::domain::declare::Priority;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::error::RunState;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::order::AgentAction;
use sardinepath_core::domain::order::AgentOrder;
use sardinepath_core::domain::order::OrderAnswer;
use sardinepath_core::port::agent::AgentPort;
use sardinepath_node::agent::Agent;

/// An agent with its target, and a client that calls it as an entry does.
struct Fixture {
    target: ScriptedTarget,
    agent: Agent,
    peers: RpcClient,
    runtime: Runtime,
}

/// Starts an agent whose target reports this weight version.
fn start_fixture(version: u64) -> Fixture {
    let target = ScriptedTarget::start();
    target.log.version.store(version, Ordering::SeqCst);
    let runtime = Runtime::start(2).unwrap();
    Fixture {
        agent: start_agent(target.address, 0),
        target,
        peers: RpcClient::new(runtime.spawner()),
        runtime,
    }
}

fn workspace() -> WorkspaceId {
    WorkspaceId {
        team: "print".into(),
        name: "diary".into(),
    }
}

/// Returns a first attempt of the request with this number.
fn new_call(request: u128, path: &str, streamed: bool) -> Call {
    Call {
        request: RequestId(request),
        attempt: Attempt(1),
        workspace: workspace(),
        method: Arc::from("POST"),
        path: Arc::from(path),
        fields: Arc::from([]),
        body: Arc::from([]),
        idempotent: false,
        deadline: WAIT_TIMEOUT,
        priority: Priority::Interactive,
        streamed,
    }
}

/// Returns an order to load a weight version.
fn load_order(fence: u64, version: u64) -> AgentOrder {
    AgentOrder {
        fence: Fence(fence),
        intent: Arc::from("intent-1"),
        action: AgentAction::Load {
            model: "m".into(),
            version: WeightVersion(version),
        },
    }
}

impl Fixture {
    /// Runs a call and returns how it ended.
    fn run_call(&self, agent: SocketAddr, call: Call) -> Result<AnswerSummary, Failure> {
        let (sender, events) = flume::bounded(64);
        let _guard = self.peers.execute(agent, call, sender);
        loop {
            match events.recv_timeout(WAIT_TIMEOUT).unwrap() {
                CallEvent::End(ending) => return Ok(ending),
                CallEvent::Failed(failure) => return Err(failure),
                _ => {}
            }
        }
    }

    /// Sends an order to the agent and returns its answer.
    fn send_order(&self, order: &AgentOrder) -> OrderAnswer {
        let work = self.peers.order(self.agent.address, order);
        self.runtime.spawner().block_on(work).unwrap()
    }

    /// Looks up the state of a request at an agent.
    fn lookup(&self, agent: SocketAddr, request: u128) -> RequestState {
        let work = self.peers.lookup(agent, RequestId(request));
        self.runtime.spawner().block_on(work).unwrap().1
    }
}

/// Guards against an answer that does not name each weight version that produced it: both versions
/// of a swap during the stream, or a version that only the status of the target reports. A version
/// that was replaced before the first token must not be named.
#[test]
fn answer_names_every_version() {
    let cases = [("/swap/1", true, vec![7, 8]), ("/stream/1", true, vec![6])];
    for (path, streamed, expected) in cases {
        let fixture = start_fixture(6);

        let ending = fixture
            .run_call(fixture.agent.address, new_call(1, path, streamed))
            .unwrap();

        let versions: Vec<_> = ending.versions.iter().map(|v| v.0).collect();
        assert_eq!(versions, expected);
        assert_eq!(ending.tokens, 5);
    }
}

/// Guards against a stream that is accepted as complete without its closing event.
#[test]
fn stream_without_its_closing_event_is_truncated() {
    let fixture = start_fixture(7);

    let failure = fixture
        .run_call(fixture.agent.address, new_call(1, "/drop/1", true))
        .unwrap_err();

    assert_eq!(failure, Failure::from(ErrorKind::Truncated));
}

/// Guards against a second run of a request id, and against a look-up that reports more than the
/// agent can know: it knows nothing from before its restart.
#[test]
fn repeated_request_id_is_refused_until_a_restart() {
    let fixture = start_fixture(0);
    let before = fixture.lookup(fixture.agent.address, 1);

    let first = fixture.run_call(fixture.agent.address, new_call(1, "/plain/1", false));
    let second = fixture.run_call(fixture.agent.address, new_call(1, "/plain/1", false));
    let known = fixture.lookup(fixture.agent.address, 1);
    let restarted = start_agent(fixture.target.address, 0);
    let after = fixture.lookup(restarted.address, 1);

    assert!(first.is_ok());
    let failure = second.unwrap_err();
    assert_eq!(
        (failure.kind, failure.run),
        (ErrorKind::Repeated, RunState::MayHaveRun)
    );
    assert_eq!(fixture.target.count_runs("/plain/1"), 1);
    assert_eq!(
        (before, known, after),
        (
            RequestState::Unknown,
            RequestState::Ended,
            RequestState::Unknown
        )
    );
}

/// Guards against a look-up that reports a running request as ended, or a cancelled request as
/// running.
#[test]
fn lookup_follows_a_cancelled_request() {
    let fixture = start_fixture(0);
    let (sender, _events) = flume::bounded(64);
    let address = fixture.agent.address;
    let guard = fixture
        .peers
        .execute(address, new_call(1, "/hang/1", false), sender);
    wait_until("the target runs the call", || {
        fixture.target.count_runs("/hang/1") == 1
    });

    let running = fixture.lookup(address, 1);
    drop(guard);

    assert_eq!(running, RequestState::Running);
    wait_until("the call has ended", || {
        fixture.lookup(address, 1) == RequestState::Ended
    });
}

/// Guards against a load that was ordered by a former holder of the duty and reaches a target that
/// does not check the fencing token.
#[test]
fn old_fence_is_refused_before_the_target() {
    let fixture = start_fixture(1);

    let answers = [load_order(5, 2), load_order(4, 3), load_order(5, 4)]
        .map(|order| fixture.send_order(&order));

    let results = answers.map(|answer| answer.result);
    assert_eq!(results, [Ok(()), Err(ErrorKind::Fenced), Ok(())]);
    assert!(answers.iter().all(|answer| answer.fence == Fence(5)));
    let loads = fixture.target.log.loads.lock().unwrap();
    assert_eq!(loads.len(), 2);
    assert!(loads[0].contains("\"version\":2") && loads[1].contains("\"version\":4"));
}

/// Guards against new calls that run at a drained target, against a drain that aborts running
/// calls, and against a drain that was ordered by a former holder of the duty.
#[test]
fn drained_agent_refuses_new_work_and_finishes_the_old() {
    let fixture = start_fixture(0);
    let drain = |fence| AgentOrder {
        action: AgentAction::Drain,
        ..load_order(fence, 0)
    };
    let address = fixture.agent.address;
    fixture.send_order(&load_order(9, 1));
    let stale = fixture.send_order(&drain(8));
    let (sender, events) = flume::bounded(64);
    let _guard = fixture
        .peers
        .execute(address, new_call(1, "/late/1", false), sender);
    wait_until("the target runs the call", || {
        fixture.target.count_runs("/late/1") == 1
    });

    let current = fixture.send_order(&drain(9));
    let refused = fixture
        .run_call(address, new_call(2, "/plain/2", false))
        .unwrap_err();
    let last = events.iter().last();

    assert_eq!(
        (stale.result, current.result),
        (Err(ErrorKind::Fenced), Ok(()))
    );
    assert_eq!(
        (refused.kind, refused.run),
        (ErrorKind::TargetLeaving, RunState::NotRun)
    );
    assert_eq!(fixture.target.count_runs("/plain/2"), 0);
    assert!(matches!(last, Some(CallEvent::End(_))), "{last:?}");
}

/// Guards against usage counters that miss a complete answer or count an incomplete one.
#[test]
fn counters_count_complete_answers() {
    let fixture = start_fixture(7);
    let address = fixture.agent.address;
    let first = fixture
        .run_call(address, new_call(1, "/stream/1", true))
        .unwrap();
    let second = fixture
        .run_call(address, new_call(2, "/stream/2", true))
        .unwrap();
    fixture
        .run_call(address, new_call(3, "/drop/3", true))
        .unwrap_err();

    let work = fixture.peers.counters(address);
    let counters = fixture.runtime.spawner().block_on(work).unwrap();

    assert_eq!(first.counter.unwrap().tokens, 5);
    assert_eq!(counters, [second.counter.unwrap()]);
    assert_eq!(
        (counters[0].tokens, &counters[0].workspace),
        (10, &workspace())
    );
}

/// Guards against stalled streams that block all other calls to the same agent, because their
/// callers have stopped reading and the unread data fills the buffers of the shared connection.
#[test]
fn stalled_streams_do_not_hold_up_other_calls() {
    let fixture = start_fixture(0);
    let address = fixture.agent.address;
    let mut stalled = Vec::new();
    for n in 0..64 {
        let (sender, events) = flume::bounded(1);
        let guard = fixture
            .peers
            .execute(address, new_call(100 + n, "/flood/1", true), sender);
        stalled.push((guard, events));
    }
    wait_until("all streams are running", || {
        fixture.target.count_runs("/flood/1") == 64
    });
    std::thread::sleep(Duration::from_secs(1));

    let answer = fixture.run_call(address, new_call(1, "/plain/1", false));

    assert!(answer.is_ok(), "{answer:?}");
}
