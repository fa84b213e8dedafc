//! Reading of settings and declarations as JSON with comments.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeMap;

use sardinepath_node::config::read::ReadFault;
use sardinepath_node::config::read::read;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Press {
    copies: u32,
}

type Presses = BTreeMap<String, Press>;

fn read_fault(text: &str) -> ReadFault {
    read::<Presses>(text).unwrap_err()
}

/// Returns the path, line and column of a fault.
fn position(fault: &ReadFault) -> (String, usize, usize) {
    (fault.path.join("/"), fault.line, fault.column)
}

/// Guards against a reader that rejects comments or trailing commas.
#[test]
fn comments_and_trailing_commas_are_read() {
    let text = "// presses\n{\"a\": {\"copies\": 2,}, /* last */ }";

    let document = read::<Presses>(text).unwrap();

    assert_eq!(document.value["a"].copies, 2);
}

/// Guards against a fault without its path and position, which an operator cannot find in the file.
#[test]
fn fault_names_path_and_position() {
    let wrong_type = "{\n  // caf\u{e9}\n  \"\u{e9}\": {\"copies\": \"two\"}\n}";

    let fault = read_fault(wrong_type);

    assert_eq!(position(&fault), ("\u{e9}/copies".into(), 3, 19));
    assert!(fault.reason.contains("invalid type"), "{fault}");
}

/// Guards against a misspelt field that is ignored, so that its value has no effect.
#[test]
fn unknown_field_is_a_fault_at_the_field() {
    let text = "{\"a\": {\"copies\": 1,\n  \"copy\": 2}}";

    let fault = read_fault(text);

    assert_eq!(position(&fault), ("a/copy".into(), 2, 11));
    assert!(fault.reason.contains("unknown field"), "{fault}");
}

/// Guards against a second declaration of a name that replaces the first without a fault.
#[test]
fn duplicate_field_is_a_fault() {
    let text = "{\"a\": {\"copies\": 1},\n \"a\": {\"copies\": 2}}";

    let fault = read_fault(text);

    assert_eq!(position(&fault), ("a".into(), 2, 2));
}

/// Guards against a truncated file that is read as a smaller valid one.
#[test]
fn truncated_text_is_a_fault() {
    let fault = read_fault("{\"a\": {\"copies\": 1}");

    assert_eq!(fault.line, 1);
}
