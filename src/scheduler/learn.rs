//! What is learned about declared run times and sizes, per organisation and kind of work.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::jobs::{Gang, Job};
use super::state::Scheduler;
use crate::placement::{Demand, JobKey};
use crate::prelude::*;

/// The number of runs after which a ratio is trusted.
const TRUSTED_RUNS: u32 = 5;
/// A ratio of one, in thousandths.
const ONE: u64 = 1_000;
/// The weight of the latest run in the mean is 1 / this.
const MEMORY_RUNS: u64 = 8;
/// The most that a declared size is raised, in thousandths; more is a fault of the report.
const MAX_SIZE_RATIO: u64 = 4_000;

/// What is known of the work of one organisation and kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Ratio {
    pub organisation: u32,
    pub runs: u32,
    /// Mean of real to declared run time, in thousandths.
    pub run_mean: u64,
    /// The largest of them, which decays slowly.
    pub run_max: u64,
    /// Real to declared memory, in thousandths; never below 1,000.
    pub memory: u64,
    /// Real to declared cores, in thousandths; never below 1,000.
    pub cores: u64,
}

/// What is known of all work.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Learned {
    kinds: BTreeMap<KindId, Vec<Ratio>>,
}

impl Learned {
    /// Returns what is known of an organisation's work of a kind.
    pub fn get(&self, organisation: u32, kind: &KindId) -> Option<&Ratio> {
        self.kinds.get(kind)?.iter().find(|ratio| ratio.organisation == organisation)
    }

    fn entry(&mut self, organisation: u32, kind: &KindId) -> &mut Ratio {
        let ratios = self.kinds.entry(kind.clone()).or_default();
        let found = ratios.iter().position(|ratio| ratio.organisation == organisation);
        let index = found.unwrap_or_else(|| {
            let (runs, run_mean, run_max) = (0, ONE, ONE);
            ratios.push(Ratio { organisation, runs, run_mean, run_max, memory: ONE, cores: ONE });
            ratios.len() - 1
        });
        &mut ratios[index]
    }
}

impl Scheduler {
    /// Learns from a gang whose tasks all succeeded.
    pub(crate) fn learn_run(&mut self, now_ms: u64, key: JobKey, gang: &Gang) {
        let job = &self.jobs[&key];
        let declared = job.spec.declared_run_ms;
        if declared == 0 {
            return;
        }
        let real = now_ms.saturating_sub(gang.started_ms) + job.resumed_ms;
        let (organisation, kind) = (job.rights.organisation, job.spec.kind.clone());
        let ratio = self.learned.entry(organisation, &kind);
        let seen = (real.saturating_mul(ONE) / declared).max(1);
        ratio.run_mean = match ratio.runs {
            0 => seen,
            _ => (ratio.run_mean * (MEMORY_RUNS - 1) + seen) / MEMORY_RUNS,
        };
        let decayed = ratio.run_max.saturating_sub(ratio.run_max / 64);
        ratio.run_max = if ratio.runs == 0 { seen } else { seen.max(decayed) };
        ratio.runs = ratio.runs.saturating_add(1);
    }

    /// Learns from a late report of what a gang's tasks use.
    pub(crate) fn record_usage(&mut self, gang: &GangId, cores_per_mille: u32, memory_mb: u64) {
        let Some(key) = self.keys.get(&gang.job).copied() else { return };
        let job = &self.jobs[&key];
        let task = job.spec.task;
        let (organisation, kind) = (job.rights.organisation, job.spec.kind.clone());
        let ratio = self.learned.entry(organisation, &kind);
        if let Some(seen) = memory_mb.saturating_mul(ONE).checked_div(task.memory_mb) {
            let seen = seen.clamp(ONE, MAX_SIZE_RATIO);
            ratio.memory = seen.max((ratio.memory * (MEMORY_RUNS - 1) + seen) / MEMORY_RUNS);
        }
        if let Some(seen) = cores_per_mille.checked_div(task.cores) {
            let seen = u64::from(seen).clamp(ONE, MAX_SIZE_RATIO);
            ratio.cores = seen.max((ratio.cores * (MEMORY_RUNS - 1) + seen) / MEMORY_RUNS);
        }
    }

    /// Returns what a job is expected to need: as declared, or more if its like has used more.
    pub(crate) fn expected_demand(&self, spec: &JobSpec, organisation: u32) -> Demand {
        let mut demand = Demand::of(spec);
        let Some(ratio) = self.learned.get(organisation, &spec.kind) else { return demand };
        let Some(shape) = self.pool.workers.first().map(|worker| worker.spec.shape) else {
            return demand;
        };
        let task = &mut demand.task;
        let cores = u64::from(task.cores) * ratio.cores / ONE;
        task.cores = (cores as u32).min(shape.cores).max(task.cores);
        task.memory_mb =
            (task.memory_mb * ratio.memory / ONE).min(shape.memory_mb).max(task.memory_mb);
        demand
    }

    /// Returns how long a job is expected to run from a fresh start of its present attempt.
    pub(crate) fn expected_run_ms(&self, job: &Job) -> u64 {
        let mean =
            self.learned.get(job.rights.organisation, &job.spec.kind).map_or(ONE, |r| r.run_mean);
        (job.spec.declared_run_ms.saturating_mul(mean) / ONE).saturating_sub(job.saved_ms)
    }

    /// Returns a time that a job has always kept so far, or `None` if too little is known of its like.
    pub(crate) fn certain_run_ms(&self, job: &Job) -> Option<u64> {
        let ratio = self.learned.get(job.rights.organisation, &job.spec.kind)?;
        let bound = job.spec.declared_run_ms.saturating_mul(ratio.run_max) / ONE;
        (ratio.runs >= TRUSTED_RUNS).then_some(bound.saturating_sub(job.saved_ms))
    }
}
