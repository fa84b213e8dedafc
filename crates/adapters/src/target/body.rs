//! Reads what a completions answer says of itself.

use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::target::StatedVersions;
use serde_json::Value;

/// What a part of an answer says of tokens and versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Facts {
    pub(super) naming: StatedVersions,
    pub(super) tokens: Option<u64>,
}

/// Splits a byte stream into server-sent events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    rest: Vec<u8>,
    /// True once the closing `[DONE]` event was seen.
    pub(super) done: bool,
}

impl EventSplitter {
    /// Takes a part of the stream and returns its whole events with their facts.
    pub(super) fn push(&mut self, part: &[u8]) -> Vec<(Vec<u8>, Facts)> {
        self.rest.extend_from_slice(part);
        let mut events = Vec::new();
        while let Some(end) = find_end(&self.rest) {
            let event: Vec<u8> = self.rest.drain(..end).collect();
            let facts = self.read(&event);
            events.push((event, facts));
        }
        events
    }

    /// Returns true if the stream ended between events and after `[DONE]`.
    pub(super) fn is_whole(&self) -> bool {
        self.done && self.rest.is_empty()
    }

    /// Returns the number of buffered bytes of an unfinished event.
    pub(super) fn buffered(&self) -> usize {
        self.rest.len()
    }

    fn read(&mut self, event: &[u8]) -> Facts {
        let lines = event.split(|byte| *byte == b'\n');
        let data: Vec<_> = lines
            .filter_map(|line| line.strip_prefix(b"data:"))
            .map(<[u8]>::trim_ascii)
            .collect();
        let data = data.join(&b'\n');
        if data == b"[DONE]" {
            self.done = true;
            return Facts::default();
        }
        facts_of_event(&data)
    }
}

/// Reads versions and tokens from a server-sent event. Its one version produced all of its text.
fn facts_of_event(json: &[u8]) -> Facts {
    facts(json, |version| StatedVersions::All(vec![version]))
}

/// Reads versions and tokens from a whole answer. Its one version is that of the last token, so
/// only a list names all versions.
pub(super) fn facts_of_whole(json: &[u8]) -> Facts {
    facts(json, |version| StatedVersions::Some(vec![version]))
}

fn facts(json: &[u8], single: impl Fn(WeightVersion) -> StatedVersions) -> Facts {
    let Ok(value) = serde_json::from_slice::<Value>(json) else {
        return Facts {
            naming: StatedVersions::Some(Vec::new()),
            tokens: None,
        };
    };
    let list = value.get("weight_versions").and_then(Value::as_array);
    let version = value.get("weight_version").and_then(Value::as_u64);
    let naming = match (list, version) {
        (Some(list), _) => StatedVersions::All(numbers(list)),
        (None, Some(version)) => single(WeightVersion(version)),
        (None, None) if holds_text(&value) => StatedVersions::Some(Vec::new()),
        (None, None) => StatedVersions::Nothing,
    };
    let usage = value.get("usage").and_then(|u| u.get("completion_tokens"));
    Facts {
        naming,
        tokens: usage.and_then(Value::as_u64),
    }
}

fn numbers(list: &[Value]) -> Vec<WeightVersion> {
    let numbers = list.iter().filter_map(Value::as_u64);
    numbers.map(WeightVersion).collect()
}

/// Tells whether an event can hold generated text. One with only the usage cannot.
fn holds_text(value: &Value) -> bool {
    match value.get("choices").and_then(Value::as_array) {
        Some(choices) => !choices.is_empty(),
        None => value.get("usage").is_none(),
    }
}

/// Returns the index behind the first blank line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let ends = [&b"\n\n"[..], b"\r\n\r\n"];
    let found = ends.into_iter().filter_map(|end| {
        let at = bytes.windows(end.len()).position(|w| w == end)?;
        Some(at + end.len())
    });
    found.min()
}
