//! Finds a key in text that a target would see, also under the usual encodings.

use percent_encoding::percent_decode;

/// Layers of encoding that are undone. A target decodes a path or a body at most once or twice.
const LAYERS: usize = 3;

/// Returns true if the key occurs in the text as it is, percent-encoded or JSON-escaped.
///
/// Works on bytes, since a parsed JSON value lacks the fields that a later duplicate replaced.
pub(super) fn exposes(text: &[u8], key: &[u8]) -> bool {
    let mut open = vec![text.to_vec()];
    for _ in 0..LAYERS {
        if open.iter().any(|text| contains(text, key)) {
            return true;
        }
        open = open.iter().flat_map(|text| decode(text)).collect();
        if open.is_empty() {
            return false;
        }
    }
    open.iter().any(|text| contains(text, key))
}

/// Undoes one layer of each encoding that changes the text.
fn decode(text: &[u8]) -> Vec<Vec<u8>> {
    let percent: Vec<u8> = percent_decode(text).collect();
    [percent, unescape(text)]
        .into_iter()
        .filter(|decoded| decoded != text)
        .collect()
}

/// Replaces JSON escapes by the characters they stand for.
fn unescape(text: &[u8]) -> Vec<u8> {
    let mut plain = Vec::with_capacity(text.len());
    let mut rest = text;
    while let Some((&first, after)) = rest.split_first() {
        rest = after;
        if first != b'\\' {
            plain.push(first);
            continue;
        }
        match after.split_first() {
            Some((b'u', digits)) => rest = push_code(digits, &mut plain),
            Some((&escaped, after)) => {
                plain.push(control(escaped));
                rest = after;
            }
            None => plain.push(first),
        }
    }
    plain
}

/// Appends the character of a `\u` escape and returns the text behind it.
fn push_code<'a>(text: &'a [u8], plain: &mut Vec<u8>) -> &'a [u8] {
    let code = text
        .get(..4)
        .and_then(|digits| std::str::from_utf8(digits).ok())
        .and_then(|digits| u32::from_str_radix(digits, 16).ok())
        .and_then(char::from_u32);
    let Some(code) = code else {
        plain.extend_from_slice(b"\\u");
        return text;
    };
    let mut buffer = [0; 4];
    plain.extend_from_slice(code.encode_utf8(&mut buffer).as_bytes());
    &text[4..]
}

/// Returns the character of a one-letter escape.
fn control(escaped: u8) -> u8 {
    match escaped {
        b'n' => b'\n',
        b't' => b'\t',
        b'r' => b'\r',
        b'b' => 8,
        b'f' => 12,
        other => other,
    }
}

/// Returns true if `needle` occurs in `place`.
fn contains(place: &[u8], needle: &[u8]) -> bool {
    place.windows(needle.len()).any(|window| window == needle)
}
