//! End-to-end test of the `demo` command, which compares the system with the records of the
//! stand-ins.

#![allow(clippy::unwrap_used, missing_docs)]

use std::process::Command;

use serde_json::Value;

/// Guards against a violated guarantee in a run of the whole system, and against a summary that
/// lacks a result.
#[test]
fn demo_keeps_its_promises_and_names_its_figures() {
    let program = env!("CARGO_BIN_EXE_sardinepath");

    let output = Command::new(program).args(["demo", "--json"]).output();

    let output = output.unwrap();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let summary: Value = serde_json::from_slice(&output.stdout).unwrap();
    let fields = [
        "requests",
        "answered",
        "refused",
        "samples_requested",
        "samples_delivered",
        "samples_doubled",
        "samples_mislabelled",
        "stalest_versions",
        "usage_reported_tokens",
        "usage_true_tokens",
    ];
    for field in fields {
        assert!(summary[field].is_u64(), "{field} is missing in {summary}");
    }
    assert!(summary["usage_true_tokens"].as_u64() > Some(0));
}
