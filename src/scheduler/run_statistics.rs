//! Ratios of actual to declared run times and sizes, per organisation and kind of work.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::jobs::{Gang, Job};
use super::state::Scheduler;
use crate::placement::{Demand, JobKey};
use crate::prelude::*;

/// Number of runs from which the largest run time ratio is used as a bound.
const MIN_RUNS_FOR_BOUND: u32 = 5;
/// Ratio of 1, in thousandths.
const RATIO_ONE: u64 = 1_000;
/// Inverse of the weight of the latest run in the moving mean.
const MEAN_WINDOW_RUNS: u64 = 8;
/// Maximum ratio by which a declared size is raised, in thousandths; a higher ratio is a faulty report.
const MAX_SIZE_RATIO: u64 = 4_000;

/// Ratios of actual to declared values for the work of one organisation and kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Ratio {
    pub organisation: u32,
    pub runs: u32,
    /// Moving mean of the ratio of actual to declared run time, in thousandths.
    pub run_mean: u64,
    /// Maximum of the run time ratios, in thousandths; decays by 1/64 with each run.
    pub run_max: u64,
    /// Ratio of actual to declared memory, in thousandths; at least 1,000.
    pub memory: u64,
    /// Ratio of actual to declared cores, in thousandths; at least 1,000.
    pub cores: u64,
}

/// Ratios of all organisations, by kind of work.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RunStatistics {
    kinds: BTreeMap<KindId, Vec<Ratio>>,
}

impl RunStatistics {
    /// Returns the ratios for an organisation's work of a kind, if any were recorded.
    pub fn get(&self, organisation: u32, kind: &KindId) -> Option<&Ratio> {
        self.kinds.get(kind)?.iter().find(|ratio| ratio.organisation == organisation)
    }

    fn entry(&mut self, organisation: u32, kind: &KindId) -> &mut Ratio {
        let ratios = self.kinds.entry(kind.clone()).or_default();
        let found = ratios.iter().position(|ratio| ratio.organisation == organisation);
        let index = found.unwrap_or_else(|| {
            let (runs, run_mean, run_max) = (0, RATIO_ONE, RATIO_ONE);
            ratios.push(Ratio {
                organisation,
                runs,
                run_mean,
                run_max,
                memory: RATIO_ONE,
                cores: RATIO_ONE,
            });
            ratios.len() - 1
        });
        &mut ratios[index]
    }
}

impl Scheduler {
    /// Records the run time ratio of a gang whose tasks all succeeded.
    pub(crate) fn record_run(&mut self, now_ms: u64, key: JobKey, gang: &Gang) {
        let job = &self.jobs[&key];
        let declared = job.spec.declared_run_ms;
        if declared == 0 {
            return;
        }
        let actual = now_ms.saturating_sub(gang.started_ms) + job.resumed_ms;
        let (organisation, kind) = (job.rights.organisation, job.spec.kind.clone());
        let ratio = self.run_statistics.entry(organisation, &kind);
        let observed = (actual.saturating_mul(RATIO_ONE) / declared).max(1);
        ratio.run_mean = match ratio.runs {
            0 => observed,
            _ => (ratio.run_mean * (MEAN_WINDOW_RUNS - 1) + observed) / MEAN_WINDOW_RUNS,
        };
        let decayed = ratio.run_max.saturating_sub(ratio.run_max / 64);
        ratio.run_max = if ratio.runs == 0 { observed } else { observed.max(decayed) };
        ratio.runs = ratio.runs.saturating_add(1);
    }

    /// Records the size ratios from a report on the resources that a gang's tasks use.
    pub(crate) fn record_usage(&mut self, gang: &GangId, cores_per_mille: u32, memory_mb: u64) {
        let Some(key) = self.keys.get(&gang.job).copied() else { return };
        let job = &self.jobs[&key];
        let task = job.spec.task;
        let (organisation, kind) = (job.rights.organisation, job.spec.kind.clone());
        let ratio = self.run_statistics.entry(organisation, &kind);
        if let Some(observed) = memory_mb.saturating_mul(RATIO_ONE).checked_div(task.memory_mb) {
            let observed = observed.clamp(RATIO_ONE, MAX_SIZE_RATIO);
            ratio.memory =
                observed.max((ratio.memory * (MEAN_WINDOW_RUNS - 1) + observed) / MEAN_WINDOW_RUNS);
        }
        if let Some(observed) = cores_per_mille.checked_div(task.cores) {
            let observed = u64::from(observed).clamp(RATIO_ONE, MAX_SIZE_RATIO);
            ratio.cores =
                observed.max((ratio.cores * (MEAN_WINDOW_RUNS - 1) + observed) / MEAN_WINDOW_RUNS);
        }
    }

    /// Returns the expected demand of a job.
    ///
    /// It is the declared demand, raised by the ratios of earlier work of the same organisation and kind.
    pub(crate) fn expected_demand(&self, spec: &JobSpec, organisation: u32) -> Demand {
        let mut demand = Demand::of(spec);
        let Some(ratio) = self.run_statistics.get(organisation, &spec.kind) else { return demand };
        let Some(shape) = self.pool.workers.first().map(|worker| worker.spec.shape) else {
            return demand;
        };
        let task = &mut demand.task;
        let cores = u64::from(task.cores) * ratio.cores / RATIO_ONE;
        task.cores = (cores as u32).min(shape.cores).max(task.cores);
        task.memory_mb =
            (task.memory_mb * ratio.memory / RATIO_ONE).min(shape.memory_mb).max(task.memory_mb);
        demand
    }

    /// Returns the expected run time of a job's current attempt, from its start, in milliseconds.
    pub(crate) fn expected_run_ms(&self, job: &Job) -> u64 {
        let mean = self
            .run_statistics
            .get(job.rights.organisation, &job.spec.kind)
            .map_or(RATIO_ONE, |r| r.run_mean);
        (job.spec.declared_run_ms.saturating_mul(mean) / RATIO_ONE).saturating_sub(job.saved_ms)
    }

    /// Returns a bound of the remaining run time of a job from the largest ratio so far, in milliseconds.
    ///
    /// Returns `None` after fewer than [`MIN_RUNS_FOR_BOUND`] runs of the same organisation and kind.
    pub(crate) fn run_time_bound_ms(&self, job: &Job) -> Option<u64> {
        let ratio = self.run_statistics.get(job.rights.organisation, &job.spec.kind)?;
        let bound = job.spec.declared_run_ms.saturating_mul(ratio.run_max) / RATIO_ONE;
        (ratio.runs >= MIN_RUNS_FOR_BOUND).then_some(bound.saturating_sub(job.saved_ms))
    }
}
