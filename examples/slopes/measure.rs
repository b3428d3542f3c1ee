//! Measurements of the leader, the entry's directory, the bundle and the fan-out of changes.

use std::hint::black_box;
use std::time::Instant;

use bytes::BytesMut;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use teaselhall::bundle::{
    Bundle, DataCentre, Digest, GuaranteedBlock, KindRule, Organisation, PolicyRules, Rack,
    Weights, WorkerShape,
};
use teaselhall::directory::{self, GroupDirectory};
use teaselhall::guarantee::admit;
use teaselhall::prelude::*;
use teaselhall::request::ConnectionId;
use teaselhall::scheduler::{Input, Output, Policy, Scheduler, WorkerSpec};
use teaselhall::wire::{
    Direction, EntryMessage, FrameEncoder, FrameKey, GroupSummary, MAX_FRAME_BYTES,
};

use super::Point;
use super::support::answer_outputs;

/// Number of tasks on each worker at the size to design for: 540,000 tasks on 22,000 workers.
const TASKS_PER_WORKER: u32 = 24;
const RACK_WORKERS: u32 = 4;
const WORKERS_PER_GROUP: u32 = 128;
const SHAPE: WorkerShape = WorkerShape { cores: 32, memory_mb: 131_072, accelerators: 8 };
/// Base number of repetitions of a timed call; short calls are repeated ten times as often.
const REPEATS: u32 = 50;

/// Runs all measurements; `workers` is the size of the largest group.
pub fn all(workers: u32) -> Vec<Point> {
    let mut points = Vec::new();
    for size in [workers / 64, workers / 16, workers / 4, workers].map(|size| size.max(4)) {
        measure_leader(size, &mut points);
    }
    for groups in [4, 43, 172] {
        measure_directory(groups, &mut points);
    }
    for (workers, organisations) in [(128, 4), (2_200, 14), (22_000, 140)] {
        measure_bundle(workers, organisations, &mut points);
    }
    for connections in [10, 100, 1_000] {
        measure_fan_out(connections, &mut points);
    }
    points
}

fn point(
    series: &'static str,
    unit: &'static str,
    counts: &'static str,
    size: u32,
    value: f64,
) -> Point {
    Point { series, unit, counts, size, value }
}

/// Returns the mean time of a call in microseconds.
fn time_us<F>(repeats: u32, mut call: F) -> f64
where
    F: FnMut(u32),
{
    let start = Instant::now();
    for repeat in 0..repeats {
        call(repeat);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(repeats)
}

/// Returns the size of a value as JSON, in kilobytes.
fn json_kb<S>(state: &S) -> f64
where
    S: Serialize,
{
    serde_json::to_vec(state).map_or(f64::NAN, |bytes| bytes.len() as f64 / 1e3)
}

/// Returns the resident memory of this process in kilobytes.
fn resident_kb() -> f64 {
    const PAGE_KB: f64 = 4.096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok())
        .map_or(f64::NAN, |pages| pages * PAGE_KB)
}

/// Returns a bundle with about this many workers, a quarter of them guaranteed in blocks of 8 accelerators.
fn bundle(workers: u32, organisations: u32, data_centres: u32) -> Bundle {
    let racks = (workers / data_centres / RACK_WORKERS).max(1);
    let data_centre = |number| DataCentre {
        id: format!("dc{number}").into(),
        region: format!("region{}", number % 4).into(),
        worker: SHAPE,
        racks: (0..racks)
            .map(|rack| Rack { id: format!("dc{number}-r{rack}").into(), workers: RACK_WORKERS })
            .collect(),
    };
    let blocks = (workers / organisations / 4).max(1);
    let organisation = |number| Organisation {
        id: format!("o{number}").into(),
        guarantee: vec![GuaranteedBlock {
            data_centre: None,
            accelerators: 8,
            adjacency: Adjacency::Worker,
            count: blocks,
        }],
        quota_accelerators: None,
    };
    let kind = |id: &str, class, is_preemptible_borrower| KindRule {
        id: id.into(),
        class,
        may_borrow: is_preemptible_borrower,
        preemptible: is_preemptible_borrower,
    };
    Bundle {
        version: BundleVersion(1),
        data_centres: (0..data_centres).map(data_centre).collect(),
        organisations: (0..organisations).map(organisation).collect(),
        kinds: vec![kind("check", Class::Urgent, false), kind("batch", Class::Batch, true)],
        policy: PolicyRules {
            group_workers: WORKERS_PER_GROUP,
            reclaim_checkpoint_ms: 1_000,
            reclaim_stop_ms: 500,
            reservation_age_ms: 60_000,
            return_ramp_ms: 10_000,
            retry_budget_per_mille: 100,
            queue_limit_urgent: 10_000,
            queue_limit_normal: 10_000,
            queue_limit_batch: 10_000,
            weights: Weights {
                completion_per_mille: 400,
                fragmentation_per_mille: 300,
                work_done_per_mille: 300,
            },
        },
    }
}

/// Returns a gang. Over all gangs, a task needs a third of an accelerator on average, so that a worker holds 24 tasks.
fn gang(number: u32) -> JobSpec {
    let accelerators = u32::from(number.is_multiple_of(3));
    JobSpec {
        id: format!("job-{number:08}").into(),
        organisation: "o0".into(),
        kind: "batch".into(),
        tasks: 16,
        task: TaskSpec { cores: 1, memory_mb: 1_024, accelerators },
        adjacency: Adjacency::DataCentre,
        declared_run_ms: 3_600_000,
        repeat: Repeat::Allowed,
        can_checkpoint: true,
    }
}

/// Scheduler of a group with its random numbers and its time.
struct Group {
    scheduler: Scheduler,
    random: ChaCha8Rng,
    now_ms: u64,
}

impl Group {
    fn handle(&mut self, input: &Input) -> Vec<Output> {
        self.scheduler.handle(self.now_ms, input, &mut self.random)
    }

    fn answer_outputs(&mut self, outputs: Vec<Output>) {
        answer_outputs(outputs, |answer| self.handle(answer));
    }

    fn tick(&mut self) {
        self.now_ms += 200;
        let outputs = self.handle(&Input::Tick);
        self.answer_outputs(outputs);
    }
}

fn measure_leader(workers: u32, points: &mut Vec<Point>) {
    let mut bundle = bundle(workers, 1, 1);
    bundle.policy.group_workers = workers;
    let admission = admit(&bundle).expect("the guarantees fit");
    let rules = admission.group_rules(&bundle.groups()[0].id).expect("the group exists");
    let before_kb = resident_kb();
    let random = ChaCha8Rng::seed_from_u64(7);
    let mut group = Group { scheduler: Scheduler::new(Policy::Product), random, now_ms: 1_000 };
    group.handle(&Input::Rules { rules: Box::new(rules) });
    for number in 0..workers {
        let rack = format!("dc0-r{}", number / RACK_WORKERS).into();
        let worker = WorkerSpec { id: format!("w{number:05}").into(), rack, shape: SHAPE };
        group.handle(&Input::WorkerUp { worker, running: Vec::new() });
    }
    group.handle(&Input::StartsPermitted { permitted: true, leaving: false });
    let gangs = workers * TASKS_PER_WORKER / gang(0).tasks;
    let submit_us = time_us(gangs, |number| {
        let outputs = group.handle(&Input::Submit { job: gang(number), saved_ms: 0, attempts: 0 });
        group.answer_outputs(outputs);
    });
    let tick_us = time_us(REPEATS, |_| group.tick());
    let scheduler_kb = (resident_kb() - before_kb).max(0.0);
    points.push(point("leader: start of a gang of 16", "us", "workers", workers, submit_us));
    points.push(point("leader: tick of the scheduler", "us", "workers", workers, tick_us));
    points.push(point(
        "leader: scheduler state as JSON",
        "kB",
        "workers",
        workers,
        json_kb(&group.scheduler),
    ));
    points.push(point(
        "leader: resident memory of the scheduler",
        "kB",
        "workers",
        workers,
        scheduler_kb,
    ));
    let summary = group.scheduler.summary();
    black_box(summary);
}

fn summary(group: &GroupId) -> GroupSummary {
    GroupSummary {
        group: group.clone(),
        epoch: Epoch(1),
        total_accelerators: 1_024,
        free_accelerators: 200,
        largest_worker_block: 8,
        largest_rack_block: 32,
        queued_jobs: 0,
    }
}

fn measure_directory(groups: u32, points: &mut Vec<Point>) {
    let bundle = bundle(groups * WORKERS_PER_GROUP, 1, 1);
    let mut directory = GroupDirectory::default();
    directory.handle(0, &directory::Input::Bundle { bundle: Box::new(bundle.clone()) });
    let ids: Vec<GroupId> = bundle.groups().into_iter().map(|group| group.id).collect();
    let lead_us = time_us(groups * 10, |repeat| {
        let index = (repeat % groups) as usize;
        let (connection, summary) = (ConnectionId(index as u64), summary(&ids[index]));
        directory.handle(1, &directory::Input::LeaderReport { connection, summary });
    });
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let choose_us = time_us(REPEATS * 10, |number| {
        let _ = black_box(directory.choose(1, &gang(number), &mut random));
    });
    points.push(point("entry: a leader's summary", "us", "groups", groups, lead_us));
    points.push(point("entry: choice of a group", "us", "groups", groups, choose_us));
    points.push(point("entry: directory as JSON", "kB", "groups", groups, json_kb(&directory)));
}

fn measure_bundle(workers: u32, organisations: u32, points: &mut Vec<Point>) {
    let bundle = bundle(workers, organisations, 9);
    let digest_us = time_us(3, |_| {
        black_box(Digest::of(&bundle).expect("the bundle has a digest"));
    });
    let admit_us = time_us(3, |_| {
        black_box(admit(&bundle).expect("the guarantees fit"));
    });
    points.push(point("bundle: size", "kB", "workers", workers, json_kb(&bundle)));
    points.push(point("bundle: digest", "us", "workers", workers, digest_us));
    points.push(point("bundle: admission", "us", "workers", workers, admit_us));
}

/// Measures the encoding of one change of a data centre's state for many connections, each with its own encoder, as in
/// a flat fan-out.
fn measure_fan_out(connections: u32, points: &mut Vec<Point>) {
    let key = FrameKey::new([7; 32]);
    let encoder = || FrameEncoder::new(key.clone(), Direction::FromAcceptor, MAX_FRAME_BYTES);
    let mut encoders: Vec<FrameEncoder> = (0..connections).map(|_| encoder()).collect();
    let state = teaselhall::wire::DataCentreState::Out;
    let message = EntryMessage::DataCentreState { state, version: 7, permit_ms: 0 };
    let mut bytes = 0;
    let encode_us = time_us(REPEATS, |_| {
        for encoder in &mut encoders {
            let mut buffer = BytesMut::new();
            encoder.encode(&message, &mut buffer).expect("the message fits");
            bytes = buffer.len();
        }
    });
    points.push(point(
        "fan-out: one change to all connections",
        "us",
        "connections",
        connections,
        encode_us,
    ));
    points.push(point(
        "fan-out: frame of one change",
        "bytes",
        "connections",
        connections,
        bytes as f64,
    ));
}
