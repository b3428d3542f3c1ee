//! Applies [`Record`] and [`attribute`] to the workers and jobs of the planner.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::attribution::{Suspect, attribute};
use super::record::{FULL_WEIGHT, Incident, IncidentKind, Record, WorkerStanding};
use crate::planner::Planner;
use crate::planner::message::{Decision, Output, PlannerTime};
use crate::planner::state::{Placement, StartPhase};
use crate::prelude::*;
use crate::workflow::{TaskId, WorkerIncarnation};

/// Time for which an attempt has to run before it proves that its worker carries out what it starts. Failing workers end
/// attempts at their start or shortly after.
const PROOF_RUN_MS: u64 = 1_500;
/// The same for a long-running task, whose progress tells nothing.
const LONG_RUNNING_PROOF_MS: u64 = 3_000;
/// Age of the last progress up to which an attempt runs well. Workers list their attempts every 0.3 s to 1 s.
const FRESH_PROGRESS_MS: u64 = 1_000;
/// Run time up to which a failure counts as a failed start, which is more often the worker's fault than a later one.
const EARLY_FAILURE_MS: u64 = 3_000;
/// Weight of a failure after that time.
const LATE_FAILURE_WEIGHT: u32 = FULL_WEIGHT / 2;
/// Time without an answer after which a start order speaks against its worker. It is sent again after 0.8 s.
const UNANSWERED_MS: u64 = 1_500;
/// Time since the last order after which a repeated one has been without an answer for [`UNANSWERED_MS`] in all.
const REPEATED_UNANSWERED_MS: u64 = 700;
/// Number of workers that do well with other jobs and on which a job fails, from which on the job is at fault.
const WORKERS_AGAINST_JOB: usize = 2;
/// Time before a failure from which on proofs of the worker count against the job. A bad phase can have begun since an
/// earlier one.
const PROOF_BEFORE_FAILURE_MS: u64 = 2_000;
/// Maximum number of workers that are kept for the decision on a job.
const MAX_FAILED_ON: usize = 16;
/// Fraction of the workers of a service that count as doubtful at most, so that a common cause, such as a bad job or an
/// outage that all workers depend on, does not take the service out of use.
const MAX_DOUBTFUL_DIVISOR: usize = 4;

impl Planner {
    /// Records the failure of an attempt that its worker reported, `placement` being the attempt's former placement.
    pub(in crate::planner) fn blame_failure(
        &mut self,
        now: PlannerTime,
        task: &TaskId,
        placement: &Placement,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let ran_ms = match placement.phase {
            StartPhase::Running => now.steady_ms.saturating_sub(placement.started_ms),
            StartPhase::Intended | StartPhase::Ordered(_) => 0,
        };
        let step = job.step(task.step.into());
        let is_late = ran_ms > EARLY_FAILURE_MS;
        // A long-running task fails now and then for reasons of its own.
        if is_late && step.long_running {
            return;
        }
        let weight = if is_late { LATE_FAILURE_WEIGHT } else { FULL_WEIGHT };
        let is_gang = step.gang;
        let incident = Incident {
            kind: IncidentKind::Failed,
            occurrence: task.occurrence,
            attempt: placement.attempt,
            weight,
            is_shared: false,
            at_ms: now.steady_ms,
        };
        if !self.add_incident(now, task, &placement.incarnation, incident, out) || !is_gang {
            return;
        }
        // Several members may report the failure of one attempt.
        let reporters = self.workers_with(&task.job, IncidentKind::Failed, placement.attempt);
        if reporters.len() > 1 {
            let suspects = self.suspects(now, task, &reporters, placement.started_ms);
            self.share_blame(&task.job, &reporters, &suspects);
        }
    }

    /// Records the stall of an attempt or of its gang. Returns the workers that are clearly at fault; empty if the blame
    /// remains open.
    pub(in crate::planner) fn blame_stall(
        &mut self,
        now: PlannerTime,
        task: &TaskId,
        out: &mut Vec<Output>,
    ) -> Vec<WorkerId> {
        let Some(job) = self.jobs.get(&task.job) else {
            return Vec::new();
        };
        let members = job.members(task);
        let placements = members.iter().filter_map(|member| job.task(member)?.placement.as_ref());
        let mut incarnations: Vec<(WorkerIncarnation, u32)> = placements
            .map(|placement| (placement.incarnation.clone(), placement.attempt))
            .collect();
        incarnations.sort();
        incarnations.dedup();
        let workers: Vec<WorkerId> =
            incarnations.iter().map(|(incarnation, _)| incarnation.worker.clone()).collect();
        let suspects = self.suspects(now, task, &workers, now.steady_ms);
        let blamed = attribute(&suspects);
        let is_shared = blamed.len() > 1;
        for (worker, weight) in &blamed {
            let entry = incarnations.iter().find(|(incarnation, _)| incarnation.worker == *worker);
            let Some((incarnation, attempt)) = entry else {
                continue;
            };
            let incident = Incident {
                kind: IncidentKind::Stalled,
                occurrence: task.occurrence,
                attempt: *attempt,
                weight: *weight,
                is_shared,
                at_ms: now.steady_ms,
            };
            self.add_incident(now, task, incarnation, incident, out);
        }
        let is_at_fault = |worker: &WorkerId| {
            self.workers.get(worker).is_some_and(|worker| worker.record.is_against_worker())
        };
        match blamed.iter().all(|(worker, _)| is_at_fault(worker)) {
            true => blamed.into_iter().map(|(worker, _)| worker).collect(),
            false => Vec::new(),
        }
    }

    /// Records which attempts on a worker run well, and which of its start orders have had no answer for a long time.
    pub(in crate::planner) fn review_attempts(
        &mut self,
        now: PlannerTime,
        incarnation: &WorkerIncarnation,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get(&incarnation.worker) else {
            return;
        };
        for task in worker.placed.clone() {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let placement = job.task(&task).and_then(|state| state.placement.as_ref());
            let Some(placement) =
                placement.filter(|placement| placement.incarnation == *incarnation)
            else {
                continue;
            };
            let is_long_running = job.step(task.step.into()).long_running;
            if let Some(proof_ms) = proof_ms(now, placement, is_long_running) {
                self.add_proof(&incarnation.worker, &task.job, proof_ms);
            } else if is_unanswered(now, placement) {
                let incident = Incident {
                    kind: IncidentKind::Unanswered,
                    occurrence: task.occurrence,
                    attempt: placement.attempt,
                    weight: FULL_WEIGHT,
                    is_shared: false,
                    at_ms: now.steady_ms,
                };
                let is_known = self.workers[&incarnation.worker]
                    .record
                    .incidents()
                    .get(&task.job)
                    .is_some_and(|known| known.attempt == incident.attempt);
                if !is_known {
                    self.add_incident(now, &task, incarnation, incident, out);
                }
            }
        }
    }

    /// Records that an attempt was done. It proves what the worker did since the attempt started, not that the worker
    /// still carries out starts at its end.
    pub(in crate::planner) fn credit_success(
        &mut self,
        now: PlannerTime,
        job: &JobId,
        placement: &Placement,
    ) {
        let proof_ms = now.steady_ms.min(placement.started_ms + PROOF_RUN_MS);
        self.add_proof(&placement.incarnation.worker, job, proof_ms);
    }

    fn add_proof(&mut self, worker: &WorkerId, job: &JobId, proof_ms: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.record.add_proof(job, proof_ms);
        }
    }

    /// Adds an incident, unless it concerns an earlier incarnation of the worker or the job is at fault. Returns whether it
    /// was added.
    fn add_incident(
        &mut self,
        now: PlannerTime,
        task: &TaskId,
        incarnation: &WorkerIncarnation,
        incident: Incident,
        out: &mut Vec<Output>,
    ) -> bool {
        if !self.accepts_lists_of(incarnation) {
            return false;
        }
        let job = self.jobs.get_mut(&task.job);
        let occurrence = job.and_then(|job| job.occurrences.get_mut(&task.occurrence));
        if let Some(occurrence) = occurrence.filter(|known| known.failed_on.len() < MAX_FAILED_ON) {
            occurrence.failed_on.insert(incarnation.worker.clone(), now.steady_ms);
        }
        if self.blame_job(&task.job, task.occurrence, out) {
            return false;
        }
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else {
            return false;
        };
        worker.record.add_incident(&task.job, incident);
        if worker.record.is_against_worker() {
            self.clear_explained(&incarnation.worker);
        }
        true
    }

    /// Returns whether an occurrence of a job is itself at fault: it failed on several workers that do well with other jobs.
    /// Its incidents then no longer count.
    ///
    /// Load pattern: 1 to 3 of 100 jobs fail on every worker, and must not take good workers out of use.
    fn blame_job(&mut self, id: &JobId, occurrence: u32, out: &mut Vec<Output>) -> bool {
        let job = self.jobs.get_mut(id);
        let Some(occurrence) = job.and_then(|job| job.occurrences.get_mut(&occurrence)) else {
            return false;
        };
        let is_proven = |(worker, failed_ms): &(&WorkerId, &u64)| {
            self.workers.get(*worker).is_some_and(|worker| {
                let since_ms = failed_ms.saturating_sub(PROOF_BEFORE_FAILURE_MS);
                worker.record.is_proven_since(id, since_ms)
            })
        };
        let proven = occurrence.failed_on.iter().filter(is_proven).count();
        if !occurrence.is_at_fault && proven < WORKERS_AGAINST_JOB {
            return false;
        }
        if !std::mem::replace(&mut occurrence.is_at_fault, true) {
            let workers = occurrence.failed_on.len();
            out.push(Output::Decision {
                job: id.clone(),
                attempt: None,
                what: Decision::Blamed,
                because: format!(
                    "failed or stalled on {workers} workers, of which {proven} do well with other jobs"
                ),
            });
        }
        self.workers.values_mut().for_each(|worker| worker.record.remove_incident(id));
        true
    }

    /// Removes the incidents of jobs that are at fault according to what their workers did since.
    fn review_jobs(&mut self, now: PlannerTime, out: &mut Vec<Output>) {
        let records = self.workers.values().map(|worker| &worker.record);
        let doubted = records.filter(|record| record.is_probably_at_fault(now.steady_ms));
        let incidents = doubted.flat_map(|record| record.incidents());
        let occurrences: BTreeSet<(JobId, u32)> =
            incidents.map(|(job, incident)| (job.clone(), incident.occurrence)).collect();
        for (job, occurrence) in occurrences {
            self.blame_job(&job, occurrence, out);
        }
    }

    /// Removes the shared blame of other workers for incidents that a worker at fault explains.
    fn clear_explained(&mut self, culprit: &WorkerId) {
        let Some(culprit_worker) = self.workers.get(culprit) else {
            return;
        };
        let explained: Vec<(JobId, u32)> = culprit_worker
            .record
            .incidents()
            .iter()
            .map(|(job, incident)| (job.clone(), incident.attempt))
            .collect();
        for (_, worker) in self.workers.iter_mut().filter(|(id, _)| *id != culprit) {
            for (job, attempt) in &explained {
                let is_explained = worker
                    .record
                    .incidents()
                    .get(job)
                    .is_some_and(|incident| incident.is_shared && incident.attempt == *attempt);
                if is_explained && !worker.record.is_against_worker() {
                    worker.record.remove_incident(job);
                }
            }
        }
    }

    fn workers_with(&self, job: &JobId, kind: IncidentKind, attempt: u32) -> Vec<WorkerId> {
        let has_incident = |record: &Record| {
            let incident = record.incidents().get(job);
            incident.is_some_and(|incident| incident.kind == kind && incident.attempt == attempt)
        };
        let workers = self.workers.iter().filter(|(_, worker)| has_incident(&worker.record));
        workers.map(|(id, _)| id.clone()).collect()
    }

    fn suspects(
        &self,
        now: PlannerTime,
        task: &TaskId,
        workers: &[WorkerId],
        proven_since_ms: u64,
    ) -> Vec<Suspect> {
        let suspect = |id: &WorkerId| {
            let record = self.workers.get(id).map(|worker| &worker.record);
            Suspect {
                worker: id.clone(),
                is_proven: self.has_progress(now, id)
                    || record
                        .is_some_and(|record| record.is_proven_since(&task.job, proven_since_ms)),
                other_weight: record.map_or(0, |record| record.score_without(&task.job)),
            }
        };
        workers.iter().map(suspect).collect()
    }

    /// Divides the blame for an attempt anew among the workers that reported its failure.
    fn share_blame(&mut self, job: &JobId, reporters: &[WorkerId], suspects: &[Suspect]) {
        let blamed: BTreeMap<WorkerId, u32> = attribute(suspects).into_iter().collect();
        for id in reporters {
            let Some(worker) = self.workers.get_mut(id) else {
                continue;
            };
            let known = worker.record.incidents().get(job).copied();
            match (known, blamed.get(id)) {
                (Some(known), Some(weight)) => {
                    let is_shared = blamed.len() > 1;
                    let incident = Incident { weight: *weight, is_shared, ..known };
                    worker.record.add_incident(job, incident);
                }
                _ => worker.record.remove_incident(job),
            }
        }
    }

    /// Decides which workers count as doubtful: of each service the worst, at most a quarter but always one.
    pub(in crate::planner) fn update_standings(&mut self, now: PlannerTime, out: &mut Vec<Output>) {
        self.review_jobs(now, out);
        let mut workers_of: BTreeMap<&str, usize> = BTreeMap::new();
        let mut at_fault: BTreeMap<&str, Vec<(Reverse<u32>, &WorkerId)>> = BTreeMap::new();
        for (id, worker) in &self.workers {
            let Some(report) = worker.report.as_ref() else {
                continue;
            };
            *workers_of.entry(&report.service).or_default() += 1;
            if worker.record.is_probably_at_fault(now.steady_ms) {
                let entry = (Reverse(worker.record.score()), id);
                at_fault.entry(&report.service).or_default().push(entry);
            }
        }
        let mut doubtful: Vec<WorkerId> = Vec::new();
        for (service, mut workers) in at_fault {
            workers.sort();
            let limit = (workers_of[service] / MAX_DOUBTFUL_DIVISOR).max(1);
            doubtful.extend(workers.into_iter().take(limit).map(|(_, id)| id.clone()));
        }
        for (id, worker) in &mut self.workers {
            worker.record.expire(now.steady_ms);
            let standing = match doubtful.contains(id) {
                true => WorkerStanding::Doubtful,
                false => WorkerStanding::Trusted,
            };
            if worker.record.standing == standing {
                continue;
            }
            worker.record.standing = standing;
            worker.record.standing_since_ms = now.steady_ms;
            out.push(Output::StandingChanged {
                worker: id.clone(),
                is_doubtful: standing == WorkerStanding::Doubtful,
                because: worker.record.describe(now.steady_ms),
            });
        }
    }

    /// Returns the number of workers that count as doubtful.
    pub fn doubtful_workers(&self) -> usize {
        let workers = self.workers.values();
        workers.filter(|worker| worker.record.standing == WorkerStanding::Doubtful).count()
    }
}

/// Returns the time at which an attempt proved that its worker carries out what it starts, if it runs well.
fn proof_ms(now: PlannerTime, placement: &Placement, is_long_running: bool) -> Option<u64> {
    let run_ms = if is_long_running { LONG_RUNNING_PROOF_MS } else { PROOF_RUN_MS };
    let has_progress = placement.progress_ms > placement.started_ms
        && now.steady_ms < placement.progress_ms + FRESH_PROGRESS_MS;
    let runs_well = placement.phase == StartPhase::Running
        && placement.stopping_ms.is_none()
        && now.steady_ms >= placement.started_ms + run_ms
        && (is_long_running || has_progress);
    runs_well.then_some(placement.started_ms + run_ms)
}

fn is_unanswered(now: PlannerTime, placement: &Placement) -> bool {
    let StartPhase::Ordered(ordered_ms) = placement.phase else {
        return false;
    };
    let limit_ms = if placement.is_order_repeated { REPEATED_UNANSWERED_MS } else { UNANSWERED_MS };
    placement.stopping_ms.is_none() && now.steady_ms >= ordered_ms + limit_ms
}
