//! Tests of stalled attempts, slow workers and workers that leave.

use super::world::{World, task};
use super::*;

/// Advances the time while all attempts make progress at a speed per worker, in percent per second.
fn advance_with_speed<F>(world: &mut World, duration_ms: u64, percent_per_s: F)
where
    F: Fn(&WorkerId) -> f64,
{
    world.makes_progress = false;
    for _ in 0..duration_ms / 500 {
        for (id, worker) in &mut world.workers {
            for attempt in worker.attempts.values_mut() {
                let percent = f64::from(attempt.percent) + percent_per_s(id) / 2.0;
                attempt.percent = percent.min(99.0) as u8;
            }
        }
        world.advance(500);
    }
}

/// Guards against a task that waits forever on a worker whose attempts make no progress.
#[test]
fn stalled_attempt_is_restarted_on_another_worker() {
    let mut world = World::new(2);
    world.submit("j", job(0, vec![step(1, 1)]));
    let stalled = world.placements("j")[0].1.clone();

    advance_with_speed(&mut world, 2_500, |_| 0.0);
    world.finish_stops();

    assert_ne!(world.placements("j")[0].1, stalled);
}

/// Guards against the loss of much completed work because its worker stalls briefly.
#[test]
fn attempt_with_more_completed_work_has_longer_stall_timeout() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![step(1, 1)]));

    advance_with_speed(&mut world, 4_000, |_| 20.0);
    advance_with_speed(&mut world, 3_500, |_| 0.0);
    assert!(world.stops.is_empty());

    advance_with_speed(&mut world, 1_500, |_| 0.0);
    assert!(!world.stops.is_empty());
}

/// Guards against a task that is stopped repeatedly although it stalls on every worker.
#[test]
fn task_that_stalls_on_every_worker_is_not_stopped_any_more() {
    let mut world = World::new(6);
    world.submit("j", job(1, vec![step(1, 1)]));

    for _ in 0..10 {
        advance_with_speed(&mut world, 2_500, |_| 0.0);
        world.finish_stops();
    }

    assert_eq!(world.record(&task("j", 0, 0)).attempt, 4);
}

/// Guards against attempts that make slow progress and count as stalled, and against long-running tasks, whose progress
/// never changes.
#[test]
fn slow_attempts_and_long_running_tasks_are_not_stopped() {
    let mut world = World::new(2);
    let long_running = StepSpec { long_running: true, ..step(1, 1) };
    world.submit("long", job(1, vec![long_running]));
    world.submit("slow", job(1, vec![gang(2, 1)]));

    advance_with_speed(&mut world, 10_000, |_| 2.0);

    assert!(world.stops.iter().all(|(task, _)| task.job != JobId::from("slow")));
    world.advance(10_000);
    assert!(world.stops.iter().all(|(task, _)| task.job != JobId::from("long")));
}

/// Guards against urgent work that is placed on a slow worker while others are free.
#[test]
fn slow_worker_is_chosen_last() {
    let mut world = World::new(3);
    let spread = StepSpec { max_per_worker: 1, ..step(3, 1) };
    world.submit("probe", job(1, vec![spread]));
    let slow = world.placements("probe")[0].1.clone();

    advance_with_speed(&mut world, 3_000, |worker| if *worker == slow { 4.0 } else { 30.0 });
    world.submit("urgent", job(0, vec![step(2, 4)]));

    assert!(world.placements("urgent").iter().all(|place| place.1 != slow));
}

/// Guards against work that is placed on a worker while an attempt on it is stalled but not stopped yet.
#[test]
fn worker_with_stalled_attempt_gets_no_new_work() {
    let mut world = World::new(2);
    world.submit("probe", job(1, vec![step(1, 1)]));
    let stalled = world.placements("probe")[0].1.clone();
    advance_with_speed(&mut world, 5_000, |_| 15.0);

    advance_with_speed(&mut world, 1_500, |_| 0.0);
    assert!(world.stops.is_empty());
    world.submit("next", job(1, vec![step(1, 1)]));

    assert_ne!(world.placements("next")[0].1, stalled);
}

/// Guards against a gang that is restarted on the workers on which it stalled, although others are free.
#[test]
fn stalled_gang_is_restarted_on_other_workers() {
    let mut world = World::new(4);
    world.submit("j", job(0, vec![gang(2, 8)]));
    let before: Vec<WorkerId> = world.placements("j").into_iter().map(|place| place.1).collect();

    advance_with_speed(&mut world, 1_500, |_| 0.0);
    world.finish_stops();

    let after: Vec<WorkerId> = world.placements("j").into_iter().map(|place| place.1).collect();
    assert_eq!(after.len(), 2);
    assert!(after.iter().all(|worker| !before.contains(worker)));
}

/// Guards against a gang that is restarted on the workers on which it stalled, because work that it may evict runs on
/// all other workers.
#[test]
fn stalled_gang_evicts_work_on_other_workers() {
    let mut world = World::new(6);
    world.submit("urgent", job(0, vec![gang(2, 8)]));
    world.submit("others", job(2, vec![step(4, 8)]));
    let before: Vec<WorkerId> =
        world.placements("urgent").into_iter().map(|place| place.1).collect();

    for _ in 0..3 {
        let stalled = before.clone();
        advance_with_speed(
            &mut world,
            500,
            |worker| if stalled.contains(worker) { 0.0 } else { 10.0 },
        );
    }
    world.finish_stops();
    world.finish_stops();

    let after: Vec<WorkerId> =
        world.placements("urgent").into_iter().map(|place| place.1).collect();
    assert_eq!(after.len(), 2);
    assert!(after.iter().all(|worker| !before.contains(worker)));
}

/// Guards against a worker that counts as slow because an attempt on it has only just begun.
#[test]
fn attempt_that_has_just_begun_does_not_make_its_worker_slow() {
    let mut world = World::new(2);
    world.submit("usual", job(1, vec![step(1, 8)]));
    advance_with_speed(&mut world, 3_000, |_| 30.0);
    world.submit("new", job(1, vec![step(1, 8)]));
    let place = world.placements("new")[0].1.clone();

    let attempt =
        world.workers.get_mut(&place).and_then(|worker| worker.attempts.values_mut().next());
    attempt.expect("the task runs").percent = 6;
    world.advance(500);
    world.advance(300);

    assert!(!world.planner.workers[&place].slowness.is_slow(world.now.steady_ms));
}

/// Guards against an attempt that stays on a worker that leaves before the attempt can end, and is lost with it.
#[test]
fn attempt_that_outlasts_its_leaving_worker_is_restarted_elsewhere() {
    let mut world = World::new(3);
    let long = StepSpec { estimate_ms: 8_000, ..gang(2, 8) };
    world.submit("j", job(0, vec![long]));
    let leaving = world.placements("j")[0].1.clone();

    advance_with_speed(&mut world, 1_000, |_| 12.0);
    let worker = world.workers.get_mut(&leaving).expect("the worker exists");
    (worker.draining, worker.leaves_in_ms) = (true, Some(2_000));
    world.report(&leaving);
    world.finish_stops();

    let places = world.placements("j");
    assert_eq!(places.len(), 2);
    assert!(places.iter().all(|place| place.1 != leaving));
}

/// Guards against the loss of work that would end before its worker leaves.
#[test]
fn attempt_that_ends_before_its_worker_leaves_is_not_stopped() {
    let mut world = World::new(3);
    let long = StepSpec { estimate_ms: 8_000, ..gang(2, 8) };
    world.submit("j", job(0, vec![long]));
    let leaving = world.placements("j")[0].1.clone();

    advance_with_speed(&mut world, 2_000, |_| 40.0);
    let worker = world.workers.get_mut(&leaving).expect("the worker exists");
    (worker.draining, worker.leaves_in_ms) = (true, Some(2_000));
    world.report(&leaving);

    assert!(world.stops.is_empty());
}
