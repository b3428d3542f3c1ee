//! Replays of load in which stops destroy more than they gain.

use super::world::{World, id, task};
use super::*;
use crate::rules::Queue;

/// Times of the wind farm service.
pub const COST: CostSettings =
    CostSettings { stop_ms: 200, checkpoint_interval_ms: 2_000, restore_ms: 250 };
/// Time between two lists of attempts.
const STEP_MS: u64 = 100;

/// Returns the rules of three queues, and a guarantee for `org-a`.
pub fn directives(guaranteed_accelerators: u32) -> Directives {
    let objectives = [(0, 1.5, 250), (1, 3.0, 1_000), (2, 3.0, 3_000)];
    let queue = |(priority, stretch, objective_ms): (u8, f64, u64)| Queue {
        name: format!("queue-{priority}"),
        host: String::new(),
        path_start: String::new(),
        service: SERVICE.to_owned(),
        priority,
        attempts: 3,
        stretch,
        objective_ms,
        public: true,
    };
    let guaranteed = guarantees(&[("org-a", guaranteed_accelerators)]);
    let rules = guaranteed.rules.as_deref().cloned().expect("there are rules");
    let rules = Rules { queues: objectives.map(queue).to_vec(), ..rules };
    Directives { rules: Some(Arc::new(rules)), ..guaranteed }
}

fn world(workers: usize, guaranteed_accelerators: u32) -> World {
    let mut world = World::with_directives(workers, directives(guaranteed_accelerators));
    world.planner.settings.cost = Some(COST);
    world.makes_progress = false;
    world
}

fn submit(world: &mut World, name: &str, priority: u8, step: StepSpec) {
    let accepted_ms = world.now.wall_ms;
    world.submit(name, JobRecord { accepted_ms, ..job(priority, vec![step]) });
}

/// Lets the attempts work at the speed that their clients estimate.
fn work(world: &mut World, duration_ms: u64) {
    for _ in 0..duration_ms / STEP_MS {
        for worker in world.workers.values_mut() {
            for (task, attempt) in &mut worker.attempts {
                let estimate_ms =
                    world.store.jobs[&task.job].spec.steps[usize::from(task.step)].estimate_ms;
                let placement = world.planner.jobs[&task.job].task(task);
                let started_ms =
                    placement.and_then(|task| Some(task.placement.as_ref()?.started_ms));
                let elapsed_ms = world.now.steady_ms + STEP_MS - started_ms.unwrap_or_default();
                attempt.percent = (elapsed_ms * 100 / estimate_ms).min(99) as u8;
            }
        }
        world.advance(STEP_MS);
    }
}

/// Lets the attempts make one percent of progress in each 300 ms.
fn advance_by_percents(world: &mut World, percents: u32) {
    for _ in 0..percents {
        let attempts = world.workers.values_mut().flat_map(|worker| worker.attempts.values_mut());
        attempts.for_each(|attempt| attempt.percent += 1);
        world.advance(300);
    }
}

fn urgent_step() -> StepSpec {
    StepSpec { estimate_ms: 2_500, ..gang(1, 8) }
}

fn long_gang(tasks: u32) -> StepSpec {
    StepSpec { estimate_ms: 11_000, ..gang(tasks, 8) }
}

fn stopped_jobs(world: &World) -> std::collections::BTreeSet<JobId> {
    world.stops.iter().map(|(task, _)| task.job.clone()).collect()
}

/// Guards against a gang of priority 1 that loses 8 s of work of each member for an urgent job beyond its guarantee.
#[test]
fn urgent_job_beyond_its_guarantee_stops_no_gang_that_loses_more() {
    let mut world = world(3, 0);
    submit(&mut world, "gang", 1, long_gang(3));
    work(&mut world, 8_000);

    submit(&mut world, "urgent", 0, urgent_step());
    work(&mut world, 2_000);

    assert!(stopped_jobs(&world).is_empty(), "{:?}", world.stops);
}

/// Guards against an urgent job within its guarantee that waits because its victim has much to lose.
#[test]
fn urgent_job_within_its_guarantee_stops_the_gang_at_once() {
    let mut world = world(3, 8);
    submit(&mut world, "gang", 1, long_gang(3));
    work(&mut world, 8_000);

    submit(&mut world, "urgent", 0, urgent_step());

    assert_eq!(stopped_jobs(&world), [id("gang")].into());
}

/// Guards against a gang of priority 1 that is stopped because its tasks have run for a shorter time than those of
/// priority 2, although their job has time until its objective.
#[test]
fn work_with_slack_is_stopped_before_work_of_higher_value() {
    let mut world = world(2, 0);
    submit(&mut world, "batch", 2, StepSpec { estimate_ms: 7_600, ..step(8, 1) });
    work(&mut world, 3_000);
    submit(&mut world, "gang", 1, long_gang(1));
    work(&mut world, 3_000);

    submit(&mut world, "urgent", 0, urgent_step());

    assert_eq!(stopped_jobs(&world), [id("batch")].into());
}

/// Guards against a stop of an attempt that ends before the urgent job has to start.
#[test]
fn urgent_job_awaits_an_attempt_that_is_about_to_end() {
    let mut world = world(1, 0);
    submit(&mut world, "gang", 1, long_gang(1));
    work(&mut world, 10_600);
    submit(&mut world, "urgent", 0, urgent_step());
    work(&mut world, 100);
    assert!(world.stops.is_empty(), "{:?}", world.stops);

    world.end(&task("gang", 0, 0), AttemptEnd::Done);

    assert_eq!(world.placements("urgent").len(), 1);
}

/// Guards against a new leader that knows nothing of the work done before, and stops a gang near its end.
#[test]
fn new_leader_derives_the_loss_from_reported_progress() {
    let mut world = world(3, 0);
    submit(&mut world, "gang", 1, long_gang(3));
    work(&mut world, 8_000);
    world.take_over();
    world.planner.settings.cost = Some(COST);
    advance_by_percents(&mut world, 4);

    submit(&mut world, "urgent", 0, urgent_step());
    advance_by_percents(&mut world, 2);

    assert!(world.stops.is_empty(), "{:?}", world.stops);
}

/// Guards against a short job with a near objective that waits behind an older one with ample time.
#[test]
fn job_that_loses_more_by_waiting_starts_first() {
    let mut world = world(1, 0);
    let short = StepSpec { estimate_ms: 2_000, ..gang(1, 8) };
    submit(&mut world, "first", 1, short.clone());
    submit(&mut world, "long", 1, long_gang(1));
    submit(&mut world, "short", 1, short);
    work(&mut world, 2_400);

    world.end(&task("first", 0, 0), AttemptEnd::Done);

    assert_eq!(world.placements("short").len(), 1);
    assert_eq!(world.placements("long").len(), 0);
}
