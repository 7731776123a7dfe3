//! Settings, read from INI and checked whole.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Address, ByteSize, DomainName, KeyHash};
use ini::Ini;
use log::LevelFilter;
use miette::{Diagnostic, NamedSource, SourceSpan};
use place::IdlePolicy;

/// Units of time spans.
const TIME_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
const SPAN_FORM: &str = "a number with ms, s, m or h, as in 250ms";
const ADDRESS_FORM: &str = "ip:port, as in 127.0.0.1:8000";
const SIZE_FORM: &str = "a number with B, KiB, MiB or GiB, as in 64MiB";

/// All sections with their keys.
const KNOWN: [(&str, &[&str]); 7] = [
    (
        "daemon",
        &["domain", "domains", "caller_listen", "operator_listen", "peer_listen", "peer_address"],
    ),
    ("platform", &["service", "hosts", "lease", "head_interval", "hosts_interval"]),
    ("operators", &[]),
    (
        "requests",
        &["max_body", "receive_timeout", "deadline", "max_waiting", "key_grace", "drain_delay"],
    ),
    (
        "placement",
        &[
            "load_slots",
            "adapter_slots",
            "report_interval",
            "unload_delay",
            "order_drain",
            "idle",
            "reserve",
        ],
    ),
    ("allowance", &["loan"]),
    ("log", &["format", "level"]),
];

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text.
    Text,
    /// One JSON object a line.
    Json,
}

/// A daemon's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Failure domain of the host.
    pub domain: DomainName,
    /// All failure domains of the fleet, sorted; the same for every daemon.
    pub domains: Vec<DomainName>,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where operators connect.
    pub operator_listen: SocketAddr,
    /// Where peers connect.
    pub peer_listen: SocketAddr,
    /// The address under which peers reach this daemon.
    pub peer_address: Address,
    /// The key-value service.
    pub service: SocketAddr,
    /// The platform's host list, if there is one.
    pub hosts: Option<SocketAddr>,
    /// Time to live of the lease.
    pub lease: Duration,
    /// Time between two reads of the configuration's head.
    pub head_interval: Duration,
    /// Time between two reads of the host list.
    pub hosts_interval: Duration,
    /// Operators and the hashes of their credentials.
    pub operators: Vec<(String, KeyHash)>,
    /// Largest request body.
    pub max_body: ByteSize,
    /// Longest time for receiving a request.
    pub receive_timeout: Duration,
    /// Deadline of model requests that name none.
    pub deadline: Duration,
    /// Requests that may wait in this daemon.
    pub max_waiting: usize,
    /// How long keys are accepted without any path to the configuration.
    pub key_grace: Duration,
    /// How long a daemon that shuts down goes on taking requests.
    pub drain_delay: Duration,
    /// Loads at once over the fleet.
    pub load_slots: usize,
    /// Adapter loads at once over the fleet.
    pub adapter_slots: usize,
    /// Time between two reports of a target.
    pub report_interval: Duration,
    /// Time between taking a replica out of routing and ordering its unload.
    pub unload_delay: Duration,
    /// How long an order of a gone issuer may still arrive.
    pub order_drain: Duration,
    /// When idle replicas are unloaded.
    pub idle: IdlePolicy,
    /// Replicas that each failure domain decides ahead for outages of the service.
    pub reserve: usize,
    /// How long borrowed tokens may be used.
    pub loan: Duration,
    /// Form of log lines.
    pub log_format: LogFormat,
    /// Least important level that is logged.
    pub log_level: LevelFilter,
}

/// One setting that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct SettingsProblem {
    message: String,
    #[help]
    help: String,
    #[label("here")]
    span: SourceSpan,
}

/// All that is wrong with a settings file.
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
    /// Returns the messages of all problems.
    pub fn messages(&self) -> Vec<String> {
        self.problems.iter().map(|p| format!("{} ({})", p.message, p.help)).collect()
    }
}

impl Settings {
    /// Reads settings out of the text of an INI file.
    ///
    /// # Errors
    ///
    /// Fails with everything that is wrong: syntax, unknown sections and keys, values of the wrong
    /// form, missing keys and impossible combinations.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Box<SettingsError>> {
        let mut reader = Reader { text, ini: Ini::new(), problems: Vec::new() };
        match Ini::load_from_str(text) {
            Ok(ini) => reader.ini = ini,
            Err(error) => {
                let at = line_offset(text, error.line);
                reader.problem(error.msg.to_string(), "sections and key = value lines", at);
                return Err(reader.into_error(file));
            }
        }
        reader.check_known();
        let settings = reader.read();
        match settings {
            Some(settings) if reader.problems.is_empty() => Ok(settings),
            _ => Err(reader.into_error(file)),
        }
    }

    /// Returns the part of a fleet-wide number of slots that this failure domain has.
    pub fn domain_slots(&self, slots: usize) -> usize {
        let count = self.domains.len().max(1);
        let position = self.domains.binary_search(&self.domain).unwrap_or(0);
        (slots / count + usize::from(position < slots % count)).max(1)
    }
}

struct Reader<'a> {
    text: &'a str,
    ini: Ini,
    problems: Vec<SettingsProblem>,
}

impl Reader<'_> {
    fn read(&mut self) -> Option<Settings> {
        let peer_listen = self.required("daemon", "peer_listen", ADDRESS_FORM, parse_address);
        let domain = self.required("daemon", "domain", "a name", |text| text.parse().ok());
        let domains = self.value("daemon", "domains", "names separated by commas", parse_domains);
        let domains = domains.or_else(|| domain.clone().map(|domain| vec![domain]));
        if let (Some(domain), Some(domains)) = (&domain, &domains) {
            if domains.binary_search(domain).is_err() {
                let at = self.key_offset("daemon", "domains");
                let help = "list every failure domain of the fleet, this one included";
                self.problem("domain is not among domains".to_owned(), help, at);
            }
        }
        let form = "an address, as in 10.0.0.7:7001";
        let peer_address = self.value("daemon", "peer_address", form, |text| {
            parse_address(text).and_then(|_| text.parse().ok())
        });
        let peer_address =
            peer_address.or_else(|| peer_listen.and_then(|listen| listen.to_string().parse().ok()));
        let lease = self.span("platform", "lease", 6_000);
        if lease < Duration::from_secs(2) {
            let at = self.key_offset("platform", "lease");
            self.problem("lease is too short".to_owned(), "at least 2s", at);
        }
        Some(Settings {
            caller_listen: self.required("daemon", "caller_listen", ADDRESS_FORM, parse_address)?,
            operator_listen: self.required(
                "daemon",
                "operator_listen",
                ADDRESS_FORM,
                parse_address,
            )?,
            peer_listen: peer_listen?,
            peer_address: peer_address?,
            service: self.required("platform", "service", ADDRESS_FORM, parse_address)?,
            hosts: self.value("platform", "hosts", ADDRESS_FORM, parse_address),
            lease,
            head_interval: self.span("platform", "head_interval", 1_000),
            hosts_interval: self.span("platform", "hosts_interval", 1_000),
            operators: self.operators(),
            max_body: self
                .value("requests", "max_body", SIZE_FORM, |text| text.parse().ok())
                .unwrap_or(ByteSize(8 << 20)),
            receive_timeout: self.span("requests", "receive_timeout", 10_000),
            deadline: self.span("requests", "deadline", 30_000),
            max_waiting: self.count("requests", "max_waiting", 4_096),
            key_grace: self.span("requests", "key_grace", 600_000),
            drain_delay: self.span("requests", "drain_delay", 1_000),
            load_slots: self.count("placement", "load_slots", 4),
            adapter_slots: self.count("placement", "adapter_slots", 30),
            report_interval: self.span("placement", "report_interval", 250),
            unload_delay: self.span("placement", "unload_delay", 500),
            order_drain: self.span("placement", "order_drain", 120_000),
            idle: self
                .value("placement", "idle", "fitted, or a time as in 30s", |text| match text {
                    "fitted" => Some(IdlePolicy::Fitted),
                    text => parse_span(text).map(IdlePolicy::Fixed),
                })
                .unwrap_or(IdlePolicy::Fitted),
            reserve: self
                .value("placement", "reserve", "a number from 0 on", |text| text.parse().ok())
                .unwrap_or(2),
            loan: self.span("allowance", "loan", 2_000),
            log_format: self
                .value("log", "format", "text or json", |text| match text {
                    "text" => Some(LogFormat::Text),
                    "json" => Some(LogFormat::Json),
                    _ => None,
                })
                .unwrap_or(LogFormat::Text),
            log_level: self
                .value("log", "level", "off, error, warn, info, debug or trace", |text| {
                    text.parse().ok()
                })
                .unwrap_or(LevelFilter::Info),
            domain: domain?,
            domains: domains?,
        })
    }

    fn operators(&mut self) -> Vec<(String, KeyHash)> {
        let section = self.ini.section(Some("operators"));
        let entries: Vec<(String, String)> = section
            .map(|section| section.iter().map(|(k, v)| (k.to_owned(), v.to_owned())).collect())
            .unwrap_or_default();
        let mut operators = Vec::new();
        for (name, value) in entries {
            match value.parse() {
                Ok(hash) => operators.push((name, hash)),
                Err(_) => {
                    let at = self.key_offset("operators", &name);
                    let help = "the credential's SHA-256 in hexadecimal, from `mangodeal hash`";
                    self.problem(format!("{name} is not a key hash"), help, at);
                }
            }
        }
        operators
    }

    fn span(&mut self, section: &str, key: &str, default_ms: u64) -> Duration {
        let value = self.value(section, key, SPAN_FORM, parse_span);
        value.unwrap_or(Duration::from_millis(default_ms))
    }

    fn count(&mut self, section: &str, key: &str, default: usize) -> usize {
        let parse = |text: &str| text.parse::<usize>().ok().filter(|count| *count > 0);
        self.value(section, key, "a number from 1 on", parse).unwrap_or(default)
    }

    fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        form: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.ini.get_from(Some(section), key).is_none() {
            let at = self.section_offset(section);
            self.problem(format!("[{section}] {key} is missing"), form, at);
            return None;
        }
        self.value(section, key, form, parse)
    }

    fn value<T>(
        &mut self,
        section: &str,
        key: &str,
        form: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.ini.get_from(Some(section), key)?.to_owned();
        let value = parse(text.trim());
        if value.is_none() {
            let at = self.key_offset(section, key);
            self.problem(format!("[{section}] {key} = {text} is not valid"), form, at);
        }
        value
    }

    fn check_known(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let name = section.unwrap_or_default();
            match KNOWN.iter().find(|(known, _)| *known == name) {
                None if properties.is_empty() => {}
                None => {
                    let sections: Vec<&str> = KNOWN.iter().map(|(known, _)| *known).collect();
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
                    let at = self.key_offset(&section, &key);
                    self.problem(format!("[{section}] has no key {key}"), &help, at);
                }
                None => {
                    let at = self.section_offset(&section);
                    self.problem(format!("unknown section [{section}]"), &help, at);
                }
            }
        }
    }

    fn problem(&mut self, message: String, help: &str, (start, length): (usize, usize)) {
        let line = self.text[..start.min(self.text.len())].matches('\n').count() + 1;
        let message = format!("line {line}: {message}");
        let span = SourceSpan::from((start, length));
        self.problems.push(SettingsProblem { message, help: help.to_owned(), span });
    }

    /// Returns the position and length of a section's head, or of the file's start.
    fn section_offset(&self, section: &str) -> (usize, usize) {
        let head = format!("[{section}]");
        self.text.find(&head).map_or((0, 0), |at| (at, head.len()))
    }

    /// Returns the position and length of a key's line.
    fn key_offset(&self, section: &str, key: &str) -> (usize, usize) {
        let (start, _) = self.section_offset(section);
        let mut at = start;
        for line in self.text[start..].split_inclusive('\n') {
            let name = line.split(['=', ':']).next().unwrap_or_default().trim();
            if name == key {
                return (at, line.trim_end().len());
            }
            at += line.len();
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

fn line_offset(text: &str, line: usize) -> (usize, usize) {
    let mut at = 0;
    for (number, content) in text.split_inclusive('\n').enumerate() {
        if number + 1 >= line {
            return (at, content.trim_end().len());
        }
        at += content.len();
    }
    (at.saturating_sub(1), 0)
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn parse_domains(text: &str) -> Option<Vec<DomainName>> {
    let names = text.split(',').map(|name| name.trim().parse().ok());
    let mut domains: Vec<DomainName> = names.collect::<Option<_>>()?;
    domains.sort();
    domains.dedup();
    Some(domains)
}

fn parse_span(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit = &text[digits.len()..];
    let (_, millis) = TIME_UNITS.iter().find(|(name, _)| *name == unit)?;
    let number: u64 = digits.trim().parse().ok()?;
    number.checked_mul(*millis).map(Duration::from_millis)
}
