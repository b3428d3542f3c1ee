//! Gangs, racks and the reclaim of guarantees.

use std::collections::BTreeSet;

use super::world::{World, id, task};
use super::*;

fn racks(world: &World, job: &str) -> BTreeSet<String> {
    world.places(job).into_iter().map(|place| world.workers[&place.1].rack.clone()).collect()
}

/// Guards against a gang of which a part runs.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut world = World::new(2);
    world.submit("small", job(1, vec![step(1, 1)]));

    world.submit("gang", job(1, vec![gang(2, 8)]));
    assert!(world.places("gang").is_empty());

    world.end(&task("small", 0, 0), AttemptEnd::Done);
    assert_eq!(world.places("gang").len(), 2);
    assert!(
        world.starts.iter().filter(|one| one.task.job == id("gang")).all(|one| one.attempt == 1)
    );
}

/// Guards against members that wait in vain for one that ended, and against runs of a gang with different numbers or
/// checkpoints.
#[test]
fn the_end_of_a_member_ends_the_gang_and_it_starts_anew_together() {
    let mut world = World::new(3);
    let step = StepSpec { checkpointable: true, ..gang(3, 8) };
    world.submit("j", job(1, vec![step]));

    world.end(&task("j", 0, 1), AttemptEnd::Stopped);
    assert_eq!(world.starts.len(), 3);
    world.finish_stops();
    world.pass(500);

    let second: Vec<_> = world.starts[3..].iter().collect();
    assert_eq!(second.len(), 3);
    assert!(second.iter().all(|start| start.attempt == 2));
    assert!(second.iter().all(|start| start.checkpoint == second[0].checkpoint));
    assert!(second[0].checkpoint.is_some());
}

/// Guards against a gang that counts the failures of its members one by one.
#[test]
fn a_gang_fails_once_a_run() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![gang(2, 8)]));

    let worker = world.places("j")[1].1.clone();
    world.end_on(&worker, &task("j", 0, 1), AttemptEnd::Failed);
    world.end(&task("j", 0, 0), AttemptEnd::Failed);
    world.report(&worker);

    assert_eq!(world.record(&task("j", 0, 0)).failures, 1);
    assert_eq!(world.record(&task("j", 0, 1)).failures, 1);
}

/// Guards against a gang that is run again though one member said that it is done.
#[test]
fn one_done_end_stands_for_the_gang() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![gang(2, 8)]));

    world.end(&task("j", 0, 0), AttemptEnd::Done);

    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
    world.end(&task("j", 0, 1), AttemptEnd::Lapsed);
    world.pass(2_000);
    assert_eq!(world.starts.len(), 2);
}

/// Guards against a gang that is spread over racks though one rack has room.
#[test]
fn a_gang_prefers_one_rack() {
    let mut world = World::new(6);
    world.submit("filler", job(1, vec![step(8, 1)]));
    let step = StepSpec { same_rack: true, ..gang(3, 8) };

    world.submit("j", job(1, vec![step]));

    assert_eq!(racks(&world, "j").len(), 1);
}

/// Guards against a gang that waits for ever for a rack that no rack can be.
#[test]
fn a_gang_that_no_rack_holds_is_spread_at_once() {
    let mut world = World::new(6);
    let step = StepSpec { same_rack: true, ..gang(4, 8) };

    world.submit("j", job(1, vec![step]));

    assert_eq!(world.places("j").len(), 4);
}

/// Guards against tasks that run far from their data while its rack is only busy for a moment.
#[test]
fn tasks_wait_a_while_for_the_rack_of_their_data() {
    let mut world = World::new(6);
    let near = StepSpec { data_rack: Some("rack0".to_owned()), ..step(24, 1) };
    world.submit("first", job(1, vec![near.clone()]));
    world.submit("second", job(1, vec![StepSpec { tasks: 1, ..near }]));

    world.pass(1_000);
    assert!(world.places("second").is_empty());
    world.pass(3_000);
    assert_eq!(world.places("second").len(), 1);
}

/// Guards against an urgent job that waits behind work of lower priority.
#[test]
fn an_urgent_job_takes_room_from_others() {
    let mut world = World::new(2);
    world.submit("batch", job(2, vec![step(16, 1)]));

    world.submit("urgent", job(0, vec![gang(1, 8)]));
    assert!(world.places("urgent").is_empty());
    world.finish_stops();

    assert_eq!(world.places("urgent").len(), 1);
    assert_eq!(world.stops.len(), 8, "only the tasks of one worker are stopped");
}

/// Guards against stops that free nothing for the job that they are made for.
#[test]
fn nothing_is_stopped_for_a_job_that_cannot_fit() {
    let mut world = World::new(2);
    world.submit("batch", job(2, vec![step(16, 1)]));

    world.submit("urgent", job(0, vec![gang(3, 8)]));
    world.pass(3_000);

    assert!(world.stops.is_empty());
}

/// Guards against further stops while those that were ordered are under way.
#[test]
fn an_urgent_job_waits_for_the_stops_that_it_ordered() {
    let mut world = World::new(3);
    world.submit("batch", job(2, vec![step(24, 1)]));

    world.submit("urgent", job(0, vec![gang(1, 8)]));
    world.pass(1_500);

    let stopped: BTreeSet<_> = world.stops.iter().collect();
    assert_eq!(stopped.len(), 8);
}

/// Guards against an organisation that cannot reclaim its guarantee from urgent work of another that exceeds its own.
#[test]
fn a_guarantee_is_reclaimed_from_urgent_work_beyond_another_guarantee() {
    let directives = guarantees(&[("org-a", 8), ("org-b", 8)]);
    let mut world = World::with_directives(2, directives);
    let mut greedy = job(0, vec![gang(2, 8)]);
    greedy.organisation = OrganisationId::from("org-b");
    world.submit("greedy", greedy);

    world.submit("own", job(0, vec![gang(1, 8)]));
    world.finish_stops();

    assert_eq!(world.places("own").len(), 1);
}

/// Guards against organisations that stop each other's work within their guarantees.
#[test]
fn urgent_work_within_its_guarantee_is_not_stopped() {
    let directives = guarantees(&[("org-a", 8), ("org-b", 16)]);
    let mut world = World::with_directives(2, directives);
    let mut other = job(0, vec![gang(2, 8)]);
    other.organisation = OrganisationId::from("org-b");
    world.submit("other", other);

    world.submit("own", job(0, vec![gang(1, 8)]));
    world.pass(2_000);

    assert!(world.stops.is_empty());
}

/// Guards against a large gang that starves behind a stream of small tasks.
#[test]
fn a_large_gang_gets_room_that_small_tasks_leave() {
    let mut world = World::new(2);
    world.submit("running", job(2, vec![step(16, 1)]));
    world.submit("gang", job(1, vec![gang(1, 8)]));
    world.submit("stream", job(2, vec![step(100, 1)]));
    let mine: Vec<TaskId> = world.places("running").into_iter().map(|place| place.0).collect();

    for task in mine {
        world.end(&task, AttemptEnd::Done);
    }

    assert_eq!(world.places("gang").len(), 1);
}

/// Guards against an urgent gang that is spread over racks, where it is slow, though stopping others frees one rack.
#[test]
fn an_urgent_gang_takes_room_in_one_rack() {
    let mut world = World::new(6);
    world.submit("batch", job(2, vec![step(42, 1)]));
    let step = StepSpec { same_rack: true, ..gang(2, 4) };

    world.submit("urgent", job(0, vec![step]));
    world.finish_stops();

    assert_eq!(racks(&world, "urgent").len(), 1);
}

/// Guards against an urgent gang that is spread, and then late, though room in one rack is free a moment later; and
/// against one that waits for it too long.
#[test]
fn an_urgent_gang_waits_a_moment_for_one_rack() {
    let mut world = World::new(6);
    world.submit("first", job(0, vec![step(2, 8)]));
    world.submit("second", job(0, vec![step(3, 8)]));
    let step = StepSpec { same_rack: true, estimate_ms: 2_000, ..gang(2, 8) };
    world.submit("urgent", job(0, vec![step.clone()]));
    world.end(&task("first", 0, 0), AttemptEnd::Done);
    world.pass(500);
    assert!(world.places("urgent").is_empty(), "only workers of two racks are free");

    world.end(&task("first", 0, 1), AttemptEnd::Done);
    assert_eq!(racks(&world, "urgent").len(), 1);

    world.submit("late", job(0, vec![step]));
    world.end(&task("second", 0, 0), AttemptEnd::Done);
    world.pass(1_500);
    assert_eq!(racks(&world, "late").len(), 2);
}
