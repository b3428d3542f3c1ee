//! Tests of a takeover: a new leader restores its state from the store.

use super::world::{World, id, task};
use super::*;
use crate::workflow::{Schedule, TaskRecord};

/// Guards against a second attempt of a task whose first attempt keeps running during a takeover.
#[test]
fn takeover_adopts_running_attempts() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![step(2, 8)]));

    world.take_over();
    world.report_all();
    world.advance(2_000);

    assert_eq!(world.starts.len(), 2);
    world.end(&task("j", 0, 0), AttemptEnd::Done);
    world.end(&task("j", 0, 1), AttemptEnd::Done);
    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
}

/// Guards against starts on a worker before it has listed the attempts that an earlier leader started on it.
#[test]
fn new_leader_starts_nothing_on_worker_that_has_not_listed_its_attempts() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.worker(0).is_connected = false;

    world.take_over();
    world.submit("other", job(1, vec![step(1, 1)]));
    world.advance(3_000);

    assert_eq!(world.starts.len(), 1);
}

/// Guards against a task that waits forever because its intent became durable but the earlier leader never sent the
/// start order.
#[test]
fn task_with_durable_intent_but_no_start_order_is_placed_again() {
    let mut world = World::new(1);
    world.worker(0).is_connected = false;
    world.submit("j", job(1, vec![step(1, 1)]));

    world.take_over();
    world.worker(0).is_connected = true;
    world.report_all();

    assert_eq!(world.placements("j").len(), 1);
    assert_eq!(world.record(&task("j", 0, 0)).attempt, 2);
}

/// Guards against a failure that is counted twice because its worker lists it to both the earlier and the new leader.
#[test]
fn new_leader_does_not_count_recorded_failure_again() {
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
    assert_eq!(world.placements("j").len(), 1);
}

/// Guards against a second attempt while an earlier leader, which is unreachable, may have renewed the worker's lease.
#[test]
fn unreachable_worker_keeps_its_attempts_until_takeover_lease_expiry() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![step(1, 8)]));
    let place = world.placements("j")[0].1.clone();
    world.workers.get_mut(&place).expect("the worker exists").is_connected = false;

    world.take_over();
    world.advance(SETTINGS.takeover_lease_expiry_ms - 500);
    assert_eq!(world.starts.len(), 1);

    world.workers.get_mut(&place).expect("the worker exists").attempts.clear();
    world.advance(1_000);
    assert_eq!(world.starts.len(), 2);
}

/// Guards against members of a broken gang that keep running because the earlier leader was replaced while it was
/// stopping them.
#[test]
fn new_leader_stops_remaining_members_of_broken_gang() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![gang(2, 8)]));
    let worker = world.placements("j")[0].1.clone();
    world.end_on(&worker, &task("j", 0, 0), AttemptEnd::Stopped);
    // The worker of the other member is disconnected and does not receive the stop.
    world
        .workers
        .values_mut()
        .for_each(|fake| fake.is_connected = fake.incarnation.worker == worker);
    world.report(&worker);

    world.workers.values_mut().for_each(|fake| fake.is_connected = true);
    world.take_over();
    world.report_all();
    world.advance(1_000);
    world.finish_stops();
    world.advance(1_000);

    let attempts: Vec<u32> = world.starts.iter().map(|start| start.attempt).collect();
    assert_eq!(attempts, [1, 1, 2, 2]);
}

/// Guards against attempts that keep running because their job was cancelled while the leader was replaced.
#[test]
fn new_leader_stops_attempts_of_cancelled_job() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(2, 1)]));
    world.worker(0).is_connected = false;
    world.cancel("j");

    world.take_over();
    world.worker(0).is_connected = true;
    world.advance(1_000);
    world.finish_stops();

    assert!(world.placements("j").is_empty());
    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Cancelled));
}

/// Guards against evictions by a new leader to which only some of the workers have reported.
#[test]
fn new_leader_evicts_nothing_before_workers_have_reported() {
    let mut world = World::new(3);
    world.submit("batch", job(2, vec![step(8, 1)]));
    let busy = world.placements("batch")[0].1.clone();

    world.take_over();
    world.report(&busy);
    world.submit("urgent", job(0, vec![gang(1, 8)]));
    world.report_all();

    assert_eq!(world.placements("urgent").len(), 1);
    assert!(world.stops.is_empty());
}

/// Guards against an urgent gang that belongs in one rack and is spread because too few workers of each rack have
/// reported to a new leader.
#[test]
fn same_rack_gang_waits_for_reports_of_workers_after_takeover() {
    let mut world = World::new(6);
    let one_rack = StepSpec { same_rack: true, ..gang(3, 8) };
    world.store.jobs.insert(id("urgent"), job(0, vec![one_rack]));
    world.take_over();

    world.now.steady_ms += 550;
    for worker in ["w00", "w01", "w03"] {
        world.report(&WorkerId::from(worker));
    }
    assert!(world.placements("urgent").is_empty());

    world.report_all();
    let racks: Vec<String> = world
        .placements("urgent")
        .into_iter()
        .map(|(_, worker)| world.workers[&worker].rack.clone())
        .collect();
    assert_eq!(racks.len(), 3);
    assert!(racks.iter().all(|rack| *rack == racks[0]));
}

/// Guards against a takeover that panics on a stored state of another length than the job, and against tasks that run
/// again because their state cannot be read.
#[test]
fn job_whose_stored_state_does_not_match_starts_nothing() {
    let mut world = World::new(2);
    world.submit("damaged", job(1, vec![step(4, 1)]));
    world.submit("sound", job(1, vec![step(2, 1)]));
    let key = (id("damaged"), 0);
    let stored = world.store.occurrences.get_mut(&key).expect("its intents are stored");
    stored.tasks.truncate(3);
    world.starts.clear();

    world.take_over();
    world.advance(30_000);

    assert!(world.starts.iter().all(|start| start.task.job != id("damaged")));
    assert_eq!(world.placements("sound").len(), 2);
}

/// Guards against an occurrence that is lost because a later one had begun, and it had not, when the leader was replaced.
#[test]
fn takeover_creates_occurrences_that_had_not_begun() {
    let mut world = World::new(1);
    let mut record = job(1, vec![step(1, 8)]);
    record.spec.schedule =
        Some(Schedule { first_due_ms: BEGIN_WALL_MS, interval_ms: 1_000, occurrences: 3 });
    world.store.jobs.insert(id("j"), record);
    let begun =
        OccurrenceRecord { tasks: vec![TaskRecord::default()], ..OccurrenceRecord::default() };
    world.store.occurrences.insert((id("j"), 1), begun);

    world.take_over();
    world.report_all();
    for _ in 0..3 {
        world.advance(1_500);
        let running = world.placements("j");
        world.end(&running[0].0, AttemptEnd::Done);
    }

    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
}

/// Guards against one failed attempt of a gang that counts twice because its members report it to different leaders.
#[test]
fn new_leader_does_not_count_a_failed_attempt_of_a_gang_again() {
    let mut world = World::new(2);
    let mut record = job(1, vec![gang(2, 8)]);
    record.attempts = 2;
    world.submit("j", record);
    for (task, worker) in world.placements("j") {
        world.end_on(&worker, &task, AttemptEnd::Failed);
    }
    world.report(&WorkerId::from("w00"));

    world.take_over();
    world.report_all();
    world.advance(1_000);

    assert_eq!(world.record(&task("j", 0, 0)).failures, 1);
    assert_eq!(world.placements("j").len(), 2);
}

fn shown_progress(world: &World, job: &str) -> Option<JobProgress> {
    let shown =
        |(shown, _, progress): (&JobId, &str, JobProgress)| (*shown == id(job)).then_some(progress);
    world.planner.progress().find_map(shown)
}

/// Guards against a snapshot for a coordinator that connects during an outage of the store, which shows a job as finished
/// although a loss of power would undo that (review case 6).
#[test]
fn job_is_not_shown_as_finished_before_its_result_is_durable() {
    for end in [AttemptEnd::Done, AttemptEnd::Failed] {
        let mut world = World::new(1);
        world.submit("j", JobRecord { attempts: 1, ..job(1, vec![step(1, 1)]) });
        world.is_store_unavailable = true;

        world.end(&task("j", 0, 0), end);
        assert_eq!(shown_progress(&world, "j"), Some(JobProgress::Running));

        world.is_store_unavailable = false;
        world.flush();
        let Some(JobProgress::Finished(result)) = shown_progress(&world, "j") else {
            panic!("the result is stored but not shown");
        };
        world.take_over();
        assert_eq!(shown_progress(&world, "j"), Some(JobProgress::Finished(result)));
    }
}

/// Guards against a finished job that is shown as pending because it left the view of a coordinator while the store still
/// held its row.
#[test]
fn finished_job_is_shown_until_the_removal_of_its_rows_is_durable() {
    let mut world = World::new(1);
    world.submit("j", job(1, vec![step(1, 1)]));
    world.end(&task("j", 0, 0), AttemptEnd::Done);
    world.is_store_unavailable = true;

    world.advance(ENDED_JOB_RETENTION_MS + 1_000);
    assert_eq!(shown_progress(&world, "j"), Some(JobProgress::Finished(JobResult::Done)));
    assert!(world.progress.contains_key(&id("j")));

    world.is_store_unavailable = false;
    world.flush();
    assert_eq!(shown_progress(&world, "j"), None);
    assert!(!world.progress.contains_key(&id("j")));
}
