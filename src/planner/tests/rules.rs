//! Tests of placement, order, failures, cancellation and leases.

use std::collections::BTreeSet;

use super::world::{World, id, task};
use super::*;
use crate::workflow::Schedule;

fn finished(result: JobResult) -> Option<JobProgress> {
    Some(JobProgress::Finished(result))
}

/// Guards against a worker that is allocated more than its resources: of nine tasks with one accelerator each, the
/// ninth has to wait.
#[test]
fn tasks_beyond_resources_of_worker_wait() {
    let mut world = World::new(1);

    world.submit("j", job(1, vec![step(9, 1)]));

    assert_eq!(world.placements("j").len(), 8);
    world.end(&task("j", 0, 0), AttemptEnd::Done);
    assert_eq!(world.placements("j").len(), 8);
}

/// Guards against resources that are allocated again while the attempt that uses them is still stopping.
#[test]
fn stopping_attempt_uses_its_resources_until_its_end_is_listed() {
    let mut world = World::new(1);
    world.submit("first", job(1, vec![step(1, 8)]));
    world.submit("second", job(1, vec![step(1, 8)]));

    world.cancel("first");
    world.advance(2_000);
    assert!(world.placements("second").is_empty());

    world.finish_stops();
    assert_eq!(world.placements("second").len(), 1);
}

/// Guards against a start whose intent is not in the store, so that a new leader could start the task a second time.
#[test]
fn attempt_starts_only_after_its_intent_is_durable() {
    let mut world = World::new(1);
    world.is_store_unavailable = true;

    world.submit("j", job(1, vec![step(1, 1)]));
    world.advance(3_000);
    assert!(world.starts.is_empty());

    world.is_store_unavailable = false;
    world.flush();
    assert_eq!(world.starts.len(), 1);
}

/// Guards against an end that its worker discards before it is durable.
#[test]
fn end_is_acknowledged_and_published_only_after_it_is_durable() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.is_store_unavailable = true;

    world.end(&task("j", 0, 0), AttemptEnd::Done);
    assert_eq!(world.worker(0).ended.len(), 1);
    assert_eq!(world.progress[&id("j")], JobProgress::Running);

    world.is_store_unavailable = false;
    world.flush();
    assert!(world.worker(0).ended.is_empty());
    assert_eq!(world.progress.get(&id("j")).copied(), finished(JobResult::Done));
}

/// Guards against a step that starts before all tasks of the steps that it depends on are done.
#[test]
fn step_starts_after_all_tasks_of_its_dependencies_are_done() {
    let mut world = World::new(2);
    let second = StepSpec { after: vec![0], ..step(1, 1) };
    world.submit("j", job(1, vec![step(2, 1), second]));

    world.end(&task("j", 0, 0), AttemptEnd::Done);
    assert!(world.starts.iter().all(|start| start.task.step == 0));

    world.end(&task("j", 0, 1), AttemptEnd::Done);
    assert_eq!(world.placements("j")[0].0, task("j", 1, 0));
}

/// Guards against occurrences that start before they are due, and against a job that finishes after its first
/// occurrence.
#[test]
fn occurrences_start_when_due_and_job_finishes_after_last() {
    let mut world = World::new(2);
    let first_due_ms = BEGIN_WALL_MS + 3_000;
    let mut record = job(1, vec![step(1, 1)]);
    record.spec.schedule = Some(Schedule { first_due_ms, interval_ms: 3_000, occurrences: 2 });

    world.submit("j", record);
    world.advance(1_500);
    assert!(world.starts.is_empty());
    world.advance(500);
    assert_eq!(world.starts.len(), 1);
    world.end(&task("j", 0, 0), AttemptEnd::Done);
    assert_eq!(world.progress[&id("j")], JobProgress::Running);

    world.advance(3_000);
    let second = TaskId { occurrence: 1, ..task("j", 0, 0) };
    world.end(&second, AttemptEnd::Done);
    assert_eq!(world.progress.get(&id("j")).copied(), finished(JobResult::Done));
}

/// Guards against starts on workers of another service or without the label, and against too many on one worker.
#[test]
fn placement_respects_service_label_and_limit_per_worker() {
    let mut world = World::new(6);
    let labelled = StepSpec { required_label: Some("rack1".to_owned()), ..step(4, 1) };
    let spread = StepSpec { max_per_worker: 1, ..step(4, 1) };
    let mut foreign = job(1, vec![step(1, 1)]);
    foreign.service = "other".to_owned();

    world.submit("labelled", job(1, vec![labelled]));
    world.submit("spread", job(1, vec![spread]));
    world.submit("foreign", foreign);

    for (_, worker) in world.placements("labelled") {
        assert_eq!(world.workers[&worker].rack, "rack1");
    }
    let workers: BTreeSet<_> =
        world.placements("spread").into_iter().map(|place| place.1).collect();
    assert_eq!(workers.len(), 4);
    assert!(world.placements("foreign").is_empty());
}

/// Guards against starts on a draining worker or in a data centre that is out of service.
#[test]
fn draining_workers_and_data_centres_out_of_service_get_no_work() {
    let mut world = World::new(4);
    world.worker(3).draining = true;
    world.report_all();
    let mut directives = world.directives.clone();
    directives.as_of = 2;
    directives.out_of_service.insert(DataCentreId::from("dc0"));

    world.handle(&Input::Directives(directives.clone()));
    world.submit("j", job(0, vec![step(1, 1)]));
    world.advance(3_000);
    assert!(world.starts.is_empty());

    directives.as_of = 3;
    directives.out_of_service.clear();
    world.handle(&Input::Directives(directives));
    assert_eq!(world.placements("j").len(), 1);
}

/// Guards against a start on a draining worker: the store delays the intent, and the worker begins to drain meanwhile.
#[test]
fn start_is_dropped_if_its_worker_drains_before_intent_is_durable() {
    let mut world = World::new(1);
    world.is_store_unavailable = true;
    world.submit("j", job(1, vec![step(1, 1)]));

    world.worker(0).draining = true;
    world.report_all();
    world.is_store_unavailable = false;
    world.flush();
    world.advance(2_000);

    assert!(world.starts.is_empty());
}

/// Guards against a job that fails before its last attempt, and against starts after it.
#[test]
fn job_fails_when_its_last_attempt_fails() {
    let mut world = World::new(3);
    world.submit("j", job(1, vec![step(2, 1)]));

    for attempt in 1..=3 {
        assert!(world.progress[&id("j")] == JobProgress::Running, "before attempt {attempt}");
        world.end(&task("j", 0, 0), AttemptEnd::Failed);
    }

    assert_eq!(world.progress.get(&id("j")).copied(), finished(JobResult::Failed));
    let starts = world.starts.len();
    world.finish_stops();
    world.advance(5_000);
    assert_eq!(world.starts.len(), starts);
    assert!(world.placements("j").is_empty());
}

/// Guards against ends that count as failures of the job although they are none: stops, expired leases, broken gangs.
#[test]
fn stops_expired_leases_and_broken_gangs_do_not_count_as_failures() {
    let mut world = World::new(3);
    world.submit("j", job(1, vec![step(1, 1)]));

    for kind in [AttemptEnd::Stopped, AttemptEnd::Lapsed, AttemptEnd::Broken, AttemptEnd::Alone] {
        world.end(&task("j", 0, 0), kind);
        world.advance(1_000);
    }

    assert_eq!(world.record(&task("j", 0, 0)).failures, 0);
    assert_eq!(world.progress[&id("j")], JobProgress::Running);
    assert_eq!(world.record(&task("j", 0, 0)).attempt, 5);
}

/// Guards against a cancelled job whose attempts keep running or whose waiting tasks start.
#[test]
fn cancellation_stops_all_attempts_of_job() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(9, 1)]));

    world.cancel("j");
    world.finish_stops();
    world.advance(3_000);

    assert_eq!(world.progress.get(&id("j")).copied(), finished(JobResult::Cancelled));
    assert!(world.placements("j").is_empty());
    assert_eq!(world.starts.len(), 8);
}

/// Guards against an attempt without an intent, such as one that a worker started late. It is stopped, and its worker
/// gets no other work until then because the resources of the attempt are unknown.
#[test]
fn attempt_without_intent_is_stopped_and_blocks_its_worker_meanwhile() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.cancel("j");
    world.finish_stops();
    let late = super::world::FakeAttempt {
        attempt: 1,
        need: resources(2_000, 8_000, 1),
        percent: 0,
        is_stopping: false,
    };

    world.worker(0).attempts.insert(task("j", 0, 0), late);
    world.report_all();
    world.submit("other", job(1, vec![step(1, 1)]));

    assert!(world.stops.contains(&(task("j", 0, 0), 1)));
    assert!(world.placements("other").is_empty());
    world.finish_stops();
    assert_eq!(world.placements("other").len(), 1);
}

/// Guards against a second attempt while the first may still be running behind a network partition.
#[test]
fn disconnected_worker_keeps_its_attempts_until_lease_expiry() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![step(1, 8)]));
    let place = world.placements("j")[0].1.clone();

    world.workers.get_mut(&place).expect("the worker exists").is_connected = false;
    world.handle(&Input::Disconnected(place.clone()));
    world.advance(SETTINGS.lease_expiry_ms - 500);
    assert_eq!(world.starts.len(), 1);

    world.workers.get_mut(&place).expect("the worker exists").attempts.clear();
    world.advance(1_000);
    assert_eq!(world.starts.len(), 2);
    assert_ne!(world.placements("j")[0].1, place);
}

/// Guards against waiting for a lease although the first lists of a new incarnation prove that no attempt of the old one
/// is running. The first list orders the stop of an attempt that the old one had not listed, the second one confirms it.
#[test]
fn new_incarnation_ends_attempts_of_earlier_ones() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));

    world.restart(0);
    world.report_all();
    world.report_all();

    assert_eq!(world.placements("j").len(), 1);
    assert_eq!(world.record(&task("j", 0, 0)).attempt, 2);
}

/// Guards against a delayed report of an earlier incarnation that is accepted as the current one.
#[test]
fn delayed_report_of_earlier_incarnation_has_no_effect() {
    let mut world = World::new(1);
    let old = world.worker(0).clone();
    world.restart(0);
    world.report_all();
    let new = std::mem::replace(world.worker(0), old);

    world.report_all();
    *world.worker(0) = new;
    world.submit("j", job(1, vec![step(1, 1)]));

    assert_eq!(world.placements("j").len(), 1);
}

/// Guards against a second attempt after a repeated start was refused: an earlier order without an answer may still be
/// carried out.
#[test]
fn refusal_of_a_repeated_start_is_followed_by_a_stop() {
    let mut world = World::new(2);
    world.workers.values_mut().for_each(|worker| worker.is_connected = false);
    world.submit("j", job(1, vec![step(1, 1)]));
    let incarnation = world.starts[0].incarnation.clone();
    let list = AttemptsReport {
        incarnation: incarnation.clone(),
        running: Vec::new(),
        ended: Vec::new(),
        starting: Vec::new(),
        stopped: Vec::new(),
    };
    world.now.steady_ms += 1_000;
    world.handle(&Input::Runs(list));
    assert_eq!(world.starts.len(), 2);

    let refusal = StartRefusal::Unhealthy;
    let (task, attempt) = (task("j", 0, 0), 1);
    world.handle(&Input::Worker(WorkerEvent::Refused { incarnation, task, attempt, refusal }));

    assert_eq!(world.starts.len(), 2);
    assert_eq!(world.stops.len(), 1);
    world.workers.values_mut().for_each(|worker| worker.is_connected = true);
    world.advance(2_000);
    assert_eq!(world.starts.len(), 3);
}

/// Guards against tasks that run again although they are done, because their worker lists at most 500 ends at a time.
#[test]
fn attempts_whose_ends_are_not_listed_yet_do_not_count_as_lapsed() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![StepSpec { need: resources(1, 1, 0), ..step(1_000, 0) }]));
    let worker = world.worker(0).incarnation.worker.clone();
    for (task, _) in world.placements("j") {
        world.end_on(&worker, &task, AttemptEnd::Done);
    }
    let ended = std::mem::take(&mut world.worker(0).ended);

    for ends in ended.chunks(500) {
        world.worker(0).ended = ends.to_vec();
        world.report_all();
    }

    assert_eq!(world.starts.len(), 1_000);
    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
}

/// Guards against a transaction that the platform refuses because it is too large.
#[test]
fn batches_have_a_limited_size() {
    let mut world = World::new(1);
    world.is_store_unavailable = true;
    for number in 0..100 {
        let step = StepSpec { need: resources(0, 0, 0), ..step(1_000, 0) };
        world.submit(&format!("j{number:03}"), job(1, vec![step]));
    }

    let mut batches = 0;
    while let Some(batch) = world.planner.take_batch() {
        let base64_bytes = |change: &RecordChange| match change {
            RecordChange::Occurrence { record, .. } => record.len().div_ceil(3) * 4,
            RecordChange::Remove { .. } => 0,
        };
        assert!(batch.changes.iter().map(base64_bytes).sum::<usize>() < 980_000);
        assert!(batch.changes.len() <= 97);
        batches += 1;
    }
    assert!(batches > 1);
}

/// Guards against ends that are never acknowledged because the host was not connected when the acknowledgement was sent.
#[test]
fn lost_acknowledgement_is_repeated() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.is_store_unavailable = true;
    world.end(&task("j", 0, 0), AttemptEnd::Done);
    world.worker(0).is_connected = false;
    world.is_store_unavailable = false;
    world.flush();
    assert_eq!(world.worker(0).ended.len(), 1);

    world.worker(0).is_connected = true;
    world.advance(1_000);

    assert!(world.worker(0).ended.is_empty());
}

/// Guards against a finished job that runs again because a list of the stored jobs still contains it when it is removed.
#[test]
fn removed_job_that_is_listed_again_is_not_run() {
    let mut world = World::new(1);
    let record = job(1, vec![step(1, 1)]);
    world.submit("j", record.clone());
    world.end(&task("j", 0, 0), AttemptEnd::Done);
    world.advance(ENDED_JOB_RETENTION_MS + 1_000);
    assert!(world.store.jobs.is_empty());
    world.starts.clear();

    world.submit("j", record.clone());
    assert!(world.starts.is_empty());

    world.done.clear();
    let resubmitted = JobRecord { accepted_ms: world.now.wall_ms, ..record };
    world.submit("j", resubmitted);
    assert_eq!(world.starts.len(), 1);
}

/// Guards against work that is placed on a worker whose lists have ceased to arrive.
#[test]
fn worker_without_recent_list_gets_no_work() {
    let mut world = World::new(1);
    world.now.steady_ms += 4_000;
    world.submit("j", job(1, vec![step(1, 1)]));
    assert!(world.starts.is_empty());

    world.report_all();

    assert_eq!(world.starts.len(), 1);
}

/// Guards against a task that never starts because its start order was lost in transit.
#[test]
fn lost_start_order_is_repeated() {
    let mut world = World::new(1);
    world.worker(0).is_connected = false;
    world.submit("j", job(1, vec![step(1, 1)]));
    assert_eq!(world.starts.len(), 1);

    world.worker(0).is_connected = true;
    world.advance(1_500);

    assert_eq!(world.starts[0], world.starts[1]);
    assert_eq!(world.placements("j").len(), 1);
}

/// Guards against an attempt that is never stopped because its stop order was lost in transit.
#[test]
fn lost_stop_order_is_repeated() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.worker(0).is_connected = false;
    world.cancel("j");

    world.worker(0).is_connected = true;
    world.advance(1_500);
    world.finish_stops();

    assert!(world.placements("j").is_empty());
}

/// Guards against a refused start that counts as a failure of the job, and against start orders in rapid succession.
#[test]
fn refused_start_is_retried_after_backoff() {
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
    world.advance(1_000);
    assert_eq!(world.placements("j").len(), 1);
    assert_eq!(world.record(&task("j", 0, 0)).failures, 0);
}

/// Guards against a worker on which all jobs fail and which still gets work.
#[test]
fn worker_on_which_different_jobs_fail_gets_backoff() {
    let mut world = World::new(2);
    for name in ["a", "b"] {
        world.submit(name, job(1, vec![step(1, 8)]));
    }
    let bad = world.placements("a")[0].1.clone();
    world.end(&task("a", 0, 0), AttemptEnd::Failed);
    world.advance(1_000);
    let on_bad = world.workers[&bad].attempts.keys().next().cloned();

    let second = on_bad.expect("another job or the same one runs there");
    world.cancel("a");
    world.finish_stops();
    world.submit("c", job(1, vec![step(1, 8)]));
    let third = world.workers[&bad].attempts.keys().next().cloned().unwrap_or(second);
    world.end(&third, AttemptEnd::Failed);

    assert!(world.workers[&bad].attempts.is_empty());
    world.advance(4_000);
    assert!(!world.workers[&bad].attempts.is_empty());
}

/// Guards against a planner that keeps the state and records of all finished jobs forever.
#[test]
fn finished_job_is_removed_after_retention_time() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.end(&task("j", 0, 0), AttemptEnd::Done);

    world.advance(120_000);
    assert!(world.progress.contains_key(&id("j")));
    world.advance(40_000);

    assert!(!world.progress.contains_key(&id("j")));
    assert!(world.store.jobs.is_empty() && world.store.occurrences.is_empty());
}

/// A long-running task runs until it is cancelled. Guards against one that counts as done when an attempt ends, or that
/// fails its job after several failed attempts.
#[test]
fn long_running_task_is_restarted_after_failed_and_done_attempts() {
    let mut world = World::new(2);
    let step = StepSpec { long_running: true, ..step(1, 1) };
    world.submit("j", job(1, vec![step]));

    for _ in 0..5 {
        world.end(&task("j", 0, 0), AttemptEnd::Failed);
        world.advance(4_000);
    }
    world.end(&task("j", 0, 0), AttemptEnd::Done);

    assert_eq!(world.progress[&id("j")], JobProgress::Running);
    assert_eq!(world.placements("j").len(), 1);
}
