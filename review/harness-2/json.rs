//! A small JSON reader and writer, so that the stand-ins need no library.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// A number as it was written, since the product stores 64-bit integers.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Returns a field of a table, or null.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => number.parse().ok(),
            _ => None,
        }
    }

    /// Returns the elements of a list, none if it is not a list.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    /// Sets a field of a table.
    pub fn set(&mut self, name: &str, value: Json) {
        if let Json::Table(fields) = self {
            fields.insert(name.to_owned(), value);
        }
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Number(value) => out.push_str(value),
            Json::Text(text) => write_text(text, out),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write_to(out);
                }
                out.push(']');
            }
            Json::Table(fields) => {
                out.push('{');
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

/// Parses a JSON text.
pub fn parse(text: &str) -> Option<Json> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let value = parse_value(bytes, &mut at)?;
    skip_space(bytes, &mut at);
    (at == bytes.len()).then_some(value)
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.insert(name, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while *at < bytes.len() && b"+-.eE0123456789".contains(&bytes[*at]) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            (!text.is_empty()).then(|| Json::Number(text.to_owned()))
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let found = bytes.get(*at..*at + word.len())? == word.as_bytes();
    *at += word.len();
    found.then_some(value)
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let escape = *bytes.get(*at + 1)?;
                *at += 2;
                let c = match escape {
                    b'n' => '\n',
                    b't' => '\t',
                    b'r' => '\r',
                    b'b' => '\u{8}',
                    b'f' => '\u{c}',
                    b'u' => {
                        let code = hex4(bytes, at)?;
                        if (0xd800..0xdc00).contains(&code) {
                            *at += 2;
                            let low = hex4(bytes, at)?;
                            char::from_u32(0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00))?
                        } else {
                            char::from_u32(code)?
                        }
                    }
                    other => other as char,
                };
                let mut buffer = [0; 4];
                out.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

fn hex4(bytes: &[u8], at: &mut usize) -> Option<u32> {
    let text = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
    *at += 4;
    u32::from_str_radix(text, 16).ok()
}
