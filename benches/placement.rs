//! Benchmark of one placement: one call of the scheduler for a submission or for the end of a task, with a full group
//! and 500 waiting jobs. The target is 50 microseconds at 128 workers, with linear growth.

mod support;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use teaselhall::bundle::{
    Bundle, DataCentre, GuaranteedBlock, KindRule, Organisation, PolicyRules, Rack, Weights,
    WorkerShape,
};
use teaselhall::guarantee::admit;
use teaselhall::prelude::*;
use teaselhall::scheduler::{Input, JobView, Output, Policy, Scheduler, TaskEnd, WorkerSpec};

use support::answer_outputs;

const RACK_WORKERS: u32 = 4;
const QUEUED_JOBS: u32 = 500;
const NOW_MS: u64 = 1_000;

fn bundle(workers: u32) -> Bundle {
    let racks = workers / RACK_WORKERS;
    let guarantee = |accelerators, adjacency, count| GuaranteedBlock {
        data_centre: None,
        accelerators,
        adjacency,
        count,
    };
    let organisation = |id: &str, guarantee| Organisation {
        id: OrganisationId::from(id),
        guarantee,
        quota_accelerators: None,
    };
    let kind = |id: &str, class, may_be_reclaimed| KindRule {
        id: KindId::from(id),
        class,
        may_borrow: may_be_reclaimed,
        preemptible: may_be_reclaimed,
    };
    Bundle {
        version: BundleVersion(1),
        data_centres: vec![DataCentre {
            id: DataCentreId::from("east"),
            region: RegionId::from("north"),
            worker: WorkerShape { cores: 32, memory_mb: 131_072, accelerators: 8 },
            racks: (0..racks)
                .map(|n| Rack { id: RackId::from(format!("r{n:04}")), workers: RACK_WORKERS })
                .collect(),
        }],
        organisations: vec![
            organisation("a", vec![guarantee(16, Adjacency::Rack, racks / 4)]),
            organisation("b", vec![guarantee(8, Adjacency::Worker, racks / 2)]),
            organisation("c", vec![guarantee(4, Adjacency::Worker, racks / 2)]),
            organisation("d", Vec::new()),
        ],
        kinds: vec![
            kind("check", Class::Urgent, false),
            kind("run", Class::Normal, false),
            kind("batch", Class::Batch, true),
        ],
        policy: PolicyRules {
            group_workers: workers,
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

fn job(number: u32) -> JobSpec {
    let accelerators = [1, 2, 4, 8][number as usize % 4];
    JobSpec {
        id: JobId::from(format!("j{number}")),
        organisation: OrganisationId::from(["a", "b", "c", "d"][number as usize / 4 % 4]),
        kind: KindId::from(["run", "batch", "batch"][number as usize % 3]),
        tasks: 1 + number % 4,
        task: TaskSpec {
            cores: accelerators * 4,
            memory_mb: 1_024 + u64::from(number % 50),
            accelerators,
        },
        adjacency: [Adjacency::Rack, Adjacency::Worker][(accelerators == 1) as usize],
        declared_run_ms: 60_000,
        repeat: Repeat::Allowed,
        can_checkpoint: true,
    }
}

/// Scheduler of a group and its seeded random numbers.
#[derive(Clone)]
struct Group {
    scheduler: Scheduler,
    random: ChaCha8Rng,
}

impl Group {
    fn handle(&mut self, input: &Input) -> Vec<Output> {
        self.scheduler.handle(NOW_MS, input, &mut self.random)
    }

    fn obey(&mut self, outputs: Vec<Output>) {
        answer_outputs(outputs, |answer| self.handle(answer));
    }
}

/// Returns a group that runs as many jobs as fit, with `QUEUED_JOBS` waiting jobs.
fn full_group(workers: u32) -> Group {
    let bundle = bundle(workers);
    let admission = admit(&bundle).expect("the guarantees fit");
    let rules = admission.group_rules(&bundle.groups()[0].id).expect("the group exists");
    let shape = rules.topology.worker;
    let random = ChaCha8Rng::seed_from_u64(11);
    let mut group = Group { scheduler: Scheduler::new(Policy::Product), random };
    group.handle(&Input::Rules { rules: Box::new(rules) });
    for number in 0..workers {
        let id = WorkerId::from(format!("w{number:05}"));
        let rack = RackId::from(format!("r{:04}", number / RACK_WORKERS));
        let worker = WorkerSpec { id, rack, shape };
        group.handle(&Input::WorkerUp { worker, running: Vec::new() });
    }
    group.handle(&Input::StartsPermitted { permitted: true, leaving: false });
    let mut number = 0;
    while group.scheduler.summary().queued_jobs < QUEUED_JOBS {
        let outputs = group.handle(&Input::Submit { job: job(number), saved_ms: 0, attempts: 0 });
        group.obey(outputs);
        number += 1;
    }
    assert!(group.scheduler.violations().is_empty());
    group
}

/// Ends all tasks but one of a running gang, and returns the input that ends the last task.
fn last_end(group: &mut Group) -> Input {
    let gang = (0..)
        .find_map(|number| match group.scheduler.job(&JobId::from(format!("j{number}"))) {
            Some(JobView::Active { gang, workers, .. }) if workers.len() == 1 => {
                Some((gang, workers, number))
            }
            _ => None,
        })
        .expect("a gang runs");
    let (gang, workers, number) = gang;
    let worker = workers[0].clone();
    let tasks = job(number).tasks;
    let end = |task| Input::TaskEnded {
        gang: gang.clone(),
        worker: worker.clone(),
        task,
        end: TaskEnd::Succeeded,
    };
    for task in 0..tasks - 1 {
        group.handle(&end(task));
    }
    end(tasks - 1)
}

fn placement(criterion: &mut Criterion) {
    let mut benches = criterion.benchmark_group("placement");
    for workers in [4, 32, 128, 512] {
        let group = full_group(workers);
        let submit = Input::Submit { job: job(1_000_003), saved_ms: 0, attempts: 0 };
        benches.bench_with_input(BenchmarkId::new("submit", workers), &group, |bencher, group| {
            bencher.iter_batched(
                || group.clone(),
                |mut group| (group.handle(&submit), group),
                BatchSize::PerIteration,
            );
        });
        let mut ending = group.clone();
        let end = last_end(&mut ending);
        benches.bench_with_input(
            BenchmarkId::new("task_ended", workers),
            &ending,
            |bencher, group| {
                bencher.iter_batched(
                    || group.clone(),
                    |mut group| (group.handle(&end), group),
                    BatchSize::PerIteration,
                );
            },
        );
    }
    benches.finish();
}

criterion_group!(benches, placement);
criterion_main!(benches);
