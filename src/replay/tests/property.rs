//! Tests that each check of a promise notices its breach.

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
    checker.accepted(&job(tasks, repeat));
    checker
}

fn gang(number: u32) -> GangId {
    GangId { job: "j".into(), number }
}

fn task(task: u32) -> [TaskCell; 1] {
    [TaskCell { task, accelerator_mask: 1 }]
}

fn began(checker: &mut PropertyChecker, at_ms: u64, number: u32, index: u32) {
    checker.began(at_ms, &"d".into(), &gang(number), &task(index));
}

fn violations(checker: &PropertyChecker) -> Vec<Property> {
    checker.violations.iter().map(|violation| violation.promise).collect()
}

fn not_run() -> JobEnd {
    JobEnd::NotRun { reason: String::new() }
}

#[test]
fn a_partial_gang_is_noticed_after_the_limit_only() {
    // Guards against a P2 check that ignores a gang whose other tasks never start, or that reports a start in progress.
    let mut checker = accepted(2, Repeat::Allowed);

    began(&mut checker, 0, 1, 0);
    checker.check_partial(100, 100);
    assert_eq!(violations(&checker), []);
    checker.check_partial(101, 100);

    assert_eq!(violations(&checker), [Property::GangWhole]);
}

#[test]
fn a_task_that_succeeded_earlier_leaves_its_gang_whole() {
    // Guards against a false P2 alarm when the tasks of a gang do not end in the same moment.
    let mut checker = accepted(2, Repeat::Allowed);
    began(&mut checker, 0, 1, 0);
    began(&mut checker, 1, 1, 1);

    checker.ceased(50, &gang(1), &task(0), TaskEnd::Succeeded);
    checker.check_partial(1_000, 100);

    assert_eq!(violations(&checker), []);
}

#[test]
fn a_start_long_after_out_is_noticed() {
    // Guards against a P3 check that never fails.
    let mut checker = accepted(2, Repeat::Allowed);
    checker.out_acknowledged(1_000, &"d".into());

    began(&mut checker, 4_000, 1, 0);
    assert_eq!(violations(&checker), []);
    began(&mut checker, 4_001, 1, 1);

    assert_eq!(violations(&checker), [Property::NoStartAfterOut]);
}

#[test]
fn not_run_after_a_start_is_noticed() {
    // Guards against a P5 check that trusts the scheduler.
    let mut checker = accepted(1, Repeat::Allowed);
    began(&mut checker, 0, 1, 0);

    checker.told(1, &"j".into(), &not_run());

    assert_eq!(violations(&checker), [Property::OutcomeTrue]);
}

#[test]
fn a_start_after_not_run_is_noticed() {
    // Guards against a P5 check that looks back only.
    let mut checker = accepted(1, Repeat::Allowed);
    checker.told(1, &"j".into(), &not_run());

    began(&mut checker, 2, 1, 0);

    assert_eq!(violations(&checker), [Property::OutcomeTrue]);
}

#[test]
fn success_without_a_whole_attempt_is_noticed() {
    // Guards against success that is put together from tasks of two attempts.
    let mut checker = accepted(2, Repeat::Allowed);
    began(&mut checker, 0, 1, 0);
    checker.ceased(1, &gang(1), &task(0), TaskEnd::Succeeded);
    began(&mut checker, 2, 2, 1);
    checker.ceased(3, &gang(2), &task(1), TaskEnd::Succeeded);

    checker.told(4, &"j".into(), &JobEnd::Succeeded);

    assert_eq!(violations(&checker), [Property::OutcomeTrue]);
}

#[test]
fn a_second_attempt_of_work_that_may_not_be_repeated_is_noticed() {
    // Guards against a P6 check that only sees attempts that overlap.
    let mut checker = accepted(1, Repeat::Never);
    began(&mut checker, 0, 1, 0);
    checker.ceased(1, &gang(1), &task(0), TaskEnd::Lost);

    began(&mut checker, 2, 2, 0);

    assert_eq!(violations(&checker), [Property::AtMostOnce]);
}

#[test]
fn overlapping_attempts_are_noticed() {
    // Guards against a job that runs twice at the same time after its worker was thought lost.
    let mut checker = accepted(1, Repeat::Allowed);
    began(&mut checker, 0, 1, 0);

    began(&mut checker, 1, 2, 0);

    assert_eq!(violations(&checker), [Property::AtMostOnce]);
}
