//! Finds a key in text that a target would see, also under the usual encodings.

use percent_encoding::percent_decode;

use crate::domain::key::KeyDigest;

/// Layers of encoding that are undone. A target decodes a path or a body at most once or twice.
const LAYERS: usize = 3;

/// Shortest and longest text in bytes that is looked up as a key. The bounds limit the digests
/// that are computed for a large body.
const KEY_SIZES: std::ops::RangeInclusive<usize> = 16..=256;

/// Returns true if the key occurs in the text as it is, percent-encoded or JSON-escaped.
///
/// Works on bytes, since a parsed JSON value lacks the fields that a later duplicate replaced.
pub(super) fn exposes(text: &[u8], key: &[u8]) -> bool {
    any_layer(text, |plain| contains(plain, key))
}

/// Returns true if a word of the text, under the same encodings, is a key that `known` knows.
///
/// Only digests of keys are kept, so a key is found only where it stands as a word of its own or
/// as the value behind an equals sign, a colon or a slash.
pub(super) fn holds_known(text: &[u8], known: impl Fn(&KeyDigest) -> bool) -> bool {
    let is_key = |word: &[u8]| KEY_SIZES.contains(&word.len()) && known(&KeyDigest::of(word));
    any_layer(text, |plain| {
        plain
            .split(|byte| b" \t\r\n&?\"'<>,;{}[]()".contains(byte))
            .filter(|word| word.len() >= *KEY_SIZES.start())
            .any(|word| candidates(word).any(&is_key))
    })
}

/// Returns the word, the value behind its first equals sign, and its pieces.
fn candidates(word: &[u8]) -> impl Iterator<Item = &[u8]> {
    let value = word.iter().position(|byte| *byte == b'=');
    let value = value.map(|at| &word[at + 1..]);
    let pieces = word.split(|byte| b"=:/".contains(byte));
    std::iter::once(word).chain(value).chain(pieces)
}

/// Returns true if the text holds something as it is or under one of the layers of encoding.
fn any_layer(text: &[u8], holds: impl Fn(&[u8]) -> bool) -> bool {
    let mut open = vec![text.to_vec()];
    for _ in 0..LAYERS {
        if open.iter().any(|text| holds(text)) {
            return true;
        }
        open = open.iter().flat_map(|text| decode(text)).collect();
        if open.is_empty() {
            return false;
        }
    }
    open.iter().any(|text| holds(text))
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
    let Some((first, after)) = needle.split_first() else {
        return true;
    };
    let mut rest = place;
    // Looking for the first byte alone is faster than comparing at each place.
    while let Some(at) = rest.iter().position(|byte| byte == first) {
        rest = &rest[at + 1..];
        if rest.starts_with(after) {
            return true;
        }
    }
    false
}
