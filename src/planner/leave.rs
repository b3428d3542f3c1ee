//! Moves attempts off workers that leave before the attempts can end.

use super::Planner;
use super::message::{Output, PlannerTime};
use super::pace::projected_ms;
use super::state::StartPhase;
use crate::workflow::{TaskId, WorkerIncarnation};

/// How much longer than until its worker leaves an attempt must need to be moved. Durations are estimates, and workers
/// often stay somewhat longer than they said.
const LEAVE_SLACK_MS: u64 = 500;

impl Planner {
    /// Stops the attempts of a worker that would be lost when it leaves, so that they start elsewhere at once.
    pub(super) fn move_from_leaving(
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
        let left_ms = leaves_ms.saturating_sub(now.steady_ms);
        for task in worker.placed.clone() {
            let Some(needs_ms) = self.needs_ms(now, &task) else {
                continue;
            };
            if needs_ms <= left_ms + LEAVE_SLACK_MS {
                continue;
            }
            let because =
                format!("its worker may leave in {left_ms} ms, it needs {needs_ms} ms more");
            let members = self.jobs[&task.job].members(&task);
            for member in members {
                self.stop_attempt(now, &member, &because, out);
            }
        }
    }

    /// Returns how long an attempt needs until its end, if it works.
    fn needs_ms(&self, now: PlannerTime, task: &TaskId) -> Option<u64> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.step.into());
        let state = job.task(task)?;
        let placement = state.placement.as_ref()?;
        let works = placement.phase == StartPhase::Running
            && placement.stopping_ms.is_none()
            && !state.is_done()
            && !step.long_running;
        if !works || placement.percent >= 100 {
            return None;
        }
        let left = f64::from(100 - placement.percent) / 100.0;
        // An attempt that began with a checkpoint did not do all its percents itself.
        let projected_ms =
            projected_ms(now, placement).filter(|_| placement.checkpoint_at_start.is_none());
        Some((projected_ms.unwrap_or(step.estimate_ms as f64) * left) as u64)
    }
}
