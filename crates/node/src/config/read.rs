//! Reads JSON with comments into any serde type and reports the position of each fault.

use std::fmt;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;
use jsonc_parser::parse_to_ast;
use jsonc_parser::parse_to_serde_value;
use serde::de::DeserializeOwned;
use serde_path_to_error::Path;
use serde_path_to_error::Segment;

/// Accepted syntax: JSON with comments and trailing commas, and no other extension.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A fault in a text, with the path and the position of the faulty value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadFault {
    /// Field names and indices from the root of the text to the value.
    pub path: Vec<String>,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Description of the fault.
    pub reason: String,
}

/// A value together with the text from which it was read.
#[derive(Clone, Debug)]
pub struct Document<T> {
    /// The value that was read.
    pub value: T,
    text: String,
}

impl<T> Document<T> {
    /// Returns a fault at the value with the given path, or at its nearest ancestor in the text.
    pub fn fault(&self, path: Vec<String>, reason: String) -> ReadFault {
        fault_at_path(&self.text, path, reason)
    }
}

impl fmt::Display for ReadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.join("/");
        write!(
            f,
            "/{path}: line {}, column {}: {}",
            self.line, self.column, self.reason
        )
    }
}

impl std::error::Error for ReadFault {}

/// Reads a text. Duplicate fields are always refused, unknown fields only if `T` refuses them.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<Document<T>, ReadFault> {
    refuse_duplicates(text)?;
    let value: serde_json::Value =
        parse_to_serde_value(text, &PARSE_OPTIONS).map_err(|e| syntax_fault(text, &e))?;
    match serde_path_to_error::deserialize(value) {
        Ok(value) => Ok(Document {
            value,
            text: text.to_owned(),
        }),
        Err(e) => {
            let path = path_segments(e.path());
            Err(fault_at_path(text, path, e.inner().to_string()))
        }
    }
}

/// Refuses a text without a value, and one in which a field occurs twice in an object, since all
/// but the last one would be ignored silently.
fn refuse_duplicates(text: &str) -> Result<(), ReadFault> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS)
        .map_err(|e| syntax_fault(text, &e))?;
    let Some(root) = parsed.value else {
        let reason = "the file holds no value".to_owned();
        return Err(fault_at(text, Vec::new(), 0, reason));
    };
    match find_duplicate(&root, Vec::new()) {
        None => Ok(()),
        Some((path, offset)) => {
            let reason = "the field occurs twice in its object".to_owned();
            Err(fault_at(text, path, offset, reason))
        }
    }
}

/// Returns the path and byte offset of the first field that occurs twice in its object.
fn find_duplicate(value: &Value<'_>, path: Vec<String>) -> Option<(Vec<String>, usize)> {
    match value {
        Value::Object(object) => find_duplicate_in(object, &path),
        Value::Array(array) => array.elements.iter().enumerate().find_map(|(i, value)| {
            let path = with_segment(&path, i.to_string());
            find_duplicate(value, path)
        }),
        _ => None,
    }
}

fn find_duplicate_in(object: &Object<'_>, path: &[String]) -> Option<(Vec<String>, usize)> {
    let mut seen = std::collections::HashSet::new();
    object.properties.iter().find_map(|property| {
        let name = property.name.as_str();
        let inner = with_segment(path, name.to_owned());
        if !seen.insert(name) {
            return Some((inner, property.name.range().start));
        }
        find_duplicate(&property.value, inner)
    })
}

fn with_segment(path: &[String], last: String) -> Vec<String> {
    let mut path = path.to_vec();
    path.push(last);
    path
}

fn syntax_fault(text: &str, error: &ParseError) -> ReadFault {
    fault_at(
        text,
        Vec::new(),
        error.range().start,
        error.kind().to_string(),
    )
}

/// Returns a fault at the deepest value of the path that exists in the text.
fn fault_at_path(text: &str, path: Vec<String>, reason: String) -> ReadFault {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS).ok();
    let root = parsed.and_then(|parsed| parsed.value);
    let offset = root.map_or(0, |root| offset_of(&root, &path));
    fault_at(text, path, offset, reason)
}

fn offset_of(value: &Value<'_>, path: &[String]) -> usize {
    let Some((first, rest)) = path.split_first() else {
        return value.range().start;
    };
    let child = match value {
        Value::Object(object) => object
            .properties
            .iter()
            .find(|property| property.name.as_str() == first)
            .map(|property| &property.value),
        Value::Array(array) => first
            .parse::<usize>()
            .ok()
            .and_then(|i| array.elements.get(i)),
        _ => None,
    };
    child.map_or(value.range().start, |child| offset_of(child, rest))
}

fn fault_at(text: &str, path: Vec<String>, offset: usize, reason: String) -> ReadFault {
    let before = text.get(..offset).unwrap_or(text);
    let start = before.rfind('\n').map_or(0, |end| end + 1);
    ReadFault {
        path,
        line: before.matches('\n').count() + 1,
        column: before[start..].chars().count() + 1,
        reason,
    }
}

fn path_segments(path: &Path) -> Vec<String> {
    let names = path.iter().filter_map(|segment| match segment {
        Segment::Seq { index } => Some(index.to_string()),
        Segment::Map { key } => Some(key.clone()),
        Segment::Enum { variant } => Some(variant.clone()),
        Segment::Unknown => None,
    });
    names.collect()
}
