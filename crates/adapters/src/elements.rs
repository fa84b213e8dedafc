//! Splits a JSON text into its parts without decoding them.
//!
//! A decoder of a whole text fails if a single value in it cannot be read. Here the parts are found by
//! quotes and brackets only, so that each of them can be decoded by itself.

use std::fmt;

/// Reason why a text cannot be split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SplitError {
    /// The text ends within a value.
    Unfinished,
    /// There is another byte than the expected one at this position.
    Unexpected(usize),
    /// A field comes twice.
    Repeated,
}

/// Position in a text.
struct Scanner<'a> {
    text: &'a [u8],
    at: usize,
}

/// Returns the elements of an array.
pub fn elements(text: &[u8]) -> Result<Vec<&[u8]>, SplitError> {
    let mut scanner = Scanner { text, at: 0 };
    let mut found = Vec::new();
    scanner.expect(b'[')?;
    while scanner.has_part(b']', found.is_empty())? {
        found.push(scanner.value()?);
    }
    scanner.end()?;
    Ok(found)
}

/// Returns the value of a field of an object, or `None` if the object does not have it.
pub fn field<'a>(text: &'a [u8], name: &str) -> Result<Option<&'a [u8]>, SplitError> {
    let mut scanner = Scanner { text, at: 0 };
    let mut found = None;
    let mut first = true;
    scanner.expect(b'{')?;
    while scanner.has_part(b'}', first)? {
        first = false;
        let key = scanner.string()?;
        scanner.expect(b':')?;
        let value = scanner.value()?;
        if key == name.as_bytes() && found.replace(value).is_some() {
            return Err(SplitError::Repeated);
        }
    }
    scanner.end()?;
    Ok(found)
}

impl<'a> Scanner<'a> {
    /// Returns the next byte that is no white space.
    fn peek(&mut self) -> Result<u8, SplitError> {
        while let Some(byte) = self.text.get(self.at) {
            if !byte.is_ascii_whitespace() {
                return Ok(*byte);
            }
            self.at += 1;
        }
        Err(SplitError::Unfinished)
    }

    /// Skips a byte that must come next.
    fn expect(&mut self, byte: u8) -> Result<(), SplitError> {
        if self.peek()? != byte {
            return Err(SplitError::Unexpected(self.at));
        }
        self.at += 1;
        Ok(())
    }

    /// Returns `true` if another part follows, and skips the comma before it or the closing bracket.
    fn has_part(&mut self, close: u8, first: bool) -> Result<bool, SplitError> {
        if self.peek()? == close {
            self.at += 1;
            return Ok(false);
        }
        if !first {
            self.expect(b',')?;
        }
        Ok(true)
    }

    /// Skips a string and returns it without its quotes, as it is written.
    fn string(&mut self) -> Result<&'a [u8], SplitError> {
        self.expect(b'"')?;
        let start = self.at;
        loop {
            match self.text.get(self.at) {
                None => return Err(SplitError::Unfinished),
                Some(b'"') => break,
                Some(b'\\') => self.at += 2,
                Some(_) => self.at += 1,
            }
        }
        self.at += 1;
        Ok(&self.text[start..self.at - 1])
    }

    /// Skips a value and returns it as it is written. Its inside is not checked.
    fn value(&mut self) -> Result<&'a [u8], SplitError> {
        self.peek()?;
        let start = self.at;
        let mut depth = 0_usize;
        loop {
            match self.text.get(self.at) {
                None => return Err(SplitError::Unfinished),
                Some(b'"') => drop(self.string()?),
                Some(b'{' | b'[') => {
                    depth += 1;
                    self.at += 1;
                }
                Some(b'}' | b']') => {
                    depth = depth
                        .checked_sub(1)
                        .ok_or(SplitError::Unexpected(self.at))?;
                    self.at += 1;
                }
                Some(b',' | b':') if depth == 0 => return Err(SplitError::Unexpected(self.at)),
                Some(_) => self.at += 1,
            }
            if depth == 0 && self.is_at_delimiter() {
                return Ok(&self.text[start..self.at]);
            }
        }
    }

    /// Returns `true` if a value cannot go on here.
    fn is_at_delimiter(&self) -> bool {
        let next = self.text.get(self.at);
        next.is_none_or(|b| matches!(b, b',' | b']' | b'}' | b':') || b.is_ascii_whitespace())
    }

    /// Fails unless only white space is left.
    fn end(&mut self) -> Result<(), SplitError> {
        match self.peek() {
            Ok(_) => Err(SplitError::Unexpected(self.at)),
            Err(_) => Ok(()),
        }
    }
}

impl fmt::Display for SplitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unfinished => f.write_str("the text ends within a value"),
            Self::Unexpected(at) => write!(f, "unexpected byte at position {at}"),
            Self::Repeated => f.write_str("a field comes twice"),
        }
    }
}
