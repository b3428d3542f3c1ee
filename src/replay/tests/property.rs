//! Tests that the check of each property reports a violation.

use crate::prelude::*;
use crate::replay::property::{Property, PropertyChecker};
use crate::scheduler::{TaskCell, TaskEnd};

fn job(tasks: u32, repeat: Repeat) -> JobSpec {
    JobSpec {
        id: "j".into(),
        organisation: "o".into(),
        kind: "k".into(),
        tasks,
        task: TaskSpec { cores: 1, memory_mb: 1, accelerators: 1 },
        adjacency: Adjacency::Rack,
        declared_run_ms: 1,
        repeat,
        can_checkpoint: false,
    }
}

fn accepted(tasks: u32, repeat: Repeat) -> PropertyChecker {
    let mut checker = PropertyChecker::default();
    checker.record_accepted(&job(tasks, repeat));
    checker
}

fn gang(number: u32) -> GangId {
    GangId { job: "j".into(), number }
}

fn task(task: u32) -> [TaskCell; 1] {
    [TaskCell { task, accelerator_mask: 1 }]
}

fn start(checker: &mut PropertyChecker, at_ms: u64, number: u32, index: u32) {
    checker.record_start(at_ms, &"d".into(), &gang(number), &task(index));
}

fn violations(checker: &PropertyChecker) -> Vec<Property> {
    checker.violations.iter().map(|violation| violation.promise).collect()
}

fn not_run() -> JobEnd {
    JobEnd::NotRun { reason: String::new() }
}

#[test]
fn partial_gang_is_reported_only_after_the_limit() {
    // Guards against a P2 check that misses a gang whose other tasks never start, or that reports a start in progress.
    let mut checker = accepted(2, Repeat::Allowed);

    start(&mut checker, 0, 1, 0);
    checker.check_partial(100, 100);
    assert_eq!(violations(&checker), []);
    checker.check_partial(101, 100);

    assert_eq!(violations(&checker), [Property::GangWhole]);
}

#[test]
fn gang_with_a_succeeded_task_is_not_reported_as_partial() {
    // Guards against a false P2 violation when the tasks of a gang do not end at the same time.
    let mut checker = accepted(2, Repeat::Allowed);
    start(&mut checker, 0, 1, 0);
    start(&mut checker, 1, 1, 1);

    checker.record_end(50, &gang(1), &task(0), TaskEnd::Succeeded);
    checker.check_partial(1_000, 100);

    assert_eq!(violations(&checker), []);
}

#[test]
fn start_after_the_grace_time_of_data_centre_out_is_reported() {
    // Guards against a P3 check that never reports a violation.
    let mut checker = accepted(2, Repeat::Allowed);
    checker.record_out_acknowledged(1_000, &"d".into());

    start(&mut checker, 4_000, 1, 0);
    assert_eq!(violations(&checker), []);
    start(&mut checker, 4_001, 1, 1);

    assert_eq!(violations(&checker), [Property::NoStartAfterOut]);
}

#[test]
fn not_run_outcome_after_a_start_is_reported() {
    // Guards against a P5 check that accepts the scheduler's outcome without comparing it with the started tasks.
    let mut checker = accepted(1, Repeat::Allowed);
    start(&mut checker, 0, 1, 0);

    checker.record_reported_end(1, &"j".into(), &not_run());

    assert_eq!(violations(&checker), [Property::OutcomeTrue]);
}

#[test]
fn start_after_a_not_run_outcome_is_reported() {
    // Guards against a P5 check that only considers starts before the outcome.
    let mut checker = accepted(1, Repeat::Allowed);
    checker.record_reported_end(1, &"j".into(), &not_run());

    start(&mut checker, 2, 1, 0);

    assert_eq!(violations(&checker), [Property::OutcomeTrue]);
}

#[test]
fn success_without_an_attempt_whose_tasks_all_succeeded_is_reported() {
    // Guards against a P5 check that combines the succeeded tasks of two attempts into one success.
    let mut checker = accepted(2, Repeat::Allowed);
    start(&mut checker, 0, 1, 0);
    checker.record_end(1, &gang(1), &task(0), TaskEnd::Succeeded);
    start(&mut checker, 2, 2, 1);
    checker.record_end(3, &gang(2), &task(1), TaskEnd::Succeeded);

    checker.record_reported_end(4, &"j".into(), &JobEnd::Succeeded);

    assert_eq!(violations(&checker), [Property::OutcomeTrue]);
}

#[test]
fn second_attempt_of_a_job_that_must_not_be_repeated_is_reported() {
    // Guards against a P6 check that only detects overlapping attempts.
    let mut checker = accepted(1, Repeat::Never);
    start(&mut checker, 0, 1, 0);
    checker.record_end(1, &gang(1), &task(0), TaskEnd::Lost);

    start(&mut checker, 2, 2, 0);

    assert_eq!(violations(&checker), [Property::AtMostOnce]);
}

#[test]
fn overlapping_attempts_of_a_repeatable_job_are_reported() {
    // Guards against a P6 check that misses a job running twice at the same time, as when a worker declared lost still
    // runs the first attempt.
    let mut checker = accepted(1, Repeat::Allowed);
    start(&mut checker, 0, 1, 0);

    start(&mut checker, 1, 2, 0);

    assert_eq!(violations(&checker), [Property::AtMostOnce]);
}
