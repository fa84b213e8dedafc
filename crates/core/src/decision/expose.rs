//! Detection of keys in text that a target would receive, also in encoded form.

use percent_encoding::percent_decode;

use crate::domain::key::KeyDigest;

/// Maximum number of layers of encoding that are decoded. A target decodes a path or a body at
/// most once or twice.
const MAX_LAYERS: usize = 3;

/// Lengths in bytes of the words that are checked as keys. The bounds limit the number of digests
/// that are computed for a large body.
const KEY_LENGTHS: std::ops::RangeInclusive<usize> = 16..=256;

/// Returns `true` if the text contains the key as it is, percent-encoded or JSON-escaped.
///
/// It searches bytes, since a parsed JSON value lacks fields that a later duplicate replaced.
pub(super) fn contains_key(text: &[u8], key: &[u8]) -> bool {
    any_layer(text, |plain| contains(plain, key))
}

/// Returns `true` if a word of the text, under the same encodings, is a key whose digest `known`
/// accepts.
///
/// Only digests of keys are stored, so a key is found only as a separate word or as the value
/// after an equals sign, a colon or a slash.
pub(super) fn contains_known_key(text: &[u8], known: impl Fn(&KeyDigest) -> bool) -> bool {
    let is_key = |word: &[u8]| KEY_LENGTHS.contains(&word.len()) && known(&KeyDigest::of(word));
    any_layer(text, |plain| {
        plain
            .split(|byte| b" \t\r\n&?\"'<>,;{}[]()".contains(byte))
            .filter(|word| word.len() >= *KEY_LENGTHS.start())
            .any(|word| candidates(word).any(&is_key))
    })
}

/// Returns the parts of a word that may be a key: the word, the value after its first equals sign,
/// and the pieces between separators.
fn candidates(word: &[u8]) -> impl Iterator<Item = &[u8]> {
    let value = word.iter().position(|byte| *byte == b'=');
    let value = value.map(|at| &word[at + 1..]);
    let pieces = word.split(|byte| b"=:/".contains(byte));
    std::iter::once(word).chain(value).chain(pieces)
}

/// Returns `true` if the predicate holds for the text or for one of its decoded forms.
fn any_layer(text: &[u8], predicate: impl Fn(&[u8]) -> bool) -> bool {
    let mut texts = vec![text.to_vec()];
    for _ in 0..MAX_LAYERS {
        if texts.iter().any(|text| predicate(text)) {
            return true;
        }
        texts = texts.iter().flat_map(|text| decode(text)).collect();
        if texts.is_empty() {
            return false;
        }
    }
    texts.iter().any(|text| predicate(text))
}

/// Decodes one layer of each encoding and returns the results that differ from the text.
fn decode(text: &[u8]) -> Vec<Vec<u8>> {
    let percent: Vec<u8> = percent_decode(text).collect();
    [percent, unescape(text)]
        .into_iter()
        .filter(|decoded| decoded != text)
        .collect()
}

/// Replaces JSON escapes by the characters that they represent.
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
            Some((b'u', digits)) => rest = push_unicode_escape(digits, &mut plain),
            Some((&escaped, after)) => {
                plain.push(escaped_char(escaped));
                rest = after;
            }
            None => plain.push(first),
        }
    }
    plain
}

/// Appends the character of a `\u` escape and returns the text after it.
fn push_unicode_escape<'a>(text: &'a [u8], plain: &mut Vec<u8>) -> &'a [u8] {
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
fn escaped_char(escaped: u8) -> u8 {
    match escaped {
        b'n' => b'\n',
        b't' => b'\t',
        b'r' => b'\r',
        b'b' => 8,
        b'f' => 12,
        other => other,
    }
}

/// Returns `true` if `needle` occurs in `haystack`.
fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    let Some((first, after)) = needle.split_first() else {
        return true;
    };
    let mut rest = haystack;
    // Searching for the first byte alone is faster than comparing at each position.
    while let Some(at) = rest.iter().position(|byte| byte == first) {
        rest = &rest[at + 1..];
        if rest.starts_with(after) {
            return true;
        }
    }
    false
}
