//! Tests of the life cycle of a request and of the request ids that an agent remembers.

#![allow(clippy::unwrap_used, missing_docs)]

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use sardinepath_core::decision::agent::AgentState;
use sardinepath_core::decision::agent::AnswerVersions;
use sardinepath_core::decision::agent::RequestState;
use sardinepath_core::decision::request::AfterFailure;
use sardinepath_core::decision::request::Request;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::error::Failure;
use sardinepath_core::domain::error::RunState;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::Incarnation;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::target::StatedVersions;

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The entry cannot reach the agent, so nothing runs.
    Unreachable,
    /// The target runs the call, but its answer is lost on the way.
    RunAndLost(ErrorKind),
    /// The target runs the call and the answer is complete.
    Whole,
    /// The caller gets a part of the answer, then the connection is lost.
    SentAndLost,
    /// The entry stops the attempt after the target ran it, with an error kind that by itself means
    /// "not run".
    Stopped(ErrorKind),
    /// The control thread refuses the request before the attempt.
    Refused(ErrorKind),
}

fn any_event() -> impl Strategy<Value = Event> {
    let lost = prop_oneof![
        Just(ErrorKind::AgentLost),
        Just(ErrorKind::Truncated),
        Just(ErrorKind::TargetSilent),
        Just(ErrorKind::TargetFailed),
    ];
    let local = prop_oneof![
        Just(ErrorKind::Draining),
        Just(ErrorKind::KeyWithdrawn),
        Just(ErrorKind::NoTarget),
    ];
    prop_oneof![
        3 => Just(Event::Unreachable),
        3 => lost.prop_map(Event::RunAndLost),
        1 => Just(Event::Whole),
        1 => Just(Event::SentAndLost),
        1 => local.clone().prop_map(Event::Stopped),
        1 => local.prop_map(Event::Refused),
    ]
}

/// Runs a request through the events. Returns the number of times it ran, and its failure or `None`
/// after a complete answer.
fn run_request(idempotent: bool, events: &[Event]) -> (u32, Option<Failure>) {
    let mut request = Request::new(RequestId(7), idempotent);
    let mut ran = 0;
    for event in events {
        if let Event::Refused(kind) = event {
            return (ran, request.refuse(Failure::from(*kind)).failure());
        }
        let mut sent = request.dispatch();
        if !matches!(event, Event::Unreachable) {
            ran += 1;
        }
        let failure = match *event {
            Event::Whole => return (ran, sent.finish().failure()),
            Event::Stopped(kind) => return (ran, sent.abort(Failure::from(kind)).failure()),
            Event::Unreachable => ErrorKind::Unreachable,
            Event::RunAndLost(kind) => kind,
            Event::SentAndLost => {
                sent.mark_sent();
                ErrorKind::Truncated
            }
            Event::Refused(_) => unreachable!("handled above"),
        };
        request = match sent.fail(Failure::from(failure)) {
            AfterFailure::Retry(next) => next,
            AfterFailure::Final(answered) => return (ran, answered.failure()),
        };
    }
    let failure = Failure::from(ErrorKind::NoTarget);
    (ran, request.refuse(failure).failure())
}

/// Event of a request at an agent.
#[derive(Clone, Copy, Debug)]
enum AgentEvent {
    Begin,
    End,
    /// The target did not start the request.
    NotRun,
}

fn any_agent_event() -> impl Strategy<Value = AgentEvent> {
    prop_oneof![
        Just(AgentEvent::Begin),
        Just(AgentEvent::End),
        Just(AgentEvent::NotRun)
    ]
}

fn workspace() -> WorkspaceId {
    WorkspaceId {
        team: "print".into(),
        name: "dream-diary".into(),
    }
}

proptest! {
    /// Guards against a failure that says "not run" for a request that ran, after which the caller
    /// would send it again.
    #[test]
    fn not_run_is_never_claimed_after_a_run(
        idempotent in any::<bool>(),
        events in proptest::collection::vec(any_event(), 0..6),
    ) {
        let (ran, failure) = run_request(idempotent, &events);

        let claims = failure.is_some_and(|f| f.run == RunState::NotRun);
        prop_assert!(!claims || ran == 0, "ran {ran} times: {events:?}");
    }

    /// Guards against a second run of a request that must run at most once.
    #[test]
    fn non_idempotent_request_runs_at_most_once(
        events in proptest::collection::vec(any_event(), 0..6),
    ) {
        let (ran, _) = run_request(false, &events);

        prop_assert!(ran <= 1, "ran {ran} times: {events:?}");
    }

    /// Guards against an agent that starts a known id twice, in any order of begins, ends, refusals
    /// by the target and lookups. The agent must also reject a refused attempt whose message
    /// arrives again, accept an id that never ran, and find running requests in a lookup.
    #[test]
    fn agent_starts_each_non_idempotent_id_once(
        steps in proptest::collection::vec((0_u128..4, any_agent_event()), 0..40),
    ) {
        let mut agent = AgentState::new(Incarnation(1));
        let mut begun = [0_u32; 4];
        let mut refused = [0_u32; 4];
        let mut open = [false; 4];

        for (id, step) in steps {
            let at = usize::try_from(id).unwrap();
            match step {
                AgentEvent::Begin => {
                    let stale = Attempt(refused[at]);
                    if refused[at] > 0 {
                        prop_assert!(agent.begin(RequestId(id), stale, false).is_err());
                    }
                    let next = Attempt(refused[at] + 1);
                    let fine = agent.begin(RequestId(id), next, false).is_ok();
                    prop_assert_eq!(fine, begun[at] == 0);
                    begun[at] += u32::from(fine);
                    open[at] |= fine;
                }
                AgentEvent::End if open[at] => {
                    agent.end(RequestId(id), &workspace(), None);
                    open[at] = false;
                }
                AgentEvent::NotRun if open[at] => {
                    refused[at] += 1;
                    agent.refuse(RequestId(id), Attempt(refused[at]));
                    begun[at] -= 1;
                    open[at] = false;
                }
                AgentEvent::End | AgentEvent::NotRun => {}
            }
            let known = match (begun[at], open[at]) {
                (0, _) => RequestState::Unknown,
                (_, true) => RequestState::Running,
                (_, false) => RequestState::Ended,
            };
            prop_assert_eq!(agent.lookup(RequestId(id)), known);
        }

        prop_assert!(begun.iter().all(|times| *times <= 1));
        let running = open.iter().filter(|open| **open).count();
        prop_assert_eq!(agent.running() as usize, running);
    }

    /// Guards against an order of a former lease holder that takes effect after one of its
    /// successor.
    #[test]
    fn accepted_fences_never_fall(fences in proptest::collection::vec(0_u64..9, 0..30)) {
        let mut agent = AgentState::new(Incarnation(1));

        let accepted: Vec<_> = fences
            .into_iter()
            .filter(|fence| agent.fence(Fence(*fence)).is_ok())
            .collect();

        prop_assert!(accepted.is_sorted());
    }
}

/// Guards against an answer that lists a weight version that produced no part of it, and against
/// one that omits a version because a part named only some.
#[test]
fn label_names_exactly_what_is_known() {
    let version = |n| WeightVersion(n);
    let cases = [
        (
            vec![StatedVersions::All(vec![version(8)])],
            Some(7),
            Some(9),
            vec![8],
        ),
        (
            vec![
                StatedVersions::All(vec![version(8)]),
                StatedVersions::Nothing,
            ],
            None,
            None,
            vec![8],
        ),
        (
            vec![StatedVersions::Some(vec![version(8)])],
            Some(7),
            Some(8),
            vec![7, 8],
        ),
        (
            vec![StatedVersions::Some(vec![version(8)])],
            None,
            Some(8),
            vec![],
        ),
        (
            vec![StatedVersions::Some(vec![])],
            Some(7),
            Some(7),
            vec![7],
        ),
        (vec![], Some(7), None, vec![]),
    ];
    for (parts, before, after, expected) in cases {
        let mut label = AnswerVersions::new(before.map(WeightVersion));
        parts.iter().cloned().for_each(|part| label.add(part));

        let versions = label.versions(after.map(WeightVersion));

        let expected: Vec<_> = expected.into_iter().map(WeightVersion).collect();
        assert_eq!(versions, expected, "{parts:?}");
    }
}
