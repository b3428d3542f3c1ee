//! Measures how long the planner takes to handle a tick while many jobs wait, for several numbers of workers.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use teaselhall::planner::{
    AttemptsReport, Input, Planner, PlannerSettings, PlannerTime, WorkerEvent, WorkerReport,
};
use teaselhall::prelude::*;
use teaselhall::rules::Directives;
use teaselhall::workflow::{
    JobRecord, MAX_PART_BYTES, Resources, StepSpec, WorkerIncarnation, WorkflowSpec,
};

const QUEUED_JOBS: usize = 500;

fn incarnation(number: usize) -> WorkerIncarnation {
    WorkerIncarnation { worker: WorkerId::from(format!("w{number:04}").as_str()), born_ms: 1 }
}

fn report(number: usize) -> WorkerReport {
    let rack = format!("rack{}", number / 8);
    WorkerReport {
        incarnation: incarnation(number),
        service: "s".to_owned(),
        data_centre: DataCentreId::from("dc"),
        rack: Some(RackId::from(rack.as_str())),
        labels: vec!["a".to_owned(), rack],
        room: Resources { cores_milli: 32_000, memory_mb: 131_072, accelerators: 8 },
        draining: false,
        leaves_in_ms: None,
    }
}

fn attempts_report(number: usize) -> AttemptsReport {
    AttemptsReport {
        incarnation: incarnation(number),
        running: Vec::new(),
        ended: Vec::new(),
        starting: Vec::new(),
        stopped: Vec::new(),
    }
}

fn job(number: usize) -> JobRecord {
    let need =
        Resources { cores_milli: 3_000, memory_mb: 8_000, accelerators: [1, 2, 8][number % 3] };
    let step = StepSpec {
        tasks: 4,
        need,
        estimate_ms: 2_000,
        gang: number.is_multiple_of(2),
        ..StepSpec::default()
    };
    JobRecord {
        queue: "q".to_owned(),
        organisation: OrganisationId::from("o"),
        service: "s".to_owned(),
        priority: 1 + (number % 2) as u8,
        attempts: 3,
        accepted_ms: 1,
        spec: WorkflowSpec { payload: String::new(), steps: vec![step], schedule: None },
    }
}

/// Returns a planner whose workers are all in use while jobs wait.
fn loaded_planner(workers: usize) -> (Planner, PlannerTime) {
    let now = PlannerTime { steady_ms: 10_000, wall_ms: 1_700_000_000_000 };
    let settings = PlannerSettings {
        speed_spread_percent: None,
        lease_expiry_ms: 9_500,
        takeover_lease_expiry_ms: 15_500,
        record_limit_bytes: MAX_PART_BYTES,
        cost: None,
    };
    let mut planner = Planner::new(now, settings, Directives::default());
    for number in 0..workers {
        planner.handle(now, &Input::Worker(WorkerEvent::Reported(report(number))));
        planner.handle(now, &Input::Runs(attempts_report(number)));
    }
    let filling_jobs = workers * 2;
    for number in 0..filling_jobs + QUEUED_JOBS {
        let job_id = JobId::from(format!("{number:016x}").as_str());
        planner.handle(now, &Input::Submitted { job: job_id, record: job(number) });
        while planner.take_batch().is_some() {}
    }
    (planner, now)
}

fn handle_tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("report_with_500_queued_jobs");
    for workers in [32, 128, 512] {
        let (planner, now) = loaded_planner(workers);
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            let mut planner = planner.clone();
            bencher.iter(|| black_box(planner.handle(now, &Input::Tick)));
        });
    }
    group.finish();
}

criterion_group!(benches, handle_tick);
criterion_main!(benches);
