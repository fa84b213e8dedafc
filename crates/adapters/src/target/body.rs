//! Extracts weight versions and token counts from completions responses.

use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::target::StatedVersions;
use serde_json::Value;

/// Weight versions and token count that a part of a response states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Metadata {
    /// Weight versions that the part names.
    pub(super) versions: StatedVersions,
    /// Total tokens of the response, or `None` if the part does not state them.
    pub(super) tokens: Option<u64>,
}

/// Splits a byte stream into server-sent events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: Vec<u8>,
    /// True after the final `[DONE]` event.
    pub(super) done: bool,
}

impl EventSplitter {
    /// Appends bytes of the stream and returns the events completed by them with their metadata.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Vec<(Vec<u8>, Metadata)> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.buffer) {
            let event: Vec<u8> = self.buffer.drain(..end).collect();
            let metadata = self.parse_event(&event);
            events.push((event, metadata));
        }
        events
    }

    /// Returns `true` if the stream has ended with `[DONE]` and no unfinished event.
    pub(super) fn is_complete(&self) -> bool {
        self.done && self.buffer.is_empty()
    }

    /// Returns the number of buffered bytes of an unfinished event.
    pub(super) fn buffered(&self) -> usize {
        self.buffer.len()
    }

    fn parse_event(&mut self, event: &[u8]) -> Metadata {
        let lines = event.split(|byte| *byte == b'\n');
        let data: Vec<_> = lines
            .filter_map(|line| line.strip_prefix(b"data:"))
            .map(<[u8]>::trim_ascii)
            .collect();
        let data = data.join(&b'\n');
        if data == b"[DONE]" {
            self.done = true;
            return Metadata::default();
        }
        event_metadata(&data)
    }
}

/// Returns the metadata of a server-sent event. A single version produced all of its text.
fn event_metadata(json: &[u8]) -> Metadata {
    metadata(json, |version| StatedVersions::All(vec![version]))
}

/// Returns the metadata of a complete response. A single version is that of the last token, so
/// only a list is known to name all versions.
pub(super) fn body_metadata(json: &[u8]) -> Metadata {
    metadata(json, |version| StatedVersions::Some(vec![version]))
}

fn metadata(json: &[u8], single_version: impl Fn(WeightVersion) -> StatedVersions) -> Metadata {
    let Ok(value) = serde_json::from_slice::<Value>(json) else {
        return Metadata {
            versions: StatedVersions::Some(Vec::new()),
            tokens: None,
        };
    };
    let list = value.get("weight_versions").and_then(Value::as_array);
    let version = value.get("weight_version").and_then(Value::as_u64);
    let versions = match (list, version) {
        (Some(list), _) => StatedVersions::All(versions(list)),
        (None, Some(version)) => single_version(WeightVersion(version)),
        (None, None) if may_hold_text(&value) => StatedVersions::Some(Vec::new()),
        (None, None) => StatedVersions::Nothing,
    };
    let usage = value.get("usage").and_then(|u| u.get("completion_tokens"));
    Metadata {
        versions,
        tokens: usage.and_then(Value::as_u64),
    }
}

fn versions(list: &[Value]) -> Vec<WeightVersion> {
    let versions = list.iter().filter_map(Value::as_u64);
    versions.map(WeightVersion).collect()
}

/// Returns `true` if an event can hold generated text. One with only the usage cannot.
fn may_hold_text(value: &Value) -> bool {
    match value.get("choices").and_then(Value::as_array) {
        Some(choices) => !choices.is_empty(),
        None => value.get("usage").is_none(),
    }
}

/// Returns the index after the first blank line, which ends an event.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let delimiters = [&b"\n\n"[..], b"\r\n\r\n"];
    let positions = delimiters.into_iter().filter_map(|end| {
        let at = bytes.windows(end.len()).position(|w| w == end)?;
        Some(at + end.len())
    });
    positions.min()
}
