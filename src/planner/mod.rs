//! Schedules the jobs of all services: assigns tasks to workers, stops attempts, and determines when a job is finished.
//!
//! Only the planner of the leading coordinator acts for a deployment; [`crate::election`] elects that coordinator. The
//! intent to start an attempt is durable before the order is sent, and the end of an attempt is durable before it is
//! acknowledged. See docs/platform-deployment.md.

mod batch;
mod blame;
mod departure;
mod description;
mod end;
mod evict;
mod incarnation;
mod load;
mod message;
mod occurrences;
mod overload;
mod place;
mod pool;
mod queue;
mod report;
mod reservation;
mod scope;
mod speed;
mod state;
mod stop_cost;
mod straggler;
#[cfg(test)]
mod tests;

pub use speed::{SpeedReport, Speeds};

pub use message::{
    AttemptEnd, AttemptsReport, Batch, Decision, EndedAttempt, Input, JobProgress, Output,
    PlannerTime, RecordChange, RunningAttempt, StartOrder, StartRefusal, WorkerEvent, WorkerOrder,
    WorkerReport,
};
pub use overload::CostSettings;
pub(crate) use overload::{JobTimes, OccurrenceValue};

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::rules::{Directives, Objective};
use crate::workflow::{JobRecord, JobResult, OccurrenceRecord, TaskId, TaskPhase};
use description::describe;
use state::{Job, Occurrence, Placement, StartPhase, Task, Worker};

/// Time for which the state of a finished job is kept. Clients may query it for 120 s.
const ENDED_JOB_RETENTION_MS: u64 = 150_000;

/// Time for which a removed job is recognised in a list of the stored jobs that was read before the removal.
const REMOVED_JOB_RETENTION_MS: u64 = 300_000;

/// Time after a takeover during which a new leader evicts nothing for urgent jobs and keeps gangs that belong in one
/// rack together: free workers may not have reported to it yet.
const SETTLE_MS: u64 = 800;

/// Lease times and limits of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerSettings {
    /// Time without contact after which all attempts of a worker are guaranteed to have ended.
    #[serde(rename = "lease_over_ms")]
    pub lease_expiry_ms: u64,
    /// Value of `lease_expiry_ms` after a takeover. It is longer because the earlier leader may have gone on renewing
    /// leases for a while.
    #[serde(rename = "takeover_lease_over_ms")]
    pub takeover_lease_expiry_ms: u64,
    /// Maximum size of a record in bytes, so that it fits into a row of the store.
    pub record_limit_bytes: usize,
    /// Ratio of the speeds of fast and slow workers of a service, in percent, from which on placement takes the speed of
    /// workers into account; `None` switches that off.
    #[serde(default)]
    pub speed_spread_percent: Option<u32>,
    /// Times from which the costs of stops follow; without them, stops are chosen by unsaved work alone.
    #[serde(default)]
    pub cost: Option<CostSettings>,
}

/// Removal of the records of a job that is no longer kept.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Removal {
    /// Number below which records of occurrences remain; 0 once the removal of the last ones is being written.
    occurrences: u32,
    /// Number of parts of each occurrence.
    parts: u16,
    queue: String,
    result: JobResult,
}

/// Planner of a deployment: the state of all jobs and workers, and the changes that are not durable yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Planner {
    settings: PlannerSettings,
    directives: Directives,
    jobs: BTreeMap<JobId, Job>,
    workers: BTreeMap<WorkerId, Worker>,
    /// Parts of occurrences whose durable records have to be written again.
    changed: BTreeSet<(JobId, u32, u16)>,
    /// Occurrences with changes in a transaction that the store refused. Each is written in a transaction of its own.
    #[serde(default)]
    refused: BTreeSet<(JobId, u32)>,
    /// Jobs whose records have to be removed.
    forgotten: BTreeMap<JobId, Removal>,
    /// Jobs that are no longer kept, with the time at which each was accepted and the steady time of its removal. A list
    /// of the stored jobs from before the removal may still contain them.
    #[serde(default)]
    removed: BTreeMap<JobId, (u64, u64)>,
    /// Outputs that are released once the changes are durable.
    effects: Vec<Output>,
    next_order: u64,
    /// Steady time from which all workers have had time to report to this leader.
    settled_ms: u64,
    /// Typical duration of a task in milliseconds, by queue.
    typical_ms: BTreeMap<String, f64>,
    /// Latency objectives by queue, from the directives.
    objectives: BTreeMap<String, Objective>,
    /// Estimated speeds of the workers.
    #[serde(default)]
    speeds: Speeds,
}

impl Planner {
    /// Creates a planner without jobs or workers.
    pub fn new(now: PlannerTime, settings: PlannerSettings, directives: Directives) -> Self {
        Self {
            settled_ms: now.steady_ms + SETTLE_MS,
            typical_ms: BTreeMap::new(),
            objectives: objectives_of(&directives),
            speeds: Speeds::default(),
            settings,
            directives,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            changed: BTreeSet::new(),
            refused: BTreeSet::new(),
            forgotten: BTreeMap::new(),
            removed: BTreeMap::new(),
            effects: Vec::new(),
            next_order: 0,
        }
    }

    /// Restores a stored job after a takeover. Stored intents count as running until their workers report otherwise. A job
    /// with an occurrence whose state does not match its specification is held.
    pub fn restore(
        &mut self,
        now: PlannerTime,
        job: &JobId,
        record: JobRecord,
        occurrences: Vec<(u32, OccurrenceRecord)>,
    ) {
        let mut state = self.new_job(record);
        let expected_tasks = state.record.spec.tasks_per_occurrence();
        for (number, stored) in occurrences {
            if !stored.tasks.is_empty() && stored.tasks.len() != expected_tasks {
                state.is_held = true;
                continue;
            }
            if let Some((result, ended_wall_ms)) = stored.job_result {
                (state.result, state.ended_wall_ms) = (Some(result), ended_wall_ms);
                state.is_result_durable = true;
            }
            let mut occurrence = Occurrence { done: stored.done, ..Occurrence::default() };
            let failed_attempts = stored.failed_attempts.into_iter().chain(std::iter::repeat(0));
            for (task, failed_attempt) in stored.tasks.into_iter().zip(failed_attempts) {
                state.started |= task.attempt > 0;
                let task = Task { failed_attempt, ..restored_task(now, task) };
                occurrence.tasks.push(task);
            }
            state.occurrences.insert(number, occurrence);
        }
        mark_leftover_attempts_stopping(&mut state);
        self.index_placements(now, job, &state);
        self.jobs.insert(job.clone(), state);
    }

    /// Keeps a job from starting any task, because part of its stored state cannot be read: what it has done is not known,
    /// and a task that has run must not run again.
    pub fn hold(&mut self, job: &JobId) {
        if let Some(state) = self.jobs.get_mut(job) {
            state.is_held = true;
        }
    }

    /// Returns whether the workers have had time to report to this leader.
    fn has_settled(&self, now: PlannerTime) -> bool {
        now.steady_ms >= self.settled_ms
    }

    fn index_placements(&mut self, now: PlannerTime, job: &JobId, state: &Job) {
        for (number, occurrence) in &state.occurrences {
            for step in 0..state.record.spec.steps.len() {
                for (index, position) in state.range(step).enumerate() {
                    let Some(placement) =
                        occurrence.tasks.get(position).and_then(|task| task.placement.as_ref())
                    else {
                        continue;
                    };
                    let task = TaskId {
                        job: job.clone(),
                        occurrence: *number,
                        step: step as u16,
                        index: index as u32,
                    };
                    let worker =
                        self.workers.entry(placement.incarnation.worker.clone()).or_default();
                    let takeover_extension_ms =
                        self.settings.takeover_lease_expiry_ms - self.settings.lease_expiry_ms;
                    worker.last_contact_ms = now.steady_ms + takeover_extension_ms;
                    worker.placed.insert(task);
                }
            }
        }
    }

    fn new_job(&mut self, record: JobRecord) -> Job {
        self.next_order += 1;
        Job {
            record,
            order: self.next_order,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            result: None,
            is_result_durable: false,
            ended_wall_ms: 0,
            started: false,
            is_held: false,
            withheld_until_ms: None,
        }
    }

    /// Handles an event and returns the outputs that need no durable change. [`Planner::take_batch`] returns the
    /// others.
    pub fn handle(&mut self, now: PlannerTime, input: &Input) -> Vec<Output> {
        let mut out = Vec::new();
        let was_unavailable = match input {
            Input::Runs(report) => {
                self.workers.get(&report.incarnation.worker).is_none_or(|worker| {
                    !worker.has_recent_list(now.steady_ms) || !worker.foreign.is_empty()
                })
            }
            _ => false,
        };
        match input {
            Input::Directives(directives) => {
                self.objectives = objectives_of(directives);
                self.directives = directives.clone();
            }
            Input::Submitted { job, record } => self.submitted(job, record, &mut out),
            Input::Cancelled { job } => self.cancelled(now, job, &mut out),
            Input::Worker(event) => self.handle_worker_event(now, event, &mut out),
            Input::Disconnected(worker) => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.connected = false;
                    worker.synced = false;
                }
            }
            Input::Runs(report) => self.attempts_reported(now, report, &mut out),
            Input::Tick => {
                self.retry_withheld(now);
                self.remove_expired_jobs(now);
            }
        }
        self.expire_leases(now, &mut out);
        self.update_speeds(now);
        self.update_standings(now, &mut out);
        // The most frequent event, a list of attempts without changes, frees no capacity. Waiting times are checked at
        // each tick.
        let may_place = match input {
            Input::Runs(_) => was_unavailable || !out.is_empty(),
            Input::Worker(WorkerEvent::Started { .. }) => false,
            _ => true,
        };
        if may_place {
            self.place_all(now, &mut out);
        }
        out
    }

    fn submitted(&mut self, job: &JobId, record: &JobRecord, out: &mut Vec<Output>) {
        let is_removed = self
            .removed
            .get(job)
            .is_some_and(|(accepted_ms, _)| *accepted_ms == record.accepted_ms);
        if is_removed || self.jobs.contains_key(job) {
            return;
        }
        let state = self.new_job(record.clone());
        out.push(Output::Progress {
            job: job.clone(),
            queue: record.queue.clone(),
            progress: Some(JobProgress::Pending),
        });
        out.push(Output::Decision {
            job: job.clone(),
            attempt: None,
            what: Decision::Queued,
            because: format!(
                "priority {}, {} other jobs in the planner, {}",
                record.priority,
                self.jobs.len(),
                describe(record)
            ),
        });
        self.jobs.insert(job.clone(), state);
    }

    fn cancelled(&mut self, now: PlannerTime, job: &JobId, out: &mut Vec<Output>) {
        if self.jobs.get(job).is_some_and(|state| state.result.is_none()) {
            self.finish_job(now, job, JobResult::Cancelled, "a client cancelled it", out);
        }
    }

    /// Returns the effects of a batch that is now durable, without the starts that have become obsolete meanwhile.
    pub fn release(&mut self, now: PlannerTime, effects: Vec<Output>) -> Vec<Output> {
        let mut out = Vec::new();
        for effect in effects {
            match effect {
                Output::Order(WorkerOrder::Start(order)) => {
                    self.release_start(now, order, &mut out);
                }
                Output::Progress { job, queue, progress } => {
                    match (progress, self.jobs.get_mut(&job)) {
                        (Some(JobProgress::Finished(_)), Some(state)) => {
                            state.is_result_durable = true;
                        }
                        (None, _) => {
                            self.forgotten.remove(&job);
                        }
                        _ => {}
                    }
                    out.push(Output::Progress { job, queue, progress });
                }
                other => out.push(other),
            }
        }
        out
    }

    fn release_start(&mut self, now: PlannerTime, order: StartOrder, out: &mut Vec<Output>) {
        let placement = self.placement_mut(&order.task, order.attempt);
        let Some(placement) =
            placement.filter(|placement| placement.incarnation == order.incarnation)
        else {
            return;
        };
        let is_stopping = placement.stopping_ms.is_some();
        // The worker may have begun to drain while the batch was written.
        if is_stopping || !self.accepts_starts(&order.incarnation.worker) {
            self.attempt_ended(
                now,
                &order.incarnation,
                (&order.task, order.attempt),
                AttemptEnd::Stopped,
                None,
                out,
            );
            return;
        }
        if let Some(placement) = self.placement_mut(&order.task, order.attempt) {
            placement.phase = StartPhase::Ordered(now.steady_ms);
        }
        out.push(Output::Order(WorkerOrder::Start(order)));
    }

    /// Returns whether a worker accepts starts: it is not draining, and its data centre is in service.
    fn accepts_starts(&self, worker: &WorkerId) -> bool {
        let report = self.workers.get(worker).and_then(|worker| worker.report.as_ref());
        report.is_some_and(|report| {
            !report.draining && !self.directives.out_of_service.contains(&report.data_centre)
        })
    }

    fn placement_mut(&mut self, task: &TaskId, attempt: u32) -> Option<&mut Placement> {
        let task = self.jobs.get_mut(&task.job)?.task_mut(task)?;
        task.placement.as_mut().filter(|placement| placement.attempt == attempt)
    }

    /// Returns the id, queue and progress of each job that the store holds.
    pub fn progress(&self) -> impl Iterator<Item = (&JobId, &str, JobProgress)> + use<'_> {
        let kept = self
            .jobs
            .iter()
            .map(|(job, state)| (job, state.record.queue.as_str(), state.progress()));
        let in_removal = self.forgotten.iter().map(|(job, removal)| {
            (job, removal.queue.as_str(), JobProgress::Finished(removal.result))
        });
        kept.chain(in_removal)
    }

    /// Returns the number of jobs, of tasks on workers, and of connected workers.
    pub fn counts(&self) -> (usize, usize, usize) {
        let placed = self.workers.values().map(|worker| worker.placed.len()).sum();
        let connected = self.workers.values().filter(|worker| worker.connected).count();
        (self.jobs.len(), placed, connected)
    }

    fn remove_expired_jobs(&mut self, now: PlannerTime) {
        let forgotten = &self.forgotten;
        self.removed.retain(|job, (_, removed_ms)| {
            forgotten.contains_key(job) || now.steady_ms < *removed_ms + REMOVED_JOB_RETENTION_MS
        });
        let expired: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.is_result_durable
                    && now.wall_ms >= job.ended_wall_ms.saturating_add(ENDED_JOB_RETENTION_MS)
            })
            .filter(|(_, job)| {
                job.occurrences.values().all(|occurrence| occurrence.tasks.is_empty())
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            let Some(job) = self.jobs.remove(&id) else {
                continue;
            };
            let Some(result) = job.result else {
                continue;
            };
            let (occurrences, parts) = (job.record.spec.occurrences(), job.part_count());
            self.removed.insert(id.clone(), (job.record.accepted_ms, now.steady_ms));
            let queue = job.record.queue;
            self.forgotten.insert(id, Removal { occurrences, parts, queue, result });
        }
    }
}

fn objectives_of(directives: &Directives) -> BTreeMap<String, Objective> {
    let queues = directives.rules.iter().flat_map(|rules| &rules.queues);
    queues.map(|queue| (queue.name.clone(), queue.objective())).collect()
}

fn restored_task(now: PlannerTime, record: crate::workflow::TaskRecord) -> Task {
    let placement = match &record.phase {
        TaskPhase::Placed(incarnation) => Some(Placement {
            incarnation: incarnation.clone(),
            attempt: record.attempt,
            phase: StartPhase::Running,
            is_start_settled: true,
            is_order_repeated: false,
            since_ms: now.steady_ms,
            stopping_ms: None,
            percent: 0,
            progress_ms: now.steady_ms,
            started_ms: now.steady_ms,
            checkpoint_at_start: record.checkpoint.clone(),
        }),
        TaskPhase::Waiting | TaskPhase::Done => None,
    };
    Task { record, placement, ..Task::default() }
}

/// Marks the attempts that an earlier leader was stopping: those of a finished job, and the remaining members of a
/// broken gang.
fn mark_leftover_attempts_stopping(job: &mut Job) {
    let is_finished = job.result.is_some();
    let steps = 0..job.record.spec.steps.len();
    let gangs: Vec<_> =
        steps.filter(|step| job.step(*step).gang).map(|step| job.range(step)).collect();
    for occurrence in job.occurrences.values_mut().filter(|occurrence| !occurrence.tasks.is_empty())
    {
        for gang in &gangs {
            let members = &mut occurrence.tasks[gang.clone()];
            let is_broken = members.iter().any(|task| task.is_waiting());
            mark_stopping(members, is_broken);
        }
        mark_stopping(&mut occurrence.tasks, is_finished);
    }
}

fn mark_stopping(tasks: &mut [Task], is_stopping: bool) {
    for placement in tasks.iter_mut().filter_map(|task| task.placement.as_mut()) {
        if is_stopping {
            placement.stopping_ms = Some(0);
        }
    }
}
