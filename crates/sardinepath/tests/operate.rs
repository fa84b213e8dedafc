//! Tests of the operator commands against the object API stand-in.

#![allow(clippy::unwrap_used, missing_docs)]

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;

use sardinepath_standins::object_api::ObjectApi;
use sardinepath_standins::objects::MemoryObjects;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn start_api() -> ObjectApi {
    ObjectApi::start(Arc::new(MemoryObjects::default())).unwrap()
}

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sardinepath"));
    command.args(args).output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Guards against example files that the program no longer accepts.
#[test]
fn examples_are_correct() {
    for name in ["declarations.json", "entry.json", "agent.json"] {
        let output = run(&["check", example(name).to_str().unwrap()]);

        assert_eq!(output.status.code(), Some(0), "{name}: {output:?}");
    }
}

/// Guards against an apply that loses declarations, and against a repeated apply that makes further
/// changes.
#[test]
fn applied_declarations_are_listed_and_not_applied_twice() {
    let api = start_api();
    let address = api.address.to_string();
    let path = example("declarations.json");
    let file = path.to_str().unwrap();

    let planned = run(&["diff", "--objects", &address, file]);
    let applied = run(&["apply", "--objects", &address, file]);
    let listed = run(&["list", "--objects", &address, "teams/orders/"]);
    let declaration = run(&[
        "get",
        "--objects",
        &address,
        "teams/orders/workspaces/WS-00417",
    ]);
    let reapplied = run(&["apply", "--objects", &address, file]);

    assert!(stdout(&planned).contains("teams/press"), "{planned:?}");
    assert_eq!(applied.status.code(), Some(0), "{applied:?}");
    let expected = ["pools/PL-00001", "routes/RT-00001", "workspaces/WS-00417"];
    for name in expected {
        assert!(stdout(&listed).contains(name), "{listed:?}");
    }
    assert!(
        stdout(&declaration).contains("\"concurrency\": 64"),
        "{declaration:?}"
    );
    assert!(
        stdout(&reapplied).contains("nothing to change"),
        "{reapplied:?}"
    );
}

/// Guards against an unreachable object API that is reported as success or as a fault of the file.
#[test]
fn exit_code_tells_a_failed_call_from_a_faulty_file() {
    let path = example("declarations.json");
    let file = path.to_str().unwrap();
    let closed_address = "127.0.0.1:1";

    let unreachable = run(&["apply", "--objects", closed_address, file]);
    let faulty = run(&[
        "apply",
        "--objects",
        closed_address,
        example("entry.json").to_str().unwrap(),
    ]);

    assert_eq!(unreachable.status.code(), Some(1), "{unreachable:?}");
    assert_eq!(faulty.status.code(), Some(2), "{faulty:?}");
}
