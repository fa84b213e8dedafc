//! Completions requests that sardinepath itself sends, and their responses.

use serde_json::Value;
use serde_json::json;

use crate::target::body::EventSplitter;

/// Returns the body of a completions request for a streamed response.
///
/// A response that is not streamed does not name the weight version of each part.
pub fn completion_body(prompt: &str, max_tokens: u32) -> Vec<u8> {
    let body = json!({"prompt": prompt, "max_tokens": max_tokens, "stream": true});
    body.to_string().into_bytes()
}

/// Returns the text of a streamed response, or `None` if the response is incomplete or has no text.
pub fn completion_text(response: &[u8]) -> Option<String> {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(response);
    if !splitter.is_complete() {
        return None;
    }
    let mut text = None;
    for (event, _) in events {
        if let Some(event_text) = event_text(&event) {
            text.get_or_insert_with(String::new).push_str(&event_text);
        }
    }
    text
}

/// Returns the text of one event, or `None` if it has none.
fn event_text(event: &[u8]) -> Option<String> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let data = lines.find_map(|line| line.strip_prefix(b"data:"))?;
    let value: Value = serde_json::from_slice(data.trim_ascii()).ok()?;
    let text = value.get("choices")?.get(0)?.get("text")?;
    text.as_str().map(str::to_owned)
}
