//! Reads settings from INI text and collects all problems found.

use std::net::SocketAddr;
use std::time::Duration;

use ini::Ini;
use miette::{Diagnostic, NamedSource, SourceSpan};

/// Units of durations, in milliseconds.
const TIME_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
const DURATION_FORM: &str = "a number with ms, s, m or h, as in 250ms";
/// Expected form of an address.
pub const ADDRESS_FORM: &str = "ip:port, as in 127.0.0.1:8000";
/// Expected form of a size.
pub const SIZE_FORM: &str = "a number with B, KiB, MiB or GiB, as in 64MiB";

/// A section name and the keys allowed in it. An empty list allows any key.
pub type KnownSection = (&'static str, &'static [&'static str]);

/// A problem with one setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct SettingsProblem {
    message: String,
    #[help]
    help: String,
    #[label("here")]
    span: SourceSpan,
}

/// All problems found in a settings file.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{count} wrong settings in {file}: {first}")]
#[diagnostic(code(mangodeal::settings))]
pub struct SettingsError {
    file: String,
    count: usize,
    first: String,
    #[source_code]
    source_code: NamedSource<String>,
    #[related]
    problems: Vec<SettingsProblem>,
}

impl SettingsError {
    /// Returns the message of each problem, with its expected form.
    pub fn messages(&self) -> Vec<String> {
        self.problems.iter().map(|p| format!("{} ({})", p.message, p.help)).collect()
    }
}

/// Reads values from an INI file and collects the problems found.
pub struct IniReader<'a> {
    text: &'a str,
    /// The parsed file.
    pub ini: Ini,
    problems: Vec<SettingsProblem>,
}

impl IniReader<'_> {
    /// Parses a file, checks its sections and keys against `known`, and converts it with `read`.
    ///
    /// # Errors
    ///
    /// Fails with all problems found.
    pub fn parse<T>(
        file: &str,
        text: &str,
        known: &[KnownSection],
        read: impl FnOnce(&mut IniReader<'_>) -> Option<T>,
    ) -> Result<T, Box<SettingsError>> {
        let mut reader = IniReader { text, ini: Ini::new(), problems: Vec::new() };
        match Ini::load_from_str(text) {
            Ok(ini) => reader.ini = ini,
            Err(error) => {
                let range = line_range(text, error.line);
                reader.add_problem(error.msg.to_string(), "sections and key = value lines", range);
                return Err(reader.into_error(file));
            }
        }
        reader.check_known(known);
        match read(&mut reader) {
            Some(settings) if reader.problems.is_empty() => Ok(settings),
            _ => Err(reader.into_error(file)),
        }
    }

    /// Reads a duration. Returns `default_ms` milliseconds if the key is missing.
    pub fn duration(&mut self, section: &str, key: &str, default_ms: u64) -> Duration {
        let value = self.value(section, key, DURATION_FORM, parse_duration);
        value.unwrap_or(Duration::from_millis(default_ms))
    }

    /// Reads a positive integer.
    pub fn count(&mut self, section: &str, key: &str, default: usize) -> usize {
        let parse = |text: &str| text.parse::<usize>().ok().filter(|count| *count > 0);
        self.value(section, key, "a number from 1 on", parse).unwrap_or(default)
    }

    /// Reads a mandatory value.
    pub fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        form: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.ini.get_from(Some(section), key).is_none() {
            let range = self.section_range(section);
            self.add_problem(format!("[{section}] {key} is missing"), form, range);
            return None;
        }
        self.value(section, key, form, parse)
    }

    /// Reads an optional value.
    pub fn value<T>(
        &mut self,
        section: &str,
        key: &str,
        form: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.ini.get_from(Some(section), key)?.to_owned();
        let value = parse(text.trim());
        if value.is_none() {
            let range = self.key_range(section, key);
            self.add_problem(format!("[{section}] {key} = {text} is not valid"), form, range);
        }
        value
    }

    fn check_known(&mut self, known_sections: &[KnownSection]) {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let name = section.unwrap_or_default();
            match known_sections.iter().find(|(known, _)| *known == name) {
                None if properties.is_empty() => {}
                None => {
                    let sections: Vec<&str> =
                        known_sections.iter().map(|(known, _)| *known).collect();
                    unknown.push((name.to_owned(), None, sections.join(", ")));
                }
                Some((_, [])) => {}
                Some((_, keys)) => {
                    for (key, _) in properties.iter().filter(|(key, _)| !keys.contains(key)) {
                        unknown.push((name.to_owned(), Some(key.to_owned()), keys.join(", ")));
                    }
                }
            }
        }
        for (section, key, valid) in unknown {
            let help = format!("valid: {valid}");
            match key {
                Some(key) => {
                    let range = self.key_range(&section, &key);
                    self.add_problem(format!("[{section}] has no key {key}"), &help, range);
                }
                None => {
                    let range = self.section_range(&section);
                    self.add_problem(format!("unknown section [{section}]"), &help, range);
                }
            }
        }
    }

    /// Adds a problem at a byte offset and length of the text.
    pub fn add_problem(&mut self, message: String, help: &str, (start, length): (usize, usize)) {
        let line = self.text[..start.min(self.text.len())].matches('\n').count() + 1;
        let message = format!("line {line}: {message}");
        let span = SourceSpan::from((start, length));
        self.problems.push(SettingsProblem { message, help: help.to_owned(), span });
    }

    /// Returns the byte offset and length of a section's header, or zeros if it is missing.
    pub fn section_range(&self, section: &str) -> (usize, usize) {
        let head = format!("[{section}]");
        self.text.find(&head).map_or((0, 0), |offset| (offset, head.len()))
    }

    /// Returns the byte offset and length of a key's line, or the section's offset and zero if the
    /// key is missing.
    pub fn key_range(&self, section: &str, key: &str) -> (usize, usize) {
        let (start, _) = self.section_range(section);
        let mut offset = start;
        for line in self.text[start..].split_inclusive('\n') {
            let name = line.split(['=', ':']).next().unwrap_or_default().trim();
            if name == key {
                return (offset, line.trim_end().len());
            }
            offset += line.len();
        }
        (start, 0)
    }

    fn into_error(self, file: &str) -> Box<SettingsError> {
        let first = self.problems.first().map(|problem| problem.message.clone());
        Box::new(SettingsError {
            file: file.to_owned(),
            count: self.problems.len(),
            first: first.unwrap_or_default(),
            source_code: NamedSource::new(file, self.text.to_owned()),
            problems: self.problems,
        })
    }
}

/// Returns the byte offset and length of a line, which is counted from 1.
fn line_range(text: &str, line: usize) -> (usize, usize) {
    let mut offset = 0;
    for (number, content) in text.split_inclusive('\n').enumerate() {
        if number + 1 >= line {
            return (offset, content.trim_end().len());
        }
        offset += content.len();
    }
    (offset.saturating_sub(1), 0)
}

/// Parses an IP address with a port.
pub fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses a duration such as `250ms`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit = &text[digits.len()..];
    let (_, millis) = TIME_UNITS.iter().find(|(name, _)| *name == unit)?;
    let number: f64 = digits.trim().parse().ok()?;
    Duration::try_from_secs_f64(number * *millis as f64 / 1_000.0).ok()
}
