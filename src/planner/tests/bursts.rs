//! Replay of bursts of urgent jobs beyond every guarantee, on workers that are in use by gangs and batch work.

use std::collections::{BTreeMap, BTreeSet};

use test_case::test_case;

use super::cost::{COST, directives};
use super::world::World;
use super::*;

/// Time between two lists of attempts.
const STEP_MS: u64 = 100;
/// Time in which work arrives, and time after which the replay ends.
const ARRIVALS_MS: u64 = 100_000;
const END_MS: u64 = 150_000;
/// Values of results in time and late, by priority, in tenths.
const VALUES: [(u64, u64); 3] = [(40, 8), (30, 9), (10, 3)];

/// Attempt that runs.
#[derive(Clone, Copy, Debug)]
struct Run {
    attempt: u32,
    /// Work done in this attempt, and in those before it up to the last checkpoint.
    worked_ms: u64,
    resumed_ms: u64,
}

/// Progress of all attempts, and what came of the work.
#[derive(Debug, Default)]
struct Outcome {
    runs: BTreeMap<TaskId, Run>,
    /// Work of tasks that the last checkpoint contains.
    saved_ms: BTreeMap<TaskId, u64>,
    /// Work that was done again, in milliseconds of workers.
    discarded_ms: u64,
    /// Value earned by priority, in tenths.
    earned: [u64; 3],
    submitted: [u64; 3],
    /// Times from submission to first start of urgent jobs.
    urgent_starts_ms: Vec<u64>,
    /// Varies the actual durations.
    seed: u64,
    /// Number of different sizes of urgent jobs.
    urgent_sizes: u64,
}

/// Returns the actual duration of a task. Estimates of clients are off by a factor of up to 1.7.
fn actual_ms(world: &World, seed: u64, task: &TaskId) -> u64 {
    let step = &world.store.jobs[&task.job].spec.steps[usize::from(task.step)];
    let name = task.job.as_str().bytes().fold(7, |sum: u64, byte| sum * 31 + u64::from(byte));
    let job_percent = 60 + (name + seed * 37) % 90;
    let task_percent = if step.gang { 100 } else { 85 + (name + u64::from(task.index) * 17) % 31 };
    step.estimate_ms * job_percent * task_percent / 10_000
}

/// Lets all attempts work for a step. A gang works only while all members run.
fn work(world: &mut World, outcome: &mut Outcome) {
    let seed = outcome.seed;
    let mut running: BTreeMap<TaskId, (WorkerId, u32, bool)> = BTreeMap::new();
    for (worker, fake) in &world.workers {
        for (task, attempt) in &fake.attempts {
            running.insert(task.clone(), (worker.clone(), attempt.attempt, attempt.is_stopping));
        }
    }
    for (task, (worker, attempt, is_stopping)) in &running {
        let step = &world.store.jobs[&task.job].spec.steps[usize::from(task.step)];
        let is_complete = !step.gang
            || (0..step.tasks).all(|index| running.contains_key(&TaskId { index, ..task.clone() }));
        let saved_ms = outcome.saved_ms.get(task).copied().unwrap_or_default();
        let begin = Run { attempt: *attempt, worked_ms: 0, resumed_ms: saved_ms };
        let run = outcome.runs.entry(task.clone()).or_insert(begin);
        if run.attempt != *attempt {
            *run = begin;
        }
        if *is_stopping || !is_complete {
            continue;
        }
        run.worked_ms += STEP_MS;
        let total_ms = run.worked_ms + run.resumed_ms;
        let percent = (total_ms * 100 / actual_ms(world, seed, task)).min(99) as u8;
        if total_ms >= actual_ms(world, seed, task) {
            world.end_on(worker, task, AttemptEnd::Done);
            outcome.runs.remove(task);
        } else if let Some(fake) =
            world.workers.get_mut(worker).and_then(|w| w.attempts.get_mut(task))
        {
            fake.percent = percent;
        }
    }
}

/// Ends the attempts whose stops were ordered, and counts the work after their last checkpoints.
fn finish_stops(world: &mut World, outcome: &mut Outcome) {
    let mut stopping = Vec::new();
    for worker in world.workers.values() {
        stopping.extend(worker.attempts.iter().filter(|(_, attempt)| attempt.is_stopping));
    }
    for (task, attempt) in stopping {
        let Some(run) = outcome.runs.remove(task).filter(|run| run.attempt == attempt.attempt)
        else {
            continue;
        };
        let step = &world.store.jobs[&task.job].spec.steps[usize::from(task.step)];
        let total_ms = run.resumed_ms + run.worked_ms;
        let saved_ms = match step.checkpointable {
            true => total_ms / COST.checkpoint_interval_ms * COST.checkpoint_interval_ms,
            false => 0,
        };
        let share = (step.need.cores_milli * 1_000 / 32_000).max(step.need.accelerators * 125);
        outcome.discarded_ms += (total_ms - saved_ms.min(total_ms)) * u64::from(share) / 1_000;
        outcome.saved_ms.insert(task.clone(), saved_ms);
    }
    world.finish_stops();
}

fn submit_arrivals(world: &mut World, outcome: &mut Outcome, at_ms: u64) {
    let mut submit = |priority: u8, kind: StepSpec| {
        let number = outcome.submitted[usize::from(priority)];
        outcome.submitted[usize::from(priority)] += 1;
        let is_checkpointable = priority > 0 && number % 9 < 4;
        let spec = StepSpec { checkpointable: is_checkpointable, ..kind };
        let accepted_ms = world.now.wall_ms;
        let record = JobRecord { accepted_ms, ..job(priority, vec![spec]) };
        world.submit(&format!("p{priority}-{number}"), record);
    };
    let is_burst = at_ms % 20_000 < 4_000;
    if is_burst && at_ms.is_multiple_of(500) {
        let need = resources(3_750, 8_000, 1 + (at_ms / 500 % outcome.urgent_sizes) as u32);
        let urgent = StepSpec { need, estimate_ms: 2_500, same_rack: true, ..gang(5, 1) };
        submit(0, urgent);
    }
    if at_ms.is_multiple_of(8_000) {
        let need = resources(13_000, 8_000, 0);
        submit(1, StepSpec { need, estimate_ms: 11_000, same_rack: true, ..gang(6, 0) });
    }
    if at_ms.is_multiple_of(10_000) {
        let need = resources(2_800, 8_000, 1);
        submit(2, StepSpec { need, estimate_ms: 7_600, ..step(39, 1) });
    }
}

/// Returns what came of bursts of urgent jobs beyond every guarantee.
fn replay(cost: Option<CostSettings>, guaranteed_accelerators: u32, seed: u64) -> Outcome {
    let urgent_sizes = if guaranteed_accelerators == 0 { 4 } else { 1 };
    let mut world = World::with_directives(9, directives(guaranteed_accelerators));
    world.planner.settings.cost = cost;
    world.makes_progress = false;
    let (mut outcome, mut finished) =
        (Outcome { seed, urgent_sizes, ..Outcome::default() }, BTreeSet::new());
    let mut started = BTreeSet::new();
    for at_ms in (0..END_MS).step_by(STEP_MS as usize) {
        if at_ms < ARRIVALS_MS {
            submit_arrivals(&mut world, &mut outcome, at_ms);
        }
        work(&mut world, &mut outcome);
        if at_ms % COST.stop_ms == 0 {
            finish_stops(&mut world, &mut outcome);
        }
        world.advance(STEP_MS);
        for order in std::mem::take(&mut world.starts) {
            let record = &world.store.jobs[&order.task.job];
            if record.priority == 0 && started.insert(order.task.job) {
                outcome.urgent_starts_ms.push(world.now.wall_ms - record.accepted_ms);
            }
        }
        for (job, progress) in &world.progress {
            if !matches!(progress, JobProgress::Finished(_)) || !finished.insert(job.clone()) {
                continue;
            }
            let record = &world.store.jobs[job];
            let objective = world.planner.objectives[&record.queue];
            let chain_ms = record.spec.steps[0].estimate_ms;
            let (timely, late) = VALUES[usize::from(record.priority)];
            let took_ms = world.now.wall_ms - record.accepted_ms;
            outcome.earned[usize::from(record.priority)] += match took_ms {
                _ if took_ms <= objective.of_chain_ms(chain_ms) => timely,
                _ if took_ms <= objective.late_limit_ms(chain_ms) => late,
                _ => 0,
            };
        }
    }
    outcome
}

/// Returns the earned part of the value of each priority in percent.
fn shares(outcome: &Outcome) -> [u64; 3] {
    [0, 1, 2].map(|class| {
        outcome.earned[class] * 100 / (outcome.submitted[class] * VALUES[class].0).max(1)
    })
}

/// Guards against bursts of urgent jobs that discard more work than their timely starts are worth, and against a class of
/// work that pays for it.
#[test_case(0; "first seed")]
#[test_case(1; "second seed")]
#[test_case(2; "third seed")]
fn bursts_discard_half_the_work_and_earn_more(seed: u64) {
    let (without, with) = (replay(None, 0, seed), replay(Some(COST), 0, seed));

    let seen = format!("{} {:?}", with.discarded_ms, shares(&with));
    let before = format!("{} {:?}", without.discarded_ms, shares(&without));
    assert!(with.discarded_ms * 2 <= without.discarded_ms, "{seen}, without {before}");
    assert!(with.earned.iter().sum::<u64>() >= without.earned.iter().sum(), "{seen}, {before}");
    assert!(shares(&with).iter().min() >= shares(&without).iter().min(), "{seen}, {before}");
}

/// Guards against urgent jobs within a guarantee that wait longer because the costs of stops are weighed. Each rack has
/// room for four of the eight urgent jobs of a burst, so none of them waits for another.
#[test]
fn urgent_jobs_within_a_guarantee_start_as_early_as_without_costs() {
    let (without, with) = (replay(None, 72, 0), replay(Some(COST), 72, 0));

    let latest = |outcome: &Outcome| outcome.urgent_starts_ms.iter().max().copied();
    assert_eq!(with.urgent_starts_ms.len(), without.urgent_starts_ms.len());
    assert!(latest(&with) <= latest(&without), "{:?}, {:?}", latest(&with), latest(&without));
}
