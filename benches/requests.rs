//! Benchmark of the path of a request: `cargo bench --bench requests`.
//!
//! One entry and ten agents run in this process, each on its own runtime with two threads as in the programs, and
//! communicate over loopback. The caller and the endpoints share one more runtime. The same requests are also sent
//! directly to the endpoints for comparison.

#[path = "../tests/requests/deployment.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod deployment;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use deployment::{Agent, Entry, FaultyTable, WORK, client, eventually, rules};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of agents, each with one endpoint.
const AGENTS: usize = 10;
/// Number of requests that each endpoint runs at once.
const SLOTS: u32 = 8;
/// Rate at which requests of 20 ms fill the 80 slots of all endpoints, in requests per second.
const SATURATING_PER_SECOND: u64 = AGENTS as u64 * SLOTS as u64 * 1_000 / WORK.as_millis() as u64;
/// Duration of each measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);
/// Deadline of each routed request, in milliseconds.
const DEADLINE_MS: u64 = 1_000;
/// Limit of each queue of the entry, in requests.
const QUEUE_LIMIT: u32 = 1_000;
/// Size of the body of a request without work, in bytes.
const BODY_BYTES: usize = 512;

/// Names of the agents.
const NAMES: [&str; AGENTS] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];

/// Result of one measurement.
struct LoadResult {
    latency_us: Histogram<u64>,
    refused: u64,
    failed: u64,
}

impl LoadResult {
    fn per_second(&self) -> f64 {
        self.latency_us.len() as f64 / MEASUREMENT_TIME.as_secs_f64()
    }

    fn percentile_ms(&self, percentile: f64) -> f64 {
        self.latency_us.value_at_percentile(percentile) as f64 / 1_000.0
    }
}

/// Sends requests at random times with a given mean rate, whether or not earlier ones were answered (open loop).
async fn run_open_loop(
    urls: &[String],
    body: &'static [u8],
    per_second: u64,
    seed: u64,
) -> LoadResult {
    let latency_us = Arc::new(Mutex::new(Histogram::new_with_bounds(1, 60_000_000, 3).unwrap()));
    let (refused, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let client = client();
    let start = Instant::now();
    let mut next_send = Duration::ZERO;
    let mut calls = tokio::task::JoinSet::new();
    while next_send < MEASUREMENT_TIME {
        next_send +=
            Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / per_second as f64);
        tokio::time::sleep_until((start + next_send).into()).await;
        let request = client.post(&urls[random.random_range(0..urls.len())]).body(body);
        let (latency_us, refused, failed) = (latency_us.clone(), refused.clone(), failed.clone());
        calls.spawn(async move {
            let sent = Instant::now();
            let answer = match request.send().await {
                Ok(response) => (response.status().as_u16(), response.bytes().await.is_ok()),
                Err(_) => (0, false),
            };
            match answer {
                (200, true) => {
                    let elapsed_us = sent.elapsed().as_micros() as u64;
                    latency_us.lock().unwrap().record(elapsed_us.max(1)).unwrap();
                }
                (429 | 503, true) => drop(refused.fetch_add(1, Ordering::Relaxed)),
                _ => drop(failed.fetch_add(1, Ordering::Relaxed)),
            }
        });
    }
    while calls.join_next().await.is_some() {}
    let latency_us = latency_us.lock().unwrap().clone();
    let (refused, failed) = (refused.load(Ordering::Relaxed), failed.load(Ordering::Relaxed));
    LoadResult { latency_us, refused, failed }
}

/// Sends one request after the other, so that no request waits for another and the latency is that of the path itself.
async fn run_sequential(urls: &[String], body: &'static [u8]) -> LoadResult {
    let mut latency_us = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap();
    let client = client();
    let start = Instant::now();
    let mut failed = 0;
    while start.elapsed() < MEASUREMENT_TIME {
        let sent = Instant::now();
        let response = client.post(&urls[0]).body(body).send().await.unwrap();
        failed += u64::from(response.status() != 200);
        response.bytes().await.unwrap();
        latency_us.record(sent.elapsed().as_micros() as u64).unwrap();
    }
    LoadResult { latency_us, refused: 0, failed }
}

/// Prints a measurement as a row of the table.
fn report(name: &str, result: &LoadResult) {
    let [p50, p99, p999] = [50.0, 99.0, 99.9].map(|p| result.percentile_ms(p));
    let (done, refused, failed) = (result.per_second(), result.refused, result.failed);
    println!("| {name} | {done:.0} | {p50:.3} | {p99:.3} | {p999:.3} | {refused} | {failed} |");
}

fn main() {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(4).enable_all().build();
    runtime.expect("the runtime starts").block_on(measure());
}

async fn measure() {
    let mut rules = rules();
    rules.queue_limits.values_mut().for_each(|limit| *limit = QUEUE_LIMIT);
    let entry = Entry::start(&FaultyTable::default(), rules, None).await;
    let mut agents = Vec::new();
    for name in NAMES {
        agents.push(Agent::start(name, SLOTS, &[&entry]).await);
    }
    eventually("agents connect", || async { entry.endpoints().await == AGENTS as u64 }).await;
    let query = format!("organisation=firm&kind=check&repeat=never&deadline_ms={DEADLINE_MS}");
    let routed = [format!("http://{}/v1/requests?{query}", entry.http)];
    let direct: Vec<_> =
        agents.iter().map(|agent| format!("http://{}/run", agent.endpoint)).collect();
    let quick: &[u8] = &[b'q'; BODY_BYTES];
    let work: &[u8] = Box::leak([&b"work"[..], quick].concat().into_boxed_slice());

    println!("| run | done/s | p50 ms | p99 ms | p99.9 ms | refused | failed |");
    println!("|---|---|---|---|---|---|---|");
    report("no work, one at a time, direct", &run_sequential(&direct, quick).await);
    report("no work, one at a time, routed", &run_sequential(&routed, quick).await);
    let half = SATURATING_PER_SECOND / 2;
    for seed in 1..=3 {
        for (name, body) in [("no work", quick), ("20 ms of work", work)] {
            let direct_result = run_open_loop(&direct, body, half, seed).await;
            let routed_result = run_open_loop(&routed, body, half, seed).await;
            report(&format!("{name}, {half}/s, direct, seed {seed}"), &direct_result);
            report(&format!("{name}, {half}/s, routed, seed {seed}"), &routed_result);
            let added_ms = routed_result.percentile_ms(99.0) - direct_result.percentile_ms(99.0);
            println!("| {name}: added at p99 | | | {added_ms:.3} | | | |");
        }
    }
    for (name, per_second) in [("once", 1), ("twice", 2)] {
        let per_second = per_second * SATURATING_PER_SECOND;
        let routed_result = run_open_loop(&routed, work, per_second, 1).await;
        report(
            &format!("20 ms of work, routed, {name} the saturating load ({per_second}/s)"),
            &routed_result,
        );
    }
}
