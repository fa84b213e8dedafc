//! The demo of the program, which compares the system with the books of the stand-ins.

#![allow(clippy::unwrap_used, missing_docs)]

use std::process::Command;

use serde_json::Value;

/// Guards against any broken promise on the whole path, and against a summary without a figure.
#[test]
fn demo_keeps_its_promises_and_names_its_figures() {
    let program = env!("CARGO_BIN_EXE_sardinepath");

    let output = Command::new(program).args(["demo", "--json"]).output();

    let output = output.unwrap();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let summary: Value = serde_json::from_slice(&output.stdout).unwrap();
    let figures = [
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
    for figure in figures {
        assert!(summary[figure].is_u64(), "{figure} is missing in {summary}");
    }
    assert!(summary["usage_true_tokens"].as_u64() > Some(0));
}
