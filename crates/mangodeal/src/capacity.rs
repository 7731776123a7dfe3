//! Measures how costs grow with the size of the system, for `docs/CAPACITY.md`.
//!
//! Nodes and placers run in this process without sockets, so that only the cost of their decisions
//! is measured; the tables of message bytes and of target reports use loopback sockets. Each table
//! shows one quantity by size and ends with the slope between the smallest and the largest size.

mod fixture;
mod measure;
mod wire;
mod workload;

use std::time::Duration;

use measure::{print_table, resident_bytes, time_calls, TableRow};

// Sizes that the system must support within two years.
const TARGETS_PER_DOMAIN: usize = 431;
const SEATS_PER_DOMAIN: usize = 57;
const DOMAINS: usize = 16;
const MODELS: usize = 1_000;
const ADAPTERS: usize = 7_000;
const TARGETS: usize = 6_900;
/// Repetitions of each timing; the median is reported.
const REPETITIONS: usize = 9;

/// Prints all tables.
pub fn run() {
    println!("sizes of the capacity goal: {DOMAINS} domains, {SEATS_PER_DOMAIN} seats and {TARGETS_PER_DOMAIN} targets each,");
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
    print_table("bytes of a view change by one replica", "replicas", "bytes", &view_delta_bytes());
    print_table("stored plan of a target", "replicas", "bytes", &plan_bytes());
    print_table("stored roster", "seats", "bytes", &roster_bytes());
    print_table("plan writes for one load and unload", "loads", "writes", &load_writes());
}

/// Measured fractions of the full configuration, in eighths.
const EIGHTHS: [usize; 4] = [1, 2, 4, 8];

/// Measures the resident memory that each built value adds to this process. All values are retained
/// until the end, so that freed memory isn't reused.
fn memory_growth<T>(
    sizes: &[usize],
    copies: usize,
    build: impl Fn(usize) -> T,
    size: impl Fn(usize, &T) -> usize,
) -> Vec<TableRow> {
    let mut retained = vec![build(sizes[0])];
    let mut rows = Vec::new();
    for at in sizes {
        let before = resident_bytes();
        retained.extend((0..copies).map(|_| build(*at)));
        let built = &retained[retained.len() - 1];
        rows.push(TableRow::new(size(*at, built), (resident_bytes() - before) / copies as f64));
    }
    rows
}

fn config_memory() -> Vec<TableRow> {
    memory_growth(&EIGHTHS, 4, fixture::snapshot, |_, snapshot| snapshot.objects().count())
}

fn placer_memory() -> Vec<TableRow> {
    memory_growth(&PLACER_TARGETS, 16, workload::PlacerBench::new, |targets, _| targets)
}

fn change_time() -> Vec<TableRow> {
    let measure = |eighths| {
        let snapshot = fixture::snapshot(eighths);
        let change = fixture::next_change(&snapshot);
        let time = time_calls(REPETITIONS, 20, || {
            let next = snapshot.apply(&change).expect("the change follows the snapshot");
            std::hint::black_box(next.revision());
        });
        TableRow::from_times(snapshot.objects().count(), time)
    };
    EIGHTHS.into_iter().map(measure).collect()
}

fn request_time() -> Vec<TableRow> {
    let measure = |eighths| {
        let mut node_bench = workload::NodeBench::new(eighths);
        let time = time_calls(REPETITIONS, 200, || node_bench.serve_one());
        TableRow::from_times(node_bench.objects(), time)
    };
    EIGHTHS.into_iter().map(measure).collect()
}

fn tick_time() -> Vec<TableRow> {
    let measure = |eighths| {
        let mut node_bench = workload::NodeBench::new(eighths);
        let time = time_calls(REPETITIONS, 200, || node_bench.tick());
        TableRow::from_times(node_bench.objects(), time)
    };
    EIGHTHS.into_iter().map(measure).collect()
}

const PLACER_TARGETS: [usize; 4] = [54, 108, 216, TARGETS_PER_DOMAIN];

fn placer_time() -> Vec<TableRow> {
    let measure = |targets| {
        let mut placer_bench = workload::PlacerBench::new(targets);
        let time = time_calls(REPETITIONS, 20, || placer_bench.tick());
        TableRow::from_times(targets, time)
    };
    PLACER_TARGETS.into_iter().map(measure).collect()
}

fn charge_time() -> Vec<TableRow> {
    let measure = |teams| {
        let mut node_bench = workload::NodeBench::with_teams(1, teams);
        let time = time_calls(REPETITIONS, 200, || node_bench.serve_one());
        TableRow::from_times(teams, time)
    };
    [5, 50, 500].into_iter().map(measure).collect()
}

/// Measured numbers of seats in each failure domain.
const SEATS: [usize; 4] = [2, 7, 28, SEATS_PER_DOMAIN];

fn idle_messages() -> Vec<TableRow> {
    let measure = |seats| {
        let traffic = workload::idle_traffic(seats, DOMAINS, Duration::from_secs(60));
        TableRow::new(seats * DOMAINS, traffic.messages)
    };
    SEATS.into_iter().map(measure).collect()
}

fn idle_bytes() -> Vec<TableRow> {
    let measure = |seats| {
        let traffic = workload::idle_traffic(seats, DOMAINS, Duration::from_secs(60));
        TableRow::new(seats * DOMAINS, traffic.bytes)
    };
    SEATS.into_iter().map(measure).collect()
}

fn view_delta_bytes() -> Vec<TableRow> {
    [100, 1_000, 3_000]
        .into_iter()
        .map(|n| TableRow::new(n, fixture::view_delta_bytes(n) as f64))
        .collect()
}

fn plan_bytes() -> Vec<TableRow> {
    [1, 8, 32].into_iter().map(|n| TableRow::new(n, fixture::plan_bytes(n) as f64)).collect()
}

fn roster_bytes() -> Vec<TableRow> {
    SEATS.into_iter().map(|n| TableRow::new(n, fixture::roster_bytes(n) as f64)).collect()
}

fn load_writes() -> Vec<TableRow> {
    [1, 10, 100].into_iter().map(|n| TableRow::new(n, workload::load_writes(n))).collect()
}
