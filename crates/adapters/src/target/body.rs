//! Reads what a completions answer says of itself.

use sardinepath_core::domain::ids::WeightVersion;
use serde_json::Value;

/// What a part of an answer says of tokens and versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Facts {
    pub(super) version: Option<WeightVersion>,
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
        facts(&data)
    }
}

/// Reads version and tokens from a JSON text.
pub(super) fn facts(json: &[u8]) -> Facts {
    let Ok(value) = serde_json::from_slice::<Value>(json) else {
        return Facts::default();
    };
    let version = value.get("weight_version").and_then(Value::as_u64);
    let usage = value.get("usage").and_then(|u| u.get("completion_tokens"));
    Facts {
        version: version.map(WeightVersion),
        tokens: usage.and_then(Value::as_u64),
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
