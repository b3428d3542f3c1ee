//! Tests of the records that the planner writes: their size, their division into parts, and records that are refused.

use super::world::{World, id, task};
use super::*;

/// Returns a job whose tasks need no resources, so that one worker runs all of them.
fn wide_job(tasks: u32) -> JobRecord {
    job(1, vec![wide_step(tasks)])
}

fn wide_step(tasks: u32) -> StepSpec {
    StepSpec { need: resources(0, 0, 0), ..step(tasks, 0) }
}

fn finish(world: &mut World, job: &str, tasks: std::ops::Range<u32>) {
    for index in tasks {
        world.end(&task(job, 0, index), AttemptEnd::Done);
    }
}

/// Guards against a record that exceeds a row of the store, which every leader would try to write again (review case 7).
#[test_case::test_case(64; "length of a hash")]
#[test_case::test_case(640; "more than fits into the rows")]
#[test_case::test_case(70_000; "longer than a row")]
fn records_of_a_large_job_fit_into_rows(checkpoint_bytes: usize) {
    let mut world = World::new(1);
    world.checkpoint = Some("s".repeat(checkpoint_bytes));
    world.submit("j", wide_job(1_024));
    world.report_all();

    for index in (0..1_024).step_by(50) {
        world.end(&task("j", 0, index), AttemptEnd::Failed);
    }

    assert!(world.store.largest_record_bytes <= MAX_PART_BYTES);
    assert_eq!(world.placements("j").len(), 1_024);
}

/// Guards against checkpoints that are lost although they fit into the rows of their tasks.
#[test]
fn checkpoints_of_waiting_tasks_survive_a_takeover() {
    let mut world = World::new(1);
    world.checkpoint = Some("s".repeat(64));
    world.submit("j", wide_job(1_024));
    world.report_all();
    world.worker(0).draining = true;
    world.end(&task("j", 0, 1_000), AttemptEnd::Stopped);

    world.take_over();
    world.worker(0).draining = false;
    world.checkpoint = None;
    world.advance(1_000);

    let start = world.starts.last().expect("the task starts again");
    assert_eq!(start.task, task("j", 0, 1_000));
    assert_eq!(start.checkpoint.as_deref(), Some("saved-1"));
}

/// Guards against tasks that run again after a takeover because the part that holds their state was not read.
#[test_case::test_case(64; "one part")]
#[test_case::test_case(65; "a second part with one task")]
#[test_case::test_case(200; "four parts")]
fn all_parts_survive_a_takeover(tasks: u32) {
    let mut world = World::new(2);
    world.submit("j", wide_job(tasks));
    finish(&mut world, "j", tasks / 2..tasks);

    world.take_over();
    world.advance(2_000);
    world.take_over();
    world.advance(2_000);
    assert_eq!(world.placements("j").len(), tasks as usize / 2);
    finish(&mut world, "j", 0..tasks / 2);

    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
    assert_eq!(world.starts.len(), tasks as usize);
    assert!(world.store.parts.is_empty(), "parts of a finished job remain");
}

/// Guards against a gang that a new leader reads as done in one part and as running in another.
#[test]
fn gang_in_several_parts_is_done_as_a_whole() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![StepSpec { gang: true, ..wide_step(130) }, wide_step(1)]));
    world.end(&task("j", 0, 129), AttemptEnd::Done);

    world.take_over();
    world.advance(2_000);

    assert!((0..130).all(|index| world.record(&task("j", 0, index)).phase == TaskPhase::Done));
    let starts = world.starts.iter().filter(|start| start.task.step == 0);
    assert_eq!(starts.count(), 130);
}

/// Guards against a state in one row, as earlier versions wrote it, of which only the first part is kept.
#[test]
fn state_in_one_row_is_divided_before_its_first_part_is_replaced() {
    let mut world = World::new(2);
    world.submit("j", wide_job(200));
    finish(&mut world, "j", 100..200);
    let whole: Vec<_> = (0..200).map(|index| world.record(&task("j", 0, index))).collect();
    let earlier = OccurrenceRecord { tasks: whole, ..OccurrenceRecord::default() };
    world.store.parts.clear();
    world.store.occurrences.insert((id("j"), 0), earlier);

    world.take_over();
    finish(&mut world, "j", 0..1);
    world.take_over();
    world.advance(2_000);

    assert_eq!(world.placements("j").len(), 99);
    assert_eq!(world.starts.len(), 200);
    finish(&mut world, "j", 1..100);
    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
}

/// Guards against a leader of an earlier version that starts all tasks of an occurrence again, because it finds no first part
/// of it: only a later step could start.
#[test]
fn occurrence_that_has_begun_has_a_first_part() {
    let mut world = World::new(1);
    let unplaceable = StepSpec { required_label: Some("none".to_owned()), ..wide_step(64) };

    world.submit("j", job(1, vec![unplaceable, wide_step(1)]));

    assert_eq!(world.placements("j").len(), 1);
    assert!(world.store.occurrences.contains_key(&(id("j"), 0)));
}

/// Guards against a finished job that is shown as pending because the removal of its rows was refused.
#[test]
fn job_whose_removal_is_refused_stays_visible() {
    let mut world = World::new(1);
    world.submit("j", wide_job(1));
    finish(&mut world, "j", 0..1);
    world.store.refuses = Some(id("j"));

    world.advance(ENDED_JOB_RETENTION_MS + 1_000);

    assert!(world.store.jobs.contains_key(&id("j")));
    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
}

/// Guards against jobs that stand still, and against starts and results that are not durable, because the store refuses
/// the state of one job.
#[test]
fn refused_state_of_one_job_does_not_hold_up_the_others() {
    let mut world = World::new(2);
    world.submit("bad", wide_job(3));
    let worker = world.placements("bad")[0].1.clone();
    world.store.refuses = Some(id("bad"));
    world.is_store_unavailable = true;
    world.submit("good", wide_job(2));
    finish(&mut world, "bad", 0..1);
    world.end(&task("bad", 0, 1), AttemptEnd::Failed);
    world.is_store_unavailable = false;
    world.flush();
    world.advance(2_000);
    finish(&mut world, "good", 0..2);

    assert_eq!(world.progress[&id("good")], JobProgress::Finished(JobResult::Done));
    let starts = world.starts.iter().filter(|start| start.task.job == id("bad")).count();
    assert_eq!(starts, 3);
    assert_eq!(world.workers[&worker].ended[0].task.job, id("bad"));
    finish(&mut world, "bad", 2..3);
    world.advance(12_000);
    assert_eq!(world.progress[&id("bad")], JobProgress::Running);

    world.store.refuses = None;
    world.advance(12_000);
    finish(&mut world, "bad", 1..2);
    assert_eq!(world.progress[&id("bad")], JobProgress::Finished(JobResult::Done));
    assert!(world.workers.values().all(|worker| worker.ended.is_empty()));
}

/// Guards against a result that is never shown because the store refused it once.
#[test]
fn result_that_was_refused_once_is_shown_once_it_is_stored() {
    let mut world = World::new(1);
    world.submit("j", wide_job(1));
    world.store.refuses = Some(id("j"));
    finish(&mut world, "j", 0..1);
    assert_eq!(world.progress[&id("j")], JobProgress::Running);

    world.store.refuses = None;
    world.advance(12_000);

    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
    world.take_over();
    assert!(
        world
            .planner
            .progress()
            .all(|(_, _, shown)| { shown == JobProgress::Finished(JobResult::Done) })
    );
}

/// Guards against a list that exceeds a frame because of its checkpoints, so that it never reaches the leader.
#[test]
fn longest_checkpoints_are_left_out_of_a_list() {
    let entry = |index: u32| RunningAttempt {
        task: task("j", 0, index),
        attempt: 1,
        checkpoint: Some("s".repeat(index as usize)),
        percent: 0,
    };
    let mut report = AttemptsReport {
        incarnation: crate::workflow::WorkerIncarnation { worker: WorkerId::from("w"), born_ms: 1 },
        running: (0..100).map(entry).collect(),
        ended: Vec::new(),
        starting: Vec::new(),
        stopped: Vec::new(),
    };

    assert_eq!(report.limit_checkpoints(4_950), 0);
    assert_eq!(report.limit_checkpoints(4_800), 2);

    let kept = report.running.iter().filter(|entry| entry.checkpoint.is_some()).count();
    assert_eq!((report.running.len(), kept), (100, 98));
}
