//! Replays of load that exceeds the room of all workers.

use std::collections::BTreeMap;

use super::world::{World, id};
use super::*;
use crate::rules::Queue;

/// Run time of each urgent job in milliseconds.
const RUN_MS: u64 = 2_500;
/// Time between two arrivals of urgent jobs in milliseconds. Four workers finish a job each 625 ms.
const ARRIVAL_MS: u64 = 500;
/// Duration of the load in milliseconds, several times the objective.
const LOAD_MS: u64 = 40_000;
/// Objective of urgent jobs: 1.5 times their work and 300 ms.
const OBJECTIVE_MS: u64 = 4_050;

fn objectives() -> Directives {
    let queue = Queue {
        name: "queue-0".to_owned(),
        host: String::new(),
        path_start: String::new(),
        service: SERVICE.to_owned(),
        priority: 0,
        attempts: 3,
        stretch: 1.5,
        objective_ms: 300,
        public: true,
    };
    let rules = Rules { version: 1, queues: vec![queue], ..Rules::default() };
    Directives { as_of: 1, rules: Some(Arc::new(rules)), ..Directives::default() }
}

fn urgent(world: &World) -> JobRecord {
    let step = StepSpec { estimate_ms: RUN_MS, ..gang(1, 8) };
    JobRecord { accepted_ms: world.now.wall_ms, ..job(0, vec![step]) }
}

/// Ends the attempts that have run for [`RUN_MS`], and adds the time from submission to end of their jobs.
fn end_finished(
    world: &mut World,
    began_ms: &mut BTreeMap<(TaskId, u32), u64>,
    served_ms: &mut Vec<u64>,
) {
    let now_ms = world.now.steady_ms;
    let running: Vec<(TaskId, u32)> = world
        .workers
        .values()
        .flat_map(|worker| &worker.attempts)
        .filter(|(task, attempt)| task.job != id("batch") && !attempt.is_stopping)
        .map(|(task, attempt)| (task.clone(), attempt.attempt))
        .collect();
    for key in running {
        let began = *began_ms.entry(key.clone()).or_insert(now_ms);
        if now_ms >= began + RUN_MS {
            let accepted_ms = world.store.jobs[&key.0.job].accepted_ms;
            served_ms.push(world.now.wall_ms - accepted_ms);
            world.end(&key.0, AttemptEnd::Done);
        }
    }
}

/// Submits urgent jobs faster than the workers finish them. Returns the times from submission to end.
fn replay_urgent_overload(world: &mut World) -> Vec<u64> {
    let (mut began_ms, mut served_ms) = (BTreeMap::new(), Vec::new());
    for number in 0..LOAD_MS / ARRIVAL_MS {
        let record = urgent(world);
        world.submit(&format!("urgent{number:03}"), record);
        world.advance(ARRIVAL_MS);
        world.finish_stops();
        end_finished(world, &mut began_ms, &mut served_ms);
    }
    served_ms
}

/// Guards against a queue in the order of age under lasting overload, in which each job starts too late: the workers can
/// finish four of five jobs in time.
#[test]
fn urgent_overload_serves_most_jobs_in_time() {
    let mut world = World::with_directives(4, objectives());
    world.makes_progress = true;

    let served_ms = replay_urgent_overload(&mut world);

    let in_time = served_ms.iter().filter(|ms| **ms <= OBJECTIVE_MS).count() as u64;
    assert!(in_time * 10 >= LOAD_MS / ARRIVAL_MS * 6, "{in_time} in time: {served_ms:?}");
}

/// Guards against batch tasks that are started and stopped again for one urgent job after the other.
#[test]
fn urgent_overload_stops_no_task_more_than_three_times() {
    let mut world = World::with_directives(4, objectives());
    world.makes_progress = true;
    world.submit("batch", job(2, vec![step(64, 1)]));

    replay_urgent_overload(&mut world);

    let mut stops: BTreeMap<&TaskId, usize> = BTreeMap::new();
    for (task, _) in world.stops.iter().filter(|(task, _)| task.job == id("batch")) {
        *stops.entry(task).or_default() += 1;
    }
    assert!(stops.values().all(|stops| *stops <= 3), "{stops:?}");
}

/// Guards against jobs that never run because others can still be in time: accepted work runs in the end.
#[test]
fn late_jobs_run_once_the_overload_ends() {
    let mut world = World::with_directives(4, objectives());
    world.makes_progress = true;
    let (mut began_ms, mut served_ms) = (BTreeMap::new(), replay_urgent_overload(&mut world));

    for _ in 0..100 {
        world.advance(500);
        end_finished(&mut world, &mut began_ms, &mut served_ms);
    }

    assert_eq!(served_ms.len() as u64, LOAD_MS / ARRIVAL_MS);
}
