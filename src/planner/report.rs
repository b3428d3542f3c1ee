//! Handles the events and reports of workers, and expires their leases. [`super::incarnation`] handles restarts of
//! workers.

use std::collections::BTreeSet;

use super::message::{
    AttemptEnd, AttemptsReport, Decision, Output, PlannerTime, StartRefusal, WorkerEvent,
    WorkerOrder, WorkerReport,
};
use super::state::StartPhase;
use super::{JobProgress, Planner};
use crate::prelude::*;
use crate::workflow::{TaskId, WorkerIncarnation};

/// Time after which an unconfirmed order is sent again.
const REPEAT_ORDER_MS: u64 = 800;
/// Backoff of a worker after it refused a start.
const REFUSAL_BACKOFF_MS: u64 = 500;

impl Planner {
    pub(super) fn handle_worker_event(
        &mut self,
        now: PlannerTime,
        event: &WorkerEvent,
        out: &mut Vec<Output>,
    ) {
        match event {
            WorkerEvent::Reported(report) => self.worker_reported(now, report, out),
            WorkerEvent::Left(incarnation) => self.worker_left(now, incarnation, out),
            WorkerEvent::Started { incarnation, task, attempt } => {
                self.attempt_started(now, incarnation, (task, *attempt), out);
            }
            WorkerEvent::Refused { incarnation, task, attempt, refusal } => {
                self.attempt_refused(now, incarnation, (task, *attempt), *refusal, out);
            }
        }
    }

    fn worker_reported(&mut self, now: PlannerTime, report: &WorkerReport, out: &mut Vec<Output>) {
        let id = &report.incarnation.worker;
        let worker = self.workers.entry(id.clone()).or_default();
        // The host tells which incarnation is the current one. Times of birth do not: the worker's clock may be set back.
        let last = worker.report.as_ref().map(|last_report| &last_report.incarnation);
        if last != Some(&report.incarnation) {
            if worker.is_late_report(report.incarnation.born_ms) {
                return;
            }
            worker.begin_incarnation();
        }
        worker.report = Some(report.clone());
        worker.leaves_ms = report.leaves_in_ms.map(|in_ms| now.steady_ms.saturating_add(in_ms));
        worker.connected = true;
        worker.last_contact_ms = worker.last_contact_ms.max(now.steady_ms);
        self.stop_attempts_outlasting_worker(now, &report.incarnation, out);
    }

    fn worker_left(
        &mut self,
        now: PlannerTime,
        incarnation: &WorkerIncarnation,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else {
            return;
        };
        let is_current =
            worker.report.as_ref().is_some_and(|report| report.incarnation == *incarnation);
        if is_current {
            worker.report = None;
            worker.synced = false;
        }
        self.end_ended_incarnations(now, incarnation, is_current, out);
    }

    pub(super) fn placement_of(&self, task: &TaskId) -> Option<(WorkerIncarnation, u32)> {
        let placement = self.jobs.get(&task.job)?.task(task)?.placement.as_ref()?;
        Some((placement.incarnation.clone(), placement.attempt))
    }

    /// Returns whether the planner takes lists of this incarnation of a worker into account. Only then may its lease be
    /// renewed: the attempts of any other one are placed again when its lease has expired according to the planner.
    pub fn accepts_lists_of(&self, incarnation: &WorkerIncarnation) -> bool {
        let worker = self.workers.get(&incarnation.worker);
        let report = worker.and_then(|worker| worker.report.as_ref());
        report.is_some_and(|report| report.incarnation == *incarnation)
    }

    pub(super) fn attempts_reported(
        &mut self,
        now: PlannerTime,
        report: &AttemptsReport,
        out: &mut Vec<Output>,
    ) {
        if !self.accepts_lists_of(&report.incarnation) {
            return;
        }
        let Some(worker) = self.workers.get_mut(&report.incarnation.worker) else {
            return;
        };
        worker.last_contact_ms = worker.last_contact_ms.max(now.steady_ms);
        worker.synced = true;
        worker.listed_ms = now.steady_ms;
        worker.foreign.clear();
        self.resolve_earlier_incarnations(now, report, out);
        self.process_ended(now, report, out);
        self.process_running(now, report, out);
        self.check_missing(now, report, out);
        self.check_progress(now, &report.incarnation, out);
        self.stop_attempts_outlasting_worker(now, &report.incarnation, out);
    }

    fn process_ended(&mut self, now: PlannerTime, report: &AttemptsReport, out: &mut Vec<Output>) {
        let processed = self
            .workers
            .get(&report.incarnation.worker)
            .map_or(0, |worker| worker.last_processed_end);
        let mut last = processed;
        for end in report.ended.iter().filter(|end| end.number > processed) {
            last = last.max(end.number);
            let attempt = (&end.task, end.attempt);
            self.attempt_ended(
                now,
                &report.incarnation,
                attempt,
                end.kind,
                end.checkpoint.as_deref(),
                out,
            );
        }
        let Some(worker) = self.workers.get_mut(&report.incarnation.worker) else {
            return;
        };
        // An acknowledgement is lost if the host is not connected when it is sent.
        let may_be_lost =
            !report.ended.is_empty() && now.steady_ms >= worker.acknowledged_ms + REPEAT_ORDER_MS;
        if last == processed && !may_be_lost {
            return;
        }
        worker.last_processed_end = last;
        worker.acknowledged_ms = now.steady_ms;
        let first_withheld = report.ended.iter().find(|end| self.is_withheld(&end.task.job));
        let up_to = first_withheld.map_or(last, |end| last.min(end.number.saturating_sub(1)));
        let order = WorkerOrder::AcknowledgeEnds { incarnation: report.incarnation.clone(), up_to };
        self.effects.push(Output::Order(order));
    }

    fn process_running(
        &mut self,
        now: PlannerTime,
        report: &AttemptsReport,
        out: &mut Vec<Output>,
    ) {
        for entry in &report.running {
            let checkpoint = entry.checkpoint.as_deref().filter(|value| !value.is_empty());
            self.keep_checkpoint(&entry.task, entry.attempt, checkpoint);
            let Some(placement) = self
                .placement_mut(&entry.task, entry.attempt)
                .filter(|placement| placement.incarnation == report.incarnation)
            else {
                self.stop_foreign(report, &entry.task, entry.attempt, out);
                continue;
            };
            if placement.percent != entry.percent {
                (placement.percent, placement.progress_ms) = (entry.percent, now.steady_ms);
            }
            placement.is_start_settled = true;
            let is_new = placement.phase != StartPhase::Running;
            if is_new {
                (placement.started_ms, placement.progress_ms) = (now.steady_ms, now.steady_ms);
            }
            placement.phase = StartPhase::Running;
            let repeat_stop = placement
                .stopping_ms
                .is_some_and(|ordered_ms| now.steady_ms >= ordered_ms + REPEAT_ORDER_MS);
            if repeat_stop {
                placement.stopping_ms = Some(now.steady_ms);
                out.push(Output::Order(WorkerOrder::Stop {
                    incarnation: report.incarnation.clone(),
                    task: entry.task.clone(),
                    attempt: entry.attempt,
                }));
            }
            if is_new {
                self.mark_started(&entry.task.job, out);
            }
        }
    }

    /// Stops an attempt that its worker lists, but that is not placed there according to this planner. The worker gets
    /// no work until a report no longer lists the attempt.
    fn stop_foreign(
        &mut self,
        report: &AttemptsReport,
        task: &TaskId,
        attempt: u32,
        out: &mut Vec<Output>,
    ) {
        if let Some(worker) = self.workers.get_mut(&report.incarnation.worker) {
            worker.foreign.insert((task.clone(), attempt));
        }
        out.push(Output::Order(WorkerOrder::Stop {
            incarnation: report.incarnation.clone(),
            task: task.clone(),
            attempt,
        }));
        out.push(Output::Decision {
            job: task.job.clone(),
            attempt: Some((task.clone(), attempt)),
            what: Decision::Stopped,
            because: format!(
                "worker {} runs it, but it is not placed there",
                report.incarnation.worker
            ),
        });
    }

    /// Handles placed attempts that the report does not list: ends them, or repeats their orders.
    fn check_missing(&mut self, now: PlannerTime, report: &AttemptsReport, out: &mut Vec<Output>) {
        if report.may_lack_ends() {
            return;
        }
        let listed: BTreeSet<(&TaskId, u32)> =
            report.running.iter().map(|entry| (&entry.task, entry.attempt)).collect();
        let Some(worker) = self.workers.get(&report.incarnation.worker) else {
            return;
        };
        for task in worker.placed.clone() {
            let Some(state) = self.jobs.get(&task.job).and_then(|job| job.task(&task)) else {
                continue;
            };
            let Some(placement) = state.placement.as_ref() else {
                continue;
            };
            let attempt = placement.attempt;
            let key = (task.clone(), attempt);
            if placement.incarnation != report.incarnation
                || listed.contains(&(&task, attempt))
                || report.starting.contains(&key)
            {
                continue;
            }
            let stop_confirmed = report.stopped.contains(&key);
            match placement.phase {
                StartPhase::Intended => {}
                StartPhase::Running => {
                    self.attempt_ended(
                        now,
                        &report.incarnation,
                        (&task, attempt),
                        AttemptEnd::Lapsed,
                        None,
                        out,
                    );
                }
                StartPhase::Ordered(_) if stop_confirmed => {
                    if placement.stopping_ms.is_none() {
                        self.back_off_after_refusal(now, &report.incarnation.worker);
                    }
                    self.attempt_ended(
                        now,
                        &report.incarnation,
                        (&task, attempt),
                        AttemptEnd::Stopped,
                        None,
                        out,
                    );
                }
                StartPhase::Ordered(ordered_ms) => {
                    if now.steady_ms >= ordered_ms + REPEAT_ORDER_MS {
                        self.repeat_order(now, &task, attempt, out);
                    }
                }
            }
        }
    }

    fn repeat_order(
        &mut self,
        now: PlannerTime,
        task: &TaskId,
        attempt: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(order) = self.start_order(task) else {
            return;
        };
        if !self.accepts_starts(&order.incarnation.worker) {
            self.stop_attempt(
                now,
                task,
                "its worker is draining, or its data centre is out of service",
                out,
            );
        }
        let Some(placement) = self.placement_mut(task, attempt) else {
            return;
        };
        if placement.stopping_ms.is_some() {
            placement.stopping_ms = Some(now.steady_ms);
            out.push(Output::Order(WorkerOrder::Stop {
                incarnation: order.incarnation,
                task: task.clone(),
                attempt,
            }));
        } else {
            placement.phase = StartPhase::Ordered(now.steady_ms);
            placement.is_order_repeated = true;
            out.push(Output::Order(WorkerOrder::Start(order)));
        }
    }

    fn attempt_started(
        &mut self,
        now: PlannerTime,
        incarnation: &WorkerIncarnation,
        (task, attempt): (&TaskId, u32),
        out: &mut Vec<Output>,
    ) {
        let placement = self
            .placement_mut(task, attempt)
            .filter(|placement| placement.incarnation == *incarnation);
        if let Some(placement) = placement {
            if placement.phase != StartPhase::Running {
                (placement.started_ms, placement.progress_ms) = (now.steady_ms, now.steady_ms);
            }
            placement.phase = StartPhase::Running;
            self.mark_started(&task.job, out);
        }
    }

    fn mark_started(&mut self, job: &JobId, out: &mut Vec<Output>) {
        let Some(state) = self.jobs.get_mut(job) else {
            return;
        };
        if state.started || state.result.is_some() {
            return;
        }
        state.started = true;
        out.push(Output::Progress {
            job: job.clone(),
            queue: state.record.queue.clone(),
            progress: Some(JobProgress::Running),
        });
    }

    fn attempt_refused(
        &mut self,
        now: PlannerTime,
        incarnation: &WorkerIncarnation,
        (task, attempt): (&TaskId, u32),
        refusal: StartRefusal,
        out: &mut Vec<Output>,
    ) {
        out.push(Output::Decision {
            job: task.job.clone(),
            attempt: Some((task.clone(), attempt)),
            what: Decision::StartRefused,
            because: format!("the start on worker {} was refused: {refusal:?}", incarnation.worker),
        });
        self.back_off_after_refusal(now, &incarnation.worker);
        let is_repeated = self.placement_mut(task, attempt).is_some_and(|placement| {
            placement.incarnation == *incarnation && placement.is_order_repeated
        });
        if is_repeated {
            self.stop_attempt(now, task, "a repeated start was refused", out);
        } else {
            self.attempt_ended(now, incarnation, (task, attempt), AttemptEnd::Stopped, None, out);
        }
    }

    /// Sets a backoff for a worker that refused a start, or on which a start had no answer.
    fn back_off_after_refusal(&mut self, now: PlannerTime, worker: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.backoff_until_ms =
                worker.backoff_until_ms.max(now.steady_ms + REFUSAL_BACKOFF_MS);
        }
    }

    /// Ends the attempts of workers whose leases are guaranteed to have expired.
    pub(super) fn expire_leases(&mut self, now: PlannerTime, out: &mut Vec<Output>) {
        let expired: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                now.steady_ms >= worker.last_contact_ms + self.settings.lease_expiry_ms
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            worker.synced = false;
            let placed = std::mem::take(&mut worker.placed);
            for task in placed {
                if let Some((incarnation, attempt)) = self.placement_of(&task) {
                    self.attempt_ended(
                        now,
                        &incarnation,
                        (&task, attempt),
                        AttemptEnd::Lapsed,
                        None,
                        out,
                    );
                }
            }
            if self.workers.get(&id).is_some_and(|worker| !worker.connected) {
                self.workers.remove(&id);
            }
        }
    }
}
