//! A fleet whose targets change their software version: daemons learn of each change at different times, are
//! cut off, or are killed, and clients take up their streams anywhere. `ORIGIN_SEEDS` sets the number of
//! seeds.

use std::time::Duration;

use base::{Name, Revision, Time};
use fleet::SoftwareVersion;
use mango_origin::{
    MixKeeper, MixWire, OriginBook, ServiceMixes, ServiceView, StreamId, StreamOrigin, VersionMix,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const LIFETIME: Duration = Duration::from_secs(12);
const END_MS: u64 = 90_000;
/// Longest time in which a connected daemon learns of a change.
const RELAY_MS: u64 = 1_500;
/// Time until a record is in the store.
const WRITE_MS: u64 = 5;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn service() -> Name {
    "engines".parse().unwrap()
}

fn version(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

/// What the store has.
#[derive(Default)]
struct Store {
    /// All mixes in order of their revisions, with the time of each.
    mixes: Vec<(u64, VersionMix)>,
    records: Vec<(StreamId, StreamOrigin)>,
}

impl Store {
    fn mix_at(&self, ms: u64) -> Option<(&VersionMix, Revision)> {
        let known = self.mixes.partition_point(|(written_ms, _)| *written_ms <= ms);
        Some((&self.mixes.get(known.checked_sub(1)?)?.1, Revision(known as u64)))
    }
}

struct Daemon {
    mixes: ServiceMixes,
    book: OriginBook,
    /// Up to when it has all changes of the store, and when it learns of the next ones.
    known_ms: u64,
    next_ms: u64,
    cut_until_ms: u64,
    /// When the records that it has asked for are written.
    writes_at_ms: Option<u64>,
}

impl Daemon {
    fn start(ms: u64) -> Daemon {
        Daemon {
            mixes: ServiceMixes::default(),
            book: OriginBook::default(),
            known_ms: 0,
            next_ms: ms,
            cut_until_ms: 0,
            writes_at_ms: None,
        }
    }
}

/// A stream that has begun: its identity, version and end.
struct Stream {
    id: StreamId,
    version: SoftwareVersion,
    until_ms: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    taken_up: u32,
    continued: u32,
    joined: u32,
    records: usize,
}

/// Returns the versions that are listed at a time: v1, then both for ten seconds, then v2; later a short
/// return of v1.
fn listed_at(ms: u64) -> Vec<&'static str> {
    match ms {
        0..=9_999 => vec!["v1"],
        10_000..=19_999 => vec!["v1", "v2"],
        20_000..=59_999 => vec!["v2"],
        60_000..=64_999 => vec!["v1", "v2"],
        _ => vec!["v2"],
    }
}

/// Plays 90 s. `kill_ms` are the times at which all daemons are killed at once.
fn play(seed: u64, kill_ms: &[u64], has_cuts: bool) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut store = Store::default();
    let mut keeper = MixKeeper::new(true);
    let mut keeper_mixes_ms = 0;
    let mut daemons: Vec<Daemon> = (0..6).map(|_| Daemon::start(0)).collect();
    let mut streams: Vec<Stream> = Vec::new();
    let (mut outcome, mut attempts) = (Outcome::default(), 0);
    for ms in (0..END_MS).step_by(5) {
        if kill_ms.contains(&ms) {
            daemons = (0..6).map(|_| Daemon::start(ms + 200)).collect();
            // Another daemon leads, in a later term.
            keeper = MixKeeper::new(false);
            keeper_mixes_ms = ms + 1_500;
        }
        if ms % 250 == 0 && ms >= keeper_mixes_ms {
            let names: Vec<SoftwareVersion> =
                listed_at(ms.saturating_sub(400)).into_iter().map(version).collect();
            let listed: Vec<Option<&SoftwareVersion>> = names.iter().map(Some).collect();
            let mix = store.mix_at(ms).map(|(mix, _)| mix.clone());
            let view = ServiceView { listed: &listed, mix: mix.as_ref(), lifetime: LIFETIME };
            if let Some(mix) = keeper.next_mix(at(ms), &service(), view) {
                store.mixes.push((ms, mix));
            }
        }
        for daemon in &mut daemons {
            if has_cuts && random.random_bool(0.000_2) {
                daemon.cut_until_ms = ms + random.random_range(500..9_000);
            }
            let is_cut = ms < daemon.cut_until_ms;
            if ms >= daemon.next_ms && !is_cut {
                daemon.known_ms = ms;
                if let Some((mix, revision)) = store.mix_at(ms) {
                    daemon.mixes.set(&service(), Some(mix.clone()), revision);
                }
                daemon.next_ms = ms + random.random_range(100..RELAY_MS);
            }
            if !is_cut && daemon.writes_at_ms.take_if(|due| ms >= *due).is_some() {
                let due = daemon.book.unrecorded(at(ms), &daemon.mixes, 32);
                let ids: Vec<StreamId> = due.iter().map(|(id, _)| *id).collect();
                daemon.book.mark_recorded(&ids);
                store.records.extend(due);
            }
            if !daemon.book.unrecorded(at(ms), &daemon.mixes, 1).is_empty() {
                daemon.writes_at_ms.get_or_insert(ms + WRITE_MS);
            }
            // A stream begins at a version that is listed and allowed.
            if daemon.known_ms > 0 && random.random_bool(0.01) {
                let listed = listed_at(ms);
                let begun = version(listed[random.random_range(0..listed.len())]);
                if daemon.mixes.allows_begin(&service(), Some(&begun)) {
                    attempts += 1;
                    let id = StreamId::new(&format!("attempt-{attempts}"));
                    let origin = StreamOrigin { service: service(), version: Some(begun.clone()) };
                    let until_ms = ms + LIFETIME.as_millis() as u64 - 1_000;
                    daemon.book.begin(at(ms), id, origin, at(until_ms + 1_000));
                    streams.push(Stream { id, version: begun, until_ms });
                }
            }
        }
        // A client takes a stream up at any daemon.
        streams.retain(|stream| ms < stream.until_ms);
        if !streams.is_empty() && random.random_bool(0.05) {
            let stream = &streams[random.random_range(0..streams.len())];
            let daemon = &daemons[random.random_range(0..daemons.len())];
            if daemon.known_ms == 0 {
                continue;
            }
            let age = Duration::from_millis(ms - daemon.known_ms);
            let sole = daemon.mixes.sole_version(&service(), age);
            let found = match daemon.book.find(at(ms), stream.id) {
                Some(origin) => origin.version.clone(),
                None if sole.is_some() => sole.cloned(),
                None if ms < daemon.cut_until_ms => None,
                None => {
                    let implied =
                        store.mix_at(ms).and_then(|(mix, _)| mix.implied_version().cloned());
                    implied.or_else(|| {
                        let record = store.records.iter().find(|(id, _)| *id == stream.id);
                        record.and_then(|(_, origin)| origin.version.clone())
                    })
                }
            };
            if ms >= daemon.cut_until_ms {
                outcome.taken_up += 1;
                outcome.continued += u32::from(found.is_some());
            }
            outcome.joined += u32::from(found.is_some_and(|found| found != stream.version));
        }
    }
    outcome.records = store.records.len();
    outcome
}

/// Guards against streams that are joined from two versions after changes of the targets' versions, while
/// daemons have old information, and after all daemons were killed at once.
#[test]
fn joined_streams() {
    let kills: [&[u64]; 5] = [
        &[],
        &[12_000],
        &[10_400, 13_600, 20_200],
        &[21_000, 45_000, 60_500],
        &[33_000, 63_500, 66_000],
    ];
    let seeds = std::env::var("ORIGIN_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(8) {
        for kill_ms in kills {
            for has_cuts in [false, true] {
                let outcome = play(seed, kill_ms, has_cuts);
                let text = format!("seed {seed}, killed at {kill_ms:?}, cuts {has_cuts}");
                assert_eq!(outcome.joined, 0, "{text}: {outcome:?}");
                let least = if has_cuts { 0.7 } else { 0.85 };
                let share = f64::from(outcome.continued) / f64::from(outcome.taken_up);
                assert!(share > least, "{text}: {outcome:?}");
            }
        }
    }
}

/// Versions that are listed from 1 s on, the mix then, whether the term is the first, and the mixes that
/// follow with their times.
type KeeperCase<'a> = (&'a [Option<&'a str>], Option<VersionMix>, bool, &'a [(u64, &'a str)]);

/// The mix follows the listed versions, and never allows a version before it was announced.
#[test]
fn listed_versions() {
    let only = |text: &str| Some(VersionMix::Only(version(text)));
    let cases: [KeeperCase<'_>; 9] = [
        (&[Some("v1"), Some("v1")], None, true, &[(1_000, "only v1")]),
        (&[Some("v1")], None, false, &[(13_000, "only v1")]),
        (&[Some("v1"), Some("v2")], None, true, &[]),
        (&[Some("v1"), Some("v2")], only("v1"), false, &[(1_000, "opening v1"), (4_250, "any")]),
        (
            &[Some("v2")],
            only("v1"),
            true,
            &[(1_000, "opening v1"), (4_250, "any"), (13_000, "only v2")],
        ),
        (&[Some("v1"), None], only("v1"), false, &[(1_000, "opening v1"), (4_250, "any")]),
        (&[None], None, true, &[]),
        (&[], only("v1"), false, &[]),
        (&[Some("v1")], Some(VersionMix::Any), true, &[(13_000, "only v1")]),
    ];
    for (listed, mix, is_first, expected) in cases {
        let names: Vec<Option<SoftwareVersion>> =
            listed.iter().map(|name| name.map(version)).collect();
        let listed: Vec<Option<&SoftwareVersion>> = names.iter().map(Option::as_ref).collect();
        let mut keeper = MixKeeper::new(is_first);
        let (mut mix, mut changes) = (mix, Vec::new());
        for ms in (1_000..30_000).step_by(250) {
            let view = ServiceView { listed: &listed, mix: mix.as_ref(), lifetime: LIFETIME };
            if let Some(next) = keeper.next_mix(at(ms), &service(), view) {
                changes.push((ms, next.to_string()));
                mix = Some(next);
            }
        }
        let changes: Vec<(u64, &str)> =
            changes.iter().map(|(ms, mix)| (*ms, mix.as_str())).collect();
        assert_eq!(changes, expected, "{listed:?}, first term: {is_first}");
    }
}

/// A mix that was written in an earlier era of the store says nothing, and odd values are refused.
#[test]
fn stored_forms() {
    for mix in [VersionMix::Only(version("v1")), VersionMix::Opening(version("")), VersionMix::Any]
    {
        let text = serde_json::to_string(&MixWire::new(&mix, 2)).unwrap();
        let wire: MixWire = serde_json::from_str(&text).unwrap();
        assert!(wire.is_of_era(2) && !wire.is_of_era(1) && !wire.is_of_era(3));
        assert_eq!(VersionMix::try_from(wire), Ok(mix));
    }
    for text in ["{}", "{\"era\":0,\"state\":\"none\"}", "{\"era\":-1,\"state\":\"any\"}"] {
        assert!(serde_json::from_str::<MixWire>(text).is_err(), "{text}");
    }
    let odd: MixWire =
        serde_json::from_str("{\"era\":0,\"state\":\"only\",\"version\":\"a\\nb\"}").unwrap();
    assert!(VersionMix::try_from(odd).is_err());
}
