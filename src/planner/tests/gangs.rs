//! Tests of gangs, racks, evictions and the reclaim of guarantees.

use std::collections::BTreeSet;

use super::world::{World, id, task};
use super::*;

fn racks(world: &World, job: &str) -> BTreeSet<String> {
    world.placements(job).into_iter().map(|place| world.workers[&place.1].rack.clone()).collect()
}

/// Guards against a gang of which only some members start.
#[test]
fn gang_starts_only_when_all_members_fit() {
    let mut world = World::new(2);
    world.submit("small", job(1, vec![step(1, 1)]));

    world.submit("gang", job(1, vec![gang(2, 8)]));
    assert!(world.placements("gang").is_empty());

    world.end(&task("small", 0, 0), AttemptEnd::Done);
    assert_eq!(world.placements("gang").len(), 2);
    assert!(
        world
            .starts
            .iter()
            .filter(|start| start.task.job == id("gang"))
            .all(|start| start.attempt == 1)
    );
}

/// Guards against members that wait forever for one that ended, and against a restarted gang whose members have
/// different attempt numbers or checkpoints.
#[test]
fn end_of_one_member_stops_gang_and_restarts_it_together() {
    let mut world = World::new(3);
    let step = StepSpec { checkpointable: true, ..gang(3, 8) };
    world.submit("j", job(1, vec![step]));

    world.end(&task("j", 0, 1), AttemptEnd::Stopped);
    assert_eq!(world.starts.len(), 3);
    world.finish_stops();
    world.advance(500);

    let second: Vec<_> = world.starts[3..].iter().collect();
    assert_eq!(second.len(), 3);
    assert!(second.iter().all(|start| start.attempt == 2));
    assert!(second.iter().all(|start| start.checkpoint == second[0].checkpoint));
    assert!(second[0].checkpoint.is_some());
}

/// Guards against one failed attempt of a gang that is counted once for each member that reports it.
#[test]
fn gang_counts_one_failure_per_attempt() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![gang(2, 8)]));

    let worker = world.placements("j")[1].1.clone();
    world.end_on(&worker, &task("j", 0, 1), AttemptEnd::Failed);
    world.end(&task("j", 0, 0), AttemptEnd::Failed);
    world.report(&worker);

    assert_eq!(world.record(&task("j", 0, 0)).failures, 1);
    assert_eq!(world.record(&task("j", 0, 1)).failures, 1);
}

/// Guards against a gang that is restarted although one member reported that it is done.
#[test]
fn done_end_of_one_member_completes_gang() {
    let mut world = World::new(2);
    world.submit("j", job(1, vec![gang(2, 8)]));

    world.end(&task("j", 0, 0), AttemptEnd::Done);

    assert_eq!(world.progress[&id("j")], JobProgress::Finished(JobResult::Done));
    world.end(&task("j", 0, 1), AttemptEnd::Lapsed);
    world.advance(2_000);
    assert_eq!(world.starts.len(), 2);
}

/// Guards against a gang that is spread over racks although it fits in one rack.
#[test]
fn gang_is_placed_in_one_rack_if_it_fits() {
    let mut world = World::new(6);
    world.submit("filler", job(1, vec![step(8, 1)]));
    let step = StepSpec { same_rack: true, ..gang(3, 8) };

    world.submit("j", job(1, vec![step]));

    assert_eq!(racks(&world, "j").len(), 1);
}

/// Guards against a gang that waits forever for one rack although no rack is large enough.
#[test]
fn gang_larger_than_any_rack_is_spread_without_delay() {
    let mut world = World::new(6);
    let step = StepSpec { same_rack: true, ..gang(4, 8) };

    world.submit("j", job(1, vec![step]));

    assert_eq!(world.placements("j").len(), 4);
}

/// Guards against tasks that run outside the rack of their data although that rack is busy only briefly.
#[test]
fn tasks_wait_limited_time_for_rack_of_their_data() {
    let mut world = World::new(6);
    let near = StepSpec { data_rack: Some("rack0".to_owned()), ..step(24, 1) };
    world.submit("first", job(1, vec![near.clone()]));
    world.submit("second", job(1, vec![StepSpec { tasks: 1, ..near }]));

    world.advance(1_000);
    assert!(world.placements("second").is_empty());
    world.advance(3_000);
    assert_eq!(world.placements("second").len(), 1);
}

/// Guards against an urgent job that waits behind work of lower priority.
#[test]
fn urgent_job_evicts_work_of_lower_priority() {
    let mut world = World::new(2);
    world.submit("batch", job(2, vec![step(16, 1)]));

    world.submit("urgent", job(0, vec![gang(1, 8)]));
    assert!(world.placements("urgent").is_empty());
    world.finish_stops();

    assert_eq!(world.placements("urgent").len(), 1);
    assert_eq!(world.stops.len(), 8, "only the tasks of one worker are stopped");
}

/// Guards against evictions for a job that does not fit even afterwards.
#[test]
fn nothing_is_evicted_for_job_that_cannot_fit() {
    let mut world = World::new(2);
    world.submit("batch", job(2, vec![step(16, 1)]));

    world.submit("urgent", job(0, vec![gang(3, 8)]));
    world.advance(3_000);

    assert!(world.stops.is_empty());
}

/// Guards against further evictions while the ordered stops are in progress.
#[test]
fn urgent_job_waits_for_ordered_stops_without_further_evictions() {
    let mut world = World::new(3);
    world.submit("batch", job(2, vec![step(24, 1)]));

    world.submit("urgent", job(0, vec![gang(1, 8)]));
    world.advance(1_500);

    let stopped: BTreeSet<_> = world.stops.iter().collect();
    assert_eq!(stopped.len(), 8);
}

/// Guards against an organisation that cannot reclaim its guarantee from urgent work of another organisation that
/// exceeds its guarantee.
#[test]
fn guarantee_is_reclaimed_from_urgent_work_that_exceeds_its_guarantee() {
    let directives = guarantees(&[("org-a", 8), ("org-b", 8)]);
    let mut world = World::with_directives(2, directives);
    let mut greedy = job(0, vec![gang(2, 8)]);
    greedy.organisation = OrganisationId::from("org-b");
    world.submit("greedy", greedy);

    world.submit("own", job(0, vec![gang(1, 8)]));
    world.finish_stops();

    assert_eq!(world.placements("own").len(), 1);
}

/// Guards against organisations that evict each other's work although it is within the guarantees.
#[test]
fn urgent_work_within_its_guarantee_is_not_evicted() {
    let directives = guarantees(&[("org-a", 8), ("org-b", 16)]);
    let mut world = World::with_directives(2, directives);
    let mut other = job(0, vec![gang(2, 8)]);
    other.organisation = OrganisationId::from("org-b");
    world.submit("other", other);

    world.submit("own", job(0, vec![gang(1, 8)]));
    world.advance(2_000);

    assert!(world.stops.is_empty());
}

/// Guards against a large gang that starves because small tasks take all resources that become free.
#[test]
fn large_gang_starts_before_small_tasks_of_lower_priority() {
    let mut world = World::new(2);
    world.submit("running", job(2, vec![step(16, 1)]));
    world.submit("gang", job(1, vec![gang(1, 8)]));
    world.submit("stream", job(2, vec![step(100, 1)]));
    let running: Vec<TaskId> =
        world.placements("running").into_iter().map(|place| place.0).collect();

    for task in running {
        world.end(&task, AttemptEnd::Done);
    }

    assert_eq!(world.placements("gang").len(), 1);
}

/// Guards against an urgent gang that is spread over racks, where it is slow, although evictions make room in one rack.
#[test]
fn urgent_gang_evicts_within_one_rack() {
    let mut world = World::new(6);
    world.submit("batch", job(2, vec![step(42, 1)]));
    let step = StepSpec { same_rack: true, ..gang(2, 4) };

    world.submit("urgent", job(0, vec![step]));
    world.finish_stops();

    assert_eq!(racks(&world, "urgent").len(), 1);
}

/// Guards against an urgent gang that is spread over racks and finishes late although it would fit in one rack shortly
/// afterwards, and against one that waits too long for one rack.
#[test]
fn urgent_gang_waits_limited_time_for_one_rack() {
    let mut world = World::new(6);
    world.submit("first", job(0, vec![step(2, 8)]));
    world.submit("second", job(0, vec![step(3, 8)]));
    let step = StepSpec { same_rack: true, estimate_ms: 2_000, ..gang(2, 8) };
    world.submit("urgent", job(0, vec![step.clone()]));
    world.end(&task("first", 0, 0), AttemptEnd::Done);
    world.advance(500);
    assert!(world.placements("urgent").is_empty(), "only workers of two racks are free");

    world.end(&task("first", 0, 1), AttemptEnd::Done);
    assert_eq!(racks(&world, "urgent").len(), 1);

    world.submit("late", job(0, vec![step]));
    world.end(&task("second", 0, 0), AttemptEnd::Done);
    world.advance(1_500);
    assert_eq!(racks(&world, "late").len(), 2);
}
