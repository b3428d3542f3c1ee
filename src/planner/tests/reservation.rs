//! Tests of workers that are reserved for a gang.

use super::world::World;
use super::*;

/// Returns a world of two workers on each of which a task of the given duration uses one accelerator, and a gang that
/// waits for all accelerators.
fn world_with_waiting_gang(estimate_ms: u64, long_running: bool) -> World {
    let mut world = World::new(2);
    let busy = StepSpec { estimate_ms, long_running, max_per_worker: 1, ..step(2, 1) };
    world.submit("busy", job(1, vec![busy]));
    world.submit("gang", job(1, vec![gang(2, 8)]));
    assert!(world.placements("gang").is_empty());
    world
}

/// Guards against small jobs that never start because workers are reserved for a gang that waits for work without an
/// end.
#[test]
fn nothing_is_reserved_behind_work_without_an_end() {
    let mut world = world_with_waiting_gang(1_000, true);

    world.submit("small", job(2, vec![step(1, 0)]));

    assert_eq!(world.placements("small").len(), 1);
}

/// Guards against free resources that stay unused for as long as a gang waits for long tasks.
#[test]
fn short_work_uses_reserved_workers() {
    let mut world = world_with_waiting_gang(60_000, false);

    world.submit("short", job(2, vec![step(1, 1)]));
    let long = StepSpec { estimate_ms: 90_000, ..step(1, 1) };
    world.submit("long", job(2, vec![long]));

    assert_eq!(world.placements("short").len(), 1);
    assert!(world.placements("long").is_empty());
}

/// Guards against a task that has taken longer than estimated and keeps all others from the reserved workers.
#[test]
fn overdue_task_does_not_block_short_work() {
    let mut world = world_with_waiting_gang(1_000, false);
    world.advance(2_000);

    world.submit("short", job(2, vec![step(1, 1)]));

    assert_eq!(world.placements("short").len(), 1);
}
