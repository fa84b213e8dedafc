//! Tests the client of targets with the stand-in engine.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;
use std::time::Duration;

use sardinepath_adapters::runtime::Runtime;
use sardinepath_adapters::target::HttpTarget;
use sardinepath_core::decision::prefix::prefix_hashes;
use sardinepath_core::domain::call::Call;
use sardinepath_core::domain::declare::Priority;
use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::ids::Attempt;
use sardinepath_core::domain::ids::Fence;
use sardinepath_core::domain::ids::RequestId;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::target::StatedVersions;
use sardinepath_core::port::target::TargetEvent;
use sardinepath_core::port::target::TargetPort;
use sardinepath_standins::engine::Engine;
use sardinepath_standins::engine::EngineSettings;
use serde_json::json;

struct Fixture {
    engine: Engine,
    target: HttpTarget,
    _runtime: Runtime,
}

fn fixture() -> Fixture {
    let engine = Engine::start(EngineSettings::default()).unwrap();
    let runtime = Runtime::start(1).unwrap();
    Fixture {
        target: HttpTarget::new(runtime.spawner(), engine.address),
        engine,
        _runtime: runtime,
    }
}

fn call(prompt: &str, streamed: bool) -> Call {
    let body = json!({"prompt": prompt, "max_tokens": 6, "stream": streamed}).to_string();
    Call {
        request: RequestId(7),
        attempt: Attempt(1),
        workspace: WorkspaceId {
            team: "print".into(),
            name: "dream-diary".into(),
        },
        method: Arc::from("POST"),
        path: Arc::from("/v1/completions"),
        fields: Arc::from([]),
        body: Arc::from(body.as_bytes()),
        idempotent: true,
        deadline: Duration::from_secs(60),
        priority: Priority::Training,
        streamed,
    }
}

/// Runs a call and returns its last event, the token count and the versions named before it.
fn run(fixture: &Fixture, call: Call) -> (TargetEvent, Option<u64>, Vec<WeightVersion>) {
    let (sender, events) = flume::unbounded();
    let _guard = fixture.target.call(call, sender);
    let (mut total, mut versions) = (None, Vec::new());
    for event in &events {
        match event {
            TargetEvent::Head { .. } => {}
            TargetEvent::Chunk {
                versions: naming,
                tokens,
                ..
            } => {
                total = tokens.or(total);
                match naming {
                    StatedVersions::All(named) => versions.extend(named),
                    StatedVersions::Nothing => {}
                    StatedVersions::Some(_) => panic!("a part does not name all of its versions"),
                }
            }
            last => return (last, total, versions),
        }
    }
    panic!("the call had no last event");
}

/// Guards against a client that loses the tokens, the versions or the request id.
#[test]
fn both_forms_of_an_answer_name_tokens_and_version() {
    let fixture = fixture();
    fixture
        .target
        .load(&"small".into(), WeightVersion(4), Fence(1))
        .unwrap();

    let answers = [true, false].map(|streamed| run(&fixture, call("tag:both", streamed)));

    for (last, tokens, versions) in answers {
        assert!(matches!(last, TargetEvent::End), "{last:?}");
        assert_eq!(tokens, Some(6));
        assert!(versions.iter().all(|v| *v == WeightVersion(4)) && !versions.is_empty());
    }
    let executions = fixture.engine.log().tagged("both");
    assert_eq!(executions.len(), 2);
    assert!(
        executions
            .iter()
            .all(|e| e.request == RequestId(7).to_string())
    );
}

/// Guards against an incomplete response that is treated as a complete one.
#[test]
fn truncated_and_stopped_answers_fail() {
    let fixture = fixture();
    fixture.engine.set_faults(|faults| {
        faults.truncate = 2;
        faults.stop = 1;
    });

    let answers = [true, false, true].map(|streamed| run(&fixture, call("tag:cut", streamed)));

    for (last, _, _) in answers {
        let TargetEvent::Failed(failure) = last else {
            panic!("the response was treated as complete: {last:?}");
        };
        assert_eq!(failure.kind, ErrorKind::Truncated);
    }
}

/// Guards against a status without its cache events, and a failed load that is reported as done.
#[test]
fn status_and_loads_are_read_as_the_engine_states_them() {
    let fixture = fixture();
    let prompt = "p".repeat(64);
    run(&fixture, call(&prompt, true));

    let status = fixture.target.status(0).unwrap();
    fixture.engine.set_faults(|faults| faults.fail_swaps = 1);
    let failed = fixture
        .target
        .load(&"small".into(), WeightVersion(9), Fence(1));

    assert_eq!((status.version, status.capacity), (WeightVersion(1), 64));
    assert_eq!((status.sequence, status.gap), (1, false));
    assert_eq!(status.cached, prefix_hashes(&prompt));
    assert!(failed.is_err());
    assert_eq!(fixture.target.status(0).unwrap().version, WeightVersion(1));
}
