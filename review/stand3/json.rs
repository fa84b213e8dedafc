//! A small JSON value. Numbers keep their text, since ids of 64 bits must not lose digits.

use std::fmt;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number as it is written.
    Num(String),
    /// A string without its quotes and escapes.
    Str(String),
    /// An array.
    Arr(Vec<Json>),
    /// An object with its fields in order.
    Obj(Vec<(String, Json)>),
}

/// Creates an object from its fields.
pub fn obj(fields: Vec<(&str, Json)>) -> Json {
    Json::Obj(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

/// Creates a number.
pub fn num(value: impl fmt::Display) -> Json {
    Json::Num(value.to_string())
}

/// Creates a string.
pub fn text(value: impl fmt::Display) -> Json {
    Json::Str(value.to_string())
}

impl Json {
    /// Returns a field of an object, or `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    /// Returns the text of a string, or an empty one.
    pub fn str(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    /// Returns the value of a whole number, if it is one.
    pub fn int(&self) -> Option<u64> {
        match self {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }

    /// Returns the elements of an array, or none.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }

    /// Parses a text. Returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            text: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.text.len()).then_some(value)
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn next(&mut self) -> Option<u8> {
        self.skip_space();
        self.text.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.next()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.text[self.at..]
            .starts_with(word.as_bytes())
            .then(|| self.at += word.len())?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.next()? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => self.string().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .text
            .get(self.at)
            .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
        (!text.is_empty()).then(|| Json::Num(text.to_owned()))
    }

    fn array(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        while self.next()? != b']' {
            if !items.is_empty() {
                self.take(b',')?;
            }
            items.push(self.value()?);
        }
        self.at += 1;
        Some(Json::Arr(items))
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        while self.next()? != b'}' {
            if !fields.is_empty() {
                self.take(b',')?;
                self.next()?;
            }
            let key = self.string()?;
            self.take(b':')?;
            fields.push((key, self.value()?));
        }
        self.at += 1;
        Some(Json::Obj(fields))
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    let decoded = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => self.unicode()?,
                        other => char::from(other),
                    };
                    bytes.extend(decoded.to_string().bytes());
                }
                _ => bytes.push(byte),
            }
        }
    }

    fn unicode(&mut self) -> Option<char> {
        let high = self.hex()?;
        if !(0xd800..0xdc00).contains(&high) {
            return char::from_u32(high);
        }
        self.at += 2;
        let low = self.hex()?;
        char::from_u32(0x1_0000 + ((high - 0xd800) << 10) + (low.checked_sub(0xdc00)?))
    }

    fn hex(&mut self) -> Option<u32> {
        let digits = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
        self.at += 4;
        u32::from_str_radix(digits, 16).ok()
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Num(text) => f.write_str(text),
            Json::Str(text) => write_string(f, text),
            Json::Arr(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Obj(fields) => {
                f.write_str("{")?;
                for (index, (key, value)) in fields.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_string(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_string(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if c < ' ' => write!(f, "\\u{:04x}", u32::from(c))?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}
