//! Reads JSON with comments and names the position of a fault.

use std::fmt;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;
use jsonc_parser::parse_to_ast;
use jsonc_parser::parse_to_serde_value;
use serde::de::DeserializeOwned;
use serde_path_to_error::Segment;

/// JSON with comments and trailing commas, and no other extension.
const OPTIONS: ParseOptions = ParseOptions {
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

/// A fault in a text.
#[derive(Debug)]
pub struct Fault {
    /// Field names from the root to the faulty value.
    path: Vec<String>,
    /// Line, from 1.
    line: usize,
    /// Column in characters, from 1.
    column: usize,
    /// What is wrong.
    reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (line, column) = (self.line, self.column);
        write!(f, "/{}: ", self.path.join("/"))?;
        write!(f, "line {line}, column {column}: {}", self.reason)
    }
}

/// Reads a value from a text.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T, Fault> {
    let syntax = |e: ParseError| {
        let reason = e.kind().to_string();
        Fault::at(text, e.range().start, Vec::new(), reason)
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS).map_err(syntax)?;
    let Some(root) = parsed.value else {
        let reason = "the file holds no value".to_owned();
        return Err(Fault::at(text, 0, Vec::new(), reason));
    };
    let value: serde_json::Value = parse_to_serde_value(text, &OPTIONS).map_err(syntax)?;
    serde_path_to_error::deserialize(value).map_err(|e| {
        let segments = e.path().iter().filter_map(|segment| match segment {
            Segment::Map { key } => Some(key.clone()),
            Segment::Seq { index } => Some(index.to_string()),
            Segment::Enum { .. } | Segment::Unknown => None,
        });
        let path: Vec<_> = segments.collect();
        let offset = offset(&root, &path);
        Fault::at(text, offset, path, e.into_inner().to_string())
    })
}

impl Fault {
    fn at(text: &str, offset: usize, path: Vec<String>, reason: String) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let last = before.rsplit('\n').next().unwrap_or_default();
        Self {
            path,
            line: before.matches('\n').count() + 1,
            column: last.chars().count() + 1,
            reason,
        }
    }
}

/// Returns the byte offset of the field with this path, or of its nearest ancestor.
fn offset(value: &Value<'_>, path: &[String]) -> usize {
    let start = value.range().start;
    let Some((name, rest)) = path.split_first() else {
        return start;
    };
    match value {
        Value::Object(object) => object
            .properties
            .iter()
            .find(|property| property.name.as_str() == name)
            .map_or(start, |property| match rest {
                [] => property.range.start,
                _ => offset(&property.value, rest),
            }),
        Value::Array(array) => name
            .parse::<usize>()
            .ok()
            .and_then(|i| array.elements.get(i))
            .map_or(start, |element| offset(element, rest)),
        _ => start,
    }
}
