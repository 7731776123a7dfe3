//! Latency that a daemon adds.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use standin::{TargetOptions, WeightStore};

use super::fleet::{model_name, BenchFleet, FleetPlan};
use super::histogram::LatencyHistogram;
use crate::client::{HttpAnswer, HttpCall};
use crate::demo::DemoError;

/// Timed requests for each number of open streams.
const REQUESTS: usize = 300;
/// Numbers of streams that are open while requests are timed.
const OPEN_STREAMS: [usize; 3] = [1, 64, 1_000];

/// Prints the time to the first event of a stream, from a target directly and through a daemon.
///
/// # Errors
///
/// Fails when the fleet can't be started or a request fails.
pub async fn compare_latency() -> Result<(), DemoError> {
    let target = TargetOptions {
        first_token: Duration::ZERO,
        token_interval: Duration::from_secs(1),
        weights: WeightStore::new(4, Duration::from_millis(10)),
        ..Default::default()
    };
    let plan = FleetPlan {
        domains: vec!["east"],
        daemons_per_domain: 1,
        targets_per_domain: 1,
        target,
        models: 1,
        model_memory: 50,
        settings: "[placement]\nidle = 1h\n".to_owned(),
    };
    let fleet = BenchFleet::start(plan).await?;
    let (daemon, target) = (fleet.caller_at(0), fleet.targets[0].address());
    let key = fleet.key.reveal().to_owned();
    time_first_event(daemon, &key).await?;
    println!("time to the first event in ms, {REQUESTS} requests for each row, one process");
    println!(
        "{:>12} {:>10} {:>10} {:>10} {:>10}",
        "open", "direct p50", "p99", "daemon p50", "p99"
    );
    for streams in OPEN_STREAMS {
        let mut open_streams = Vec::new();
        for _ in 0..streams {
            open_streams.push(time_first_event(daemon, &key).await?.1);
        }
        let (mut direct, mut proxied) = (LatencyHistogram::new(), LatencyHistogram::new());
        for _ in 0..REQUESTS {
            direct.record(time_first_event(target, &key).await?.0);
            proxied.record(time_first_event(daemon, &key).await?.0);
        }
        println!(
            "{streams:>12} {:>10.2} {:>10.2} {:>10.2} {:>10.2}",
            direct.percentile(50.0),
            direct.percentile(99.0),
            proxied.percentile(50.0),
            proxied.percentile(99.0)
        );
    }
    fleet.stop().await;
    Ok(())
}

/// Opens a stream and returns the time to its first event.
async fn time_first_event(
    address: SocketAddr,
    key: &str,
) -> Result<(Duration, HttpAnswer), DemoError> {
    let body = json!({"model": model_name(0), "stream": true, "max_tokens": 60, "messages": []});
    let call = HttpCall::post(address, "/v1/chat/completions", body.to_string()).bearer(key);
    let started = Instant::now();
    let mut answer = call.send().await?;
    if answer.status != 200 {
        return Err(DemoError::Unexpected(answer.json().await?.to_string()));
    }
    answer.next().await?;
    Ok((started.elapsed(), answer))
}
