//! The rules of placement, order, failures, cancellation and leases.

use std::collections::BTreeSet;

use super::world::{World, id, task};
use super::*;
use crate::workflow::Schedule;

fn over(result: JobResult) -> Option<JobProgress> {
    Some(JobProgress::Finished(result))
}

/// Guards against a worker that is given more than it has: the ninth task of one accelerator waits.
#[test]
fn a_worker_gets_no_more_than_its_room() {
    let mut world = World::new(1);

    world.submit("j", job(1, vec![step(9, 1)]));

    assert_eq!(world.places("j").len(), 8);
    world.end(&task("j", 0, 0), AttemptEnd::Done);
    assert_eq!(world.places("j").len(), 8);
}

/// Guards against room that is given away while its run is still stopping.
#[test]
fn a_stopping_run_uses_its_room_until_its_end_is_listed() {
    let mut world = World::new(1);
    world.submit("first", job(1, vec![step(1, 8)]));
    world.submit("second", job(1, vec![step(1, 8)]));

    world.cancel("first");
    world.pass(2_000);
    assert!(world.places("second").is_empty());

    world.finish_stops();
    assert_eq!(world.places("second").len(), 1);
}

/// Guards against a start whose intent would be unknown to a new leader.
#[test]
fn nothing_starts_before_its_intent_is_durable() {
    let mut world = World::new(1);
    world.store_is_away = true;

    world.submit("j", job(1, vec![step(1, 1)]));
    world.pass(3_000);
    assert!(world.starts.is_empty());

    world.store_is_away = false;
    world.flush();
    assert_eq!(world.starts.len(), 1);
}

/// Guards against an end that is forgotten by its worker before it is durable.
#[test]
fn an_end_is_acknowledged_and_shown_after_it_is_durable() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.store_is_away = true;

    world.end(&task("j", 0, 0), AttemptEnd::Done);
    assert_eq!(world.worker(0).ended.len(), 1);
    assert_eq!(world.progress[&id("j")], JobProgress::Running);

    world.store_is_away = false;
    world.flush();
    assert!(world.worker(0).ended.is_empty());
    assert_eq!(world.progress.get(&id("j")).copied(), over(JobResult::Done));
}

/// Guards against a step that starts before all tasks of the steps that it waits for are done.
#[test]
fn steps_start_in_order() {
    let mut world = World::new(2);
    let second = StepSpec { after: vec![0], ..step(1, 1) };
    world.submit("j", job(1, vec![step(2, 1), second]));

    world.end(&task("j", 0, 0), AttemptEnd::Done);
    assert!(world.starts.iter().all(|start| start.task.step == 0));

    world.end(&task("j", 0, 1), AttemptEnd::Done);
    assert_eq!(world.places("j")[0].0, task("j", 1, 0));
}

/// Guards against occurrences that start before they are due, and against a job that is over after its first one.
#[test]
fn occurrences_start_when_they_are_due() {
    let mut world = World::new(2);
    let first_due_ms = BEGIN_WALL_MS + 3_000;
    let mut record = job(1, vec![step(1, 1)]);
    record.spec.schedule = Some(Schedule { first_due_ms, interval_ms: 3_000, occurrences: 2 });

    world.submit("j", record);
    world.pass(1_500);
    assert!(world.starts.is_empty());
    world.pass(500);
    assert_eq!(world.starts.len(), 1);
    world.end(&task("j", 0, 0), AttemptEnd::Done);
    assert_eq!(world.progress[&id("j")], JobProgress::Running);

    world.pass(3_000);
    let second = TaskId { occurrence: 1, ..task("j", 0, 0) };
    world.end(&second, AttemptEnd::Done);
    assert_eq!(world.progress.get(&id("j")).copied(), over(JobResult::Done));
}

/// Guards against starts on workers of another service or without the label, and against too many on one worker.
#[test]
fn tasks_run_only_where_they_may() {
    let mut world = World::new(6);
    let labelled = StepSpec { required_label: Some("rack1".to_owned()), ..step(4, 1) };
    let spread = StepSpec { max_per_worker: 1, ..step(4, 1) };
    let mut foreign = job(1, vec![step(1, 1)]);
    foreign.service = "other".to_owned();

    world.submit("labelled", job(1, vec![labelled]));
    world.submit("spread", job(1, vec![spread]));
    world.submit("foreign", foreign);

    for (_, worker) in world.places("labelled") {
        assert_eq!(world.workers[&worker].rack, "rack1");
    }
    let workers: BTreeSet<_> = world.places("spread").into_iter().map(|place| place.1).collect();
    assert_eq!(workers.len(), 4);
    assert!(world.places("foreign").is_empty());
}

/// Guards against starts on a worker that leaves or in a data centre that is out of service.
#[test]
fn workers_that_leave_get_nothing() {
    let mut world = World::new(4);
    world.worker(3).draining = true;
    world.report_all();
    let mut directives = world.directives.clone();
    directives.as_of = 2;
    directives.out_of_service.insert(DataCentreId::from("dc0"));

    world.handle(&Input::Directives(directives.clone()));
    world.submit("j", job(0, vec![step(1, 1)]));
    world.pass(3_000);
    assert!(world.starts.is_empty());

    directives.as_of = 3;
    directives.out_of_service.clear();
    world.handle(&Input::Directives(directives));
    assert_eq!(world.places("j").len(), 1);
}

/// Guards against a start that the slow store held back until its worker drains.
#[test]
fn a_start_is_dropped_if_its_worker_drains_meanwhile() {
    let mut world = World::new(1);
    world.store_is_away = true;
    world.submit("j", job(1, vec![step(1, 1)]));

    world.worker(0).draining = true;
    world.report_all();
    world.store_is_away = false;
    world.flush();
    world.pass(2_000);

    assert!(world.starts.is_empty());
}

/// Guards against a job that fails too early, and against a start after its last attempt.
#[test]
fn a_job_fails_with_its_last_attempt() {
    let mut world = World::new(3);
    world.submit("j", job(1, vec![step(2, 1)]));

    for attempt in 1..=3 {
        assert!(world.progress[&id("j")] == JobProgress::Running, "before attempt {attempt}");
        world.end(&task("j", 0, 0), AttemptEnd::Failed);
    }

    assert_eq!(world.progress.get(&id("j")).copied(), over(JobResult::Failed));
    let starts = world.starts.len();
    world.finish_stops();
    world.pass(5_000);
    assert_eq!(world.starts.len(), starts);
    assert!(world.places("j").is_empty());
}

/// Guards against ends that count as failures of the job though they are not: stops, lapsed leases, broken gangs.
#[test]
fn only_failures_count_as_attempts() {
    let mut world = World::new(3);
    world.submit("j", job(1, vec![step(1, 1)]));

    for kind in [AttemptEnd::Stopped, AttemptEnd::Lapsed, AttemptEnd::Broken, AttemptEnd::Alone] {
        world.end(&task("j", 0, 0), kind);
        world.pass(1_000);
    }

    assert_eq!(world.record(&task("j", 0, 0)).failures, 0);
    assert_eq!(world.progress[&id("j")], JobProgress::Running);
    assert_eq!(world.record(&task("j", 0, 0)).attempt, 5);
}

/// Guards against a cancelled job that goes on.
#[test]
fn a_cancelled_job_stops() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(9, 1)]));

    world.cancel("j");
    world.finish_stops();
    world.pass(3_000);

    assert_eq!(world.progress.get(&id("j")).copied(), over(JobResult::Cancelled));
    assert!(world.places("j").is_empty());
    assert_eq!(world.starts.len(), 8);
}

/// Guards against a run without an intent, such as one that a worker started late: it is stopped, and its unknown size
/// keeps the worker from other work.
#[test]
fn a_run_that_nobody_ordered_is_stopped() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.cancel("j");
    world.finish_stops();
    let late = super::world::Run {
        attempt: 1,
        need: resources(2_000, 8_000, 1),
        percent: 0,
        is_stopping: false,
    };

    world.worker(0).runs.insert(task("j", 0, 0), late);
    world.report_all();
    world.submit("other", job(1, vec![step(1, 1)]));

    assert!(world.stops.contains(&(task("j", 0, 0), 1)));
    assert!(world.places("other").is_empty());
    world.finish_stops();
    assert_eq!(world.places("other").len(), 1);
}

/// Guards against a second run while the first may go on behind a partition.
#[test]
fn a_silent_worker_keeps_its_runs_until_its_lease_is_surely_over() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![step(1, 8)]));
    let place = world.places("j")[0].1.clone();

    world.workers.get_mut(&place).expect("the worker exists").is_connected = false;
    world.handle(&Input::Disconnected(place.clone()));
    world.pass(SETTINGS.lease_expiry_ms - 500);
    assert_eq!(world.starts.len(), 1);

    world.workers.get_mut(&place).expect("the worker exists").runs.clear();
    world.pass(1_000);
    assert_eq!(world.starts.len(), 2);
    assert_ne!(world.places("j")[0].1, place);
}

/// Guards against waiting for a lease though a new incarnation proves that nothing of the old one runs.
#[test]
fn a_new_incarnation_ends_the_runs_of_earlier_ones() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));

    world.restart(0);
    world.report_all();

    assert_eq!(world.places("j").len(), 1);
    assert_eq!(world.record(&task("j", 0, 0)).attempt, 2);
}

/// Guards against a late report of an earlier incarnation that is taken for the newest.
#[test]
fn a_late_report_of_an_earlier_incarnation_has_no_effect() {
    let mut world = World::new(1);
    let old = world.worker(0).clone();
    world.restart(0);
    world.report_all();
    let new = std::mem::replace(world.worker(0), old);

    world.report_all();
    *world.worker(0) = new;
    world.submit("j", job(1, vec![step(1, 1)]));

    assert_eq!(world.places("j").len(), 1);
}

/// Guards against an order that is lost on its way for good.
#[test]
fn an_order_without_a_trace_is_repeated() {
    let mut world = World::new(1);
    world.worker(0).is_connected = false;
    world.submit("j", job(1, vec![step(1, 1)]));
    assert_eq!(world.starts.len(), 1);

    world.worker(0).is_connected = true;
    world.pass(1_500);

    assert_eq!(world.starts[0], world.starts[1]);
    assert_eq!(world.places("j").len(), 1);
}

/// Guards against a stop that is lost on its way for good.
#[test]
fn a_lost_stop_is_repeated() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.worker(0).is_connected = false;
    world.cancel("j");

    world.worker(0).is_connected = true;
    world.pass(1_500);
    world.finish_stops();

    assert!(world.places("j").is_empty());
}

/// Guards against a refused start that counts as a failure of the job, and against a storm of starts.
#[test]
fn a_refused_start_is_tried_again_after_a_pause() {
    let mut world = World::new(1);
    world.worker(0).is_connected = false;
    world.submit("j", job(1, vec![step(1, 1)]));
    let incarnation = world.worker(0).incarnation.clone();
    let refusal = StartRefusal::Capacity;

    let refused = WorkerEvent::Refused { incarnation, task: task("j", 0, 0), attempt: 1, refusal };
    let refused = Input::Worker(refused);
    world.handle(&refused);
    assert_eq!(world.starts.len(), 1);

    world.worker(0).is_connected = true;
    world.pass(1_000);
    assert_eq!(world.places("j").len(), 1);
    assert_eq!(world.record(&task("j", 0, 0)).failures, 0);
}

/// Guards against a worker that fails everything and goes on getting work.
#[test]
fn a_worker_on_which_different_jobs_fail_rests() {
    let mut world = World::new(2);
    for name in ["a", "b"] {
        world.submit(name, job(1, vec![step(1, 8)]));
    }
    let bad = world.places("a")[0].1.clone();
    world.end(&task("a", 0, 0), AttemptEnd::Failed);
    world.pass(1_000);
    let on_bad = world.workers[&bad].runs.keys().next().cloned();

    let second = on_bad.expect("another job or the same one runs there");
    world.cancel("a");
    world.finish_stops();
    world.submit("c", job(1, vec![step(1, 8)]));
    let third = world.workers[&bad].runs.keys().next().cloned().unwrap_or(second);
    world.end(&third, AttemptEnd::Failed);

    assert!(world.workers[&bad].runs.is_empty());
    world.pass(4_000);
    assert!(!world.workers[&bad].runs.is_empty());
}

/// Guards against a scheduler that keeps all jobs for ever.
#[test]
fn an_ended_job_is_forgotten_after_its_time() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.end(&task("j", 0, 0), AttemptEnd::Done);

    world.pass(120_000);
    assert!(world.progress.contains_key(&id("j")));
    world.pass(40_000);

    assert!(!world.progress.contains_key(&id("j")));
    assert!(world.store.jobs.is_empty() && world.store.occurrences.is_empty());
}

/// Guards against tasks that run until they are cancelled and are taken for done, or are given up after failures.
#[test]
fn a_long_running_task_is_restarted_however_it_ends() {
    let mut world = World::new(2);
    let step = StepSpec { long_running: true, ..step(1, 1) };
    world.submit("j", job(1, vec![step]));

    for _ in 0..5 {
        world.end(&task("j", 0, 0), AttemptEnd::Failed);
        world.pass(4_000);
    }
    world.end(&task("j", 0, 0), AttemptEnd::Done);

    assert_eq!(world.progress[&id("j")], JobProgress::Running);
    assert_eq!(world.places("j").len(), 1);
}
