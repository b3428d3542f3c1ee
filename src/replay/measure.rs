//! The measures of docs/design.md, section 2, and their theoretical bounds.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::session::ActualOutcome;
use crate::prelude::*;

/// Lowest number of accelerators of a job that counts as a large gang.
pub const LARGE_ACCELERATORS: u32 = 16;

/// Measures of a session.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Measures {
    /// Completion times by class.
    pub completion: BTreeMap<Class, Completion>,
    /// 99th percentile of the time from submission to end less the job's own run time, of large gangs that succeeded or
    /// have not ended, in milliseconds.
    pub large_wait_p99_ms: u64,
    /// 99th percentile of the time from submission to the first start of large gangs, in milliseconds.
    pub large_start_p99_ms: u64,
    /// Mean fragmentation over time and groups.
    pub fragmentation: f64,
    /// Work done while a data centre is out or returning, as a share of what the accelerators in service could do;
    /// `None` if no work was possible during such a time.
    pub work_done: Option<f64>,
    /// Wasted accelerator-milliseconds: lost progress and failed attempts.
    pub lost_work_ms: u64,
    /// Time at which the last job ended, in milliseconds.
    pub finish_ms: u64,
    /// Lower bound of `finish_ms`: all work divided by all accelerators, or the latest submission time plus run time of
    /// a job, whichever is later.
    pub finish_bound_ms: u64,
    /// Number of jobs that callers submitted and the table accepted.
    pub accepted: u64,
    /// Number of submissions that the entry refused.
    pub refused: u64,
    /// Number of ended jobs by outcome.
    pub ended: BTreeMap<String, u64>,
}

/// Completion times of the jobs of a class that succeeded or have not ended, and the bounds given by their run times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Completion {
    /// Number of jobs.
    pub jobs: u64,
    /// Median completion time, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of the completion time, in milliseconds.
    pub p99_ms: u64,
    /// Median of the run times, the bound of `p50_ms`, in milliseconds.
    pub bound_p50_ms: u64,
    /// 99th percentile of the run times, the bound of `p99_ms`, in milliseconds.
    pub bound_p99_ms: u64,
}

/// Collects the measures during a replay.
#[derive(Debug, Default)]
pub(super) struct Meter {
    jobs: BTreeMap<JobId, MeasuredJob>,
    refused: u64,
    ended: BTreeMap<String, u64>,
    finish_ms: u64,
    fragmentation_sum: f64,
    fragmentation_samples: u64,
    now_ms: u64,
    /// Number of accelerators that run tasks on workers in service.
    pub(super) busy_accelerators: u32,
    /// Number of accelerators of live workers in service.
    pub(super) accelerators_in_service: u32,
    /// Highest number of accelerators that were in service.
    max_accelerators_in_service: u32,
    demanded_accelerators: u32,
    /// Number of data centres that are out or returning.
    pub(super) active_changes: u32,
    done_work_ms: u64,
    possible_work_ms: u64,
    lost_work_ms: u64,
    lost_work_in_change_ms: u64,
}

#[derive(Debug)]
struct MeasuredJob {
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
    /// Advances the integrals over time to `now_ms`; must be called before each change of the integrated values.
    pub(super) fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms - self.now_ms;
        self.now_ms = now_ms;
        self.max_accelerators_in_service =
            self.max_accelerators_in_service.max(self.accelerators_in_service);
        if self.active_changes > 0 {
            self.done_work_ms += elapsed_ms * u64::from(self.busy_accelerators);
            self.possible_work_ms += elapsed_ms
                * u64::from(self.accelerators_in_service.min(self.demanded_accelerators));
        }
    }

    pub(super) fn record_fragmentation(&mut self, fragmentation: f64) {
        self.fragmentation_sum += fragmentation;
        self.fragmentation_samples += 1;
    }

    pub(super) fn record_refused(&mut self) {
        self.refused += 1;
    }

    pub(super) fn record_submitted(&mut self, job: &JobSpec, class: Class, actual: ActualOutcome) {
        if !actual.fails {
            self.demanded_accelerators += job.accelerators();
        }
        let measured = MeasuredJob {
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

    pub(super) fn record_start(&mut self, gang: &GangId, saved_ms: u64) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&gang.job) else { return };
        job.first_start_ms.get_or_insert(now_ms);
        if job.attempt != gang.number {
            job.attempt = gang.number;
            let lost_ms = job.unsaved_ms.saturating_sub(saved_ms * job.unsaved_accelerators);
            job.unsaved_ms = 0;
            job.unsaved_accelerators = 0;
            self.add_lost_work(lost_ms);
        }
    }

    /// Records progress of tasks that ended without success; it counts as lost unless a checkpoint saved it.
    pub(super) fn record_interrupted(&mut self, job: &JobId, progress_ms: u64, accelerators: u64) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.unsaved_ms += progress_ms * accelerators;
            job.unsaved_accelerators += accelerators;
        }
    }

    pub(super) fn record_end(&mut self, job: &JobId, end: &JobEnd) {
        let name = end_name(end);
        *self.ended.entry(name.to_owned()).or_default() += 1;
        let Some(job) = self.jobs.get_mut(job) else { return };
        job.ended = Some((self.now_ms, end.clone()));
        if !job.actual.fails {
            self.demanded_accelerators -= job.accelerators;
        }
        self.finish_ms = self.now_ms;
        let lost_ms = std::mem::take(&mut job.unsaved_ms);
        self.add_lost_work(lost_ms);
    }

    fn add_lost_work(&mut self, lost_ms: u64) {
        self.lost_work_ms += lost_ms;
        if self.active_changes > 0 {
            self.lost_work_in_change_ms += lost_ms;
        }
    }

    pub(super) fn measures(&self) -> Measures {
        let large = || self.jobs.values().filter(|job| job.accelerators >= LARGE_ACCELERATORS);
        let waits = large().filter_map(|job| job.wait_ms(self.now_ms));
        let starts = large().filter_map(|job| job.first_start_ms(self.now_ms));
        let done_work_ms = self.done_work_ms.saturating_sub(self.lost_work_in_change_ms);
        Measures {
            completion: self.completion(),
            large_wait_p99_ms: quantile(&histogram(waits), 0.99),
            large_start_p99_ms: quantile(&histogram(starts), 0.99),
            fragmentation: self.fragmentation_sum / self.fragmentation_samples.max(1) as f64,
            work_done: (self.possible_work_ms > 0)
                .then(|| done_work_ms as f64 / self.possible_work_ms as f64),
            lost_work_ms: self.lost_work_ms,
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
        let by_capacity_ms =
            first_ms + work_ms / u64::from(self.max_accelerators_in_service.max(1));
        by_capacity_ms.max(longest_ms.unwrap_or(0))
    }
}

impl MeasuredJob {
    /// Returns the time from submission to success. A job that has not ended counts as if it succeeded now, because
    /// omitting it would reward a policy that starves it.
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

    /// Returns the time from submission to the first start, or to now if the job has neither started nor ended.
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

/// Returns the name of a job's outcome in measures and transcripts.
pub(super) fn end_name(end: &JobEnd) -> &'static str {
    match end {
        JobEnd::Succeeded => "succeeded",
        JobEnd::Failed { .. } => "failed",
        JobEnd::NotRun { .. } => "not_run",
        JobEnd::Cancelled => "cancelled",
        JobEnd::Unknown { .. } => "unknown",
    }
}

/// Returns a histogram of durations; one longer than a day counts as a day.
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
