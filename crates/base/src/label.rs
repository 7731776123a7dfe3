//! Labels and selectors, with the semantics of Kubernetes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{ParseError, SortedMap};

/// Longest accepted label key or value, in bytes.
const MAX_LABEL_BYTES: usize = 63;
const LABELS_SYNTAX: &str = "key=value pairs separated by commas";
const SELECTOR_SYNTAX: &str =
    "requirements separated by commas: k=v, k!=v, k in (a,b), k notin (a,b), k, !k";

/// The labels of one object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Labels(SortedMap<String, String>);

impl Labels {
    /// Returns the value of the label `key`.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(&key.to_owned()).map(String::as_str)
    }
}

impl FromStr for Labels {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Labels, ParseError> {
        let error = || ParseError::new("labels", text, LABELS_SYNTAX);
        let mut labels = SortedMap::default();
        for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
            let (key, value) = pair.split_once('=').ok_or_else(error)?;
            if !is_label_key(key) || !is_label_value(value) {
                return Err(error());
            }
            labels.insert(key.to_owned(), value.to_owned());
        }
        Ok(Labels(labels))
    }
}

impl TryFrom<String> for Labels {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Labels, ParseError> {
        text.parse()
    }
}

impl From<Labels> for String {
    fn from(labels: Labels) -> String {
        labels.to_string()
    }
}

impl fmt::Display for Labels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pairs: Vec<String> =
            self.0.iter().map(|(key, value)| format!("{key}={value}")).collect();
        f.write_str(&pairs.join(","))
    }
}

/// A condition on one label.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Requirement {
    In(String, Vec<String>),
    NotIn(String, Vec<String>),
    Exists(String),
    Missing(String),
}

impl Requirement {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Requirement::In(key, values) => {
                labels.get(key).is_some_and(|value| values.iter().any(|other| other == value))
            }
            // A missing label satisfies a negative requirement, as in Kubernetes.
            Requirement::NotIn(key, values) => {
                labels.get(key).is_none_or(|value| values.iter().all(|other| other != value))
            }
            Requirement::Exists(key) => labels.get(key).is_some(),
            Requirement::Missing(key) => labels.get(key).is_none(),
        }
    }
}

impl FromStr for Requirement {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Requirement, ParseError> {
        let error = || ParseError::new("selector", text, SELECTOR_SYNTAX);
        let key = |text: &str| {
            let text = text.trim();
            is_label_key(text).then(|| text.to_owned()).ok_or_else(error)
        };
        if let Some(rest) = text.strip_prefix('!') {
            return Ok(Requirement::Missing(key(rest)?));
        }
        if let Some((left, right)) = text.split_once('(') {
            let list = right.strip_suffix(')').ok_or_else(error)?;
            let values = parse_values(list).ok_or_else(error)?;
            return match left.trim().rsplit_once(char::is_whitespace) {
                Some((name, "in")) => Ok(Requirement::In(key(name)?, values)),
                Some((name, "notin")) => Ok(Requirement::NotIn(key(name)?, values)),
                _ => Err(error()),
            };
        }
        if let Some((name, value)) = text.split_once("!=") {
            return Ok(Requirement::NotIn(key(name)?, parse_values(value).ok_or_else(error)?));
        }
        if let Some((name, value)) = text.split_once('=') {
            let value = value.strip_prefix('=').unwrap_or(value);
            return Ok(Requirement::In(key(name)?, parse_values(value).ok_or_else(error)?));
        }
        Ok(Requirement::Exists(key(text)?))
    }
}

impl fmt::Display for Requirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Requirement::In(key, values) => write!(f, "{key} in ({})", values.join(",")),
            Requirement::NotIn(key, values) => write!(f, "{key} notin ({})", values.join(",")),
            Requirement::Exists(key) => write!(f, "{key}"),
            Requirement::Missing(key) => write!(f, "!{key}"),
        }
    }
}

/// A conjunction of requirements on labels. The empty selector matches all labels.
///
/// # Example
///
/// ```
/// use mango_base::{Labels, Selector};
/// let selector: Selector = "size!=large, site".parse()?;
/// assert!(selector.matches(&"site=counter".parse::<Labels>()?));
/// assert!(!selector.matches(&"size=large,site=counter".parse::<Labels>()?));
/// # Ok::<(), mango_base::ParseError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector(Vec<Requirement>);

impl Selector {
    /// Returns whether `labels` satisfy every requirement.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.0.iter().all(|requirement| requirement.matches(labels))
    }
}

impl FromStr for Selector {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Selector, ParseError> {
        let parts = split_top_level(text);
        let parts = parts.iter().map(|part| part.trim()).filter(|part| !part.is_empty());
        parts.map(str::parse).collect::<Result<_, _>>().map(Selector)
    }
}

impl TryFrom<String> for Selector {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Selector, ParseError> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> String {
        selector.to_string()
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<String> = self.0.iter().map(Requirement::to_string).collect();
        f.write_str(&parts.join(", "))
    }
}

fn split_top_level(text: &str) -> Vec<&str> {
    let (mut parts, mut depth, mut start) = (Vec::new(), 0i32, 0);
    for (index, c) in text.char_indices() {
        match c {
            '(' => depth += 1,
            ')' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(&text[start..index]);
                start = index + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    parts
}

fn parse_values(list: &str) -> Option<Vec<String>> {
    list.split(',')
        .map(str::trim)
        .map(|value| is_label_value(value).then(|| value.to_owned()))
        .collect()
}

fn is_label_key(text: &str) -> bool {
    !text.is_empty() && is_label_value(text)
}

fn is_label_value(text: &str) -> bool {
    text.len() <= MAX_LABEL_BYTES
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"._/-".contains(&b))
}
