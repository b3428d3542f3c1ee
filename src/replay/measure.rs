//! The measures of docs/design.md, section 2, and the lower bounds beside them.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::session::ActualOutcome;
use crate::prelude::*;

/// Jobs of at least this many accelerators count as large gangs.
pub const LARGE_ACCELERATORS: u32 = 16;

/// What a session measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Measures {
    /// Completion times of each class.
    pub completion: BTreeMap<Class, Completion>,
    /// Of large gangs that succeeded or have no end, the p99 of the time from submission to end less the job's own run time.
    pub large_wait_p99_ms: u64,
    /// Of large gangs, the p99 of the time from submission to the first start.
    pub large_start_p99_ms: u64,
    /// Fragmentation, averaged over time and groups.
    pub fragmentation: f64,
    /// Work done while a data centre leaves and returns, as a share of what the accelerators in service could do.
    pub work_done: Option<f64>,
    /// Accelerator-milliseconds that ran in vain: lost progress and failed attempts.
    pub lost_work_ms: u64,
    /// The end of the last job, in milliseconds.
    pub finish_ms: u64,
    /// The earliest possible end: all work over all capacity, or the longest job after its submission.
    pub finish_bound_ms: u64,
    /// The number of jobs that callers submitted and the table accepted.
    pub accepted: u64,
    /// The number of submissions that the entry refused.
    pub refused: u64,
    /// How many jobs ended in which way.
    pub ended: BTreeMap<String, u64>,
}

/// Completion time of the jobs of a class that succeeded or have no end, and the bound by their own run times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Completion {
    /// The number of jobs.
    pub jobs: u64,
    /// The median, in milliseconds.
    pub p50_ms: u64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: u64,
    /// The median of the run times, below which no schedule can get.
    pub bound_p50_ms: u64,
    /// The 99th percentile of the run times.
    pub bound_p99_ms: u64,
}

/// Collects what is measured during a replay.
#[derive(Debug, Default)]
pub(super) struct Meter {
    jobs: BTreeMap<JobId, Measured>,
    refused: u64,
    ended: BTreeMap<String, u64>,
    finish_ms: u64,
    fragmentation_sum: f64,
    fragmentation_samples: u64,
    now_ms: u64,
    /// Accelerators that run tasks on workers in service.
    pub(super) busy: u32,
    /// Accelerators of live workers in service.
    pub(super) capacity: u32,
    /// The most accelerators that were in service.
    full_capacity: u32,
    demand: u32,
    /// How many data centres are on their way out or back.
    pub(super) changes: u32,
    done_ms: u64,
    possible_ms: u64,
    lost_ms: u64,
    lost_in_change_ms: u64,
}

#[derive(Debug)]
struct Measured {
    class: Class,
    accelerators: u32,
    actual: ActualOutcome,
    submitted_ms: u64,
    first_start_ms: Option<u64>,
    attempt: u32,
    unsaved_ms: u64,
    unsaved_accelerators: u64,
    ended: Option<(u64, JobEnd)>,
}

impl Meter {
    /// Moves the integrals over time to now; called before each change of what they integrate.
    pub(super) fn advance(&mut self, now_ms: u64) {
        let span_ms = now_ms - self.now_ms;
        self.now_ms = now_ms;
        self.full_capacity = self.full_capacity.max(self.capacity);
        if self.changes > 0 {
            self.done_ms += span_ms * u64::from(self.busy);
            self.possible_ms += span_ms * u64::from(self.capacity.min(self.demand));
        }
    }

    pub(super) fn fragmentation(&mut self, fragmentation: f64) {
        self.fragmentation_sum += fragmentation;
        self.fragmentation_samples += 1;
    }

    pub(super) fn refused(&mut self) {
        self.refused += 1;
    }

    pub(super) fn submitted(&mut self, job: &JobSpec, class: Class, actual: ActualOutcome) {
        if !actual.fails {
            self.demand += job.accelerators();
        }
        let measured = Measured {
            class,
            accelerators: job.accelerators(),
            actual,
            submitted_ms: self.now_ms,
            first_start_ms: None,
            attempt: 0,
            unsaved_ms: 0,
            unsaved_accelerators: 0,
            ended: None,
        };
        self.jobs.insert(job.id.clone(), measured);
    }

    pub(super) fn began(&mut self, gang: &GangId, saved_ms: u64) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&gang.job) else { return };
        job.first_start_ms.get_or_insert(now_ms);
        if job.attempt != gang.number {
            job.attempt = gang.number;
            let lost_ms = job.unsaved_ms.saturating_sub(saved_ms * job.unsaved_accelerators);
            job.unsaved_ms = 0;
            job.unsaved_accelerators = 0;
            self.lose(lost_ms);
        }
    }

    /// Tasks ended without success after some progress, which is lost unless a checkpoint holds it.
    pub(super) fn interrupted(&mut self, job: &JobId, progress_ms: u64, accelerators: u64) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.unsaved_ms += progress_ms * accelerators;
            job.unsaved_accelerators += accelerators;
        }
    }

    pub(super) fn ended(&mut self, job: &JobId, end: &JobEnd) {
        let name = end_name(end);
        *self.ended.entry(name.to_owned()).or_default() += 1;
        let Some(job) = self.jobs.get_mut(job) else { return };
        job.ended = Some((self.now_ms, end.clone()));
        if !job.actual.fails {
            self.demand -= job.accelerators;
        }
        self.finish_ms = self.now_ms;
        let lost_ms = std::mem::take(&mut job.unsaved_ms);
        self.lose(lost_ms);
    }

    fn lose(&mut self, lost_ms: u64) {
        self.lost_ms += lost_ms;
        if self.changes > 0 {
            self.lost_in_change_ms += lost_ms;
        }
    }

    pub(super) fn finish(&self) -> Measures {
        let large = || self.jobs.values().filter(|job| job.accelerators >= LARGE_ACCELERATORS);
        let waits = large().filter_map(|job| job.wait_ms(self.now_ms));
        let starts = large().filter_map(|job| job.first_start_ms(self.now_ms));
        let done_ms = self.done_ms.saturating_sub(self.lost_in_change_ms);
        Measures {
            completion: self.completion(),
            large_wait_p99_ms: quantile(&histogram(waits), 0.99),
            large_start_p99_ms: quantile(&histogram(starts), 0.99),
            fragmentation: self.fragmentation_sum / self.fragmentation_samples.max(1) as f64,
            work_done: (self.possible_ms > 0).then(|| done_ms as f64 / self.possible_ms as f64),
            lost_work_ms: self.lost_ms,
            finish_ms: self.finish_ms,
            finish_bound_ms: self.finish_bound_ms(),
            accepted: self.jobs.len() as u64,
            refused: self.refused,
            ended: self.ended.clone(),
        }
    }

    fn completion(&self) -> BTreeMap<Class, Completion> {
        let mut classes = BTreeMap::new();
        for class in [Class::Urgent, Class::Normal, Class::Batch] {
            let jobs = || self.jobs.values().filter(|job| job.class == class);
            let times = histogram(jobs().filter_map(|job| job.completion_ms(self.now_ms)));
            let bounds = histogram(
                jobs()
                    .filter(|job| job.completion_ms(self.now_ms).is_some())
                    .map(|j| j.actual.run_ms),
            );
            let completion = Completion {
                jobs: times.len(),
                p50_ms: quantile(&times, 0.5),
                p99_ms: quantile(&times, 0.99),
                bound_p50_ms: quantile(&bounds, 0.5),
                bound_p99_ms: quantile(&bounds, 0.99),
            };
            classes.insert(class, completion);
        }
        classes
    }

    fn finish_bound_ms(&self) -> u64 {
        let succeeded = || self.jobs.values().filter(|job| job.has_succeeded());
        let work_ms: u64 = succeeded().map(|j| j.actual.run_ms * u64::from(j.accelerators)).sum();
        let first_ms = succeeded().map(|job| job.submitted_ms).min().unwrap_or(0);
        let longest_ms = succeeded().map(|job| job.submitted_ms + job.actual.run_ms).max();
        let by_capacity_ms = first_ms + work_ms / u64::from(self.full_capacity.max(1));
        by_capacity_ms.max(longest_ms.unwrap_or(0))
    }
}

impl Measured {
    /// The time from submission to success. A job without an end counts as if it succeeded now, because leaving it out
    /// would reward a policy that starves it.
    fn completion_ms(&self, now_ms: u64) -> Option<u64> {
        match &self.ended {
            Some((at_ms, JobEnd::Succeeded)) => Some(at_ms - self.submitted_ms),
            None if !self.actual.fails => Some(now_ms - self.submitted_ms),
            _ => None,
        }
    }

    fn wait_ms(&self, now_ms: u64) -> Option<u64> {
        Some(self.completion_ms(now_ms)?.saturating_sub(self.actual.run_ms))
    }

    /// The time from submission to the first start, or to now.
    fn first_start_ms(&self, now_ms: u64) -> Option<u64> {
        match (self.first_start_ms, &self.ended) {
            (Some(at_ms), _) => Some(at_ms - self.submitted_ms),
            (None, None) => Some(now_ms - self.submitted_ms),
            (None, Some(_)) => None,
        }
    }

    fn has_succeeded(&self) -> bool {
        matches!(self.ended, Some((_, JobEnd::Succeeded)))
    }
}

/// The name of an end in measures and transcripts.
pub(super) fn end_name(end: &JobEnd) -> &'static str {
    match end {
        JobEnd::Succeeded => "succeeded",
        JobEnd::Failed { .. } => "failed",
        JobEnd::NotRun { .. } => "not_run",
        JobEnd::Cancelled => "cancelled",
        JobEnd::Unknown { .. } => "unknown",
    }
}

/// Counts durations of up to a day; a longer one counts as a day.
fn histogram<I>(times_ms: I) -> Histogram<u64>
where
    I: Iterator<Item = u64>,
{
    const DAY_MS: u64 = 86_400_000;
    let mut histogram =
        Histogram::new_with_max(DAY_MS, 3).expect("three significant digits are valid");
    for time_ms in times_ms {
        histogram.saturating_record(time_ms);
    }
    histogram
}

fn quantile(histogram: &Histogram<u64>, quantile: f64) -> u64 {
    histogram.value_at_quantile(quantile)
}
