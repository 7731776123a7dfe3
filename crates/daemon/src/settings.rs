//! The daemon's settings, read from an INI file. All problems are reported at once.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Address, ByteSize, DomainName, KeyHash};
use log::LevelFilter;
use place::IdlePolicy;

use crate::reader::{
    parse_address, parse_duration, IniReader, SettingsError, ADDRESS_FORM, SIZE_FORM,
};

/// All valid sections and their keys. The section `operators` may have any key.
const KNOWN_SECTIONS: [(&str, &[&str]); 7] = [
    (
        "daemon",
        &["domain", "domains", "caller_listen", "operator_listen", "peer_listen", "peer_address"],
    ),
    ("platform", &["service", "hosts", "lease", "head_interval", "hosts_interval"]),
    ("operators", &[]),
    (
        "requests",
        &[
            "max_body",
            "buffers",
            "receive_timeout",
            "deadline",
            "max_waiting",
            "key_grace",
            "drain_delay",
        ],
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

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text.
    Text,
    /// One JSON object per line.
    Json,
}

/// A daemon's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Failure domain of the host.
    pub domain: DomainName,
    /// All failure domains of the fleet, sorted. Every daemon must have the same list.
    pub domains: Vec<DomainName>,
    /// Address that callers connect to.
    pub caller_listen: SocketAddr,
    /// Address that operators connect to.
    pub operator_listen: SocketAddr,
    /// Address on which connections from peers are accepted.
    pub peer_listen: SocketAddr,
    /// Address that this daemon announces to its peers.
    pub peer_address: Address,
    /// Address of the key-value service.
    pub service: SocketAddr,
    /// Address of the platform's host list, if there is one.
    pub hosts: Option<SocketAddr>,
    /// Time to live of the lease in the key-value service.
    pub lease: Duration,
    /// Interval between two reads of the configuration's latest revision.
    pub head_interval: Duration,
    /// Interval between two reads of the host list.
    pub hosts_interval: Duration,
    /// Names of the operators and hashes of their credentials.
    pub operators: Vec<(String, KeyHash)>,
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// Most memory for buffered bodies of requests and responses.
    pub buffers: ByteSize,
    /// Timeout for receiving a request's head, and again for its body.
    pub receive_timeout: Duration,
    /// Deadline of model requests that specify none.
    pub deadline: Duration,
    /// Maximum number of requests that are queued in this daemon.
    pub max_waiting: usize,
    /// How long keys are accepted while the configuration can't be read by any path.
    pub key_grace: Duration,
    /// How long a daemon that shuts down keeps accepting requests.
    pub drain_delay: Duration,
    /// Maximum number of concurrent model loads across the fleet.
    pub load_slots: usize,
    /// Maximum number of concurrent adapter loads across the fleet.
    pub adapter_slots: usize,
    /// Interval between two reports of a target.
    pub report_interval: Duration,
    /// Delay between removing a replica from routing and ordering its unload.
    pub unload_delay: Duration,
    /// How long after its issuer is gone an order may still arrive.
    pub order_drain: Duration,
    /// Policy for unloading idle replicas.
    pub idle: IdlePolicy,
    /// Number of replicas that each failure domain places in advance, to be loaded during an outage
    /// of the key-value service.
    pub reserve: usize,
    /// Time until borrowed tokens expire.
    pub loan: Duration,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
}

impl Settings {
    /// Parses the text of an INI file.
    ///
    /// # Errors
    ///
    /// Fails with all problems found: wrong syntax, unknown sections and keys, invalid values,
    /// missing keys and invalid combinations.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Box<SettingsError>> {
        IniReader::parse(file, text, &KNOWN_SECTIONS, Settings::read)
    }

    /// Returns this failure domain's share of a fleet-wide number of slots, which is at least 1.
    pub fn domain_slots(&self, slots: usize) -> usize {
        let count = self.domains.len().max(1);
        let position = self.domains.binary_search(&self.domain).unwrap_or(0);
        (slots / count + usize::from(position < slots % count)).max(1)
    }

    fn read(reader: &mut IniReader<'_>) -> Option<Settings> {
        let peer_listen = reader.required("daemon", "peer_listen", ADDRESS_FORM, parse_address);
        let domain = reader.required("daemon", "domain", "a name", |text| text.parse().ok());
        let domains = reader.value("daemon", "domains", "names separated by commas", parse_domains);
        let domains = domains.or_else(|| domain.clone().map(|domain| vec![domain]));
        if let (Some(domain), Some(domains)) = (&domain, &domains) {
            if domains.binary_search(domain).is_err() {
                let range = reader.key_range("daemon", "domains");
                let help = "list every failure domain of the fleet, this one included";
                reader.add_problem("domain is not among domains".to_owned(), help, range);
            }
        }
        let form = "an address, as in 10.0.0.7:7001";
        let peer_address = reader.value("daemon", "peer_address", form, |text| {
            parse_address(text).and_then(|_| text.parse().ok())
        });
        let peer_address =
            peer_address.or_else(|| peer_listen.and_then(|listen| listen.to_string().parse().ok()));
        let lease = reader.duration("platform", "lease", 6_000);
        if lease < Duration::from_secs(2) {
            let range = reader.key_range("platform", "lease");
            reader.add_problem("lease is too short".to_owned(), "at least 2s", range);
        }
        Some(Settings {
            caller_listen: reader.required(
                "daemon",
                "caller_listen",
                ADDRESS_FORM,
                parse_address,
            )?,
            operator_listen: reader.required(
                "daemon",
                "operator_listen",
                ADDRESS_FORM,
                parse_address,
            )?,
            peer_listen: peer_listen?,
            peer_address: peer_address?,
            service: reader.required("platform", "service", ADDRESS_FORM, parse_address)?,
            hosts: reader.value("platform", "hosts", ADDRESS_FORM, parse_address),
            lease,
            head_interval: reader.duration("platform", "head_interval", 1_000),
            hosts_interval: reader.duration("platform", "hosts_interval", 1_000),
            operators: Settings::read_operators(reader),
            max_body: reader
                .value("requests", "max_body", SIZE_FORM, |text| text.parse().ok())
                .unwrap_or(ByteSize(8 << 20)),
            buffers: reader
                .value("requests", "buffers", SIZE_FORM, |text| text.parse().ok())
                .unwrap_or(ByteSize(64 << 20)),
            receive_timeout: reader.duration("requests", "receive_timeout", 10_000),
            deadline: reader.duration("requests", "deadline", 30_000),
            max_waiting: reader.count("requests", "max_waiting", 4_096),
            key_grace: reader.duration("requests", "key_grace", 600_000),
            drain_delay: reader.duration("requests", "drain_delay", 1_000),
            load_slots: reader.count("placement", "load_slots", 4),
            adapter_slots: reader.count("placement", "adapter_slots", 30),
            report_interval: reader.duration("placement", "report_interval", 250),
            unload_delay: reader.duration("placement", "unload_delay", 500),
            order_drain: reader.duration("placement", "order_drain", 120_000),
            idle: reader
                .value("placement", "idle", "fitted, or a time as in 30s", |text| match text {
                    "fitted" => Some(IdlePolicy::Fitted),
                    text => parse_duration(text).map(IdlePolicy::Fixed),
                })
                .unwrap_or(IdlePolicy::Fitted),
            reserve: reader
                .value("placement", "reserve", "a number from 0 on", |text| text.parse().ok())
                .unwrap_or(2),
            loan: reader.duration("allowance", "loan", 2_000),
            log_format: reader
                .value("log", "format", "text or json", |text| match text {
                    "text" => Some(LogFormat::Text),
                    "json" => Some(LogFormat::Json),
                    _ => None,
                })
                .unwrap_or(LogFormat::Text),
            log_level: reader
                .value("log", "level", "off, error, warn, info, debug or trace", |text| {
                    text.parse().ok()
                })
                .unwrap_or(LevelFilter::Info),
            domain: domain?,
            domains: domains?,
        })
    }

    fn read_operators(reader: &mut IniReader<'_>) -> Vec<(String, KeyHash)> {
        let section = reader.ini.section(Some("operators"));
        let entries: Vec<(String, String)> = section
            .map(|section| section.iter().map(|(k, v)| (k.to_owned(), v.to_owned())).collect())
            .unwrap_or_default();
        let mut operators = Vec::new();
        for (name, value) in entries {
            match value.parse() {
                Ok(hash) => operators.push((name, hash)),
                Err(_) => {
                    let range = reader.key_range("operators", &name);
                    let help = "the credential's SHA-256 in hexadecimal, from `mangodeal hash`";
                    reader.add_problem(format!("{name} is not a key hash"), help, range);
                }
            }
        }
        operators
    }
}

fn parse_domains(text: &str) -> Option<Vec<DomainName>> {
    let names = text.split(',').map(|name| name.trim().parse().ok());
    let mut domains: Vec<DomainName> = names.collect::<Option<_>>()?;
    domains.sort();
    domains.dedup();
    Some(domains)
}
