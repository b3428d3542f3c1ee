//! Decides whether a submitted job is accepted or rejected at once, from the load that the leader publishes.
//!
//! Load pattern: more work arrives than the workers finish. Jobs that are accepted all the same finish when their result
//! is of no more use, and delay others meanwhile. A client that is rejected at once learns when to come back.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::planner::{JobTimes, OccurrenceValue};
use crate::prelude::*;
use crate::rules::Objective;
use crate::workflow::{JobRecord, Resources, StepSpec};

/// Factor by which the estimates of clients may be too high. A job is rejected only if it ends too late even then.
const ESTIMATE_ERROR_FACTOR: u64 = 2;
/// Age up to which a load summary decides. With an older one all jobs are accepted: a rejection has to be true.
pub const MAX_LOAD_AGE_MS: u64 = 3_000;
/// Earliest and latest time after which a rejected client is asked to come back.
const RETRY_AFTER_S: std::ops::RangeInclusive<u64> = 1..=30;
/// Expected value of a result, in percent of that in time, below which a job is rejected by value.
const MIN_VALUE_PERCENT: u64 = 10;
/// Time after which the client of a job that no set of workers can run is asked to come back: workers may be added.
const INFEASIBLE_RETRY_AFTER_S: u64 = 30;

/// Equal workers of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerGroup {
    /// Labels of the workers.
    pub labels: Vec<String>,
    /// Total resources of each worker.
    pub room: Resources,
    /// Number of workers.
    pub workers: u32,
}

/// Load of the workers of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Workers of the service.
    pub groups: Vec<WorkerGroup>,
    /// Time in milliseconds in which all workers together finish the accepted work of each priority, without jobs whose
    /// results are of no more use.
    pub backlog_ms: Vec<(u8, u64)>,
}

/// Load of all services as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Load of each service.
    pub services: Vec<ServiceLoad>,
    /// Accelerators that unfinished urgent jobs of each organisation need.
    pub urgent_accelerators: Vec<(OrganisationId, u32)>,
    /// All workers have had time to report, so no set of workers is missing in [`ServiceLoad::groups`].
    pub has_all_workers: bool,
}

/// Decision on a submitted job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// Its result would be of no more use when it is finished, even if the work in front of it takes half as long as
    /// estimated.
    Overload {
        /// Expected time until the work in front of it is finished.
        wait_ms: u64,
        /// Time after which the client may come back.
        retry_after_s: u64,
    },
    /// No set of workers that exists can run the step with this number.
    Infeasible {
        /// Number of the step, from 0.
        step: usize,
        /// Time after which the client may come back.
        retry_after_s: u64,
    },
}

impl ServiceLoad {
    /// Returns the number of workers.
    fn workers(&self) -> u32 {
        self.groups.iter().map(|group| group.workers).sum()
    }

    /// Returns how many tasks of a step the workers can run at the same time.
    fn fit_count(&self, step: &StepSpec) -> u64 {
        let has_label = |group: &&WorkerGroup| {
            step.required_label.as_ref().is_none_or(|label| group.labels.contains(label))
        };
        let limit = if step.max_per_worker == 0 { u32::MAX } else { step.max_per_worker };
        let fits = |group: &WorkerGroup| {
            u64::from(group.room.fit_count(&step.need).min(limit)) * u64::from(group.workers)
        };
        self.groups.iter().filter(has_label).map(fits).fold(0, u64::saturating_add)
    }

    /// Returns the first step that cannot run even while all workers are free. The members of a gang have to run at the
    /// same time, other tasks may run one after the other.
    fn first_infeasible_step(&self, steps: &[StepSpec]) -> Option<usize> {
        let needed = |step: &StepSpec| if step.gang { u64::from(step.tasks) } else { 1 };
        steps.iter().position(|step| self.fit_count(step) < needed(step))
    }

    /// Returns the time until the accepted work in front of a job is finished, and the longest chain of the job's work.
    fn wait_and_chain_ms(&self, record: &JobRecord) -> (u64, u64) {
        let ahead = self.backlog_ms.iter().filter(|(priority, _)| *priority <= record.priority);
        let wait_ms = ahead.fold(0, |sum: u64, (_, backlog_ms)| sum.saturating_add(*backlog_ms));
        let steps = &record.spec.steps;
        (wait_ms, record.spec.longest_chain_ms(|step| steps[step].estimate_ms))
    }

    /// Returns the time in which all workers together finish tasks of a step that run for `duration_ms` each.
    pub fn work_ms(&self, step: &StepSpec, tasks: u64, duration_ms: u64) -> u64 {
        match self.fit_count(step) {
            0 => 0,
            fits => tasks.saturating_mul(duration_ms) / fits,
        }
    }
}

impl LoadSummary {
    /// Decides on a job. `guarantee` is the number of accelerators guaranteed to its organisation: work within it is
    /// never rejected for the load of others.
    pub fn decide(
        &self,
        job: &JobId,
        record: &JobRecord,
        objective: Objective,
        guarantee: u32,
    ) -> Admission {
        let Some(load) = self.services.iter().find(|load| load.service == record.service) else {
            return Admission::Accept;
        };
        let spec = &record.spec;
        if self.has_all_workers
            && load.workers() > 0
            && let Some(step) = load.first_infeasible_step(&spec.steps)
        {
            return Admission::Infeasible { step, retry_after_s: INFEASIBLE_RETRY_AFTER_S };
        }
        if spec.schedule.is_some() || spec.is_long_running() {
            return Admission::Accept;
        }
        if record.priority == 0 && self.is_within_guarantee(record, guarantee) {
            return Admission::Accept;
        }
        let (wait_ms, chain_ms) = load.wait_and_chain_ms(record);
        let limit_ms = objective.late_limit_ms(chain_ms);
        if (wait_ms / ESTIMATE_ERROR_FACTOR).saturating_add(chain_ms) <= limit_ms {
            return Admission::Accept;
        }
        let excess_ms = wait_ms.saturating_add(chain_ms).saturating_sub(limit_ms);
        Admission::Overload { wait_ms, retry_after_s: retry_after_s(job, excess_ms) }
    }

    /// Decides on a job as [`Self::decide`] does, but by the expected value of its result: a job is rejected if that value
    /// is next to nothing, and its client comes back when the result is expected in time.
    ///
    /// Load pattern: rejected clients come back as soon as their results would be of some use, so that the work in front
    /// of all accepted jobs stays as long as it can be, and all results are late.
    pub fn decide_by_value(
        &self,
        job: &JobId,
        record: &JobRecord,
        objective: Objective,
        guarantee: u32,
    ) -> Admission {
        let decision = self.decide(job, record, objective, guarantee);
        let load = self.services.iter().find(|load| load.service == record.service);
        let (Some(load), Admission::Overload { .. }) = (load, &decision) else {
            return decision;
        };
        let (wait_ms, chain_ms) = load.wait_and_chain_ms(record);
        let times = JobTimes {
            waited_ms: 0,
            remaining_ms: chain_ms,
            objective_ms: objective.of_chain_ms(chain_ms),
            late_limit_ms: objective.late_limit_ms(chain_ms),
        };
        let value = OccurrenceValue { priority: record.priority, times: Some(times) };
        let expected = value.expected(wait_ms / ESTIMATE_ERROR_FACTOR);
        if expected.saturating_mul(100) >= value.timely().saturating_mul(MIN_VALUE_PERCENT) {
            return Admission::Accept;
        }
        let excess_ms = wait_ms.saturating_add(chain_ms).saturating_sub(times.objective_ms);
        Admission::Overload { wait_ms, retry_after_s: retry_after_s(job, excess_ms) }
    }

    fn is_within_guarantee(&self, record: &JobRecord, guarantee: u32) -> bool {
        let in_use = self
            .urgent_accelerators
            .iter()
            .find(|(organisation, _)| *organisation == record.organisation)
            .map_or(0, |(_, accelerators)| *accelerators);
        in_use.saturating_add(record.first_step_accelerators()) <= guarantee
    }
}

/// Returns when a rejected client may come back: once the excess is worked off, up to half as much later. The part that
/// depends on the job keeps clients that were rejected together from coming back together.
fn retry_after_s(job: &JobId, excess_ms: u64) -> u64 {
    let hash = job.as_str().bytes().fold(0_u64, |hash, byte| hash * 31 % 1_009 + u64::from(byte));
    let spread_ms = excess_ms / 200 * (hash % 101);
    let wait_s = excess_ms.saturating_add(spread_ms).div_ceil(1_000);
    wait_s.clamp(*RETRY_AFTER_S.start(), *RETRY_AFTER_S.end())
}
