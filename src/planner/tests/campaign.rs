//! Seeded campaigns: random jobs under random faults. The simulated world checks the invariants during each campaign,
//! and at its end all jobs must be finished.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use super::world::World;
use super::*;

const WORKERS: usize = 7;
const JOBS: usize = 24;
const ROUNDS: usize = 400;
/// Rounds without faults within which all remaining jobs must finish: leases expire, then jobs run one after another.
const CALM_ROUNDS: usize = 600;

fn random_step(random: &mut ChaCha8Rng) -> StepSpec {
    let tasks = random.random_range(1..5);
    let accelerators = [1, 1, 2, 4, 8][random.random_range(0..5)];
    StepSpec {
        gang: random.random_bool(0.4),
        same_rack: random.random_bool(0.3),
        checkpointable: random.random_bool(0.5),
        max_per_worker: if random.random_bool(0.1) { 1 } else { 0 },
        ..step(tasks.min(16 / accelerators), accelerators)
    }
}

fn random_job(random: &mut ChaCha8Rng) -> JobRecord {
    let mut steps = vec![random_step(random)];
    if random.random_bool(0.3) {
        steps.push(StepSpec { after: vec![0], ..random_step(random) });
    }
    let mut record = job(random.random_range(0..3), steps);
    record.organisation = OrganisationId::from(["org-a", "org-b"][random.random_range(0..2)]);
    record.attempts = 10;
    record
}

/// Ends random attempts on connected workers. Members of a gang end only while all of its members run.
fn end_random_attempts(world: &mut World, random: &mut ChaCha8Rng, with_failures: bool) {
    world.finish_stops();
    let running: Vec<(WorkerId, TaskId)> = world
        .workers
        .iter()
        .filter(|(_, worker)| worker.is_connected)
        .flat_map(|(id, worker)| {
            worker.attempts.keys().map(|task| (id.clone(), task.clone())).collect::<Vec<_>>()
        })
        .collect();
    for (worker, task) in running {
        let is_running = world.workers[&worker].attempts.contains_key(&task);
        if !is_running || !random.random_bool(0.2) {
            continue;
        }
        let record = &world.store.jobs[&task.job];
        let spec = &record.spec.steps[usize::from(task.step)];
        let members = world
            .workers
            .values()
            .flat_map(|worker| worker.attempts.keys())
            .filter(|other| other.job == task.job && other.step == task.step)
            .count();
        if spec.gang && members < spec.tasks as usize {
            continue;
        }
        let kind = if with_failures && random.random_bool(0.1) {
            AttemptEnd::Failed
        } else {
            AttemptEnd::Done
        };
        world.end_on(&worker, &task, kind);
    }
}

fn inject_fault(world: &mut World, random: &mut ChaCha8Rng) {
    let number = random.random_range(0..WORKERS);
    match random.random_range(0..12) {
        0 => {
            let worker = world.worker(number);
            worker.is_connected = !worker.is_connected;
            if !worker.is_connected {
                let id = worker.incarnation.worker.clone();
                world.handle(&Input::Disconnected(id));
            }
        }
        1 => world.restart(number),
        2 => world.take_over(),
        3 => world.is_store_unavailable = !world.is_store_unavailable,
        4 => {
            let worker = world.worker(number);
            worker.draining = true;
            let id = worker.incarnation.worker.clone();
            world.report(&id);
        }
        _ => {}
    }
    if !world.is_store_unavailable {
        world.flush();
    }
}

/// Ends all attempts of workers whose lease has expired, as the workers of the platform do.
fn expire_leases(world: &mut World, silent_ms: &mut [u64; WORKERS]) {
    for (number, silent) in silent_ms.iter_mut().enumerate() {
        let worker = world.worker(number);
        *silent = if worker.is_connected { 0 } else { *silent + 500 };
        if *silent < 9_200 {
            continue;
        }
        let (id, tasks) = (
            worker.incarnation.worker.clone(),
            worker.attempts.keys().cloned().collect::<Vec<_>>(),
        );
        for task in tasks {
            world.end_on(&id, &task, AttemptEnd::Lapsed);
        }
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
#[test_case(7)]
#[test_case(8)]
#[test_case(9)]
#[test_case(10)]
#[test_case(11)]
#[test_case(12)]
fn random_faults_break_no_invariant_and_all_jobs_finish(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::with_directives(WORKERS, guarantees(&[("org-a", 16), ("org-b", 16)]));
    let mut silent_ms = [0; WORKERS];
    for round in 0..ROUNDS {
        if round % (ROUNDS / JOBS) == 0 {
            let record = random_job(&mut random);
            world.submit(&format!("j{round}"), record);
        }
        if random.random_bool(0.02) {
            world.cancel(&format!("j{}", round / (ROUNDS / JOBS) * (ROUNDS / JOBS)));
        }
        if random.random_bool(0.3) {
            inject_fault(&mut world, &mut random);
        }
        end_random_attempts(&mut world, &mut random, true);
        expire_leases(&mut world, &mut silent_ms);
        world.advance(500);
    }
    world.is_store_unavailable = false;
    world.flush();
    for number in 0..WORKERS {
        if world.worker(number).draining {
            world.restart(number);
        }
        world.worker(number).is_connected = true;
    }
    for _ in 0..CALM_ROUNDS {
        end_random_attempts(&mut world, &mut random, false);
        world.advance(500);
    }

    let unfinished: Vec<JobId> = world
        .store
        .jobs
        .keys()
        .filter(|job| !matches!(world.progress.get(*job), Some(JobProgress::Finished(_))))
        .cloned()
        .collect();
    assert!(unfinished.is_empty(), "jobs not finished: {unfinished:?}");
    assert!(!world.starts.is_empty());
}
