//! Guards against a stand-in that is kinder than the platform: it must overcommit, lapse leases and lose answers.

use crate::bundle::WorkerShape;
use crate::stand_in::{StartTask, TaskState, WorkerFault, WorkerModel};

const LAG_MS: u64 = 100;

fn worker() -> WorkerModel {
    WorkerModel::new(WorkerShape { cores: 32, memory_mb: 131_072, accelerators: 8 }, LAG_MS)
}

fn start(task: &str, accelerator_mask: u64) -> StartTask {
    StartTask {
        task: task.to_owned(),
        cores: 4,
        memory_mb: 1_024,
        accelerator_mask,
        lease_ms: 1_000,
        run_ms: 5_000,
        saved_ms: 0,
    }
}

fn state(worker: &mut WorkerModel, now_ms: u64) -> TaskState {
    worker.report(now_ms)[0].state
}

#[test]
fn overlapping_accelerators_are_started_and_reported() {
    let mut worker = worker();

    let first = worker.start(0, &start("a", 0b11), None);
    let second = worker.start(0, &start("b", 0b10), None);

    assert_eq!((first, second), (Some(false), Some(true)));
}

#[test]
fn task_name_is_used_once() {
    let mut worker = worker();

    worker.start(0, &start("a", 1), None);

    assert_eq!(worker.start(1, &start("a", 1), None), None);
}

#[test]
fn task_lapses_without_renewal_and_finishes_with_it() {
    let (mut lapsing, mut renewed) = (worker(), worker());
    lapsing.start(0, &start("a", 1), None);
    renewed.start(0, &start("a", 1), None);

    renewed.renew(900, &["a".to_owned()], 10_000);

    assert_eq!(state(&mut lapsing, 1_000), TaskState::Lapsed);
    assert_eq!(state(&mut renewed, 4_999), TaskState::Running);
    assert_eq!(state(&mut renewed, 5_000), TaskState::Succeeded);
}

#[test]
fn checkpoint_saves_run_time_that_a_later_start_need_not_repeat() {
    let mut worker = worker();
    worker.start(0, &start("a", 1), None);

    worker.checkpoint(800, &["a".to_owned()]);
    let saved_ms = worker.report(900)[0].saved_ms;
    worker.start(2_000, &StartTask { saved_ms, lease_ms: 10_000, ..start("b", 1) }, None);

    assert_eq!(saved_ms, 800);
    assert_eq!(worker.report(6_199)[1].state, TaskState::Running);
    assert_eq!(worker.report(6_200)[1].state, TaskState::Succeeded);
}

#[test]
fn faults_fail_tasks_or_ignore_stops() {
    let (mut failing, mut deaf) = (worker(), worker());

    failing.start(0, &start("a", 1), Some(WorkerFault::FailsEverything));
    deaf.start(0, &start("a", 1), Some(WorkerFault::IgnoresStop));
    deaf.stop(10, &["a".to_owned()], Some(WorkerFault::IgnoresStop));

    assert_eq!(state(&mut failing, 1), TaskState::Failed);
    assert_eq!(state(&mut deaf, 20), TaskState::Running);
}

#[test]
fn usage_is_reported_with_a_lag() {
    let mut worker = worker();
    worker.start(0, &start("a", 1), None);

    assert_eq!(worker.report(LAG_MS - 1)[0].cores_per_mille, None);
    assert_eq!(worker.report(LAG_MS)[0].cores_per_mille, Some(4_000));
}
