//! What a new leader does with what the store has.

use super::world::{World, id, task};
use super::*;

/// Guards against a second run of a task that goes on running during a takeover.
#[test]
fn a_running_task_is_adopted() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![step(2, 8)]));

    world.take_over();
    world.report_all();
    world.pass(2_000);

    assert_eq!(world.starts.len(), 2);
    world.end(&task("j", 0, 0), AttemptEnd::Done);
    world.end(&task("j", 0, 1), AttemptEnd::Done);
    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
}

/// Guards against starts on a worker before it has listed what an earlier leader started there.
#[test]
fn nothing_starts_on_a_worker_that_has_not_listed_its_runs() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.worker(0).is_connected = false;

    world.take_over();
    world.submit("other", job(1, vec![step(1, 1)]));
    world.pass(3_000);

    assert_eq!(world.starts.len(), 1);
}

/// Guards against an intent that was durable and never ordered: its task would wait for ever.
#[test]
fn an_intent_that_was_not_ordered_is_placed_anew() {
    let mut world = World::new(1);
    world.worker(0).is_connected = false;
    world.submit("j", job(1, vec![step(1, 1)]));

    world.take_over();
    world.worker(0).is_connected = true;
    world.report_all();

    assert_eq!(world.places("j").len(), 1);
    assert_eq!(world.record(&task("j", 0, 0)).attempt, 2);
}

/// Guards against a failure that is counted twice because its worker lists it to the new leader too.
#[test]
fn an_end_that_the_earlier_leader_noted_is_not_counted_again() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    let worker = world.worker(0).incarnation.worker.clone();
    world.end_on(&worker, &task("j", 0, 0), AttemptEnd::Failed);
    let listed = world.worker(0).ended.clone();
    world.report_all();
    assert_eq!(world.record(&task("j", 0, 0)).failures, 1);

    world.worker(0).ended = listed;
    world.take_over();
    world.report_all();

    assert_eq!(world.record(&task("j", 0, 0)).failures, 1);
    assert_eq!(world.places("j").len(), 1);
}

/// Guards against a second run while an earlier leader, which nobody can reach, may have renewed the lease.
#[test]
fn an_unreachable_worker_keeps_its_runs_for_the_longer_time() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![step(1, 8)]));
    let place = world.places("j")[0].1.clone();
    world.workers.get_mut(&place).expect("the worker exists").is_connected = false;

    world.take_over();
    world.pass(SETTINGS.takeover_lease_expiry_ms - 500);
    assert_eq!(world.starts.len(), 1);

    world.workers.get_mut(&place).expect("the worker exists").runs.clear();
    world.pass(1_000);
    assert_eq!(world.starts.len(), 2);
}

/// Guards against members of a broken gang that an earlier leader was stopping and that run on.
#[test]
fn what_is_left_of_a_broken_gang_is_stopped() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![gang(2, 8)]));
    let worker = world.places("j")[0].1.clone();
    world.end_on(&worker, &task("j", 0, 0), AttemptEnd::Stopped);
    // The other member does not hear of its stop.
    world.workers.values_mut().for_each(|one| one.is_connected = one.incarnation.worker == worker);
    world.report(&worker);

    world.workers.values_mut().for_each(|one| one.is_connected = true);
    world.take_over();
    world.report_all();
    world.pass(1_000);
    world.finish_stops();
    world.pass(1_000);

    let runs: Vec<u32> = world.starts.iter().map(|start| start.attempt).collect();
    assert_eq!(runs, [1, 1, 2, 2]);
}

/// Guards against the runs of a job that was cancelled while its leader was replaced.
#[test]
fn runs_of_a_job_that_is_over_are_stopped() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(2, 1)]));
    world.worker(0).is_connected = false;
    world.cancel("j");

    world.take_over();
    world.worker(0).is_connected = true;
    world.pass(1_000);
    world.finish_stops();

    assert!(world.places("j").is_empty());
    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Cancelled));
}

/// Guards against evictions by a new leader that has heard only some of the workers.
#[test]
fn a_new_leader_stops_nothing_before_the_workers_have_reported() {
    let mut world = World::new(3);
    world.submit("batch", job(2, vec![step(8, 1)]));
    let busy = world.places("batch")[0].1.clone();

    world.take_over();
    world.report(&busy);
    world.submit("urgent", job(0, vec![gang(1, 8)]));
    world.report_all();

    assert_eq!(world.places("urgent").len(), 1);
    assert!(world.stops.is_empty());
}

/// Guards against an urgent gang that belongs in one rack and is spread because a new leader has not heard of enough
/// workers of any rack yet.
#[test]
fn a_gang_waits_for_the_reports_of_its_rack() {
    let mut world = World::new(6);
    let one_rack = StepSpec { same_rack: true, ..gang(3, 8) };
    world.store.jobs.insert(id("urgent"), job(0, vec![one_rack]));
    world.take_over();

    world.now.steady_ms += 550;
    for worker in ["w00", "w01", "w03"] {
        world.report(&WorkerId::from(worker));
    }
    assert!(world.places("urgent").is_empty());

    world.report_all();
    let racks: Vec<String> = world
        .places("urgent")
        .into_iter()
        .map(|(_, worker)| world.workers[&worker].rack.clone())
        .collect();
    assert_eq!(racks.len(), 3);
    assert!(racks.iter().all(|rack| *rack == racks[0]));
}
