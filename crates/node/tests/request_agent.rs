//! What an agent tells and takes: versions, orders, look-ups, counters.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;
mod request_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use request_support::Target;
use request_support::WAIT_LIMIT;
use request_support::start_agent;
use request_support::wait_until;
use sardinepath_adapters::rpc::client::Peers;
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

struct Beside {
    target: Target,
    agent: Agent,
    peers: Peers,
    runtime: Runtime,
}

fn start(version: u64) -> Beside {
    let target = Target::start();
    target.log.version.store(version, Ordering::SeqCst);
    let runtime = Runtime::start(2).unwrap();
    Beside {
        agent: start_agent(target.address, 0),
        target,
        peers: Peers::new(runtime.spawner()),
        runtime,
    }
}

fn workspace() -> WorkspaceId {
    WorkspaceId {
        team: "print".into(),
        name: "diary".into(),
    }
}

fn call(request: u128, path: &str, streamed: bool) -> Call {
    Call {
        request: RequestId(request),
        attempt: Attempt(1),
        workspace: workspace(),
        method: Arc::from("POST"),
        path: Arc::from(path),
        fields: Arc::from([]),
        body: Arc::from([]),
        idempotent: false,
        deadline: WAIT_LIMIT,
        priority: Priority::Interactive,
        streamed,
    }
}

fn load(fence: u64, version: u64) -> AgentOrder {
    AgentOrder {
        fence: Fence(fence),
        intent: Arc::from("intent-1"),
        action: AgentAction::Load {
            model: "m".into(),
            version: WeightVersion(version),
        },
    }
}

impl Beside {
    /// Runs a call to its last event.
    fn run(&self, agent: SocketAddr, call: Call) -> Result<AnswerSummary, Failure> {
        let (sender, events) = flume::bounded(64);
        let _guard = self.peers.execute(agent, call, sender);
        loop {
            match events.recv_timeout(WAIT_LIMIT).unwrap() {
                CallEvent::End(ending) => return Ok(ending),
                CallEvent::Failed(failure) => return Err(failure),
                _ => {}
            }
        }
    }

    fn order(&self, order: &AgentOrder) -> OrderAnswer {
        let work = self.peers.order(self.agent.address, order);
        self.runtime.spawner().block_on(work).unwrap()
    }

    fn lookup(&self, agent: SocketAddr, request: u128) -> RequestState {
        let work = self.peers.lookup(agent, RequestId(request));
        self.runtime.spawner().block_on(work).unwrap().1
    }
}

/// Guards against an answer that hides one of the versions that produced it, with a swap in
/// mid-stream and with versions that only the status names, and against one that names a version
/// that was replaced before its first token.
#[test]
fn answer_names_every_version() {
    let cases = [("/swap/1", true, vec![7, 8]), ("/stream/1", true, vec![6])];
    for (path, streamed, expected) in cases {
        let beside = start(6);

        let ending = beside
            .run(beside.agent.address, call(1, path, streamed))
            .unwrap();

        let versions: Vec<_> = ending.versions.iter().map(|v| v.0).collect();
        assert_eq!(versions, expected);
        assert_eq!(ending.tokens, 5);
    }
}

/// Guards against a stream that counts as whole without its closing event.
#[test]
fn stream_without_its_closing_event_is_truncated() {
    let beside = start(7);

    let failure = beside
        .run(beside.agent.address, call(1, "/drop/1", true))
        .unwrap_err();

    assert_eq!(failure, Failure::from(ErrorKind::Truncated));
}

/// Guards against a second run of a request id, and against a look-up that claims more than
/// this run of the agent can know.
#[test]
fn repeated_request_id_is_refused_until_a_restart() {
    let beside = start(0);
    let before = beside.lookup(beside.agent.address, 1);

    let first = beside.run(beside.agent.address, call(1, "/plain/1", false));
    let second = beside.run(beside.agent.address, call(1, "/plain/1", false));
    let known = beside.lookup(beside.agent.address, 1);
    let restarted = start_agent(beside.target.address, 0);
    let after = beside.lookup(restarted.address, 1);

    assert!(first.is_ok());
    let failure = second.unwrap_err();
    assert_eq!(
        (failure.kind, failure.run),
        (ErrorKind::Repeated, RunState::MayHaveRun)
    );
    assert_eq!(beside.target.runs("/plain/1"), 1);
    assert_eq!(
        (before, known, after),
        (
            RequestState::Unknown,
            RequestState::Ended,
            RequestState::Unknown
        )
    );
}

/// Guards against a look-up that calls a running request ended, and a cancelled one running.
#[test]
fn lookup_follows_a_cancelled_request() {
    let beside = start(0);
    let (sender, _events) = flume::bounded(64);
    let address = beside.agent.address;
    let guard = beside
        .peers
        .execute(address, call(1, "/hang/1", false), sender);
    wait_until("the target runs the call", || {
        beside.target.runs("/hang/1") == 1
    });

    let running = beside.lookup(address, 1);
    drop(guard);

    assert_eq!(running, RequestState::Running);
    wait_until("the call has ended", || {
        beside.lookup(address, 1) == RequestState::Ended
    });
}

/// Guards against a load by a former holder of the duty, also at a target that does not check.
#[test]
fn old_fence_is_refused_before_the_target() {
    let beside = start(1);

    let answers = [load(5, 2), load(4, 3), load(5, 4)].map(|order| beside.order(&order));

    let results = answers.map(|answer| answer.result);
    assert_eq!(results, [Ok(()), Err(ErrorKind::Fenced), Ok(())]);
    assert!(answers.iter().all(|answer| answer.fence == Fence(5)));
    let loads = beside.target.log.loads.lock().unwrap();
    assert_eq!(loads.len(), 2);
    assert!(loads[0].contains("\"version\":2") && loads[1].contains("\"version\":4"));
}

/// Guards against new work at a target that was drained, against a cut of what runs there, and
/// against a drain by a former holder.
#[test]
fn drained_agent_refuses_new_work_and_finishes_the_old() {
    let beside = start(0);
    let drain = |fence| AgentOrder {
        action: AgentAction::Drain,
        ..load(fence, 0)
    };
    let address = beside.agent.address;
    beside.order(&load(9, 1));
    let old = beside.order(&drain(8));
    let (sender, events) = flume::bounded(64);
    let _guard = beside
        .peers
        .execute(address, call(1, "/late/1", false), sender);
    wait_until("the target runs the call", || {
        beside.target.runs("/late/1") == 1
    });

    let new = beside.order(&drain(9));
    let refused = beside.run(address, call(2, "/plain/2", false)).unwrap_err();
    let last = events.iter().last();

    assert_eq!((old.result, new.result), (Err(ErrorKind::Fenced), Ok(())));
    assert_eq!(
        (refused.kind, refused.run),
        (ErrorKind::TargetLeaving, RunState::NotRun)
    );
    assert_eq!(beside.target.runs("/plain/2"), 0);
    assert!(matches!(last, Some(CallEvent::End(_))), "{last:?}");
}

/// Guards against counters that miss an answer or count one that was not whole.
#[test]
fn counters_hold_whole_answers() {
    let beside = start(7);
    let address = beside.agent.address;
    let first = beside.run(address, call(1, "/stream/1", true)).unwrap();
    let second = beside.run(address, call(2, "/stream/2", true)).unwrap();
    beside.run(address, call(3, "/drop/3", true)).unwrap_err();

    let work = beside.peers.counters(address);
    let counters = beside.runtime.spawner().block_on(work).unwrap();

    assert_eq!(first.counter.unwrap().tokens, 5);
    assert_eq!(counters, [second.counter.unwrap()]);
    assert_eq!(
        (counters[0].tokens, &counters[0].workspace),
        (10, &workspace())
    );
}

/// Guards against callers that stop reading and so hold up every other call to the same agent.
#[test]
fn stalled_streams_do_not_hold_up_other_calls() {
    let beside = start(0);
    let address = beside.agent.address;
    let mut stalled = Vec::new();
    for n in 0..64 {
        let (sender, events) = flume::bounded(1);
        let guard = beside
            .peers
            .execute(address, call(100 + n, "/flood/1", true), sender);
        stalled.push((guard, events));
    }
    wait_until("all streams run", || beside.target.runs("/flood/1") == 64);
    std::thread::sleep(Duration::from_secs(1));

    let answer = beside.run(address, call(1, "/plain/1", false));

    assert!(answer.is_ok(), "{answer:?}");
}
