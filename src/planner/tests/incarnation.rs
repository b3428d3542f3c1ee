//! Tests of workers that restart under the identifier that they had.

use super::world::{World, id, task};
use super::*;

/// Returns a world with one idle worker that has restarted without its host's knowledge.
fn world_with_unknown_restart() -> World {
    let mut world = World::new(1);
    world.restart(0);
    world.worker(0).is_restart_unknown = true;
    world
}

/// Guards against a second attempt beside one that the new incarnation of a worker has started on an order for the
/// earlier one, before it reported itself.
#[test]
fn attempt_started_by_an_unknown_incarnation_is_continued() {
    let mut world = world_with_unknown_restart();
    world.submit("j", job(1, vec![step(1, 1)]));

    world.worker(0).is_restart_unknown = false;
    world.report_all();
    world.advance(2_000);

    assert_eq!(world.starts.len(), 1);
    world.end(&task("j", 0, 0), AttemptEnd::Done);
    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
}

/// Guards against a task that runs again although the new incarnation of its worker had already ended it as done when it
/// reported itself.
#[test]
fn end_on_an_unknown_incarnation_counts() {
    let mut world = world_with_unknown_restart();
    world.submit("j", job(1, vec![step(1, 1)]));
    let worker = world.worker(0).incarnation.worker.clone();
    world.end_on(&worker, &task("j", 0, 0), AttemptEnd::Done);

    world.worker(0).is_restart_unknown = false;
    world.report_all();

    assert_eq!(world.starts.len(), 1);
    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
}

/// Guards against an attempt that continues on a worker that has restarted as a worker of another service.
#[test]
fn attempt_on_an_incarnation_of_another_service_is_stopped() {
    let mut world = world_with_unknown_restart();
    let mut record = job(1, vec![step(1, 1)]);
    record.spec.steps[0].required_label = Some("a".to_owned());
    world.submit("j", record);

    world.worker(0).is_restart_unknown = false;
    world.worker(0).labels = vec!["b".to_owned()];
    world.report_all();

    assert_eq!(world.stops, [(task("j", 0, 0), 1)]);
}

/// Guards against a second attempt while an order that was not answered may still reach the new incarnation of its
/// worker.
#[test]
fn unconfirmed_start_is_stopped_on_the_new_incarnation_before_the_task_is_placed_again() {
    let mut world = World::new(2);
    world.worker(0).is_connected = false;
    world.worker(1).is_connected = false;
    world.submit("j", job(1, vec![step(1, 1)]));
    let place = world.starts[0].incarnation.worker.clone();
    world.restart(0);
    world.restart(1);

    world.report(&place);
    assert_eq!(world.stops, [(task("j", 0, 0), 1)]);
    assert_eq!(world.starts.len(), 1);

    world.report_all();
    assert_eq!(world.starts.len(), 2);
}

/// Guards against a task that waits for the stop of an attempt that ran on the earlier incarnation and so ended with it.
#[test]
fn listed_attempt_ends_with_its_incarnation() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.report_all();

    world.restart(0);
    world.report_all();

    assert!(world.stops.is_empty());
    assert_eq!(world.placements("j").len(), 1);
    assert_eq!(world.record(&task("j", 0, 0)).attempt, 2);
}
