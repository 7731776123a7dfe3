//! Comparison of policies for idle replicas.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use standin::{TargetOptions, WeightStore};
use tokio::sync::mpsc;

use super::fleet::{model_name, BenchFleet, FleetPlan};
use super::histogram::LatencyHistogram;
use crate::client::HttpCall;
use crate::demo::DemoError;

/// Answers that take longer than this are counted as cold starts.
const COLD_START_MIN: Duration = Duration::from_millis(150);
/// Interval at which loaded replicas are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
const DEADLINE_MS: u64 = 8_000;

/// Options of the comparison.
#[derive(Clone, Debug)]
pub struct IdleOptions {
    /// Policies to compare, in the format of the setting `idle`.
    pub policies: Vec<String>,
    /// Runs of each policy, with consecutive seeds from `seed`.
    pub runs: u64,
    /// First seed.
    pub seed: u64,
    /// Duration of a run.
    pub duration: Duration,
}

struct RunResult {
    /// 99th percentile of the cold starts' latency, in milliseconds.
    cold_p99: f64,
    /// Number of cold starts.
    cold: u64,
    requests: u64,
    /// Requests without an answer of status 200.
    refused: u64,
    /// Mean number of replicas that are loaded or loading.
    mean_loaded: f64,
}

/// Sends the same requests under each policy and prints the result of each run.
///
/// # Errors
///
/// Fails when a fleet can't be started.
pub async fn compare_idle(options: &IdleOptions) -> Result<(), DemoError> {
    println!(
        "{:>8} {:>6} {:>9} {:>6} {:>12} {:>8} {:>12}",
        "policy", "seed", "requests", "cold", "cold p99 ms", "refused", "mean loaded"
    );
    for policy in &options.policies {
        for seed in options.seed..options.seed + options.runs {
            let result = run(policy, seed, options.duration).await?;
            println!(
                "{policy:>8} {seed:>6} {:>9} {:>6} {:>12.0} {:>8} {:>12.1}",
                result.requests, result.cold, result.cold_p99, result.refused, result.mean_loaded
            );
        }
    }
    Ok(())
}

async fn run(policy: &str, seed: u64, duration: Duration) -> Result<RunResult, DemoError> {
    let target = TargetOptions {
        memory: 400,
        weights: WeightStore::new(4, Duration::from_millis(1_300)),
        ..Default::default()
    };
    let plan = FleetPlan {
        domains: vec!["a", "b", "c"],
        daemons_per_domain: 2,
        targets_per_domain: 4,
        target,
        models: 60,
        model_memory: 100,
        settings: format!("[placement]\nidle = {policy}\n"),
    };
    let fleet = Arc::new(BenchFleet::start(plan).await?);
    let is_done = Arc::new(AtomicBool::new(false));
    let sampler = tokio::spawn(sample_loaded(fleet.clone(), is_done.clone()));
    let (sender, mut results) = mpsc::unbounded_channel();
    let mut random = SmallRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut requests = 0;
    // Open loop: the arrival of a request doesn't depend on earlier answers.
    let mut next_arrival = started;
    while next_arrival < started + duration {
        tokio::time::sleep_until(next_arrival.into()).await;
        next_arrival += Duration::from_millis(random.random_range(10..70));
        requests += 1;
        let call = random_request(&fleet, &mut random);
        let sender = sender.clone();
        tokio::spawn(async move {
            let started = Instant::now();
            let served = call.send().await.is_ok_and(|answer| answer.status == 200);
            let _ = sender.send((served, started.elapsed()));
        });
    }
    drop(sender);
    let (mut cold, mut refused) = (LatencyHistogram::new(), 0);
    while let Some((served, duration)) = results.recv().await {
        match served {
            true if duration > COLD_START_MIN => cold.record(duration),
            true => {}
            false => refused += 1,
        }
    }
    is_done.store(true, Ordering::SeqCst);
    let mean_loaded = sampler.await.unwrap_or(0.0);
    if let Ok(fleet) = Arc::try_unwrap(fleet) {
        fleet.stop().await;
    }
    let cold_p99 = cold.percentile(99.0);
    Ok(RunResult { cold_p99, cold: cold.count(), requests, refused, mean_loaded })
}

/// Returns a request for a random model; models with lower numbers are more popular.
fn random_request(fleet: &BenchFleet, random: &mut SmallRng) -> HttpCall {
    let draw: f64 = random.random();
    let model = (draw * draw * draw * 60.0) as usize;
    let daemon = random.random_range(0..fleet.daemons.len());
    let body = json!({"model": model_name(model), "max_tokens": 4, "messages": []});
    HttpCall::post(fleet.caller_at(daemon), "/v1/chat/completions", body.to_string())
        .bearer(fleet.key.reveal())
        .header("x-mangodeal-deadline-ms", DEADLINE_MS.to_string())
}

/// Returns the mean number of replicas that are loaded or loading, over samples taken until
/// `is_done`.
async fn sample_loaded(fleet: Arc<BenchFleet>, is_done: Arc<AtomicBool>) -> f64 {
    let (mut sum, mut samples) = (0usize, 0usize);
    while !is_done.load(Ordering::SeqCst) {
        sum += fleet.targets.iter().map(|target| target.loaded().len()).sum::<usize>();
        samples += 1;
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    sum as f64 / samples.max(1) as f64
}
