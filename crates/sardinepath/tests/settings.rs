//! Settings files, good and bad, given to the program.

#![allow(clippy::unwrap_used, missing_docs)]

use std::path::Path;
use std::process::Command;
use std::process::Output;

/// Starts the comment in a bad file that gives the expected message.
const EXPECT: &str = "// expect: ";

fn run(arguments: &[&str], file: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sardinepath"));
    command.args(arguments).arg(file).output().unwrap()
}

/// Guards against correct settings that are refused.
fn accepts(file: &Path) -> datatest_stable::Result<()> {
    let output = run(&["check"], file);

    assert_eq!(output.status.code(), Some(0), "{output:?}");
    Ok(())
}

/// Guards against faults that are accepted, or reported without path, line, column and reason.
fn refuses(file: &Path, text: String) -> datatest_stable::Result<()> {
    let expected = text.lines().next().unwrap().strip_prefix(EXPECT).unwrap();

    let checked = run(&["check"], file);
    let started = run(&["agent", "--settings"], file);

    let message = String::from_utf8(checked.stderr)?;
    let wanted = format!("sardinepath: {}: {expected}", file.display());
    assert!(message.starts_with(&wanted), "{message}");
    assert_eq!(checked.status.code(), Some(2));
    assert_eq!(started.status.code(), Some(2));
    Ok(())
}

datatest_stable::harness! {
    { test = accepts, root = "tests/settings/good", pattern = r"\.json$" },
    { test = refuses, root = "tests/settings/bad", pattern = r"\.json$" },
}
