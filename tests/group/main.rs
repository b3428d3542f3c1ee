//! Tests of a whole capacity group in virtual time.

mod fixture;
mod machine;
mod table;
mod world;

use rand::RngExt;
use teaselhall::prelude::*;
use teaselhall::wire::DataCentreState;

use table::TableFaults;
use world::{NetworkFaults, World};

const NODES: usize = 4;
/// The length of the faults of one run.
const FAULTS_MS: u64 = 90_000;
/// The quiet time after them in which all jobs must end. A run submits about 25 jobs of up to 25 s, of which the large
/// ones follow each other, and some fail and run again.
const QUIET_MS: u64 = 1_200_000;
const QUIET_STEP_MS: u64 = 10_000;

/// Lets faults of all kinds happen at random for a while.
fn disturb(world: &mut World) {
    let end_ms = world.now_ms + FAULTS_MS;
    let mut number = 0;
    while world.now_ms < end_ms {
        let draw = |world: &mut World, most: u32| world.random.random_range(0..=most);
        world.network = NetworkFaults {
            lost_per_mille: draw(world, 200),
            doubled_per_mille: draw(world, 200),
            slow_per_mille: draw(world, 50),
        };
        let node = world.random.random_range(0..NODES);
        match world.random.random_range(0..12) {
            0 => {
                let duration_ms = world.random.random_range(200..16_000);
                world.pause(node, duration_ms);
            }
            1 => world.restart(node),
            2 => world.sides = (0..NODES).map(|_| world.random.random_range(0..2)).collect(),
            3 | 4 => world.sides = vec![0; NODES],
            5 => world.table.set(TableFaults { down: true, ..Default::default() }),
            6 | 7 => {
                let (lost_per_mille, late_per_mille) = (draw(world, 200), draw(world, 200));
                world.table.set(TableFaults { down: false, lost_per_mille, late_per_mille });
            }
            8 if world.service.0 == DataCentreState::In => world.set_service(DataCentreState::Out),
            8 | 9 if world.service.0 == DataCentreState::Out => {
                world.set_service(DataCentreState::In)
            }
            10 => {
                if let Some(leader) = world.leading() {
                    let duration_ms = world.random.random_range(4_000..12_000);
                    world.pause(leader, duration_ms);
                }
            }
            _ => {}
        }
        if world.random.random_range(0..2) == 0 {
            let repeat = [Repeat::Allowed, Repeat::Never][world.random.random_range(0..2)];
            let (tasks, accelerators) = (world.random.random_range(1..=6), 4);
            let run_ms = world.random.random_range(500..25_000);
            world.submit(fixture::job(number, tasks, accelerators, run_ms, repeat));
            number += 1;
        }
        let step_ms = world.random.random_range(500..4_000);
        world.run(step_ms);
    }
}

/// Ends all faults.
fn heal(world: &mut World) {
    world.network = NetworkFaults::default();
    world.sides = vec![0; NODES];
    world.table.set(TableFaults::default());
    if world.service.0 == DataCentreState::Out {
        world.set_service(DataCentreState::In);
    }
}

/// Checks that each job is at an end that is true.
fn check_ends(world: &mut World) {
    for job in world.jobs.clone() {
        let row = world.job(&job);
        let attempts = world.attempts_started(&job);
        let problem = match &row.state {
            JobState::Ended { end: JobEnd::NotRun { .. } } if !attempts.is_empty() => "ran",
            JobState::Ended { end: JobEnd::Succeeded } if attempts.is_empty() => "never ran",
            JobState::Ended { .. } if row.spec.repeat == Repeat::Never && attempts.len() > 1 => {
                "ran more than once"
            }
            JobState::Ended { .. } => continue,
            _ => "has not ended",
        };
        world.problems.push(format!("{job} {problem}: {:?}, attempts {attempts:?}", row.state));
    }
}

fn has_ended(world: &World, job: &JobId) -> bool {
    matches!(world.job(job).state, JobState::Ended { .. })
}

fn run_seed(seed: u64) -> World {
    let mut world = World::new(seed, NODES);
    world.run(10_000);
    disturb(&mut world);
    heal(&mut world);
    let end_ms = world.now_ms + QUIET_MS;
    while world.now_ms < end_ms && !world.jobs.iter().all(|job| has_ended(&world, job)) {
        world.run(QUIET_STEP_MS);
    }
    check_ends(&mut world);
    world
}

/// Guards against gangs that start without permit or durable intent, twice, on cells in use or in two attempts at once,
/// against partial gangs that outlive a lease, and against jobs that are lost or whose outcome is untrue, under lost,
/// doubled and reordered datagrams, pauses, restarts, partitions, and a table that is down, late or loses answers.
#[test]
fn promises_hold_under_faults() {
    let seeds = std::env::var("TEASELHALL_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let first = std::env::var("TEASELHALL_SEED").ok().and_then(|seed| seed.parse().ok());
    let first: u64 = first.unwrap_or(1);
    for seed in first..first + seeds.unwrap_or(25) {
        let world = run_seed(seed);
        let log = if std::env::var("TEASELHALL_LOG").is_ok() { &world.log[..] } else { &[] };
        assert_eq!(world.problems, [""; 0], "seed {seed}\n{}", log.join("\n"));
    }
}

/// Guards against unintended changes of a takeover while a gang runs and another starts: the new leader adopts the first,
/// ends the reservations of the second, and the messages of the old leader that arrive late start nothing.
#[test]
fn takeover_session() {
    let mut world = World::new(1, NODES);
    world.run(6_000);
    world.submit(fixture::job(1, 3, 8, 30_000, Repeat::Never));
    world.run(12_000);
    world.submit(fixture::job(2, 2, 2, 1_000, Repeat::Allowed));
    while !world.log.iter().any(|line| line.contains("Reserve j02#1")) {
        world.run(10);
    }
    let leader = world.leading().expect("a leader was found before");
    world.pause(leader, 6_000);
    world.run(60_000);
    assert_eq!(world.problems, [""; 0]);
    insta::assert_snapshot!(world.log.join("\n"));
}
