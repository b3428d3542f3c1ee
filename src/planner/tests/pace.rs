//! Runs that stand still, and workers that are slow.

use super::world::{World, task};
use super::*;

/// Lets all runs make progress for a while, at a speed for each worker in percent a second.
fn work<F>(world: &mut World, duration_ms: u64, percent_per_s: F)
where
    F: Fn(&WorkerId) -> f64,
{
    world.makes_progress = false;
    for _ in 0..duration_ms / 500 {
        for (id, worker) in &mut world.workers {
            for run in worker.runs.values_mut() {
                let percent = f64::from(run.percent) + percent_per_s(id) / 2.0;
                run.percent = percent.min(99.0) as u8;
            }
        }
        world.pass(500);
    }
}

/// Guards against a task that waits for ever on a worker whose tasks stand still.
#[test]
fn a_run_that_stands_still_is_started_elsewhere() {
    let mut world = World::new(2);
    world.submit("j", job(0, vec![step(1, 1)]));
    let stuck = world.places("j")[0].1.clone();

    work(&mut world, 2_500, |_| 0.0);
    world.finish_stops();

    assert_ne!(world.places("j")[0].1, stuck);
}

/// Guards against much finished work that is thrown away because its worker stands still for a moment.
#[test]
fn a_run_that_has_worked_for_long_waits_longer() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![step(1, 1)]));

    work(&mut world, 4_000, |_| 20.0);
    work(&mut world, 3_500, |_| 0.0);
    assert!(world.stops.is_empty());

    work(&mut world, 1_500, |_| 0.0);
    assert!(!world.stops.is_empty());
}

/// Guards against a task that is stopped again and again though it stands still by itself.
#[test]
fn a_task_that_stands_still_everywhere_is_left_in_the_end() {
    let mut world = World::new(6);
    world.submit("j", job(1, vec![step(1, 1)]));

    for _ in 0..10 {
        work(&mut world, 2_500, |_| 0.0);
        world.finish_stops();
    }

    assert_eq!(world.record(&task("j", 0, 0)).attempt, 4);
}

/// Guards against runs that work and are taken for stuck, and against long-running tasks, whose progress never changes.
#[test]
fn runs_that_work_go_on() {
    let mut world = World::new(2);
    let long_running = StepSpec { long_running: true, ..step(1, 1) };
    world.submit("long", job(1, vec![long_running]));
    world.submit("slow", job(1, vec![gang(2, 1)]));

    work(&mut world, 10_000, |_| 2.0);

    assert!(world.stops.iter().all(|(task, _)| task.job != JobId::from("slow")));
    world.pass(10_000);
    assert!(world.stops.iter().all(|(task, _)| task.job != JobId::from("long")));
}

/// Guards against urgent work that is given to a slow worker while others are free.
#[test]
fn a_slow_worker_comes_last() {
    let mut world = World::new(3);
    let spread = StepSpec { max_per_worker: 1, ..step(3, 1) };
    world.submit("probe", job(1, vec![spread]));
    let slow = world.places("probe")[0].1.clone();

    work(&mut world, 3_000, |worker| if *worker == slow { 4.0 } else { 30.0 });
    world.submit("urgent", job(0, vec![step(2, 4)]));

    assert!(world.places("urgent").iter().all(|place| place.1 != slow));
}

/// Guards against work that is given to a worker while a run there stands still but is not given up yet.
#[test]
fn a_worker_on_which_a_run_stands_still_gets_nothing_new() {
    let mut world = World::new(2);
    world.submit("probe", job(1, vec![step(1, 1)]));
    let stuck = world.places("probe")[0].1.clone();
    work(&mut world, 5_000, |_| 15.0);

    work(&mut world, 1_500, |_| 0.0);
    assert!(world.stops.is_empty());
    world.submit("next", job(1, vec![step(1, 1)]));

    assert_ne!(world.places("next")[0].1, stuck);
}

/// Guards against a gang that is started again on the workers on which it stood still, although others are free.
#[test]
fn a_gang_that_stood_still_moves_to_other_workers() {
    let mut world = World::new(4);
    world.submit("j", job(0, vec![gang(2, 8)]));
    let before: Vec<WorkerId> = world.places("j").into_iter().map(|place| place.1).collect();

    work(&mut world, 1_500, |_| 0.0);
    world.finish_stops();

    let after: Vec<WorkerId> = world.places("j").into_iter().map(|place| place.1).collect();
    assert_eq!(after.len(), 2);
    assert!(after.iter().all(|worker| !before.contains(worker)));
}

/// Guards against a gang that is started again on the workers on which it stood still, because only work that it may
/// displace runs on the others.
#[test]
fn a_gang_that_stood_still_displaces_others() {
    let mut world = World::new(6);
    world.submit("urgent", job(0, vec![gang(2, 8)]));
    world.submit("others", job(2, vec![step(4, 8)]));
    let before: Vec<WorkerId> = world.places("urgent").into_iter().map(|place| place.1).collect();

    for _ in 0..3 {
        let stuck = before.clone();
        work(&mut world, 500, |worker| if stuck.contains(worker) { 0.0 } else { 10.0 });
    }
    world.finish_stops();
    world.finish_stops();

    let after: Vec<WorkerId> = world.places("urgent").into_iter().map(|place| place.1).collect();
    assert_eq!(after.len(), 2);
    assert!(after.iter().all(|worker| !before.contains(worker)));
}

/// Guards against a worker that is taken for slow because a run there has only just begun.
#[test]
fn a_run_that_has_just_begun_tells_nothing_of_its_worker() {
    let mut world = World::new(2);
    world.submit("usual", job(1, vec![step(1, 8)]));
    work(&mut world, 3_000, |_| 30.0);
    world.submit("new", job(1, vec![step(1, 8)]));
    let place = world.places("new")[0].1.clone();

    let run = world.workers.get_mut(&place).and_then(|worker| worker.runs.values_mut().next());
    run.expect("the task runs").percent = 6;
    world.pass(500);
    world.pass(300);

    assert!(!world.planner.workers[&place].slowness.is_slow(world.now.steady_ms));
}

/// Guards against a run that goes on on a worker that leaves before the run can end, and is lost with it.
#[test]
fn a_run_that_outlasts_its_worker_is_moved() {
    let mut world = World::new(3);
    let long = StepSpec { estimate_ms: 8_000, ..gang(2, 8) };
    world.submit("j", job(0, vec![long]));
    let leaving = world.places("j")[0].1.clone();

    work(&mut world, 1_000, |_| 12.0);
    let worker = world.workers.get_mut(&leaving).expect("the worker exists");
    (worker.draining, worker.leaves_in_ms) = (true, Some(2_000));
    world.report(&leaving);
    world.finish_stops();

    let places = world.places("j");
    assert_eq!(places.len(), 2);
    assert!(places.iter().all(|place| place.1 != leaving));
}

/// Guards against work that is thrown away though it ends before its worker leaves.
#[test]
fn a_run_that_ends_before_its_worker_leaves_goes_on() {
    let mut world = World::new(3);
    let long = StepSpec { estimate_ms: 8_000, ..gang(2, 8) };
    world.submit("j", job(0, vec![long]));
    let leaving = world.places("j")[0].1.clone();

    work(&mut world, 2_000, |_| 40.0);
    let worker = world.workers.get_mut(&leaving).expect("the worker exists");
    (worker.draining, worker.leaves_in_ms) = (true, Some(2_000));
    world.report(&leaving);

    assert!(world.stops.is_empty());
}
