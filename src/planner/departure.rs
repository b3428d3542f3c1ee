//! Stops attempts that cannot end before their worker leaves, so that they restart on another worker.

use super::Planner;
use super::message::{Output, PlannerTime};
use super::state::StartPhase;
use super::straggler::projected_ms;
use crate::workflow::{TaskId, WorkerIncarnation};

/// Time by which an attempt has to outlast its worker before it is stopped. Durations are estimates, and workers often
/// leave somewhat later than announced.
const DEPARTURE_SLACK_MS: u64 = 500;

impl Planner {
    /// Stops the attempts that would be lost when their worker leaves, together with their gangs, so that they restart
    /// on other workers without delay.
    pub(super) fn stop_attempts_outlasting_worker(
        &mut self,
        now: PlannerTime,
        incarnation: &WorkerIncarnation,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get(&incarnation.worker) else {
            return;
        };
        let Some(leaves_ms) = worker.leaves_ms else {
            return;
        };
        let departs_in_ms = leaves_ms.saturating_sub(now.steady_ms);
        for task in worker.placed.clone() {
            let Some(remaining_ms) = self.remaining_ms(now, &task) else {
                continue;
            };
            if remaining_ms <= departs_in_ms + DEPARTURE_SLACK_MS {
                continue;
            }
            let because = format!(
                "its worker may leave in {departs_in_ms} ms, but the attempt needs about {remaining_ms} ms more"
            );
            let members = self.jobs[&task.job].members(&task);
            for member in members {
                self.stop_attempt(now, &member, &because, out);
            }
        }
    }

    /// Estimates the remaining time of an attempt in milliseconds. Returns `None` for attempts that are not running,
    /// are stopping, have reported full progress, or belong to a long-running task.
    fn remaining_ms(&self, now: PlannerTime, task: &TaskId) -> Option<u64> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.step.into());
        let state = job.task(task)?;
        let placement = state.placement.as_ref()?;
        let is_working = placement.phase == StartPhase::Running
            && placement.stopping_ms.is_none()
            && !state.is_done()
            && !step.long_running;
        if !is_working || placement.percent >= 100 {
            return None;
        }
        let remaining_fraction = f64::from(100 - placement.percent) / 100.0;
        // The progress of an attempt that started from a checkpoint includes work of earlier attempts, so its duration
        // cannot be projected from it.
        let projected_ms =
            projected_ms(now, placement).filter(|_| placement.checkpoint_at_start.is_none());
        Some((projected_ms.unwrap_or(step.estimate_ms as f64) * remaining_fraction) as u64)
    }
}
