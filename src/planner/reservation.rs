//! Reserves workers for a gang that does not fit yet, so that work of lower priority does not delay it without end.
//!
//! A reservation must not hold resources back for nothing (docs/incidents/2026-12-05-reserved-workers.md): it is made only
//! where the gang fits once all work that ends has ended, and work that ends before then may use the reserved workers.

use super::Planner;
use super::message::PlannerTime;
use super::pool::{Allocation, Candidate, Horizon};
use super::queue::ReadyStep;
use super::scope::Scope;
use super::straggler::projected_ms;
use crate::workflow::{StepSpec, TaskId};

/// Factor by which tasks may take longer than the client estimates.
const ESTIMATE_ERROR_FACTOR: u64 = 2;

impl StepSpec {
    /// Returns whether a task of the step ends within this time even if it takes longer than the client estimates.
    pub(super) fn ends_within(&self, duration_ms: u64) -> bool {
        !self.long_running && self.estimate_ms.saturating_mul(ESTIMATE_ERROR_FACTOR) <= duration_ms
    }
}

impl Planner {
    /// Reserves workers for a gang, so that it can be placed once the current work of these workers has ended. Returns
    /// the expected time until then in milliseconds, or `None` if no workers were reserved.
    pub(super) fn reserve(
        &self,
        now: PlannerTime,
        ready: &ReadyStep,
        pool: &mut [Candidate],
    ) -> Option<u64> {
        let job = &self.jobs[&ready.job];
        let request = super::place::placement_request(job, ready, pool);
        if !request.step.gang {
            return None;
        }
        let free = |allocation: &Allocation| -> u32 {
            allocation.iter().map(|(index, _)| pool[*index].free_after_stops.accelerators).sum()
        };
        let scope = Scope {
            may_leave_rack: false,
            may_leave_data: true,
            has_settled: self.has_settled(now),
            current_rack: None,
        };
        // The allocation with the most free accelerators becomes available first.
        let allocations = scope.complete_allocations(&request, pool, Horizon::AfterWork);
        let allocation = allocations.into_iter().max_by_key(free)?;
        let remaining = allocation.iter().map(|(index, _)| self.work_ms(now, &pool[*index]));
        let reserved_ms = remaining.max()?;
        for (index, _) in allocation {
            pool[index].reserved_ms = Some(reserved_ms);
        }
        Some(reserved_ms)
    }

    /// Returns the expected time until all current work of a worker has ended, except work without an end.
    fn work_ms(&self, now: PlannerTime, candidate: &Candidate) -> u64 {
        let placed = self.workers.get(&candidate.incarnation.worker).map(|worker| &worker.placed);
        let remaining = placed.into_iter().flatten().filter_map(|task| self.left_ms(now, task));
        remaining.max().unwrap_or_default()
    }

    /// Returns the expected time until an attempt ends, or `None` if it has no end. An attempt that has taken longer than
    /// estimated is expected to take as long again.
    fn left_ms(&self, now: PlannerTime, task: &TaskId) -> Option<u64> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.step.into());
        let state = job.task(task)?;
        let placement = state.placement.as_ref()?;
        if state.is_done() || placement.stopping_ms.is_some() {
            return Some(0);
        }
        if step.long_running {
            return None;
        }
        let elapsed_ms = now.steady_ms.saturating_sub(placement.started_ms);
        if let Some(projected_ms) = projected_ms(now, placement) {
            return Some((projected_ms as u64).saturating_sub(elapsed_ms));
        }
        let left_ms = step.estimate_ms.saturating_sub(elapsed_ms);
        Some(if left_ms == 0 { elapsed_ms } else { left_ms })
    }
}
