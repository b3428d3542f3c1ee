//! Tests that the stand-in fails like the platform. A stand-in that refused overcommitment or never let leases lapse
//! would hide faults of the system from other tests.

use crate::bundle::WorkerShape;
use crate::stand_in::{StartTask, TaskState, WorkerFault, WorkerModel};

const USAGE_LAG_MS: u64 = 100;

fn worker() -> WorkerModel {
    WorkerModel::new(WorkerShape { cores: 32, memory_mb: 131_072, accelerators: 8 }, USAGE_LAG_MS)
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
fn task_on_accelerators_in_use_is_started_and_reported_as_overcommitted() {
    let mut worker = worker();

    let first = worker.start(0, &start("a", 0b11), None);
    let second = worker.start(0, &start("b", 0b10), None);

    assert_eq!((first, second), (Some(false), Some(true)));
}

#[test]
fn second_start_with_the_same_task_name_is_refused() {
    let mut worker = worker();

    worker.start(0, &start("a", 1), None);

    assert_eq!(worker.start(1, &start("a", 1), None), None);
}

#[test]
fn task_lapses_without_renewal_and_succeeds_with_it() {
    let (mut lapsing, mut renewed) = (worker(), worker());
    lapsing.start(0, &start("a", 1), None);
    renewed.start(0, &start("a", 1), None);

    renewed.renew(900, &["a".to_owned()], 10_000);

    assert_eq!(state(&mut lapsing, 1_000), TaskState::Lapsed);
    assert_eq!(state(&mut renewed, 4_999), TaskState::Running);
    assert_eq!(state(&mut renewed, 5_000), TaskState::Succeeded);
}

#[test]
fn task_started_from_a_checkpoint_runs_only_the_remaining_time() {
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
fn worker_faults_fail_a_task_at_its_start_or_ignore_its_stop() {
    let (mut failing, mut ignoring) = (worker(), worker());

    failing.start(0, &start("a", 1), Some(WorkerFault::FailsEverything));
    ignoring.start(0, &start("a", 1), Some(WorkerFault::IgnoresStop));
    ignoring.stop(10, &["a".to_owned()], Some(WorkerFault::IgnoresStop));

    assert_eq!(state(&mut failing, 1), TaskState::Failed);
    assert_eq!(state(&mut ignoring, 20), TaskState::Running);
}

#[test]
fn usage_is_absent_before_the_lag_and_reported_after_it() {
    let mut worker = worker();
    worker.start(0, &start("a", 1), None);

    assert_eq!(worker.report(USAGE_LAG_MS - 1)[0].cores_per_mille, None);
    assert_eq!(worker.report(USAGE_LAG_MS)[0].cores_per_mille, Some(4_000));
}
