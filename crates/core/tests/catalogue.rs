//! Compares the event and error pages of the documentation with the code.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::HashSet;
use std::fs;
use std::path::Path;

use sardinepath_core::domain::error::ErrorKind;
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::event::Severity;

/// Returns the rows of the first table on a page, without its header.
fn table(page: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let text = fs::read_to_string(path.join(page)).unwrap();
    let rows = text.lines().skip_while(|line| !line.starts_with('|'));
    let rows = rows.take_while(|line| line.starts_with('|')).skip(2);
    rows.map(str::to_owned).collect()
}

fn event_row(event: &Event) -> String {
    let info = event.info();
    let level = match info.severity {
        Severity::Error => "error",
        Severity::Warn => "warn",
        Severity::Info => "info",
        Severity::Debug => "debug",
    };
    let (number, name, text) = (info.number, info.name, info.text);
    format!("| {number} | {level} | `{name}` | {text} |")
}

fn error_row(kind: &ErrorKind) -> String {
    let answer = kind.answer();
    let (code, status, run) = (answer.code, answer.status, answer.run.code());
    let elsewhere = if answer.retryable { "yes" } else { "no" };
    let text = answer.text;
    format!("| `{code}` | {status} | `{run}` | {elsewhere} | {text} |")
}

/// Guards against an event that is missing from the documentation or differs from it.
#[test]
fn page_lists_every_event() {
    let expected: Vec<_> = Event::ALL.iter().map(event_row).collect();

    let listed = table("events.md");

    assert_eq!(listed, expected);
}

/// Guards against duplicate event numbers or names, and against numbers out of order.
#[test]
fn event_numbers_ascend_and_names_differ() {
    let infos: Vec<_> = Event::ALL.iter().map(|event| event.info()).collect();

    let names: HashSet<_> = infos.iter().map(|info| info.name).collect();

    assert!(infos.windows(2).all(|two| two[0].number < two[1].number));
    assert_eq!(names.len(), infos.len());
}

/// Guards against an error whose documented code, status or text differs from the answer.
#[test]
fn page_lists_every_error() {
    let expected: Vec<_> = ErrorKind::ALL.iter().map(error_row).collect();

    let listed = table("errors.md");

    assert_eq!(listed, expected);
}
