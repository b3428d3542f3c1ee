//! Detects stalled attempts and slow workers from the progress that workers report.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Planner;
use super::message::{Output, PlannerTime};
use super::state::{Placement, StartPhase};
use crate::prelude::*;
use crate::workflow::{TaskId, WorkerIncarnation};

/// Time without progress after which an attempt counts as stalled; without checkpoints, the time that it has worked
/// counts if that is longer. The longest tasks take 11 s; even at a seventh of the usual speed they make a percent in
/// 0.8 s.
const STALL_TIMEOUT_MS: u64 = 1_500;
/// Stall timeout of urgent attempts, except those that resumed from a checkpoint. Their tasks take up to 8 s, so at a
/// seventh of the usual speed they make a percent in 0.6 s, and their workers list them every 0.3 s.
const URGENT_STALL_TIMEOUT_MS: u64 = 900;
/// Time without progress of an attempt outside gangs after which its worker gets a backoff of the same duration.
/// Restoring a checkpoint takes up to 0.6 s.
const EARLY_STALL_MS: u64 = 1_000;
/// Maximum number of attempts of a task that are stopped as stalled or too slow. A task that stalls on every worker
/// then stays on its worker.
const MAX_STALLS: u32 = 3;
/// Backoff of a worker after an attempt outside gangs was stopped on it as stalled or too slow. Also the time for which
/// the workers of a stopped attempt or gang are suspect.
const STALL_BACKOFF_MS: u64 = 5_000;
/// Minimum progress in percent from which the duration of an attempt is projected.
const MIN_PROJECTION_PERCENT: u8 = 5;
/// Minimum elapsed time from which the duration of an attempt is projected. Starting and restoring take up to 0.7 s of
/// it.
const MIN_PROJECTION_ELAPSED_MS: u64 = 1_000;
/// Minimum interval between two comparisons of the attempts of a worker, which limits the influence of a long attempt.
const OBSERVE_INTERVAL_MS: u64 = 900;
/// Weight of a new observation in the moving averages.
const OBSERVATION_WEIGHT: f64 = 0.3;
/// Ratio of the durations of a worker's attempts to the typical durations of their queues above which the worker counts
/// as slow. The speeds of healthy workers differ by a factor of up to 1.6, and the tasks of a queue by about the same.
const SLOW_FACTOR: f64 = 2.6;
/// Time after which the observed speed of a worker expires, so that a worker that was slow gets work again.
const OBSERVATION_EXPIRY_MS: u64 = 8_000;
/// Minimum ratio of the remaining time of an attempt on a slow worker to the typical duration of a whole attempt at
/// which the attempt is restarted on another worker.
const RESTART_FACTOR: f64 = 1.5;

/// Moving average of how much longer the attempts of a worker take than usual.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(super) struct Slowness {
    /// Logarithm of the ratio of projected to typical durations.
    log_ratio: f64,
    /// Steady time of the last observation; 0 if there was none.
    seen_ms: u64,
    /// Steady time at which the attempts of the worker were last compared with the typical durations.
    observed_ms: u64,
}

impl Slowness {
    fn observe(&mut self, now_ms: u64, log_ratio: f64) {
        let is_fresh = self.seen_ms > 0 && now_ms < self.seen_ms + OBSERVATION_EXPIRY_MS;
        self.log_ratio = match is_fresh {
            true => self.log_ratio * (1.0 - OBSERVATION_WEIGHT) + log_ratio * OBSERVATION_WEIGHT,
            false => log_ratio,
        };
        self.seen_ms = now_ms;
    }

    /// Returns whether recent observations show that the worker is slow.
    pub fn is_slow(&self, now_ms: u64) -> bool {
        self.seen_ms > 0
            && now_ms < self.seen_ms + OBSERVATION_EXPIRY_MS
            && self.log_ratio > SLOW_FACTOR.ln()
    }
}

/// Projects the total duration of an attempt in milliseconds from its progress. Returns `None` if it is too early for
/// that.
pub(super) fn projected_ms(now: PlannerTime, placement: &Placement) -> Option<f64> {
    let elapsed_ms = now.steady_ms.saturating_sub(placement.started_ms);
    if placement.percent < MIN_PROJECTION_PERCENT || elapsed_ms < MIN_PROJECTION_ELAPSED_MS {
        return None;
    }
    Some(elapsed_ms as f64 * 100.0 / f64::from(placement.percent))
}

impl Planner {
    /// Compares the attempts of a worker with the typical durations of their queues, and stops those that are stalled
    /// or too slow.
    pub(super) fn check_progress(
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
        let placed = worker.placed.clone();
        self.review_attempts(now, incarnation, out);
        for task in placed {
            if is_due {
                self.observe_speed(now, incarnation, &task);
                self.observe_attempt_speed(now, incarnation, &task, false);
            }
            self.back_off_stalled_worker(now, incarnation, &task);
            if let Some(because) = self.restart_reason(now, incarnation, &task) {
                self.abandon_attempt(now, incarnation, &task, &because, out);
            }
        }
    }

    /// Updates the typical duration of a queue and the slowness of a worker from an attempt. Ignores attempts whose
    /// speed also depends on other things than the worker: gangs, tasks with a data rack, and resumed or long-running
    /// tasks.
    fn observe_speed(&mut self, now: PlannerTime, incarnation: &WorkerIncarnation, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = job.step(task.step.into());
        let placement = job.task(task).and_then(|state| state.placement.as_ref());
        let Some(placement) = placement.filter(|placement| placement.checkpoint_at_start.is_none())
        else {
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
        *typical *= (log_ratio * OBSERVATION_WEIGHT / 10.0).exp();
        if let Some(worker) = self.workers.get_mut(&incarnation.worker) {
            worker.slowness.observe(now.steady_ms, log_ratio);
        }
    }

    /// Sets a backoff for a worker with a stalled attempt, before the attempt itself is stopped. Ignores gangs: their
    /// members wait for each other, so a stall cannot be attributed to one worker.
    fn back_off_stalled_worker(
        &mut self,
        now: PlannerTime,
        incarnation: &WorkerIncarnation,
        task: &TaskId,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = job.step(task.step.into());
        let Some(state) = job.task(task).filter(|_| !step.gang && !step.long_running) else {
            return;
        };
        let is_stalled = state.stalls < MAX_STALLS
            && state.placement.as_ref().is_some_and(|placement| {
                placement.phase == StartPhase::Running
                    && placement.stopping_ms.is_none()
                    && placement.percent < 100
                    && now.steady_ms >= placement.progress_ms + EARLY_STALL_MS
            });
        if let Some(worker) = self.workers.get_mut(&incarnation.worker).filter(|_| is_stalled) {
            worker.backoff_until_ms = worker.backoff_until_ms.max(now.steady_ms + EARLY_STALL_MS);
        }
    }

    /// Returns the reason for which an attempt has to be restarted on another worker, or `None` if it may continue.
    fn restart_reason(
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
        let placements = || {
            members.iter().map(|member| job.task(member).and_then(|task| task.placement.as_ref()))
        };
        let all_running = placements().all(|placement| {
            placement.is_some_and(|placement| placement.phase == StartPhase::Running)
        });
        if !all_running {
            return None;
        }
        let all_started_ms = placements().flatten().map(|placement| placement.started_ms).max()?;
        let stalled_ms = now.steady_ms.saturating_sub(placement.progress_ms.max(all_started_ms));
        // Without checkpoints a restart loses the work done so far, so the timeout grows with that work: the worker may
        // recover.
        let worked_ms = now.steady_ms.saturating_sub(all_started_ms).saturating_sub(stalled_ms);
        let timeout_ms = match (step.checkpointable, job.record.priority) {
            (true, 0) if placement.checkpoint_at_start.is_none() => URGENT_STALL_TIMEOUT_MS,
            (true, _) => STALL_TIMEOUT_MS,
            (false, 0) => URGENT_STALL_TIMEOUT_MS.max(worked_ms / 2),
            (false, _) => STALL_TIMEOUT_MS.max(worked_ms),
        };
        if stalled_ms >= timeout_ms {
            return Some(format!("no progress for {stalled_ms} ms at {} %", placement.percent));
        }
        let worker = self.workers.get(&incarnation.worker)?;
        if !worker.slowness.is_slow(now.steady_ms) || step.gang {
            return None;
        }
        let may_move = job.record.priority == 0 || step.checkpointable;
        let remaining_ms =
            projected_ms(now, placement)? * f64::from(100 - placement.percent) / 100.0;
        let typical_ms = *self.typical_ms.get(&job.record.queue)?;
        (may_move && remaining_ms > typical_ms * RESTART_FACTOR + STALL_TIMEOUT_MS as f64).then(
            || {
                format!(
                    "{remaining_ms:.0} ms remain on a slow worker, a whole attempt typically takes \
                     {typical_ms:.0} ms"
                )
            },
        )
    }

    /// Returns whether any attempt on a worker has made progress recently.
    pub(super) fn has_progress(&self, now: PlannerTime, worker: &WorkerId) -> bool {
        let placed = self.workers.get(worker).into_iter().flat_map(|worker| &worker.placed);
        placed.filter_map(|task| self.jobs.get(&task.job)?.task(task)?.placement.as_ref()).any(
            |placement| {
                placement.percent > 0 && now.steady_ms < placement.progress_ms + EARLY_STALL_MS
            },
        )
    }

    /// Stops an attempt and its gang, and keeps new work from the workers that may have caused the stall.
    fn abandon_attempt(
        &mut self,
        now: PlannerTime,
        incarnation: &WorkerIncarnation,
        task: &TaskId,
        because: &str,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let members = job.members(task);
        let is_gang = job.step(task.step.into()).gang;
        let has_stalled =
            job.task(task).and_then(|state| state.placement.as_ref()).is_some_and(|placement| {
                now.steady_ms >= placement.progress_ms + URGENT_STALL_TIMEOUT_MS
            });
        let culprits = match has_stalled {
            true => self.blame_stall(now, task, out),
            false => Vec::new(),
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let mut workers = BTreeSet::new();
        for member in &members {
            if let Some(state) = job.task_mut(member) {
                state.stalls += 1;
                state.avoid =
                    state.placement.as_ref().map(|placement| placement.incarnation.worker.clone());
                workers.extend(state.avoid.clone());
            }
        }
        workers.retain(|id| !is_gang || !self.has_progress(now, id));
        // The other members of the gang only waited for the workers at fault.
        if is_gang && !culprits.is_empty() {
            workers.retain(|id| culprits.contains(id));
        }
        for id in workers {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.suspect_until_ms = now.steady_ms + STALL_BACKOFF_MS;
            }
        }
        if !is_gang && let Some(worker) = self.workers.get_mut(&incarnation.worker) {
            worker.backoff_until_ms = worker.backoff_until_ms.max(now.steady_ms + STALL_BACKOFF_MS);
        }
        for member in members {
            self.stop_attempt(now, &member, because, out);
        }
    }
}
