//! Tests of the program with valid and invalid settings files.

#![allow(clippy::unwrap_used, missing_docs)]

use std::path::Path;
use std::process::Command;
use std::process::Output;

/// Prefix of the comment on the first line of an invalid file, which holds the expected message.
const EXPECT_PREFIX: &str = "// expect: ";

fn run(args: &[&str], file: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sardinepath"));
    command.args(args).arg(file).output().unwrap()
}

/// Guards against valid settings that are refused.
fn accepts(file: &Path) -> datatest_stable::Result<()> {
    let output = run(&["check"], file);

    assert_eq!(output.status.code(), Some(0), "{output:?}");
    Ok(())
}

/// Guards against invalid settings that are accepted, or reported without path, line, column and
/// reason.
fn refuses(file: &Path, content: String) -> datatest_stable::Result<()> {
    let expected = content
        .lines()
        .next()
        .unwrap()
        .strip_prefix(EXPECT_PREFIX)
        .unwrap();

    let checked = run(&["check"], file);
    let started = run(&["agent", "--settings"], file);

    let message = String::from_utf8(checked.stderr)?;
    let prefix = format!("sardinepath: {}: {expected}", file.display());
    assert!(message.starts_with(&prefix), "{message}");
    assert_eq!(checked.status.code(), Some(2));
    assert_eq!(started.status.code(), Some(2));
    Ok(())
}

datatest_stable::harness! {
    { test = accepts, root = "tests/settings/good", pattern = r"\.json$" },
    { test = refuses, root = "tests/settings/bad", pattern = r"\.json$" },
}
