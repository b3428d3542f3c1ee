//! Simulates a whole capacity group in virtual time, and checks its invariants.

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
/// The duration of the phase with faults in one simulation.
const FAULT_PHASE_MS: u64 = 90_000;
/// The maximum time from the end of the faults until all jobs have ended. One simulation submits about 25 jobs of up to
/// 25 s; large ones run one after the other, and some fail and run again.
const RECOVERY_LIMIT_MS: u64 = 1_200_000;
/// The interval at which the simulation checks whether all jobs have ended.
const RECOVERY_STEP_MS: u64 = 10_000;

/// Injects random faults of all kinds, and submits random jobs, for [`FAULT_PHASE_MS`].
fn inject_faults(world: &mut World) {
    let end_ms = world.now_ms + FAULT_PHASE_MS;
    let mut next_job = 0;
    while world.now_ms < end_ms {
        let draw = |world: &mut World, max: u32| world.random.random_range(0..=max);
        world.network = NetworkFaults {
            lost_per_mille: draw(world, 200),
            duplicated_per_mille: draw(world, 200),
            slow_per_mille: draw(world, 50),
        };
        let node = world.random.random_range(0..NODES);
        match world.random.random_range(0..12) {
            0 => {
                let duration_ms = world.random.random_range(200..16_000);
                world.pause(node, duration_ms);
            }
            1 => world.restart(node),
            2 => world.partitions = (0..NODES).map(|_| world.random.random_range(0..2)).collect(),
            3 | 4 => world.partitions = vec![0; NODES],
            5 => world.table.set_faults(TableFaults { down: true, ..Default::default() }),
            6 | 7 => {
                let (lost_per_mille, delayed_per_mille) = (draw(world, 200), draw(world, 200));
                world.table.set_faults(TableFaults {
                    down: false,
                    lost_per_mille,
                    delayed_per_mille,
                });
            }
            8 if world.data_centre.0 == DataCentreState::In => {
                world.set_data_centre_state(DataCentreState::Out)
            }
            8 | 9 if world.data_centre.0 == DataCentreState::Out => {
                world.set_data_centre_state(DataCentreState::In)
            }
            10 => {
                if let Some(leader) = world.leading_node() {
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
            world.submit(fixture::job(next_job, tasks, accelerators, run_ms, repeat));
            next_job += 1;
        }
        let step_ms = world.random.random_range(500..4_000);
        world.run(step_ms);
    }
}

/// Ends all faults.
fn end_faults(world: &mut World) {
    world.network = NetworkFaults::default();
    world.partitions = vec![0; NODES];
    world.table.set_faults(TableFaults::default());
    if world.data_centre.0 == DataCentreState::Out {
        world.set_data_centre_state(DataCentreState::In);
    }
}

/// Checks that each job has ended, and that its end agrees with the attempts that were started.
fn check_job_ends(world: &mut World) {
    for job in world.jobs.clone() {
        let row = world.job(&job);
        let attempts = world.attempts_started(&job);
        let violation = match &row.state {
            JobState::Ended { end: JobEnd::NotRun { .. } } if !attempts.is_empty() => {
                "ended as not run although an attempt started"
            }
            JobState::Ended { end: JobEnd::Succeeded } if attempts.is_empty() => {
                "succeeded although no attempt started"
            }
            JobState::Ended { .. } if row.spec.repeat == Repeat::Never && attempts.len() > 1 => {
                "must not be repeated but started more than one attempt"
            }
            JobState::Ended { .. } => continue,
            _ => "has not ended",
        };
        world.violations.push(format!("{job} {violation}: {:?}, attempts {attempts:?}", row.state));
    }
}

fn has_ended(world: &World, job: &JobId) -> bool {
    matches!(world.job(job).state, JobState::Ended { .. })
}

/// Runs one simulation: faults, then recovery until all jobs have ended or [`RECOVERY_LIMIT_MS`] has passed.
fn simulate(seed: u64) -> World {
    let mut world = World::new(seed, NODES);
    world.run(10_000);
    inject_faults(&mut world);
    end_faults(&mut world);
    let end_ms = world.now_ms + RECOVERY_LIMIT_MS;
    while world.now_ms < end_ms && !world.jobs.iter().all(|job| has_ended(&world, job)) {
        world.run(RECOVERY_STEP_MS);
    }
    check_job_ends(&mut world);
    world
}

/// Guards against gangs that start without permit or durable intent, twice, on cells in use or in two attempts at once;
/// against gangs that run partially for longer than a lease allows; and against lost jobs or false outcomes. The causes
/// are lost, duplicated and reordered datagrams, pauses, restarts, partitions, and a table that is down, applies
/// commits late or loses answers.
#[test]
fn random_faults_violate_no_invariant_and_all_jobs_end() {
    let seed_count = std::env::var("TEASELHALL_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let first = std::env::var("TEASELHALL_SEED").ok().and_then(|seed| seed.parse().ok());
    let first: u64 = first.unwrap_or(1);
    for seed in first..first + seed_count.unwrap_or(25) {
        let world = simulate(seed);
        let log = if std::env::var("TEASELHALL_LOG").is_ok() { &world.log[..] } else { &[] };
        assert_eq!(world.violations, [""; 0], "seed {seed}\n{}", log.join("\n"));
    }
}

/// Guards against unintended changes in the sequence of messages of a takeover. The leader pauses while one gang runs
/// and another has reservations: the new leader must adopt the first gang and end the reservations of the second, and
/// late messages of the old leader must start nothing.
#[test]
fn takeover_adopts_running_gang_and_ends_reservations() {
    let mut world = World::new(1, NODES);
    world.run(6_000);
    world.submit(fixture::job(1, 3, 8, 30_000, Repeat::Never));
    world.run(12_000);
    world.submit(fixture::job(2, 2, 2, 1_000, Repeat::Allowed));
    while !world.log.iter().any(|line| line.contains("Reserve j02#1")) {
        world.run(10);
    }
    let leader = world.leading_node().expect("a node leads before the takeover");
    world.pause(leader, 6_000);
    world.run(60_000);
    assert_eq!(world.violations, [""; 0]);
    insta::assert_snapshot!(world.log.join("\n"));
}
