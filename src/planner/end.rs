//! Handles the ends of attempts and of jobs.

use super::message::{AttemptEnd, Decision, Output, PlannerTime, WorkerOrder};
use super::state::{Job, Occurrence, Placement};
use super::{JobProgress, Planner};
use crate::prelude::*;
use crate::workflow::{JobResult, TaskId, TaskPhase, WorkerIncarnation};

impl Planner {
    pub(super) fn keep_checkpoint(
        &mut self,
        task: &TaskId,
        attempt: u32,
        checkpoint: Option<&str>,
    ) {
        let Some(checkpoint) = checkpoint.filter(|value| !value.is_empty()) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.task(task).is_none_or(|state| {
            state.record.attempt != attempt
                || state.record.checkpoint.as_deref() == Some(checkpoint)
        }) {
            return;
        }
        // A checkpoint that any member reports applies to the whole gang.
        for member in job.members(task) {
            if let Some(state) = job.task_mut(&member) {
                state.record.checkpoint = Some(checkpoint.to_owned());
            }
        }
    }

    /// Handles the end of an attempt. Only the end of the attempt that is currently placed has an effect; the end of
    /// any other attempt was handled before.
    pub(super) fn attempt_ended(
        &mut self,
        now: PlannerTime,
        incarnation: &WorkerIncarnation,
        (task, attempt): (&TaskId, u32),
        kind: AttemptEnd,
        checkpoint: Option<&str>,
        out: &mut Vec<Output>,
    ) {
        if self.placement_of(task).is_none_or(|placed| placed != (incarnation.clone(), attempt)) {
            return;
        }
        if kind == AttemptEnd::Done {
            self.observe_attempt_speed(now, incarnation, task, true);
        }
        self.keep_checkpoint(task, attempt, checkpoint);
        out.push(Output::Decision {
            job: task.job.clone(),
            attempt: Some((task.clone(), attempt)),
            what: Decision::Ended,
            because: format!(
                "{kind:?} on worker {} born {}",
                incarnation.worker, incarnation.born_ms
            ),
        });
        if let Some(worker) = self.workers.get_mut(&incarnation.worker) {
            worker.placed.remove(task);
        }
        self.mark_changed(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(state) = job.task_mut(task) else {
            return;
        };
        let Some(placement) = state.placement.take() else {
            return;
        };
        if state.record.phase == TaskPhase::Done {
            self.clear_finished_occurrence(task);
            return;
        }
        state.record.phase = TaskPhase::Waiting;
        if job.result.is_some() {
            self.clear_finished_occurrence(task);
            return;
        }
        let long_running = job.step(task.step.into()).long_running;
        match kind {
            AttemptEnd::Done if !long_running => self.task_done(now, task, &placement, out),
            AttemptEnd::Failed => self.task_failed(now, task, &placement, out),
            AttemptEnd::Done
            | AttemptEnd::Stopped
            | AttemptEnd::Lapsed
            | AttemptEnd::Broken
            | AttemptEnd::Alone => {
                self.stop_gang(now, task, "another member of its gang ended", out);
            }
        }
    }

    fn task_done(
        &mut self,
        now: PlannerTime,
        task: &TaskId,
        placement: &Placement,
        out: &mut Vec<Output>,
    ) {
        if let Some(worker) = self.workers.get_mut(&placement.incarnation.worker) {
            worker.failed_jobs.clear();
        }
        self.credit_success(now, &task.job, placement);
        self.mark_gang_changed(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        for member in job.members(task) {
            if let Some(state) = job.task_mut(&member) {
                state.record.phase = TaskPhase::Done;
            }
        }
        let Some(occurrence) = job.occurrences.get_mut(&task.occurrence) else {
            return;
        };
        if occurrence.tasks.iter().any(|task| !task.is_done()) {
            return;
        }
        occurrence.done = true;
        self.mark_part_changed(&task.job, task.occurrence, 0);
        self.clear_finished_occurrence(task);
        let job = &self.jobs[&task.job];
        let expected = job.record.spec.occurrences() as usize;
        let all_done = job.occurrences.len() == expected
            && job.occurrences.values().all(|occurrence| occurrence.done);
        if all_done {
            self.finish_job(now, &task.job, JobResult::Done, "all tasks are done", out);
        }
    }

    fn task_failed(
        &mut self,
        now: PlannerTime,
        task: &TaskId,
        placement: &Placement,
        out: &mut Vec<Output>,
    ) {
        let worker = &placement.incarnation.worker;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.failed_jobs.insert(task.job.clone());
        }
        self.blame_failure(now, task, placement, out);
        self.mark_gang_changed(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let is_long_running = job.step(task.step.into()).long_running;
        let mut failures = 0;
        for member in job.members(task) {
            let Some(state) = job.task_mut(&member) else {
                continue;
            };
            // Several members of a gang may report the failure of one attempt.
            if state.failed_attempt != placement.attempt {
                state.failed_attempt = placement.attempt;
                state.record.failures += 1;
            }
            state.avoid = Some(worker.clone());
            failures = failures.max(state.record.failures);
        }
        if failures >= job.record.attempts && !is_long_running {
            let because = format!("task {task} failed {failures} times");
            self.finish_job(now, &task.job, JobResult::Failed, &because, out);
        } else {
            self.stop_gang(now, task, "a member of its gang failed", out);
        }
    }

    fn stop_gang(&mut self, now: PlannerTime, task: &TaskId, because: &str, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        for member in job.members(task) {
            self.stop_attempt(now, &member, because, out);
        }
    }

    /// Orders the stop of a task's attempt, if it has one that is not stopping already.
    pub(super) fn stop_attempt(
        &mut self,
        now: PlannerTime,
        task: &TaskId,
        because: &str,
        out: &mut Vec<Output>,
    ) {
        let Some(state) = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task)) else {
            return;
        };
        let Some(placement) = state.placement.as_mut() else {
            return;
        };
        if placement.stopping_ms.is_some() {
            return;
        }
        placement.stopping_ms = Some(now.steady_ms);
        out.push(Output::Decision {
            job: task.job.clone(),
            attempt: Some((task.clone(), placement.attempt)),
            what: Decision::Stopped,
            because: because.to_owned(),
        });
        // The start order of an intended attempt has not been sent; it is dropped once the intent is durable.
        if placement.phase != super::StartPhase::Intended {
            out.push(Output::Order(WorkerOrder::Stop {
                incarnation: placement.incarnation.clone(),
                task: task.clone(),
                attempt: placement.attempt,
            }));
        }
    }

    pub(super) fn finish_job(
        &mut self,
        now: PlannerTime,
        id: &JobId,
        result: JobResult,
        because: &str,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.result = Some(result);
        job.ended_wall_ms = now.wall_ms;
        let queue = job.record.queue.clone();
        let running = if result == JobResult::Done { Vec::new() } else { placed_tasks(id, job) };
        self.mark_part_changed(id, 0, 0);
        if !self.is_withheld(id) {
            self.effects.push(Output::Progress {
                job: id.clone(),
                queue,
                progress: Some(JobProgress::Finished(result)),
            });
        }
        self.effects.push(Output::Decision {
            job: id.clone(),
            attempt: None,
            what: Decision::Finished,
            because: format!("{result:?}: {because}"),
        });
        for task in running {
            self.stop_attempt(now, &task, "its job is finished", out);
        }
        let occurrences: Vec<u32> = self.jobs[id].occurrences.keys().copied().collect();
        for occurrence in occurrences {
            self.clear_finished_occurrence(&TaskId {
                job: id.clone(),
                occurrence,
                step: 0,
                index: 0,
            });
        }
    }

    /// Removes the tasks of an occurrence that is done, or whose job is finished, once none of them has a placement.
    fn clear_finished_occurrence(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let is_finished = job.result.is_some();
        let Some(occurrence) = job.occurrences.get_mut(&task.occurrence) else {
            return;
        };
        let is_free = occurrence.tasks.iter().all(|task| task.placement.is_none());
        if is_free && (is_finished || occurrence.done) && !occurrence.tasks.is_empty() {
            occurrence.tasks.clear();
            self.mark_part_changed(&task.job, task.occurrence, 0);
        }
    }
}

/// Returns the tasks of a job that have a placement.
pub(super) fn placed_tasks(id: &JobId, job: &Job) -> Vec<TaskId> {
    let mut placed = Vec::new();
    let with_tasks = |(_, occurrence): &(&u32, &Occurrence)| !occurrence.tasks.is_empty();
    for (number, occurrence) in job.occurrences.iter().filter(with_tasks) {
        for step in 0..job.record.spec.steps.len() {
            for (index, position) in job.range(step).enumerate() {
                if occurrence.tasks.get(position).is_some_and(|task| task.placement.is_some()) {
                    placed.push(TaskId {
                        job: id.clone(),
                        occurrence: *number,
                        step: step as u16,
                        index: index as u32,
                    });
                }
            }
        }
    }
    placed
}
