//! Daemons of an earlier build and of this one beside each other, while hosts are upgraded.

mod common;
mod platform_fleet;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use common::{eventually, run};
use futures::future::join_all;
use mangodeal::client::HttpCall;
use platform_fleet::platform_standin::{config, StandinStore, HOST};
use platform_fleet::{own_executable, FrontProcess, PlatformFleet};
use serde_json::Value;

/// Time within which a configuration must be in force at all hosts.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);
/// Pause between two configurations.
const STORM_PAUSE: Duration = Duration::from_millis(700);
/// Pause between two replacements.
const ROLL_PAUSE: Duration = Duration::from_millis(300);
/// Interval at which the hosts are asked for their configuration.
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Routes that make a configuration larger than 100 KB.
const WIDE_ROUTES: u64 = 600;
/// Version of the first configuration that a test writes.
const FIRST_VERSION: u64 = 10;

/// Returns the program of the earlier build.
fn earlier_executable() -> PathBuf {
    std::env::var_os("MANGODEAL_EARLIER_BUILD").expect("a path in MANGODEAL_EARLIER_BUILD").into()
}

/// Returns the number of daemons.
fn daemon_count() -> usize {
    let text = std::env::var("MANGODEAL_MIXED_DAEMONS");
    text.map_or(12, |text| text.parse().expect("a number in MANGODEAL_MIXED_DAEMONS"))
}

/// Returns the key that only this version of the configuration has.
fn key_of(version: u64) -> String {
    format!("key-of-{version}")
}

/// Returns the prefix of the route that only this version has.
fn route_of(version: u64) -> String {
    format!("/added/{version}/")
}

/// Returns a configuration with a key and a route that only this version has. Every other one is larger
/// than 100 KB; all are larger than what the leader relays.
fn changed_config(version: u64) -> Value {
    let models: Vec<String> = (0..60).map(|number| format!("model-{number:04}")).collect();
    let mut layout = config(version, &models.iter().map(String::as_str).collect::<Vec<_>>());
    let routes = layout["routes"].as_array_mut().unwrap();
    let route = routes[0].clone();
    let with_prefix = |prefix: String| {
        let mut route = route.clone();
        route["name"] = prefix.trim_matches('/').replace('/', "-").into();
        route["prefix"] = prefix.into();
        route
    };
    routes.push(with_prefix(route_of(version)));
    if version % 2 == 1 {
        routes.extend((0..WIDE_ROUTES).map(|number| with_prefix(format!("/wide/{number}/"))));
    }
    layout["tenants"][0]["apiKeys"] = vec![key_of(version)].into();
    let least = if version % 2 == 1 { 100_000 } else { 4_096 };
    assert!(layout.to_string().len() > least);
    layout
}

/// Returns the configuration in force at the daemon with these metrics.
async fn version_at(metrics: SocketAddr) -> Option<u64> {
    let call = HttpCall::get(metrics, "/metrics").timeout(Duration::from_millis(500));
    let bytes = call.send().await.ok()?.bytes().await.ok()?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix("mangodeal_layout_version "))?;
    line.parse().ok()
}

/// Returns whether a daemon runs this build.
fn is_current(front: &FrontProcess) -> bool {
    front.executable == own_executable()
}

/// Returns the number of the daemon that leads, by the store.
fn leader_of(fleet: &PlatformFleet) -> Option<usize> {
    let record: Value = serde_json::from_slice(&fleet.store.value("mango/leader")?).ok()?;
    fleet.fronts.iter().position(|front| record["host"] == front.name.as_str())
}

/// Configurations and the times at which they were written.
#[derive(Default)]
struct ConfigStorm {
    written: RefCell<Vec<(u64, Instant)>>,
}

impl ConfigStorm {
    fn write_next(&self, store: &StandinStore) -> u64 {
        let version = self.last_version() + 1;
        store.put("op/config", &changed_config(version));
        self.written.borrow_mut().push((version, Instant::now()));
        version
    }

    fn last_version(&self) -> u64 {
        self.written.borrow().last().map_or(FIRST_VERSION - 1, |(version, _)| *version)
    }

    /// Returns the version that must be in force at `now`.
    fn due_version(&self, now: Instant) -> u64 {
        let written = self.written.borrow();
        let due = written.iter().rev().find(|(_, at)| now.duration_since(*at) >= APPLY_BOUND);
        due.map_or(0, |(version, _)| *version)
    }

    /// Returns how long ago a version was written.
    fn age(&self, version: u64) -> Option<Duration> {
        let written = self.written.borrow();
        let entry = written.iter().find(|(other, _)| *other == version);
        entry.map(|(_, at)| at.elapsed())
    }
}

/// What was seen of one daemon.
#[derive(Clone, Debug)]
struct DaemonView {
    is_current: bool,
    /// When the running process became ready; `None` while it is replaced.
    ready_at: Option<Instant>,
    version: u64,
    worst_lag: Duration,
    /// The version that was due when the daemon was late first, the one that it had, and whether it ran
    /// this build then.
    late: Option<(u64, u64, bool)>,
}

impl DaemonView {
    /// Records the version that a daemon had when `due` was the oldest one allowed.
    fn record(&mut self, storm: &ConfigStorm, asked_at: Instant, due: u64, version: u64) {
        let is_settled = self.ready_at.is_some_and(|at| asked_at.duration_since(at) >= APPLY_BOUND);
        if !is_settled {
            self.version = version;
            return;
        }
        if version > self.version {
            let missed = storm.age(self.version + 1).unwrap_or_default();
            self.worst_lag = self.worst_lag.max(missed);
        }
        self.version = version;
        if version < due {
            self.late.get_or_insert((due, version, self.is_current));
        }
    }
}

/// Changes configurations, replaces the processes of some daemons by this build meanwhile, and returns
/// what was seen of each daemon.
async fn roll(fleet: &mut PlatformFleet, storm: &ConfigStorm, order: &[usize]) -> Vec<DaemonView> {
    let view = |front: &FrontProcess| {
        RefCell::new(DaemonView {
            is_current: is_current(front),
            ready_at: Some(Instant::now()),
            version: 0,
            worst_lag: Duration::ZERO,
            late: None,
        })
    };
    let views: Vec<_> = fleet.fronts.iter().map(view).collect();
    let metrics: Vec<SocketAddr> = fleet.fronts.iter().map(|front| front.metrics).collect();
    let is_done = Cell::new(false);
    let PlatformFleet { store, fronts, .. } = fleet;
    let change_layouts = async {
        while !is_done.get() {
            storm.write_next(store);
            tokio::time::sleep(STORM_PAUSE).await;
        }
    };
    let replace = async {
        tokio::time::sleep(APPLY_BOUND * 2).await;
        for at in order {
            views[*at].borrow_mut().ready_at = None;
            let front = &mut fronts[*at];
            front.terminate();
            front.wait_exit().await;
            front.executable = own_executable();
            front.spawn();
            front.wait_ready().await;
            {
                let mut view = views[*at].borrow_mut();
                (view.ready_at, view.is_current) = (Some(Instant::now()), true);
            }
            tokio::time::sleep(ROLL_PAUSE).await;
        }
        tokio::time::sleep(APPLY_BOUND * 2).await;
        is_done.set(true);
    };
    let watch = async {
        while !is_done.get() {
            let (asked_at, due) = (Instant::now(), storm.due_version(Instant::now()));
            let ask = |(address, view): (&SocketAddr, &RefCell<DaemonView>)| {
                let (address, ready_at) = (*address, view.borrow().ready_at);
                async move { (version_at(address).await, ready_at) }
            };
            let versions = join_all(metrics.iter().zip(&views).map(ask)).await;
            for ((version, ready_at), view) in versions.into_iter().zip(&views) {
                let mut view = view.borrow_mut();
                // The process may have been replaced meanwhile.
                if let Some(version) = version.filter(|_| view.ready_at == ready_at) {
                    view.record(storm, asked_at, due, version);
                }
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    };
    tokio::join!(change_layouts, replace, watch);
    views.into_iter().map(RefCell::into_inner).collect()
}

/// Sends a request with a key to a daemon and returns the status of the answer.
async fn status_of(front: &FrontProcess, prefix: &str, key: &str, attempt: &str) -> Option<u16> {
    let call = HttpCall::post(front.caller, format!("{prefix}x"), "body of the request")
        .header("host", HOST)
        .header("authorization", format!("Token {key}"))
        .header("mangodeal-attempt-id", attempt)
        .header("mangodeal-time-left-ms", "3000")
        .timeout(Duration::from_secs(5));
    let answer = call.send().await.ok()?;
    let status = answer.status;
    answer.bytes().await.ok()?;
    Some(status.as_u16())
}

/// Writes a configuration and returns what each daemon handles otherwise than it allows when the bound
/// is over.
async fn wrong_answers(fleet: &PlatformFleet, storm: &ConfigStorm) -> Vec<String> {
    let former = storm.last_version();
    let version = storm.write_next(&fleet.store);
    tokio::time::sleep(APPLY_BOUND).await;
    let check = |front| async move {
        let front: &FrontProcess = front;
        let mut wrong = Vec::new();
        let has = version_at(front.metrics).await;
        if has != Some(version) {
            wrong.push(format!("{} has {has:?}, not {version}", describe(front)));
        }
        let (new_key, old_key) = (key_of(version), key_of(former));
        let (new_route, old_route) = (route_of(version), route_of(former));
        for (prefix, key, allowed) in [
            (&new_route, &new_key, &[200][..]),
            (&new_route, &old_key, &[401, 403][..]),
            (&old_route, &new_key, &[404][..]),
        ] {
            let attempt = format!("{:016x}", rand::random::<u64>());
            let status = status_of(front, prefix, key, &attempt).await;
            if !status.is_some_and(|status| allowed.contains(&status)) {
                wrong.push(format!(
                    "{}: {prefix} with {key}: {status:?}, not {allowed:?}",
                    describe(front)
                ));
            }
        }
        wrong
    };
    join_all(fleet.fronts.iter().map(check)).await.concat()
}

/// Names a daemon and its build.
fn describe(front: &FrontProcess) -> String {
    format!("{} ({})", front.name, build_name(is_current(front)))
}

fn build_name(is_current: bool) -> &'static str {
    if is_current {
        "this build"
    } else {
        "earlier build"
    }
}

/// Waits until a daemon leads, and returns its number.
async fn find_leader(fleet: &PlatformFleet) -> usize {
    eventually(Duration::from_secs(20), "a daemon leads", || async { leader_of(fleet).is_some() })
        .await;
    leader_of(fleet).unwrap()
}

/// Starts a daemon that leads, and the others beside it, and replaces all of the earlier build.
async fn upgrade(leader_executable: PathBuf) {
    let mut fleet = PlatformFleet::start(0).await;
    let storm = ConfigStorm::default();
    storm.write_next(&fleet.store);
    fleet.executable = leader_executable;
    fleet.add_fronts(1).await;
    let leader = find_leader(&fleet).await;
    fleet.executable = earlier_executable();
    fleet.add_fronts(daemon_count() - 1).await;
    // The leader is replaced last, so that it leads both builds.
    let earlier = |at: &usize| !is_current(&fleet.fronts[*at]);
    let mut order: Vec<usize> = (0..fleet.fronts.len()).filter(earlier).collect();
    order.sort_by_key(|at| *at == leader);
    let mut wrong = Vec::new();
    for (step, part) in order.chunks(order.len().div_ceil(2)).enumerate() {
        let views = roll(&mut fleet, &storm, part).await;
        for (view, front) in views.iter().zip(&fleet.fronts) {
            eprintln!("step {step}, {}: worst lag {:?}", describe(front), view.worst_lag);
            wrong.extend(view.late.map(|(due, version, is_current)| {
                let build = build_name(is_current);
                format!("step {step}, {} ({build}): {version} in force, {due} due", front.name)
            }));
        }
        for _ in 0..2 {
            let answers = wrong_answers(&fleet, &storm).await;
            wrong.extend(answers.into_iter().map(|text| format!("step {step}: {text}")));
        }
        eprintln!("step {step}: {} leads", describe(&fleet.fronts[find_leader(&fleet).await]));
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against a daemon that keeps an old configuration beside a leader of an earlier build.
#[test]
#[ignore = "needs an earlier build, named by MANGODEAL_EARLIER_BUILD"]
fn upgrade_under_earlier_leader() {
    run(upgrade(earlier_executable()));
}

/// Guards against a daemon of an earlier build that keeps an old configuration beside a leader of this
/// build.
#[test]
#[ignore = "needs an earlier build, named by MANGODEAL_EARLIER_BUILD"]
fn upgrade_under_this_leader() {
    run(upgrade(own_executable()));
}
