//! Generates seeded sessions with the workloads of the two users.

use std::ops::Range;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::faults;
use super::session::{ActualOutcome, Behaviour, Event, Session, TimedEvent};
use super::users::User;
use crate::prelude::*;

/// Disturbances of a generated session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Disturbance {
    /// No disturbance.
    None,
    /// One data centre is taken out of service and returned.
    DataCentreChange,
    /// One data centre is taken out of service and returned, and faults of all kinds occur, some of them overlapping.
    Faults,
}

/// Configuration of a generated session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratorConfig {
    /// User whose bundle and workload are generated.
    pub user: User,
    /// Disturbances added to the workload.
    pub disturbance: Disturbance,
    /// Time over which jobs arrive, in milliseconds.
    pub length_ms: u64,
    /// Work that arrives, as a share of the capacity of all accelerators over that time, in thousandths.
    pub load_per_mille: u32,
}

/// Workload parameters of a user: shares of the load in thousandths, and run times in milliseconds.
struct WorkloadMix {
    large_share: u64,
    batch_share: u64,
    urgent_share: u64,
    large_run_ms: Range<u64>,
    urgent_run_ms: Range<u64>,
    urgent_burst: u32,
}

/// Returns the workload parameters of a user: the Consortium has longer large gangs and fewer checks, Fraser has bursts
/// of short checks.
fn mix(user: User) -> WorkloadMix {
    match user {
        User::Consortium => WorkloadMix {
            large_share: 680,
            batch_share: 290,
            urgent_share: 30,
            large_run_ms: 90_000..300_000,
            urgent_run_ms: 15_000..40_000,
            urgent_burst: 2,
        },
        User::Fraser => WorkloadMix {
            large_share: 500,
            batch_share: 430,
            urgent_share: 70,
            large_run_ms: 60_000..180_000,
            urgent_run_ms: 10_000..30_000,
            urgent_burst: 6,
        },
    }
}

/// Share of jobs whose declared run time is four times too short or too long, in thousandths.
const WRONG_DECLARATIONS_PER_MILLE: u32 = 300;

/// Generates a session; the same configuration and seed give the same session.
pub fn generate(config: GeneratorConfig, seed: u64) -> Session {
    let mut generator = Generator {
        config,
        mix: mix(config.user),
        random: ChaCha8Rng::seed_from_u64(seed),
        inputs: Vec::new(),
        jobs: Vec::new(),
    };
    generator.add_bundle_and_workers();
    generator.add_large_gangs();
    generator.add_batches();
    generator.add_urgent_bursts();
    generator.add_impossible_jobs();
    generator.add_cancellation_waves();
    faults::add(&mut generator.inputs, &config, &mut generator.random);
    generator.inputs.sort_by_key(|input| input.at_ms);
    let name = format!("{} {:?} {seed}", config.user, config.disturbance);
    Session { name, inputs: generator.inputs }
}

/// Returns a session with only the urgent jobs of `session`, submitted one after the other on an empty deployment; it
/// gives the reference for their completion time.
pub fn urgent_alone(session: &Session, user: User) -> Session {
    let urgent = user.urgent_kind();
    let mut inputs: Vec<TimedEvent> = Vec::new();
    let mut at_ms = 0;
    for input in &session.inputs {
        match &input.event {
            Event::User { .. } | Event::Bundle { .. } | Event::Workers { .. } => {
                inputs.push(input.clone());
            }
            Event::Submit { job, real, .. } if job.kind == urgent => {
                at_ms += 1_000;
                inputs.push(TimedEvent { at_ms, event: input.event.clone() });
                at_ms += real.run_ms;
            }
            _ => {}
        }
    }
    Session { name: format!("{} urgent alone", session.name), inputs }
}

struct Generator {
    config: GeneratorConfig,
    mix: WorkloadMix,
    random: ChaCha8Rng,
    inputs: Vec<TimedEvent>,
    jobs: Vec<(u64, JobId)>,
}

/// Parameters of a generated job; the remaining ones are drawn when the job is added.
struct JobDraw {
    name: &'static str,
    kind: KindId,
    tasks: u32,
    accelerators: u32,
    adjacency: Adjacency,
    run_ms: u64,
}

impl Generator {
    fn add_bundle_and_workers(&mut self) {
        let user = self.config.user;
        self.inputs.push(TimedEvent { at_ms: 0, event: Event::User { user } });
        let workers = Event::Workers { data_centre: None, behaviour: Behaviour::default() };
        self.inputs.push(TimedEvent { at_ms: 0, event: workers });
    }

    /// Returns the total work of the jobs with the given share of the load, in accelerator-milliseconds.
    fn work_ms(&self, share: u64) -> u64 {
        const ACCELERATORS: u64 = 80;
        let load = u64::from(self.config.load_per_mille);
        ACCELERATORS * self.config.length_ms * load / 1_000 * share / 1_000
    }

    fn random_time(&mut self) -> u64 {
        self.random.random_range(100..self.config.length_ms)
    }

    /// Adds gangs of 16 to 24 accelerators.
    fn add_large_gangs(&mut self) {
        let mut remaining_work_ms = self.work_ms(self.mix.large_share);
        while remaining_work_ms > 0 {
            let (tasks, accelerators) = self.pick(&[(2, 8), (4, 4), (8, 2), (3, 8), (6, 4)]);
            let adjacency = self.pick(&[Adjacency::Rack, Adjacency::DataCentre]);
            let run_ms = self.random.random_range(self.mix.large_run_ms.clone());
            let at_ms = self.random_time();
            let kind = self.config.user.large_kind();
            let draw = JobDraw { name: "large", kind, tasks, accelerators, adjacency, run_ms };
            remaining_work_ms = remaining_work_ms.saturating_sub(self.add_job(at_ms, draw));
        }
    }

    /// Adds bursts of 5 to 24 small jobs that run for 10 to 60 seconds.
    fn add_batches(&mut self) {
        let mut remaining_work_ms = self.work_ms(self.mix.batch_share);
        while remaining_work_ms > 0 {
            let at_ms = self.random_time();
            for _ in 0..self.random.random_range(5..25) {
                let draw = JobDraw {
                    name: "batch",
                    kind: self.config.user.batch_kind(),
                    tasks: 1,
                    accelerators: self.pick(&[1, 1, 2, 4]),
                    adjacency: Adjacency::Worker,
                    run_ms: self.random.random_range(10_000..60_000),
                };
                remaining_work_ms = remaining_work_ms.saturating_sub(self.add_job(at_ms, draw));
            }
        }
    }

    /// Adds bursts of checks of 1 to 4 accelerators.
    fn add_urgent_bursts(&mut self) {
        let mut remaining_work_ms = self.work_ms(self.mix.urgent_share);
        while remaining_work_ms > 0 {
            let at_ms = self.random_time();
            for _ in 0..self.random.random_range(1..=self.mix.urgent_burst) {
                let (tasks, accelerators) = self.pick(&[(1, 1), (1, 2), (1, 4), (2, 2)]);
                let draw = JobDraw {
                    name: "urgent",
                    kind: self.config.user.urgent_kind(),
                    tasks,
                    accelerators,
                    adjacency: Adjacency::Rack,
                    run_ms: self.random.random_range(self.mix.urgent_run_ms.clone()),
                };
                remaining_work_ms = remaining_work_ms.saturating_sub(self.add_job(at_ms, draw));
            }
        }
    }

    /// Adds a few jobs that no worker or rack can hold.
    fn add_impossible_jobs(&mut self) {
        for (tasks, accelerators) in [(1, 16), (8, 8), (1, 32)] {
            let at_ms = self.random_time();
            let kind = self.config.user.batch_kind();
            let adjacency = Adjacency::Rack;
            let run_ms = 10_000;
            let draw = JobDraw { name: "never", kind, tasks, accelerators, adjacency, run_ms };
            self.add_job(at_ms, draw);
        }
    }

    /// Adds two cancellations, each of about a third of the batch jobs submitted in the minute before.
    fn add_cancellation_waves(&mut self) {
        for _ in 0..2 {
            let at_ms = self.random_time();
            let recent = (at_ms.saturating_sub(60_000)..at_ms, "batch");
            let jobs: Vec<JobId> = self
                .jobs
                .iter()
                .filter(|(submitted_ms, job)| {
                    recent.0.contains(submitted_ms) && job.as_str().starts_with(recent.1)
                })
                .map(|(_, job)| job.clone())
                .collect();
            let jobs: Vec<JobId> =
                jobs.into_iter().filter(|_| self.random.random_range(0..3) == 0).collect();
            if !jobs.is_empty() {
                self.inputs.push(TimedEvent { at_ms, event: Event::Cancel { jobs } });
            }
        }
    }

    /// Adds a job and returns its work in accelerator-milliseconds.
    fn add_job(&mut self, at_ms: u64, draw: JobDraw) -> u64 {
        let id = JobId::from(format!("{}{}", draw.name, self.jobs.len()));
        let kinds = [self.config.user.urgent_kind(), self.config.user.batch_kind()];
        let large = !kinds.contains(&draw.kind);
        let job = JobSpec {
            id: id.clone(),
            organisation: self.random_organisation(),
            kind: draw.kind,
            tasks: draw.tasks,
            task: TaskSpec {
                cores: draw.accelerators * 4,
                memory_mb: u64::from(draw.accelerators) * 8_192,
                accelerators: draw.accelerators,
            },
            adjacency: draw.adjacency,
            declared_run_ms: self.declared_ms(draw.run_ms),
            repeat: if self.chance(150) { Repeat::Never } else { Repeat::Allowed },
            can_checkpoint: if large { self.chance(900) } else { self.chance(500) },
        };
        let real = ActualOutcome { run_ms: draw.run_ms, fails: self.chance(20), memory_mb: None };
        let work_ms = draw.run_ms * u64::from(job.accelerators());
        let event = Event::Submit { job: Box::new(job), real, copies: 1, group: None };
        self.inputs.push(TimedEvent { at_ms, event });
        self.jobs.push((at_ms, id));
        work_ms
    }

    /// Draws an organisation; the two large ones submit most of the jobs.
    fn random_organisation(&mut self) -> OrganisationId {
        let organisations = self.config.user.bundle().organisations;
        let index = self.pick(&[0, 0, 0, 1, 1, 1, 2, 3]);
        organisations[index].id.clone()
    }

    /// Draws the declared run time, which for some jobs is four times too short or too long.
    fn declared_ms(&mut self, run_ms: u64) -> u64 {
        match self.random.random_range(0..1_000) {
            draw if draw < WRONG_DECLARATIONS_PER_MILLE / 2 => run_ms / 4,
            draw if draw < WRONG_DECLARATIONS_PER_MILLE => run_ms * 4,
            _ => run_ms * self.random.random_range(80..120) / 100,
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.random.random_range(0..1_000) < per_mille
    }

    fn pick<T>(&mut self, choices: &[T]) -> T
    where
        T: Copy,
    {
        choices[self.random.random_range(0..choices.len())]
    }
}
