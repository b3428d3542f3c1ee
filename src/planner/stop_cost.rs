//! Applies the cost function of [`super::overload`] to the attempts that an urgent job may stop.

use std::collections::BTreeSet;

use super::Planner;
use super::evict::Victim;
use super::message::{Decision, Output, PlannerTime};
use super::overload::{CostSettings, OccurrenceValue, StopBalance, StopLoss, StopTerms};
use super::pool::{Allocation, Candidate};
use super::queue::{ReadyStep, remaining_step_ms};
use super::state::{Job, Placement, StartPhase, Task};
use super::straggler::projected_ms;
use crate::prelude::*;
use crate::workflow::{Resources, StepSpec, TaskId};

/// Processor capacity that has the same weight as one accelerator in the cost of a stop, in thousandths of a core.
const ACCELERATOR_CORES_MILLI: u64 = 8_000;
/// Factor by which the tasks of a step take longer outside one rack, in addition to their usual time.
const EXTRA_SPREAD_FACTOR: u64 = 2;
/// Factor by which attempts may progress faster than estimated.
const MAX_ESTIMATE_FACTOR: u64 = 2;
/// Time after which workers list the progress of their attempts at the latest. Without progress for longer, the
/// projection from the last one would keep an attempt about to end forever.
const REPORT_MS: u64 = 1_000;
/// Delay by whose loss waiting work is ordered. Work that ends frees capacity several times a second, so the next
/// opportunity to start is less than this away.
const RANK_DELAY_MS: u64 = 1_000;
/// Factor that keeps the ratio of a loss to the work of a large job distinct from 0.
const RANK_SCALE: u64 = 1_000_000;
/// Time after which stops that were withheld are weighed again. The balance changes with the progress of the attempts,
/// and weighing takes time for each waiting urgent job.
const WEIGH_INTERVAL_MS: u64 = 250;

/// Occurrence whose attempts may be stopped.
#[derive(Clone, Debug)]
pub(super) struct RunningOccurrence {
    value: OccurrenceValue,
    /// Expected time until the running tasks of each step have ended.
    step_left_ms: Vec<u64>,
    /// Work of all steps, as milliseconds of tasks with a weight of 1.
    work: u64,
}

/// Returns the weight of a task by the resources that it needs.
pub(super) fn weight(need: &Resources) -> u64 {
    u64::from(need.cores_milli) + u64::from(need.accelerators) * ACCELERATOR_CORES_MILLI
}

/// Returns the work of all tasks of a step, as milliseconds of tasks with a weight of 1.
fn step_work(step: &StepSpec) -> u64 {
    let task_work = step.estimate_ms.saturating_mul(weight(&step.need));
    task_work.saturating_mul(step.tasks.into())
}

/// Returns the time for which an attempt has worked. After a takeover or a resumption it is derived from the reported
/// progress, which then is more than twice as fast as estimated.
fn worked_ms(now: PlannerTime, step: &StepSpec, placement: &Placement) -> u64 {
    let elapsed_ms = now.steady_ms.saturating_sub(placement.started_ms);
    let progress_ms = step.estimate_ms.saturating_mul(placement.percent.min(100).into()) / 100;
    if elapsed_ms.saturating_mul(MAX_ESTIMATE_FACTOR) < progress_ms {
        progress_ms
    } else {
        elapsed_ms
    }
}

/// Returns the expected time until an attempt ends by itself, or `None` if it has no end. An attempt that has taken longer
/// than estimated is expected to take as long again.
fn left_ms(now: PlannerTime, step: &StepSpec, placement: &Placement) -> Option<u64> {
    if step.long_running {
        return None;
    }
    let elapsed_ms = now.steady_ms.saturating_sub(placement.started_ms);
    let worked_ms = worked_ms(now, step, placement);
    let silent_ms = now.steady_ms.saturating_sub(placement.progress_ms);
    let max_silent_ms =
        REPORT_MS + elapsed_ms * MAX_ESTIMATE_FACTOR / u64::from(placement.percent.max(1));
    let projected = projected_ms(now, placement)
        .filter(|_| worked_ms == elapsed_ms && silent_ms <= max_silent_ms);
    Some(match (projected, step.estimate_ms.saturating_sub(worked_ms)) {
        (Some(projected_ms), _) => (projected_ms as u64).saturating_sub(elapsed_ms),
        (None, 0) => worked_ms,
        (None, left_ms) => left_ms,
    })
}

impl RunningOccurrence {
    /// Returns the state of an occurrence with running attempts.
    pub fn new(planner: &Planner, now: PlannerTime, job: &Job, number: u32) -> Self {
        let tasks = &job.occurrences[&number].tasks;
        let task_left_ms = |step: &StepSpec, task: &Task| match &task.placement {
            _ if task.is_done() => 0,
            Some(placement) => left_ms(now, step, placement).unwrap_or_default(),
            None => step.estimate_ms,
        };
        let steps = &job.record.spec.steps;
        let step_left_ms: Vec<u64> = (0..steps.len())
            .map(|index| {
                let tasks = &tasks[job.range(index)];
                tasks.iter().map(|task| task_left_ms(&steps[index], task)).max().unwrap_or_default()
            })
            .collect();
        let times = planner.job_times(now, job, number, |step| step_left_ms[step]);
        Self {
            value: OccurrenceValue { priority: job.record.priority, times },
            work: steps.iter().map(step_work).fold(0, u64::saturating_add),
            step_left_ms,
        }
    }

    /// Returns the terms on which a task and the other members of its gang are stopped.
    pub fn terms(&self, now: PlannerTime, job: &Job, task: &TaskId) -> StopTerms {
        let step = job.step(task.step.into());
        let members = job.members(task);
        let placed: Vec<&Placement> =
            members.iter().filter_map(|member| job.task(member)?.placement.as_ref()).collect();
        let has_started = placed.len() == members.len()
            && placed.iter().all(|placement| placement.phase == StartPhase::Running);
        let worked_ms = placed.iter().map(|placement| worked_ms(now, step, placement)).min();
        let left = placed.iter().map(|placement| left_ms(now, step, placement));
        StopTerms {
            value: self.value,
            attempts: placed.len() as u64,
            worked_ms: worked_ms.filter(|_| has_started).unwrap_or_default(),
            left_ms: left.max().flatten().filter(|_| !step.long_running),
            step_left_ms: self.step_left_ms[usize::from(task.step)],
            occurrence_work_ms: self.work / weight(&step.need).max(1),
            is_checkpointable: step.checkpointable,
            is_gang: step.gang,
            evictions: job.task(task).map_or(0, |state| state.evictions),
        }
    }
}

/// Returns the loss of several stops. An occurrence is delayed by the longest delay of its attempts.
fn total_loss(
    settings: &CostSettings,
    outage_ms: u64,
    in_ms: u64,
    chosen: &[(&TaskId, StopTerms)],
) -> u64 {
    let mut sum = StopLoss::default();
    let mut delays: std::collections::BTreeMap<(&JobId, u32), u64> = Default::default();
    for (task, terms) in chosen {
        let loss = terms.loss(settings, outage_ms, in_ms);
        sum.work = sum.work.saturating_add(loss.work);
        let delay = delays.entry((&task.job, task.occurrence)).or_default();
        *delay = loss.delay.max(*delay);
    }
    sum.delay = delays.values().sum();
    sum.total()
}

impl Planner {
    /// Returns the rank of a waiting occurrence within its priority and outlook: the more callers lose for each unit of its
    /// work if it starts later, the lower. Returns 0 unless costs are taken into account.
    ///
    /// Load pattern: a short job with a near objective waits behind an older, longer one that still has ample time.
    pub(super) fn delay_rank(&self, now: PlannerTime, job: &Job, number: u32) -> u64 {
        if self.settings.cost.is_none() {
            return 0;
        }
        let times = self.job_times(now, job, number, remaining_step_ms(job, number));
        let value = OccurrenceValue { priority: job.record.priority, times };
        let work = job.record.spec.steps.iter().map(step_work).fold(0, u64::saturating_add);
        let loss = value.delay_loss(RANK_DELAY_MS).saturating_mul(RANK_SCALE);
        u64::MAX - loss / work.max(1)
    }

    /// Weighs the stops of chosen victims against the timely start of an urgent step, or returns `None` if costs are not
    /// taken into account.
    pub(super) fn stop_balance(
        &self,
        now: PlannerTime,
        ready: &ReadyStep,
        pool: &[Candidate],
        allocation: &Allocation,
        chosen: &[&Victim],
    ) -> Option<StopBalance> {
        let settings = self.settings.cost.as_ref()?;
        let job = &self.jobs[&ready.job];
        let step = job.step(ready.step);
        let racks: BTreeSet<_> = allocation.iter().map(|(index, _)| &pool[*index].rack).collect();
        let extra_ms = match step.same_rack && racks.len() > 1 {
            true => step.estimate_ms.saturating_mul(EXTRA_SPREAD_FACTOR),
            false => 0,
        };
        let remaining_ms = remaining_step_ms(job, ready.occurrence);
        let mut times = self.job_times(now, job, ready.occurrence, remaining_ms);
        if let Some(times) = &mut times {
            times.remaining_ms = times.remaining_ms.saturating_add(extra_ms);
        }
        let urgent = OccurrenceValue { priority: ready.priority, times };
        let terms: Vec<(&TaskId, StopTerms)> =
            chosen.iter().filter_map(|victim| Some((&victim.task, victim.terms?))).collect();
        let victims: Vec<StopTerms> = terms.iter().map(|(_, terms)| *terms).collect();
        let outage_ms = step.estimate_ms.saturating_add(extra_ms);
        let loss_in = |in_ms| total_loss(settings, outage_ms, in_ms, &terms);
        Some(StopBalance::of(settings, &urgent, &victims, loss_in))
    }

    /// Returns whether the stops for a step were withheld so recently that they need not be weighed again.
    pub(super) fn was_withheld(&self, now: PlannerTime, ready: &ReadyStep) -> bool {
        let occurrence = &self.jobs[&ready.job].occurrences[&ready.occurrence];
        occurrence.stop_refusal.is_some_and(|(decision, decided_ms)| {
            decision == Decision::StopWithheld && now.steady_ms < decided_ms + WEIGH_INTERVAL_MS
        })
    }

    /// Records that stops for an urgent step are not ordered, and logs it if the last decision on it was another one.
    pub(super) fn record_stop_refusal(
        &mut self,
        now: PlannerTime,
        ready: &ReadyStep,
        (decision, because): (Decision, String),
        out: &mut Vec<Output>,
    ) {
        let job = self.jobs.get_mut(&ready.job);
        let Some(occurrence) = job.and_then(|job| job.occurrences.get_mut(&ready.occurrence))
        else {
            return;
        };
        let last = occurrence.stop_refusal.replace((decision, now.steady_ms));
        if last.is_none_or(|(last, _)| last != decision) {
            out.push(Output::Decision {
                job: ready.job.clone(),
                attempt: None,
                what: decision,
                because,
            });
        }
    }
}
