//! A minimal JSON value with a parser and a writer.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Int(i64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn map(pairs: Vec<(&str, Json)>) -> Json {
        Json::Map(pairs.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
    }
    pub fn str(text: impl Into<String>) -> Json {
        Json::Str(text.into())
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }
    pub fn int(&self) -> i64 {
        match self {
            Json::Int(number) => *number,
            Json::Num(number) => *number as i64,
            _ => 0,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
    pub fn parse(text: &[u8]) -> Json {
        Parser { text, at: 0 }.value()
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Num(number) => write!(f, "{number}"),
            Json::Int(number) => write!(f, "{number}"),
            Json::Str(text) => write!(f, "\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\"")),
            Json::List(list) => {
                f.write_str("[")?;
                for (at, value) in list.iter().enumerate() {
                    write!(f, "{}{value}", if at > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Map(map) => {
                f.write_str("{")?;
                for (at, (key, value)) in map.iter().enumerate() {
                    write!(f, "{}\"{key}\":{value}", if at > 0 { "," } else { "" })?;
                }
                f.write_str("}")
            }
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.at < self.text.len() && self.text[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }
    fn peek(&mut self) -> u8 {
        self.space();
        self.text.get(self.at).copied().unwrap_or(0)
    }
    fn string(&mut self) -> String {
        self.at += 1;
        let mut bytes = Vec::new();
        while let Some(byte) = self.text.get(self.at).copied() {
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    let escaped = self.text.get(self.at).copied().unwrap_or(b'"');
                    self.at += 1;
                    bytes.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        other => other,
                    });
                }
                other => bytes.push(other),
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                while self.peek() == b'"' {
                    let key = self.string();
                    if self.peek() == b':' {
                        self.at += 1;
                    }
                    map.insert(key, self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Map(map)
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while ![b']', 0].contains(&self.peek()) {
                    list.push(self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::List(list)
            }
            b'"' => Json::Str(self.string()),
            0 => Json::Null,
            _ => {
                let start = self.at;
                while self.at < self.text.len() && !b",]} \n\r\t".contains(&self.text[self.at]) {
                    self.at += 1;
                }
                let word = String::from_utf8_lossy(&self.text[start..self.at]).into_owned();
                match word.as_str() {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    "null" => Json::Null,
                    _ => match word.parse::<i64>() {
                        Ok(number) => Json::Int(number),
                        Err(_) => word.parse().map_or(Json::Null, Json::Num),
                    },
                }
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - three.len()));
        for place in 0..4 {
            text.push(match place <= three.len() {
                true => DIGITS[(number >> (18 - 6 * place) & 63) as usize] as char,
                false => '=',
            });
        }
    }
    text
}
