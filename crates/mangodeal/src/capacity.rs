//! Measures the slopes of `docs/CAPACITY.md`.
//!
//! All measurements run nodes in this process, without sockets, so that they show the cost of the
//! decisions themselves. Each table gives one quantity against one size; the last column is the
//! slope between the smallest and the largest size.

mod fleet;
mod measure;
mod model;
mod wire;

use std::time::Duration;

use measure::{print_table, resident_bytes, time_of, Row};

/// Sizes of the two-year target.
const TARGETS_OF_DOMAIN: usize = 431;
const SEATS_OF_DOMAIN: usize = 57;
const DOMAINS: usize = 16;
const MODELS: usize = 1_000;
const ADAPTERS: usize = 7_000;
const TARGETS: usize = 6_900;
/// Repetitions of each timing; the median is reported.
const REPETITIONS: usize = 9;

/// Prints all tables.
pub fn run() {
    println!("sizes at the target: {DOMAINS} domains, {SEATS_OF_DOMAIN} seats and {TARGETS_OF_DOMAIN} targets each,");
    println!("{MODELS} models, {ADAPTERS} adapters; each time is the median of {REPETITIONS}\n");
    print_table("configuration in memory", "objects", "bytes", &config_memory());
    print_table("memory of a placer", "targets", "bytes", &placer_memory());
    print_table("applying one change", "objects", "us", &change_time());
    print_table("one request, warm", "objects", "us", &request_time());
    print_table("one tick of a gateway", "objects", "us", &tick_time());
    print_table("one tick of a placer", "targets", "us", &placer_time());
    print_table("one request's charge", "teams", "us", &charge_time());
    print_table("messages of an idle seat a second", "seats", "messages", &idle_messages());
    print_table("bytes of an idle seat a second", "seats", "bytes", &idle_bytes());
    print_table("bytes of a message on the wire", "payload", "bytes", &wire::message_bytes());
    print_table("one report of a target", "replicas", "us", &wire::report_time());
    print_table("bytes for one wake, at a gateway", "replicas", "bytes", &wake_bytes());
    print_table("stored plan of a target", "replicas", "bytes", &plan_bytes());
    print_table("stored roster", "seats", "bytes", &roster_bytes());
    print_table("plan writes for one load and unload", "loads", "writes", &load_writes());
}

/// Fractions of the target's configuration, in eighths.
const EIGHTHS: [usize; 4] = [1, 2, 4, 8];

/// Measures the growth of this process for each of several things that are built alike, while
/// everything that was built is kept.
fn grown<T>(
    sizes: &[usize],
    copies: usize,
    build: impl Fn(usize) -> T,
    size: impl Fn(usize, &T) -> usize,
) -> Vec<Row> {
    let mut kept = vec![build(sizes[0])];
    let mut rows = Vec::new();
    for at in sizes {
        let before = resident_bytes();
        kept.extend((0..copies).map(|_| build(*at)));
        let built = &kept[kept.len() - 1];
        rows.push(Row::new(size(*at, built), (resident_bytes() - before) / copies as f64));
    }
    rows
}

fn config_memory() -> Vec<Row> {
    grown(&EIGHTHS, 4, model::snapshot, |_, snapshot| snapshot.objects().count())
}

fn placer_memory() -> Vec<Row> {
    grown(&PLACER_TARGETS, 16, fleet::PlacerBench::new, |targets, _| targets)
}

fn change_time() -> Vec<Row> {
    let measure = |eighths| {
        let snapshot = model::snapshot(eighths);
        let change = model::next_change(&snapshot);
        let time = time_of(REPETITIONS, 20, || {
            let next = snapshot.apply(&change).expect("the change follows the snapshot");
            std::hint::black_box(next.revision());
        });
        Row::timed(snapshot.objects().count(), time)
    };
    EIGHTHS.into_iter().map(measure).collect()
}

fn request_time() -> Vec<Row> {
    let measure = |eighths| {
        let mut gateway = fleet::Gateway::new(eighths);
        let time = time_of(REPETITIONS, 200, || gateway.serve_one());
        Row::timed(gateway.objects(), time)
    };
    EIGHTHS.into_iter().map(measure).collect()
}

fn tick_time() -> Vec<Row> {
    let measure = |eighths| {
        let mut gateway = fleet::Gateway::new(eighths);
        let time = time_of(REPETITIONS, 200, || gateway.tick());
        Row::timed(gateway.objects(), time)
    };
    EIGHTHS.into_iter().map(measure).collect()
}

const PLACER_TARGETS: [usize; 4] = [54, 108, 216, TARGETS_OF_DOMAIN];

fn placer_time() -> Vec<Row> {
    let measure = |targets| {
        let mut bench = fleet::PlacerBench::new(targets);
        let time = time_of(REPETITIONS, 20, || bench.tick());
        Row::timed(targets, time)
    };
    PLACER_TARGETS.into_iter().map(measure).collect()
}

fn charge_time() -> Vec<Row> {
    let measure = |teams| {
        let mut gateway = fleet::Gateway::with_teams(1, teams);
        let time = time_of(REPETITIONS, 200, || gateway.serve_one());
        Row::timed(teams, time)
    };
    [5, 50, 500].into_iter().map(measure).collect()
}

/// Seats of one failure domain; the others have as many.
const SEATS: [usize; 4] = [2, 7, 28, SEATS_OF_DOMAIN];

fn idle_messages() -> Vec<Row> {
    let measure = |seats| {
        let traffic = fleet::idle_traffic(seats, DOMAINS, Duration::from_secs(60));
        Row::new(seats * DOMAINS, traffic.messages)
    };
    SEATS.into_iter().map(measure).collect()
}

fn idle_bytes() -> Vec<Row> {
    let measure = |seats| {
        let traffic = fleet::idle_traffic(seats, DOMAINS, Duration::from_secs(60));
        Row::new(seats * DOMAINS, traffic.bytes)
    };
    SEATS.into_iter().map(measure).collect()
}

fn wake_bytes() -> Vec<Row> {
    [100, 1_000, 3_000].into_iter().map(|n| Row::new(n, model::wake_bytes(n) as f64)).collect()
}

fn plan_bytes() -> Vec<Row> {
    [1, 8, 32].into_iter().map(|n| Row::new(n, model::plan_bytes(n) as f64)).collect()
}

fn roster_bytes() -> Vec<Row> {
    SEATS.into_iter().map(|n| Row::new(n, model::roster_bytes(n) as f64)).collect()
}

fn load_writes() -> Vec<Row> {
    [1, 10, 100].into_iter().map(|n| Row::new(n, fleet::load_writes(n))).collect()
}
