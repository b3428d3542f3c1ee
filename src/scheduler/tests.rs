//! Tests of a group's scheduler, which send it inputs and check its outputs.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::bundle::{KindRule, PolicyRules, Rack, Weights, WorkerShape};
use crate::prelude::*;

mod chaos;
mod cluster;
mod gangs;
mod guarantees;
mod rules;

/// Scheduler under test with a seeded random number generator and a clock.
pub(super) struct Bench {
    pub scheduler: Scheduler,
    pub random: ChaCha8Rng,
    pub now_ms: u64,
}

impl Bench {
    /// Creates a group in which starts are permitted, with four workers per rack and eight accelerators per worker.
    pub fn new(policy: Policy, workers: u32, guarantees: Vec<GroupGuarantee>) -> Self {
        let random = ChaCha8Rng::seed_from_u64(7);
        let mut bench = Self { scheduler: Scheduler::new(policy), random, now_ms: 1_000 };
        bench.send(Input::Rules { rules: Box::new(rules(guarantees)) });
        for number in 0..workers {
            bench.send(Input::WorkerUp { worker: worker(number), running: Vec::new() });
        }
        bench.send(Input::StartsPermitted { permitted: true, leaving: false });
        bench
    }

    /// Applies one input and checks the invariants.
    pub fn send(&mut self, input: Input) -> Vec<Output> {
        let out = self.scheduler.handle(self.now_ms, &input, &mut self.random);
        assert_eq!(self.scheduler.violations(), Vec::new(), "after {input:?}");
        out
    }

    /// Advances the clock in ticks and returns all outputs.
    pub fn pass(&mut self, time_ms: u64) -> Vec<Output> {
        let end_ms = self.now_ms + time_ms;
        let mut out = Vec::new();
        while self.now_ms < end_ms {
            self.now_ms += MAX_TICK_INTERVAL_MS;
            out.extend(self.send(Input::Tick));
        }
        out
    }

    pub fn submit(&mut self, job: JobSpec) -> Vec<Output> {
        self.send(Input::Submit { job, saved_ms: 0, attempts: 0 })
    }

    /// Answers reservations, intents and starts with success until no more follow, and returns the other outputs.
    pub fn answer_all(&mut self, outputs: Vec<Output>) -> Vec<Output> {
        let mut unanswered = Vec::new();
        let mut pending = std::collections::VecDeque::from(outputs);
        while let Some(output) = pending.pop_front() {
            let answer = match output {
                Output::Reserve { gang, share, .. } => {
                    Input::Reserved { gang, worker: share.worker, result: ReserveResult::Held }
                }
                Output::WriteIntent { gang } => {
                    Input::IntentWritten { gang, result: WriteResult::Durable }
                }
                Output::Start { gang, worker, .. } => Input::Started { gang, worker },
                other => {
                    unanswered.push(other);
                    continue;
                }
            };
            pending.extend(self.send(answer));
        }
        unanswered
    }

    /// Submits a job, answers its outputs with success, and returns the other outputs.
    pub fn run(&mut self, job: JobSpec) -> Vec<Output> {
        let out = self.submit(job);
        self.answer_all(out)
    }

    pub fn stage(&self, job: &str) -> Option<Stage> {
        match self.scheduler.job(&JobId::from(job)) {
            Some(JobView::Active { stage, .. }) => Some(stage),
            _ => None,
        }
    }

    pub fn workers_of(&self, job: &str) -> Vec<WorkerId> {
        match self.scheduler.job(&JobId::from(job)) {
            Some(JobView::Active { workers, .. }) => workers,
            _ => Vec::new(),
        }
    }
}

pub(super) fn rules(guarantees: Vec<GroupGuarantee>) -> GroupRules {
    let kind = |id: &str, class, may_borrow, preemptible| KindRule {
        id: KindId::from(id),
        class,
        may_borrow,
        preemptible,
    };
    GroupRules {
        version: BundleVersion(1),
        topology: GroupTopology {
            worker: worker(0).shape,
            racks: (0..2)
                .map(|n| Rack { id: RackId::from(format!("r{n:03}")), workers: 4 })
                .collect(),
        },
        guarantees,
        kinds: vec![
            kind("check", Class::Urgent, false, false),
            kind("run", Class::Normal, false, false),
            kind("lent", Class::Normal, true, true),
            kind("batch", Class::Batch, true, true),
        ],
        policy: PolicyRules {
            group_workers: 128,
            reclaim_checkpoint_ms: 800,
            reclaim_stop_ms: 600,
            reservation_age_ms: 60_000,
            return_ramp_ms: 10_000,
            retry_budget_per_mille: 100,
            queue_limit_urgent: 1_000,
            queue_limit_normal: 1_000,
            queue_limit_batch: 1_000,
            weights: Weights {
                completion_per_mille: 400,
                fragmentation_per_mille: 300,
                work_done_per_mille: 300,
            },
        },
    }
}

pub(super) fn worker(number: u32) -> WorkerSpec {
    WorkerSpec {
        id: WorkerId::from(format!("w{number:03}")),
        rack: RackId::from(format!("r{:03}", number / 4)),
        shape: WorkerShape { cores: 32, memory_mb: 131_072, accelerators: 8 },
    }
}

/// Returns a job of `tasks` tasks with `accelerators` accelerators each, in one rack.
pub(super) fn job(
    id: &str,
    organisation: &str,
    kind: &str,
    tasks: u32,
    accelerators: u32,
) -> JobSpec {
    JobSpec {
        id: JobId::from(id),
        organisation: OrganisationId::from(organisation),
        kind: KindId::from(kind),
        tasks,
        task: TaskSpec { cores: accelerators * 4, memory_mb: 1_024, accelerators },
        adjacency: Adjacency::Rack,
        declared_run_ms: 60_000,
        repeat: Repeat::Allowed,
        can_checkpoint: true,
    }
}

pub(super) fn gang(job: &str, number: u32) -> GangId {
    GangId { job: JobId::from(job), number }
}

pub(super) fn ended(gang: &GangId, worker: &str, task: u32, end: TaskEnd) -> Input {
    Input::TaskEnded { gang: gang.clone(), worker: WorkerId::from(worker), task, end }
}

/// Returns a guarantee of `count` blocks of `accelerators` accelerators for an organisation.
pub(super) fn guarantee(
    organisation: &str,
    accelerators: u32,
    adjacency: Adjacency,
    count: usize,
) -> GroupGuarantee {
    GroupGuarantee {
        organisation: OrganisationId::from(organisation),
        blocks: vec![Block { accelerators, adjacency }; count],
        quota_accelerators: None,
    }
}
