//! Resolves the attempts that are placed on an earlier incarnation of a worker that has restarted.
//!
//! A start order names its worker by an identifier that the worker keeps over a restart, so an order for the earlier
//! incarnation may be carried out by the new one before that one has reported itself. The first list of the new
//! incarnation tells which attempts it runs (docs/incidents/2026-12-05-restarted-worker.md).

use super::Planner;
use super::message::{AttemptEnd, AttemptsReport, Output, PlannerTime};
use super::state::{Placement, StartPhase};
use crate::workflow::{TaskId, TaskPhase, WorkerIncarnation};

/// State of an attempt that is placed on an earlier incarnation, according to a list of the new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resolution {
    /// The new incarnation runs the attempt or has ended it.
    Adopt,
    /// A start may still be under way, since its host reports the attempt as starting, or the end may not be listed yet.
    Wait,
    /// The attempt ended with the earlier incarnation.
    Lapsed,
    /// Whether the new incarnation will still start the attempt is not known, so it has to confirm a stop first.
    Stop,
}

impl Resolution {
    fn of(placement: &Placement, key: &(TaskId, u32), report: &AttemptsReport) -> Self {
        let (task, attempt) = key;
        let is_running =
            report.running.iter().any(|entry| entry.task == *task && entry.attempt == *attempt);
        let is_ended = report.ended.iter().any(|end| end.task == *task && end.attempt == *attempt);
        if is_running || is_ended {
            return Self::Adopt;
        }
        if report.starting.contains(key) || report.may_lack_ends() {
            return Self::Wait;
        }
        // An intended attempt was not ordered yet.
        let will_not_start = placement.is_start_settled
            || placement.phase == StartPhase::Intended
            || report.stopped.contains(key);
        match will_not_start {
            true => Self::Lapsed,
            false => Self::Stop,
        }
    }
}

impl Planner {
    /// Ends the attempts on an incarnation that has ended. If it is the current one, those on all earlier ones have ended
    /// too.
    pub(super) fn end_ended_incarnations(
        &mut self,
        now: PlannerTime,
        ended: &WorkerIncarnation,
        is_current: bool,
        out: &mut Vec<Output>,
    ) {
        for (task, placement) in self.placements_on(ended) {
            if is_current || placement.incarnation == *ended {
                let attempt = (&task, placement.attempt);
                self.attempt_ended(
                    now,
                    &placement.incarnation,
                    attempt,
                    AttemptEnd::Lapsed,
                    None,
                    out,
                );
            }
        }
    }

    /// Resolves the attempts on earlier incarnations of a worker from a list of its current one.
    pub(super) fn resolve_earlier_incarnations(
        &mut self,
        now: PlannerTime,
        report: &AttemptsReport,
        out: &mut Vec<Output>,
    ) {
        for (task, placement) in self.placements_on(&report.incarnation) {
            if placement.incarnation == report.incarnation {
                continue;
            }
            let key = (task, placement.attempt);
            let resolution = Resolution::of(&placement, &key, report);
            let (task, attempt) = &key;
            match resolution {
                Resolution::Wait => {}
                Resolution::Adopt => self.adopt(now, task, *attempt, &report.incarnation, out),
                Resolution::Lapsed => {
                    let attempt = (task, *attempt);
                    self.attempt_ended(
                        now,
                        &placement.incarnation,
                        attempt,
                        AttemptEnd::Lapsed,
                        None,
                        out,
                    );
                }
                Resolution::Stop => {
                    self.move_placement(now, task, *attempt, &report.incarnation);
                    self.stop_attempt(
                        now,
                        task,
                        "its worker has restarted and may still start it",
                        out,
                    );
                }
            }
        }
    }

    fn placements_on(&self, incarnation: &WorkerIncarnation) -> Vec<(TaskId, Placement)> {
        let placed =
            self.workers.get(&incarnation.worker).into_iter().flat_map(|worker| &worker.placed);
        let placement = |task: &TaskId| self.jobs.get(&task.job)?.task(task)?.placement.clone();
        placed.filter_map(|task| Some((task.clone(), placement(task)?))).collect()
    }

    /// Continues an attempt that the new incarnation runs or has ended. The new incarnation may be of another kind; an
    /// attempt that may not run there is stopped.
    fn adopt(
        &mut self,
        now: PlannerTime,
        task: &TaskId,
        attempt: u32,
        incarnation: &WorkerIncarnation,
        out: &mut Vec<Output>,
    ) {
        self.move_placement(now, task, attempt, incarnation);
        let report =
            self.workers.get(&incarnation.worker).and_then(|worker| worker.report.as_ref());
        let (Some(job), Some(report)) = (self.jobs.get(&task.job), report) else {
            return;
        };
        let label = job.step(task.step.into()).required_label.as_ref();
        let may_run = job.record.service == report.service
            && label.is_none_or(|label| report.labels.contains(label));
        if !may_run {
            self.stop_attempt(now, task, "its worker has restarted as another kind", out);
        }
    }

    fn move_placement(
        &mut self,
        now: PlannerTime,
        task: &TaskId,
        attempt: u32,
        incarnation: &WorkerIncarnation,
    ) {
        let Some(placement) = self.placement_mut(task, attempt) else {
            return;
        };
        placement.incarnation = incarnation.clone();
        placement.phase = StartPhase::Ordered(now.steady_ms);
        // A stop that was ordered from the earlier incarnation has to be ordered again.
        placement.stopping_ms = placement.stopping_ms.map(|_| 0);
        if let Some(state) = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task))
            && !state.is_done()
        {
            state.record.phase = TaskPhase::Placed(incarnation.clone());
            self.mark_changed(task);
        }
    }
}
