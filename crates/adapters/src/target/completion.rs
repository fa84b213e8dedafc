//! Completions requests that the system itself sends, and their answers.

use serde_json::Value;
use serde_json::json;

use crate::target::body::EventSplitter;

/// Builds the body of a completions request whose answer is streamed. Only a streamed answer names
/// the weight version of each part.
pub fn completion_body(prompt: &str, tokens: u32) -> Vec<u8> {
    let body = json!({"prompt": prompt, "max_tokens": tokens, "stream": true});
    body.to_string().into_bytes()
}

/// Joins the texts of a streamed answer. Returns none if it is not whole or has no text.
pub fn completion_text(answer: &[u8]) -> Option<String> {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(answer);
    if !splitter.is_whole() {
        return None;
    }
    let mut text = None;
    for (event, _) in events {
        if let Some(part) = part(&event) {
            text.get_or_insert_with(String::new).push_str(&part);
        }
    }
    text
}

/// Reads the text of one event.
fn part(event: &[u8]) -> Option<String> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let data = lines.find_map(|line| line.strip_prefix(b"data:"))?;
    let value: Value = serde_json::from_slice(data.trim_ascii()).ok()?;
    let text = value.get("choices")?.get(0)?.get("text")?;
    text.as_str().map(str::to_owned)
}
