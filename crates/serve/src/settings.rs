//! Settings of a daemon, read from an INI file and validated together.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ByteSize, DomainName, Name};
use daemon::{
    parse_address, parse_duration, IniReader, KnownSection, SettingsError, ADDRESS_FORM, SIZE_FORM,
};
use log::LevelFilter;
use patch::ByteRate;

use crate::host::{RELAY_MARGIN, SEND_MARGIN};

const KNOWN_KEYS: [KnownSection; 4] = [
    (
        "front",
        &[
            "host",
            "domain",
            "cpu_share",
            "link_mbps",
            "caller_listen",
            "ready_listen",
            "peer_listen",
            "metrics_listen",
        ],
    ),
    (
        "store",
        &[
            "address",
            "lease",
            "seat_lease",
            "call_timeout",
            "watch_wait",
            "watch_pause",
            "return_grace",
        ],
    ),
    (
        "limits",
        &[
            "grace",
            "drain",
            "apply",
            "evacuation",
            "order_turn",
            "fences_checked",
            "retry_ratio",
            "retry_extra",
            "retry_window",
            "load_window",
            "buffers",
            "schedule_prefill",
        ],
    ),
    ("log", &["level", "lines_per_second"]),
];

/// Default of `watch_pause` in percent of `drain`.
const WATCH_PAUSE_PERCENT: u64 = 30;

/// Default of `watch_wait` in milliseconds.
const DEFAULT_WATCH_WAIT_MS: u64 = 1_500;

/// Shortest `evacuation`. A list of targets can't be read and relayed reliably in less time.
const MIN_EVACUATION: Duration = Duration::from_secs(1);

/// Upper limits of the defaults of `watch_wait` and `watch_pause` in percent of `evacuation`. Two waits
/// and a pause then leave a quarter of it for the calls, so that the daemon's list stays valid from
/// one answer of its watch to the next.
const EVACUATION_WAIT_PERCENT: u64 = 30;
const EVACUATION_PAUSE_PERCENT: u64 = 15;

/// Default of `link_mbps`.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;

/// A daemon passes layouts on to others at its link's rate divided by this.
const TRANSFER_DIVISOR: f64 = 2.0;
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Default of `buffers`.
const DEFAULT_BUFFERS: ByteSize = ByteSize(32 << 20);

/// Settings of a daemon on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontSettings {
    /// Name of the host.
    pub host: Name,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Number of cores that the daemon may use.
    pub cpu_share: f64,
    /// Rate of the host's network link, in megabits per second.
    pub link_mbps: f64,
    /// Address on which clients connect.
    pub caller_listen: SocketAddr,
    /// Address on which the balancer probes whether the daemon is ready.
    pub ready_listen: SocketAddr,
    /// Address on which other daemons connect.
    pub peer_listen: SocketAddr,
    /// Address on which metrics are read.
    pub metrics_listen: SocketAddr,
    /// Address of the metadata store.
    pub store: SocketAddr,
    /// Time to live of the leader's lease.
    pub lease: Duration,
    /// Time to live of the lease of the daemon's registration in the store.
    pub seat_lease: Duration,
    /// Time limit of a call to the store.
    pub call_timeout: Duration,
    /// How long a watch waits for changes.
    pub watch_wait: Duration,
    /// Least time between two answers of a watch, so that changes are read in batches.
    pub watch_pause: Duration,
    /// How long after an outage of the store a target that is missing from its list still counts as
    /// present.
    pub return_grace: Duration,
    /// How long a target that leaves continues to serve. After that, no daemon may send to it.
    pub drain: Duration,
    /// Within which time a new configuration must be in force.
    pub apply: Duration,
    /// Within which time nothing more may be sent to the targets of an evacuated domain; `None` where
    /// evacuations aren't in use.
    pub evacuation: Option<Duration>,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Least time between the orders of two leaders on different hosts to the same target.
    pub order_turn: Duration,
    /// Whether targets refuse orders whose fencing token is lower than one that they have seen.
    pub fences_checked: bool,
    /// Retry budget of the fleet in a window, as a fraction of a service's requests.
    pub retry_ratio: f64,
    /// Retries of the fleet in a window in addition to `retry_ratio`.
    pub retry_extra: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Window in which model loads from the weight store are counted.
    pub load_window: Duration,
    /// Most memory for clients' bodies and targets' answers that are buffered.
    pub buffers: ByteSize,
    /// Whether the leader schedules long prompts also in services whose targets state no slowdown.
    pub schedule_prefill: bool,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Most log lines per second; the rest are counted and dropped.
    pub log_lines: u32,
}

impl FrontSettings {
    /// Parses settings from the text of an INI file.
    ///
    /// # Errors
    ///
    /// Fails with a list of all problems in the file.
    pub fn parse(file: &str, text: &str) -> Result<FrontSettings, Box<SettingsError>> {
        IniReader::parse(file, text, &KNOWN_KEYS, FrontSettings::read)
    }

    /// Returns whether the text has a `[front]` section, and so holds settings of this kind.
    pub fn has_front_section(text: &str) -> bool {
        text.lines().any(|line| line.trim() == "[front]")
    }

    /// Returns the rate at which the daemon passes layouts on to others.
    pub fn transfer_rate(&self) -> ByteRate {
        ByteRate((self.link_mbps * BYTES_PER_MEGABIT / TRANSFER_DIVISOR) as u64)
    }

    /// Returns the greatest age of relayed changes on which the daemon relies.
    pub fn max_relay_age(&self) -> Duration {
        let bound = self.evacuation.unwrap_or(self.drain).min(self.drain);
        bound.saturating_sub(RELAY_MARGIN)
    }

    /// Returns the greatest age of a list of targets that the daemon has read itself, where
    /// evacuations are in use.
    pub fn max_list_age(&self) -> Option<Duration> {
        self.evacuation.map(|bound| bound.saturating_sub(SEND_MARGIN))
    }

    fn read(reader: &mut IniReader<'_>) -> Option<FrontSettings> {
        let name = |text: &str| text.parse().ok();
        let host = reader.required("front", "host", "a name", name);
        let domain = reader.required("front", "domain", "a name", |text| text.parse().ok());
        let mut address = |key| reader.required("front", key, ADDRESS_FORM, parse_address);
        let caller_listen = address("caller_listen");
        let ready_listen = address("ready_listen");
        let peer_listen = address("peer_listen");
        let metrics_listen = address("metrics_listen");
        let store = reader.required("store", "address", ADDRESS_FORM, parse_address);
        let number = |text: &str| text.parse::<f64>().ok().filter(|number| *number >= 0.0);
        let cpu_share = reader.value("front", "cpu_share", "a number of cores", number);
        let link_mbps = reader.value("front", "link_mbps", "megabits per second", number);
        let schedule_prefill =
            reader.value("limits", "schedule_prefill", "true or false", |text| text.parse().ok());
        let mut ratio = |key, default| {
            reader.value("limits", key, "a number from 0 on", number).unwrap_or(default)
        };
        let (retry_ratio, retry_extra) = (ratio("retry_ratio", 0.2), ratio("retry_extra", 50.0));
        let fences_checked =
            reader.value("limits", "fences_checked", "true or false", |text| text.parse().ok());
        let buffers = reader.value("limits", "buffers", SIZE_FORM, |text| text.parse().ok());
        let log_level =
            reader.value("log", "level", "off, error, warn, info, debug or trace", |text| {
                text.parse().ok()
            });
        let drain = reader.duration("limits", "drain", 2_000);
        let drain_ms = u64::try_from(drain.as_millis()).unwrap_or(u64::MAX);
        let evacuation =
            reader.value("limits", "evacuation", "a duration of at least 1s", |text: &str| {
                parse_duration(text).filter(|bound| *bound >= MIN_EVACUATION)
            });
        let part_of_evacuation = |percent: u64| {
            let millis = evacuation.map(|bound| bound.as_millis() * u128::from(percent) / 100);
            millis.and_then(|millis| u64::try_from(millis).ok()).unwrap_or(u64::MAX)
        };
        let default_pause = drain_ms * WATCH_PAUSE_PERCENT / 100;
        let default_pause = default_pause.min(part_of_evacuation(EVACUATION_PAUSE_PERCENT));
        let default_wait = DEFAULT_WATCH_WAIT_MS.min(part_of_evacuation(EVACUATION_WAIT_PERCENT));
        let watch_wait = reader.duration("store", "watch_wait", default_wait);
        let watch_pause = reader.duration("store", "watch_pause", default_pause);
        if let Some(bound) = evacuation.filter(|bound| *bound <= watch_wait * 2 + watch_pause) {
            let range = reader.key_range("limits", "evacuation");
            let message = format!("[limits] evacuation = {} ms is too short", bound.as_millis());
            reader.add_problem(message, "more than two of watch_wait and one watch_pause", range);
        }
        let log_lines = reader.count("log", "lines_per_second", 300);
        Some(FrontSettings {
            lease: reader.duration("store", "lease", 2_000),
            seat_lease: reader.duration("store", "seat_lease", 30_000),
            call_timeout: reader.duration("store", "call_timeout", 1_500),
            watch_wait,
            watch_pause,
            return_grace: reader.duration("store", "return_grace", 2_200),
            drain,
            apply: reader.duration("limits", "apply", drain_ms),
            evacuation,
            grace: reader.duration("limits", "grace", 8_000),
            order_turn: reader.duration("limits", "order_turn", 3_000),
            retry_window: reader.duration("limits", "retry_window", 10_000),
            load_window: reader.duration("limits", "load_window", 5_000),
            fences_checked: fences_checked.unwrap_or(false),
            buffers: buffers.unwrap_or(DEFAULT_BUFFERS),
            schedule_prefill: schedule_prefill.unwrap_or(false),
            retry_ratio,
            retry_extra,
            log_level: log_level.unwrap_or(LevelFilter::Info),
            log_lines: u32::try_from(log_lines).unwrap_or(u32::MAX),
            host: host?,
            domain: domain?,
            cpu_share: cpu_share.unwrap_or(1.0),
            link_mbps: link_mbps.unwrap_or(DEFAULT_LINK_MBPS),
            caller_listen: caller_listen?,
            ready_listen: ready_listen?,
            peer_listen: peer_listen?,
            metrics_listen: metrics_listen?,
            store: store?,
        })
    }
}
