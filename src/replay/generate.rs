//! Seeded sessions in the style of the two users.

use std::ops::Range;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::faults;
use super::session::{ActualOutcome, Behaviour, Event, Session, TimedEvent};
use super::users::User;
use crate::prelude::*;

/// What happens besides the work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Disturbance {
    /// Nothing.
    None,
    /// One data centre leaves and returns.
    DataCentreChange,
    /// One data centre leaves and returns, and faults of all kinds happen, also at the same time.
    Faults,
}

/// What a generated session is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratorConfig {
    /// Whose work it is.
    pub user: User,
    /// What happens besides the work.
    pub disturbance: Disturbance,
    /// The time over which jobs arrive, in milliseconds.
    pub length_ms: u64,
    /// Work that arrives, as a share of all capacity over that time, in thousandths.
    pub load_per_mille: u32,
}

/// What differs between the two users: the shares of the load in thousandths, and run times in milliseconds.
struct Mix {
    large_share: u64,
    batch_share: u64,
    urgent_share: u64,
    large_run_ms: Range<u64>,
    urgent_run_ms: Range<u64>,
    urgent_burst: u32,
}

/// The Consortium has longer large gangs and fewer checks; Fraser has bursts of short checks.
fn mix(user: User) -> Mix {
    match user {
        User::Consortium => Mix {
            large_share: 680,
            batch_share: 290,
            urgent_share: 30,
            large_run_ms: 90_000..300_000,
            urgent_run_ms: 15_000..40_000,
            urgent_burst: 2,
        },
        User::Fraser => Mix {
            large_share: 500,
            batch_share: 430,
            urgent_share: 70,
            large_run_ms: 60_000..180_000,
            urgent_run_ms: 10_000..30_000,
            urgent_burst: 6,
        },
    }
}

/// The share of jobs whose declared run time is far off, in thousandths.
const WRONG_DECLARATIONS: u32 = 300;

/// Generates a session; the same configuration and seed give the same session.
pub fn generate(config: GeneratorConfig, seed: u64) -> Session {
    let mut generator = Generator {
        config,
        mix: mix(config.user),
        random: ChaCha8Rng::seed_from_u64(seed),
        inputs: Vec::new(),
        jobs: Vec::new(),
    };
    generator.start();
    generator.large_gangs();
    generator.batches();
    generator.urgent_bursts();
    generator.impossible_jobs();
    generator.cancellation_waves();
    faults::add(&mut generator.inputs, &config, &mut generator.random);
    generator.inputs.sort_by_key(|input| input.at_ms);
    let name = format!("{} {:?} {seed}", config.user, config.disturbance);
    Session { name, inputs: generator.inputs }
}

/// Keeps only the urgent jobs of a session, each on an empty deployment: the reference for their completion time.
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
    mix: Mix,
    random: ChaCha8Rng,
    inputs: Vec<TimedEvent>,
    jobs: Vec<(u64, JobId)>,
}

/// What a generated job is drawn from.
struct Draw {
    name: &'static str,
    kind: KindId,
    tasks: u32,
    accelerators: u32,
    adjacency: Adjacency,
    run_ms: u64,
}

impl Generator {
    fn start(&mut self) {
        let user = self.config.user;
        self.inputs.push(TimedEvent { at_ms: 0, event: Event::User { user } });
        let workers = Event::Workers { data_centre: None, behaviour: Behaviour::default() };
        self.inputs.push(TimedEvent { at_ms: 0, event: workers });
    }

    /// Accelerator-milliseconds that jobs of one kind bring in all.
    fn work_ms(&self, share: u64) -> u64 {
        const ACCELERATORS: u64 = 80;
        let load = u64::from(self.config.load_per_mille);
        ACCELERATORS * self.config.length_ms * load / 1_000 * share / 1_000
    }

    fn any_time(&mut self) -> u64 {
        self.random.random_range(100..self.config.length_ms)
    }

    /// Gangs of 16 to 24 accelerators.
    fn large_gangs(&mut self) {
        let mut left_ms = self.work_ms(self.mix.large_share);
        while left_ms > 0 {
            let (tasks, accelerators) = self.pick(&[(2, 8), (4, 4), (8, 2), (3, 8), (6, 4)]);
            let adjacency = self.pick(&[Adjacency::Rack, Adjacency::DataCentre]);
            let run_ms = self.random.random_range(self.mix.large_run_ms.clone());
            let at_ms = self.any_time();
            let kind = self.config.user.large_kind();
            let draw = Draw { name: "large", kind, tasks, accelerators, adjacency, run_ms };
            left_ms = left_ms.saturating_sub(self.submit(at_ms, draw));
        }
    }

    /// Bursts of 5 to 25 small jobs that run for 10 to 60 seconds.
    fn batches(&mut self) {
        let mut left_ms = self.work_ms(self.mix.batch_share);
        while left_ms > 0 {
            let at_ms = self.any_time();
            for _ in 0..self.random.random_range(5..25) {
                let draw = Draw {
                    name: "batch",
                    kind: self.config.user.batch_kind(),
                    tasks: 1,
                    accelerators: self.pick(&[1, 1, 2, 4]),
                    adjacency: Adjacency::Worker,
                    run_ms: self.random.random_range(10_000..60_000),
                };
                left_ms = left_ms.saturating_sub(self.submit(at_ms, draw));
            }
        }
    }

    /// Bursts of checks of 1 to 4 accelerators.
    fn urgent_bursts(&mut self) {
        let mut left_ms = self.work_ms(self.mix.urgent_share);
        while left_ms > 0 {
            let at_ms = self.any_time();
            for _ in 0..self.random.random_range(1..=self.mix.urgent_burst) {
                let (tasks, accelerators) = self.pick(&[(1, 1), (1, 2), (1, 4), (2, 2)]);
                let draw = Draw {
                    name: "urgent",
                    kind: self.config.user.urgent_kind(),
                    tasks,
                    accelerators,
                    adjacency: Adjacency::Rack,
                    run_ms: self.random.random_range(self.mix.urgent_run_ms.clone()),
                };
                left_ms = left_ms.saturating_sub(self.submit(at_ms, draw));
            }
        }
    }

    /// A few jobs that no worker or rack can hold.
    fn impossible_jobs(&mut self) {
        for (tasks, accelerators) in [(1, 16), (8, 8), (1, 32)] {
            let at_ms = self.any_time();
            let kind = self.config.user.batch_kind();
            let adjacency = Adjacency::Rack;
            let run_ms = 10_000;
            let draw = Draw { name: "never", kind, tasks, accelerators, adjacency, run_ms };
            self.submit(at_ms, draw);
        }
    }

    /// Two waves that cancel a third of the batch jobs submitted in the minute before.
    fn cancellation_waves(&mut self) {
        for _ in 0..2 {
            let at_ms = self.any_time();
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
    fn submit(&mut self, at_ms: u64, draw: Draw) -> u64 {
        let id = JobId::from(format!("{}{}", draw.name, self.jobs.len()));
        let kinds = [self.config.user.urgent_kind(), self.config.user.batch_kind()];
        let large = !kinds.contains(&draw.kind);
        let job = JobSpec {
            id: id.clone(),
            organisation: self.organisation(),
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

    /// Two large organisations submit most of the work.
    fn organisation(&mut self) -> OrganisationId {
        let organisations = self.config.user.bundle().organisations;
        let index = self.pick(&[0, 0, 0, 1, 1, 1, 2, 3]);
        organisations[index].id.clone()
    }

    /// The declared run time; some are four times too short or too long.
    fn declared_ms(&mut self, run_ms: u64) -> u64 {
        match self.random.random_range(0..1_000) {
            draw if draw < WRONG_DECLARATIONS / 2 => run_ms / 4,
            draw if draw < WRONG_DECLARATIONS => run_ms * 4,
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
