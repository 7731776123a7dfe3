//! Large configurations whose versions don't fit through the store's link once for each daemon.

mod common;
mod layout_fleet;
mod platform_fleet;

use std::cell::RefCell;
use std::time::{Duration, Instant};

use common::{eventually, run};
use layout_fleet::{start_fleet_with, version_of, wide_config};
use mangodeal::client::HttpCall;
use platform_fleet::platform_standin::HOST;
use platform_fleet::{FrontProcess, PlatformFleet};
use serde_json::{json, Value};

/// Number of daemons that share the store's link.
const DAEMONS: usize = 12;
/// Routes of a large configuration beside the first ones.
const FURTHER_ROUTES: u64 = 1_000;
/// First version of the large configuration.
const LARGE_VERSION: u64 = 10;
/// Time within which a configuration must be in force.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);
/// The same with the settings of [`start_calm_fleet`].
const CALM_APPLY_BOUND: Duration = Duration::from_millis(3_000);
/// Number of changes in a storm, and the pause between two.
const CHANGES: u64 = 12;
const CHANGE_PAUSE: Duration = Duration::from_millis(500);
/// When the leader is suspended after the first change, and for how long.
const FREEZE_AFTER: Duration = Duration::from_millis(1_200);
const FREEZE: Duration = Duration::from_secs(4);
/// How many bounds the tests wait for a configuration that is late.
const PATIENCE: u32 = 4;

/// Returns a large configuration in which each version changes one time-out or adds one key.
fn changed_config(version: u64) -> Value {
    let mut layout = wide_config(version, FURTHER_ROUTES);
    for change in LARGE_VERSION + 1..=version {
        if change % 2 == 0 {
            let at = usize::try_from(change).unwrap();
            layout["routes"][at]["timeoutMs"] = json!(6_000 + change);
        } else {
            let keys = layout["tenants"][0]["apiKeys"].as_array_mut().unwrap();
            keys.push(json!(format!("key-{change}")));
        }
    }
    layout
}

/// Starts a fleet with the bounds of the larger deployments.
async fn start_calm_fleet() -> PlatformFleet {
    let change = |text: String| text.replace("grace = 5s\n", "grace = 5s\ndrain = 3s\n");
    start_fleet_with(DAEMONS, change).await
}

/// Writes the large configuration and waits until all daemons have it.
async fn grow_layout(fleet: &PlatformFleet) {
    fleet.store.put("op/config", &changed_config(LARGE_VERSION));
    eventually(Duration::from_secs(20), "the large configuration is in force", || async {
        for front in &fleet.fronts {
            if version_of(front).await != Some(LARGE_VERSION) {
                return false;
            }
        }
        true
    })
    .await;
}

/// Narrows the store's link so that it carries a configuration to all daemons in the given time. Values
/// are sent in base64, which takes four bytes for three.
fn narrow_link(fleet: &PlatformFleet, layout: &Value, span: Duration) {
    let bytes = DAEMONS * layout.to_string().len() * 4 / 3;
    fleet.store_link.set_rate((bytes as f64 / span.as_secs_f64()) as u64);
}

/// Versions written, in order, and when.
type Writes = RefCell<Vec<(u64, Instant)>>;

fn write(fleet: &PlatformFleet, writes: &Writes, layout: &Value) {
    fleet.store.put("op/config", layout);
    writes.borrow_mut().push((layout["version"].as_u64().unwrap(), Instant::now()));
}

/// Writes small changes, one after the other.
async fn write_changes(fleet: &PlatformFleet, writes: &Writes) {
    for version in LARGE_VERSION + 1..=LARGE_VERSION + CHANGES {
        write(fleet, writes, &changed_config(version));
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
}

/// Waits until the last version is in force at the given daemons, and checks that each version, or a later
/// one, was in force at each of them within the bound.
async fn check_lags(fronts: &[&FrontProcess], writes: &Writes, last: u64, bound: Duration) {
    let mut lags: Vec<Vec<Duration>> = vec![Vec::new(); fronts.len()];
    let is_over = |writes: &[(u64, Instant)]| {
        let last_write = writes.iter().find(|(version, _)| *version == last);
        last_write.is_some_and(|(_, at)| at.elapsed() > bound * PATIENCE)
    };
    let has_last = |lags: &Vec<Duration>| {
        writes.borrow().get(lags.len().wrapping_sub(1)).is_some_and(|(version, _)| *version == last)
    };
    while !lags.iter().all(has_last) && !is_over(&writes.borrow()) {
        for (front, lags) in fronts.iter().zip(&mut lags) {
            let in_force = version_of(front).await.unwrap_or(0);
            let writes = writes.borrow();
            let reached =
                writes[lags.len()..].iter().take_while(|(version, _)| *version <= in_force);
            lags.extend(reached.map(|(_, at)| at.elapsed()));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut late = 0;
    for (front, lags) in fronts.iter().zip(&lags) {
        let missing = writes.borrow().len() - lags.len();
        eprintln!("{}: worst lag {:?}, {missing} missing", front.name, lags.iter().max());
        late += missing + lags.iter().filter(|lag| **lag > bound).count();
    }
    assert!(late == 0, "{late} versions are not in force within {bound:?}");
}

/// Checks that the given daemons serve the last of the routes of a configuration with each of its keys.
async fn check_content(fronts: &[&FrontProcess], layout: &Value) {
    let path = format!("/wide/{}/x", FURTHER_ROUTES - 1);
    for (number, front) in fronts.iter().enumerate() {
        for key in layout["tenants"][0]["apiKeys"].as_array().unwrap() {
            let key = key.as_str().unwrap();
            let call = HttpCall::post(front.caller, &path, "body")
                .header("host", HOST)
                .header("authorization", format!("Token {key}"))
                .header("mangodeal-attempt-id", format!("{key}-{number}"))
                .header("mangodeal-time-left-ms", "5000");
            let status = call.send().await.unwrap().status.as_u16();
            assert_eq!(status, 200, "{} with {key}", front.name);
        }
    }
}

/// Guards against daemons that fall behind while versions of a large configuration follow each other faster
/// than the store's link carries them to all daemons.
#[test]
fn layout_storm() {
    run(async {
        let fleet = start_fleet_with(DAEMONS, |settings| settings).await;
        grow_layout(&fleet).await;
        narrow_link(&fleet, &changed_config(LARGE_VERSION), APPLY_BOUND);
        let writes = Writes::default();
        let fronts: Vec<&FrontProcess> = fleet.fronts.iter().collect();
        let last = LARGE_VERSION + CHANGES;
        tokio::join!(
            write_changes(&fleet, &writes),
            check_lags(&fronts, &writes, last, APPLY_BOUND)
        );
        check_content(&fronts, &changed_config(last)).await;
    });
}

/// Guards against daemons that fall behind in such a storm because the leader is silent, and all of them read
/// the store at once.
#[test]
fn layout_storm_beside_freeze() {
    run(async {
        let fleet = start_calm_fleet().await;
        grow_layout(&fleet).await;
        narrow_link(&fleet, &changed_config(LARGE_VERSION), CALM_APPLY_BOUND);
        let writes = Writes::default();
        let leads = |front: &&FrontProcess| front.log().iter().any(|line| line["event"] == "leads");
        let leader = fleet.fronts.iter().find(leads).unwrap();
        let fronts: Vec<&FrontProcess> =
            fleet.fronts.iter().filter(|front| front.name != leader.name).collect();
        let freeze = async {
            tokio::time::sleep(FREEZE_AFTER).await;
            leader.suspend();
            tokio::time::sleep(FREEZE).await;
            leader.resume();
        };
        let last = LARGE_VERSION + CHANGES;
        tokio::join!(
            write_changes(&fleet, &writes),
            freeze,
            check_lags(&fronts, &writes, last, CALM_APPLY_BOUND)
        );
        check_content(&fronts, &changed_config(last)).await;
    });
}

/// Guards against a configuration that comes into force late because it is large, and the store's link carries
/// it to each daemon.
#[test]
fn huge_layout() {
    run(async {
        let fleet = start_fleet_with(DAEMONS, |settings| settings).await;
        let layout = changed_config(LARGE_VERSION);
        narrow_link(&fleet, &layout, APPLY_BOUND * 3 / 2);
        let writes = Writes::default();
        write(&fleet, &writes, &layout);
        let fronts: Vec<&FrontProcess> = fleet.fronts.iter().collect();
        check_lags(&fronts, &writes, LARGE_VERSION, APPLY_BOUND).await;
        check_content(&fronts, &layout).await;
    });
}
