//! Tests of jobs with many occurrences.

use super::world::{World, id};
use super::*;
use crate::workflow::{MAX_TASKS, Schedule};

/// Returns a job whose occurrences are all due at once.
fn overdue(occurrences: u32, step: StepSpec) -> JobRecord {
    let mut record = job(1, vec![step]);
    record.spec.schedule = Some(Schedule { first_due_ms: 0, interval_ms: 60_000, occurrences });
    record
}

fn tasks_in_memory(world: &World, job: &str) -> usize {
    let occurrences = &world.planner.jobs[&id(job)].occurrences;
    occurrences.values().map(|occurrence| occurrence.tasks.len()).sum()
}

/// Guards against an accepted job whose due occurrences exceed the memory of each coordinator that leads.
#[test]
fn tasks_of_due_occurrences_are_bounded() {
    let mut world = World::new(2);
    world.submit("j", overdue(10_000, step(200, 1)));
    assert!(tasks_in_memory(&world, "j") <= MAX_TASKS);

    world.take_over();
    world.report_all();

    assert!(tasks_in_memory(&world, "j") <= MAX_TASKS);
    assert_eq!(world.placements("j").len(), 16);
}

/// Guards against a job that waits while a job with many due occurrences has tasks that do not fit.
#[test]
fn job_beside_many_due_occurrences_starts() {
    let mut world = World::new(1);
    world.submit("large", overdue(10_000, step(200, 3)));

    world.submit("small", job(1, vec![step(1, 1)]));

    assert_eq!(world.placements("small").len(), 1);
}

/// Guards against occurrences that are never created because earlier ones were left out at first.
#[test]
fn job_with_more_occurrences_than_fit_in_memory_is_done() {
    let mut world = World::new(1);
    world.submit("j", overdue(5, step(MAX_TASKS as u32 / 2, 0)));

    for _ in 0..400 {
        let running = world.placements("j");
        let worker = world.worker(0).incarnation.worker.clone();
        for (task, _) in &running {
            world.end_on(&worker, task, AttemptEnd::Done);
        }
        world.report_all();
        assert!(tasks_in_memory(&world, "j") <= MAX_TASKS);
    }

    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
}

/// Guards against rows of occurrences that stay in the store after their job is removed: a later job of the same id would
/// take them for its own.
#[test]
fn rows_of_all_occurrences_are_removed_with_their_job() {
    let mut world = World::new(1);
    world.submit("j", overdue(200, step(8, 1)));
    while world.store.occurrences.len() < 200 {
        let running = world.placements("j");
        let worker = world.worker(0).incarnation.worker.clone();
        for (task, _) in &running {
            world.end_on(&worker, task, AttemptEnd::Done);
        }
        world.report_all();
    }
    world.cancel("j");
    world.finish_stops();

    world.advance(ENDED_JOB_RETENTION_MS + 1_000);

    assert!(world.store.jobs.is_empty());
    assert!(world.store.occurrences.is_empty());
}
