//! Finds attempts that stand still and workers that are slow, by the progress that workers report.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Planner;
use super::message::{Output, PlannerTime};
use super::state::{Placement, StartPhase};
use crate::prelude::*;
use crate::workflow::{TaskId, WorkerIncarnation};

/// An attempt without progress for this time stands still, if it has not worked for longer before. The longest tasks
/// take 11 s; even at a seventh of the usual speed they make a percent in 0.8 s.
const STALL_MS: u64 = 1_500;
/// The same for an urgent attempt that began without a checkpoint. Its task takes up to 8 s, so at a seventh of the
/// usual speed it makes a percent in 0.6 s, and its worker lists it each 0.3 s.
const URGENT_STALL_MS: u64 = 900;
/// A worker on which an attempt of no gang stands still for this time gets nothing new for as long again. Restoring a
/// checkpoint takes up to 0.6 s.
const SUSPECT_MS: u64 = 1_000;
/// How often a task is stopped for standing still. One that does so everywhere is left to its worker.
const MAX_STALLS: u32 = 3;
/// How long a worker rests on which an attempt stood still.
const REST_AFTER_STALL_MS: u64 = 5_000;
/// The least progress from which the duration of an attempt is projected.
const LEAST_PERCENT: u8 = 5;
/// The least time from which the duration of an attempt is projected; starting and restoring take up to 0.7 s of it.
const LEAST_ELAPSED_MS: u64 = 1_000;
/// The least time between two comparisons of the attempts of a worker, so that a long attempt does not count for many.
const OBSERVE_INTERVAL_MS: u64 = 900;
/// The weight of a new observation in the averages.
const WEIGHT: f64 = 0.3;
/// A worker counts as slow if its attempts take this many times as long as those of the same queue elsewhere. The
/// speeds of healthy workers differ by up to 1.6, and the tasks of a queue by about as much.
const SLOW_FACTOR: f64 = 2.6;
/// An observation of a worker is forgotten after this time, so that one that was slow gets work again.
const FORGET_MS: u64 = 8_000;
/// An attempt on a slow worker is started anew elsewhere if the rest of it would take this many times as long as a
/// whole attempt.
const MOVE_FACTOR: f64 = 1.5;

/// How the speed of a worker compares with others, as the logarithm of a ratio of durations.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(super) struct Slowness {
    log_ratio: f64,
    seen_ms: u64,
    /// When the attempts of the worker were last compared with others.
    observed_ms: u64,
}

impl Slowness {
    fn observe(&mut self, now_ms: u64, log_ratio: f64) {
        let is_fresh = self.seen_ms > 0 && now_ms < self.seen_ms + FORGET_MS;
        self.log_ratio = match is_fresh {
            true => self.log_ratio * (1.0 - WEIGHT) + log_ratio * WEIGHT,
            false => log_ratio,
        };
        self.seen_ms = now_ms;
    }

    /// Returns whether the worker is slow.
    pub fn is_slow(&self, now_ms: u64) -> bool {
        self.seen_ms > 0 && now_ms < self.seen_ms + FORGET_MS && self.log_ratio > SLOW_FACTOR.ln()
    }
}

/// Projects the duration of an attempt from its progress.
pub(super) fn projected_ms(now: PlannerTime, placement: &Placement) -> Option<f64> {
    let elapsed_ms = now.steady_ms.saturating_sub(placement.started_ms);
    if placement.percent < LEAST_PERCENT || elapsed_ms < LEAST_ELAPSED_MS {
        return None;
    }
    Some(elapsed_ms as f64 * 100.0 / f64::from(placement.percent))
}

impl Planner {
    /// Compares the attempts of a worker with others of their queues, and stops what stands still or is too slow.
    pub(super) fn check_pace(
        &mut self,
        now: PlannerTime,
        incarnation: &WorkerIncarnation,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else {
            return;
        };
        let is_due = now.steady_ms >= worker.slowness.observed_ms + OBSERVE_INTERVAL_MS;
        if is_due {
            worker.slowness.observed_ms = now.steady_ms;
        }
        for task in worker.placed.clone() {
            if is_due {
                self.learn_pace(now, incarnation, &task);
            }
            self.suspect_worker(now, incarnation, &task);
            if let Some(because) = self.too_slow(now, incarnation, &task) {
                self.give_up_attempt(now, incarnation, &task, &because, out);
            }
        }
    }

    /// Learns from attempts whose speed depends on their worker alone.
    fn learn_pace(&mut self, now: PlannerTime, incarnation: &WorkerIncarnation, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = job.step(task.step.into());
        let placement = job.task(task).and_then(|state| state.placement.as_ref());
        let Some(placement) = placement.filter(|one| one.checkpoint_at_start.is_none()) else {
            return;
        };
        if step.gang || step.data_rack.is_some() || step.long_running {
            return;
        }
        let Some(projected_ms) = projected_ms(now, placement) else {
            return;
        };
        let typical = self.typical_ms.entry(job.record.queue.clone()).or_insert(projected_ms);
        let log_ratio = (projected_ms / *typical).ln();
        *typical *= (log_ratio * WEIGHT / 10.0).exp();
        if let Some(worker) = self.workers.get_mut(&incarnation.worker) {
            worker.slowness.observe(now.steady_ms, log_ratio);
        }
    }

    /// Keeps new work from a worker on which an attempt stands still, before the attempt itself is given up. Attempts
    /// of a gang wait for each other, so they do not tell which worker is at fault.
    fn suspect_worker(&mut self, now: PlannerTime, incarnation: &WorkerIncarnation, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = job.step(task.step.into());
        let Some(state) = job.task(task).filter(|_| !step.gang && !step.long_running) else {
            return;
        };
        let is_still = state.stalls < MAX_STALLS
            && state.placement.as_ref().is_some_and(|placement| {
                placement.phase == StartPhase::Running
                    && placement.stopping_ms.is_none()
                    && placement.percent < 100
                    && now.steady_ms >= placement.progress_ms + SUSPECT_MS
            });
        if let Some(worker) = self.workers.get_mut(&incarnation.worker).filter(|_| is_still) {
            worker.resting_until_ms = worker.resting_until_ms.max(now.steady_ms + SUSPECT_MS);
        }
    }

    /// Returns why an attempt should be started anew elsewhere, if it should.
    fn too_slow(
        &self,
        now: PlannerTime,
        incarnation: &WorkerIncarnation,
        task: &TaskId,
    ) -> Option<String> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.step.into());
        let state = job.task(task)?;
        let placement = state.placement.as_ref()?;
        let is_working = placement.phase == StartPhase::Running
            && placement.stopping_ms.is_none()
            && !state.is_done();
        if !is_working
            || step.long_running
            || placement.percent >= 100
            || state.stalls >= MAX_STALLS
        {
            return None;
        }
        let members = job.members(task);
        let placements =
            || members.iter().map(|member| job.task(member).and_then(|one| one.placement.as_ref()));
        let all_work =
            placements().all(|one| one.is_some_and(|one| one.phase == StartPhase::Running));
        if !all_work {
            return None;
        }
        let began_ms = placements().flatten().map(|one| one.started_ms).max()?;
        let still_ms = now.steady_ms.saturating_sub(placement.progress_ms.max(began_ms));
        // An attempt that is started anew loses what it has done, so it waits about as long for a worker that may
        // recover.
        let worked_ms = now.steady_ms.saturating_sub(began_ms).saturating_sub(still_ms);
        let patience_ms = match (step.checkpointable, job.record.priority) {
            (true, 0) if placement.checkpoint_at_start.is_none() => URGENT_STALL_MS,
            (true, _) => STALL_MS,
            (false, 0) => URGENT_STALL_MS.max(worked_ms / 2),
            (false, _) => STALL_MS.max(worked_ms),
        };
        if still_ms >= patience_ms {
            return Some(format!("no progress for {still_ms} ms at {} %", placement.percent));
        }
        let worker = self.workers.get(&incarnation.worker)?;
        if !worker.slowness.is_slow(now.steady_ms) || step.gang {
            return None;
        }
        let may_move = job.record.priority == 0 || step.checkpointable;
        let left_ms = projected_ms(now, placement)? * f64::from(100 - placement.percent) / 100.0;
        let typical_ms = *self.typical_ms.get(&job.record.queue)?;
        (may_move && left_ms > typical_ms * MOVE_FACTOR + STALL_MS as f64)
            .then(|| format!("{left_ms:.0} ms left on a slow worker, {typical_ms:.0} ms are usual"))
    }

    /// Returns whether an attempt on a worker has made progress lately.
    fn has_progress(&self, now: PlannerTime, worker: &WorkerId) -> bool {
        let placed = self.workers.get(worker).into_iter().flat_map(|worker| &worker.placed);
        placed
            .filter_map(|task| self.jobs.get(&task.job)?.task(task)?.placement.as_ref())
            .any(|one| one.percent > 0 && now.steady_ms < one.progress_ms + SUSPECT_MS)
    }

    fn give_up_attempt(
        &mut self,
        now: PlannerTime,
        incarnation: &WorkerIncarnation,
        task: &TaskId,
        because: &str,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let members = job.members(task);
        let is_gang = job.step(task.step.into()).gang;
        let mut workers = BTreeSet::new();
        for member in &members {
            if let Some(state) = job.task_mut(member) {
                state.stalls += 1;
                state.avoid = state.placement.as_ref().map(|one| one.incarnation.worker.clone());
                workers.extend(state.avoid.clone());
            }
        }
        workers.retain(|id| !is_gang || !self.has_progress(now, id));
        for id in workers {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.suspect_until_ms = now.steady_ms + REST_AFTER_STALL_MS;
            }
        }
        if !is_gang && let Some(worker) = self.workers.get_mut(&incarnation.worker) {
            worker.resting_until_ms =
                worker.resting_until_ms.max(now.steady_ms + REST_AFTER_STALL_MS);
        }
        for member in members {
            self.stop_attempt(now, &member, because, out);
        }
    }
}
