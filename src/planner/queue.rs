//! The steps with tasks that can start, in the order in which they are placed.

use std::collections::BTreeSet;

use super::Planner;
use super::message::PlannerTime;
use super::overload::{
    EvictionRight, JobTimes, Outlook, UrgentJob, restart_pause_ms, within_guarantee,
};
use super::state::{Job, Occurrence, Task};
use crate::prelude::*;

/// Step with tasks that can start. Steps are placed in the order of the derived `Ord`, field by field.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadyStep {
    /// No guarantee covers the job, and its result is of no more use to its client.
    pub is_deferred: bool,
    pub priority: u8,
    /// The job is urgent, but no guarantee covers it.
    pub exceeds_guarantee: bool,
    pub outlook: Outlook,
    /// Rank by the loss of a delay, the largest loss first; 0 unless costs are taken into account.
    pub delay_rank: u64,
    pub order: u64,
    pub occurrence: u32,
    pub step: usize,
    pub job: JobId,
    pub eviction_right: EvictionRight,
    /// Steady time until which the step is not placed while urgent steps wait for room.
    pub pauses_until_ms: u64,
}

impl Planner {
    /// Returns the steps with tasks that can start, in the order in which they are placed.
    pub(super) fn ready_steps(&mut self, now: PlannerTime) -> Vec<ReadyStep> {
        for job in self.jobs.values_mut().filter(|job| job.may_start()) {
            job.create_due_occurrences(now.wall_ms);
        }
        let over_guarantee = self.organisations_over_guarantee();
        let covered = self.jobs_within_guarantee();
        let mut ready = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.may_start()) {
            let is_covered = covered.contains(id);
            for (number, occurrence) in &job.occurrences {
                let steps = ready_steps_of(job, occurrence);
                if steps.is_empty() {
                    continue;
                }
                let outlook = self.outlook(now, job, *number);
                // Covered jobs keep their order, since the stops for each are ordered in that order.
                let delay_rank = if is_covered { 0 } else { self.delay_rank(now, job, *number) };
                let is_within = !over_guarantee.contains(&job.record.organisation);
                for step in steps {
                    ready.push(ReadyStep {
                        is_deferred: outlook == Outlook::Overdue && !is_covered,
                        priority: job.record.priority,
                        exceeds_guarantee: job.record.priority == 0 && !is_covered,
                        outlook,
                        delay_rank,
                        order: job.order,
                        occurrence: *number,
                        step,
                        job: id.clone(),
                        eviction_right: EvictionRight::of(is_within, is_covered, outlook),
                        pauses_until_ms: pause_end_ms(&occurrence.tasks[job.range(step)]),
                    });
                }
            }
        }
        ready.sort();
        self.record_ready_times(now, &ready);
        ready
    }

    fn record_ready_times(&mut self, now: PlannerTime, ready: &[ReadyStep]) {
        for step in ready {
            let job = self.jobs.get_mut(&step.job);
            if let Some(occurrence) = job.and_then(|job| job.occurrences.get_mut(&step.occurrence))
            {
                occurrence.ready_ms.entry(step.step).or_insert(now.steady_ms);
            }
        }
    }

    /// Returns the urgent jobs that the guarantees of their organisations cover.
    fn jobs_within_guarantee(&self) -> BTreeSet<JobId> {
        let urgent: Vec<UrgentJob<'_>> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.record.priority == 0 && job.result.is_none())
            .map(|(id, job)| UrgentJob {
                id,
                organisation: &job.record.organisation,
                accelerators: job.record.first_step_accelerators(),
                is_placed: job.is_placed(),
                order: job.order,
            })
            .collect();
        let rules = self.directives.rules.as_ref();
        let guarantee = |organisation: &OrganisationId| {
            rules.map_or(0, |rules| rules.guarantee_of(organisation))
        };
        within_guarantee(&urgent, guarantee).into_iter().cloned().collect()
    }

    /// Returns the prospect of an occurrence of a job. Jobs without an objective always count as timely.
    pub(super) fn outlook(&self, now: PlannerTime, job: &Job, occurrence: u32) -> Outlook {
        let times = self.job_times(now, job, occurrence, remaining_step_ms(job, occurrence));
        times.map_or(Outlook::Timely, |times| times.outlook())
    }

    /// Returns the times of an occurrence, given the remaining time of each step, or `None` if it has no objective.
    pub(super) fn job_times<F>(
        &self,
        now: PlannerTime,
        job: &Job,
        occurrence: u32,
        remaining_ms: F,
    ) -> Option<JobTimes>
    where
        F: Fn(usize) -> u64,
    {
        let spec = &job.record.spec;
        let objective = self.objectives.get(&job.record.queue).filter(|_| !spec.is_long_running());
        let objective = objective?;
        let since_wall_ms = match spec.schedule {
            Some(_) => spec.due_ms(occurrence),
            None => job.record.accepted_ms,
        };
        let chain_ms = spec.longest_chain_ms(|step| job.step(step).estimate_ms);
        Some(JobTimes {
            waited_ms: now.wall_ms.saturating_sub(since_wall_ms),
            remaining_ms: spec.longest_chain_ms(remaining_ms),
            objective_ms: objective.of_chain_ms(chain_ms),
            late_limit_ms: objective.late_limit_ms(chain_ms),
        })
    }
}

/// Returns the estimated time of each step of an occurrence that is not done.
pub(super) fn remaining_step_ms(job: &Job, occurrence: u32) -> impl Fn(usize) -> u64 + use<'_> {
    let tasks = &job.occurrences[&occurrence].tasks;
    move |step| if all_done(&tasks[job.range(step)]) { 0 } else { job.step(step).estimate_ms }
}

/// Returns the numbers of the steps of an occurrence with tasks that can start.
fn ready_steps_of(job: &Job, occurrence: &Occurrence) -> Vec<usize> {
    if occurrence.done || occurrence.tasks.is_empty() {
        return Vec::new();
    }
    let is_ready = |step: &usize| {
        let spec = job.step(*step);
        let tasks = &occurrence.tasks[job.range(*step)];
        let mut waiting = tasks.iter().filter(|task| task.is_waiting());
        let has_waiting = match spec.gang {
            true => waiting.count() == tasks.len(),
            false => waiting.next().is_some(),
        };
        let is_done = |other: &u16| all_done(&occurrence.tasks[job.range(usize::from(*other))]);
        has_waiting && spec.after.iter().all(is_done)
    };
    (0..job.record.spec.steps.len()).filter(is_ready).collect()
}

/// Returns the earliest steady time at which a waiting task is not paused after a stop for an urgent job.
fn pause_end_ms(tasks: &[Task]) -> u64 {
    let waiting = tasks.iter().filter(|task| task.is_waiting());
    waiting.map(|task| task.evicted_ms + restart_pause_ms(task.evictions)).min().unwrap_or_default()
}

fn all_done(tasks: &[Task]) -> bool {
    tasks.iter().all(Task::is_done)
}
