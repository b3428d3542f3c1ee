//! Plans the jobs of all services: which task runs on which worker, which attempt is stopped, and when a job is over.
//!
//! One planner at a time acts for a deployment; [`crate::election`] decides whose. An intent is durable before its
//! order is sent, and an end is durable before it is acknowledged. See docs/platform-deployment.md.

mod end;
mod evict;
mod leave;
mod message;
mod pace;
mod place;
mod pool;
mod report;
mod scope;
mod state;
#[cfg(test)]
mod tests;

pub use message::{
    AttemptEnd, AttemptsReport, Batch, Decision, EndedAttempt, Input, JobProgress, Output,
    PlannerTime, RecordChange, RunningAttempt, StartOrder, StartRefusal, WorkerEvent, WorkerOrder,
    WorkerReport,
};

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::rules::Directives;
use crate::workflow::{JobRecord, JobResult, OccurrenceRecord, StepSpec, TaskId, TaskPhase};
use state::{Job, Occurrence, Placement, StartPhase, Task, Worker};

/// The most records in one batch, so that it stays below the platform's limit of 100 entries a transaction.
const MAX_BATCH_CHANGES: usize = 80;
/// How long the state of a job is kept after its end; clients may ask for 120 s.
const KEEP_ENDED_MS: u64 = 150_000;

/// The steps of a job that the log describes, to bound its lines.
const MAX_DESCRIBED_STEPS: usize = 6;
/// How long a new leader stops nothing for urgent jobs and spreads no gang that belongs in one rack: until then it may
/// not have heard of workers that are free.
const SETTLE_MS: u64 = 800;

/// The times that the planner works with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerSettings {
    /// After this time without contact, all attempts of a worker have surely ended.
    #[serde(rename = "lease_over_ms")]
    pub lease_expiry_ms: u64,
    /// The same after a takeover, when an earlier leader may have renewed leases for a while.
    #[serde(rename = "takeover_lease_over_ms")]
    pub takeover_lease_expiry_ms: u64,
}

/// The planner's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Planner {
    settings: PlannerSettings,
    directives: Directives,
    jobs: BTreeMap<JobId, Job>,
    workers: BTreeMap<WorkerId, Worker>,
    /// Occurrences whose durable records are out of date.
    changed: BTreeSet<(JobId, u32)>,
    forgotten: BTreeMap<JobId, u32>,
    /// Outputs that wait until the changes are durable.
    effects: Vec<Output>,
    next_order: u64,
    /// When the workers have had time to report to this leader.
    settled_ms: u64,
    /// How long tasks of each queue usually run.
    typical_ms: BTreeMap<String, f64>,
}

impl Planner {
    /// Creates a planner without jobs or workers.
    pub fn new(now: PlannerTime, settings: PlannerSettings, directives: Directives) -> Self {
        Self {
            settled_ms: now.steady_ms + SETTLE_MS,
            typical_ms: BTreeMap::new(),
            settings,
            directives,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            changed: BTreeSet::new(),
            forgotten: BTreeMap::new(),
            effects: Vec::new(),
            next_order: 0,
        }
    }

    /// Takes over a stored job. Stored intents count as running until their workers say otherwise.
    pub fn restore(
        &mut self,
        now: PlannerTime,
        job: &JobId,
        record: JobRecord,
        occurrences: Vec<(u32, OccurrenceRecord)>,
    ) {
        let mut state = self.new_job(record);
        for (number, stored) in occurrences {
            if let Some((result, ended_wall_ms)) = stored.job_result {
                (state.result, state.ended_wall_ms) = (Some(result), ended_wall_ms);
            }
            let mut occurrence = Occurrence { done: stored.done, ..Occurrence::default() };
            for task in stored.tasks {
                state.started |= task.attempt > 0;
                occurrence.tasks.push(restored_task(now, task));
            }
            state.occurrences.insert(number, occurrence);
        }
        stop_remnants(&mut state);
        self.index_placements(now, job, &state);
        self.jobs.insert(job.clone(), state);
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
                    let extra =
                        self.settings.takeover_lease_expiry_ms - self.settings.lease_expiry_ms;
                    worker.heard_ms = now.steady_ms + extra;
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
            result: None,
            ended_wall_ms: 0,
            started: false,
        }
    }

    /// Takes an event and returns what can be done at once. [`Planner::take_batch`] returns the rest.
    pub fn handle(&mut self, now: PlannerTime, input: &Input) -> Vec<Output> {
        let mut out = Vec::new();
        let was_closed = match input {
            Input::Runs(report) => self
                .workers
                .get(&report.incarnation.worker)
                .is_none_or(|worker| !worker.synced || !worker.foreign.is_empty()),
            _ => false,
        };
        match input {
            Input::Directives(directives) => self.directives = directives.clone(),
            Input::Submitted { job, record } => self.submitted(job, record, &mut out),
            Input::Cancelled { job } => self.cancelled(now, job, &mut out),
            Input::Worker(event) => self.worker_event(now, event, &mut out),
            Input::Disconnected(worker) => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.connected = false;
                    worker.synced = false;
                }
            }
            Input::Runs(report) => self.attempts_reported(now, report, &mut out),
            Input::Tick => self.forget_ended(now, &mut out),
        }
        self.expire_leases(now, &mut out);
        // A list that brings nothing new, the most frequent event, frees no room. Waiting times are looked at each tick.
        let may_place = match input {
            Input::Runs(_) => was_closed || !out.is_empty(),
            Input::Worker(WorkerEvent::Started { .. }) => false,
            _ => true,
        };
        if may_place {
            self.place_all(now, &mut out);
        }
        out
    }

    fn submitted(&mut self, job: &JobId, record: &JobRecord, out: &mut Vec<Output>) {
        if self.jobs.contains_key(job) {
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
                "priority {}, jobs known {}, {}",
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

    /// Returns the changes to make durable, if there are any or effects wait for none.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let mut batch = Batch::default();
        while batch.changes.len() < MAX_BATCH_CHANGES {
            let Some((job, occurrence)) = self.changed.pop_first() else {
                break;
            };
            if let Some(state) = self.jobs.get(&job) {
                let record = Box::new(state.record_of(occurrence));
                batch.changes.push(RecordChange::Occurrence { job, occurrence, record });
            }
        }
        if batch.changes.is_empty()
            && let Some((job, occurrences)) = self.forgotten.pop_first()
        {
            batch.changes.push(RecordChange::Forget { job, occurrences });
        }
        if self.changed.is_empty() {
            batch.effects = std::mem::take(&mut self.effects);
        }
        (!batch.changes.is_empty() || !batch.effects.is_empty()).then_some(batch)
    }

    /// Returns the orders among the effects of a batch that are still wanted, now that the batch is durable.
    pub fn release(&mut self, now: PlannerTime, effects: Vec<Output>) -> Vec<Output> {
        let mut out = Vec::new();
        for effect in effects {
            match effect {
                Output::Order(WorkerOrder::Start(order)) => {
                    self.release_start(now, order, &mut out);
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
        // The worker may have begun to drain while the store was slow.
        if is_stopping || !self.takes_starts(&order.incarnation.worker) {
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

    /// Returns whether operators and the worker itself allow starts there.
    fn takes_starts(&self, worker: &WorkerId) -> bool {
        let report = self.workers.get(worker).and_then(|worker| worker.report.as_ref());
        report.is_some_and(|report| {
            !report.draining && !self.directives.out_of_service.contains(&report.data_centre)
        })
    }

    fn placement_mut(&mut self, task: &TaskId, attempt: u32) -> Option<&mut Placement> {
        let task = self.jobs.get_mut(&task.job)?.task_mut(task)?;
        task.placement.as_mut().filter(|placement| placement.attempt == attempt)
    }

    /// Returns how far all known jobs are.
    pub fn progress(&self) -> impl Iterator<Item = (&JobId, &str, JobProgress)> + use<'_> {
        self.jobs.iter().map(|(job, state)| (job, state.record.queue.as_str(), state.progress()))
    }

    /// Returns the number of jobs, of tasks on workers, and of connected workers.
    pub fn counts(&self) -> (usize, usize, usize) {
        let placed = self.workers.values().map(|worker| worker.placed.len()).sum();
        let connected = self.workers.values().filter(|worker| worker.connected).count();
        (self.jobs.len(), placed, connected)
    }

    fn forget_ended(&mut self, now: PlannerTime, out: &mut Vec<Output>) {
        let over: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.result.is_some() && now.wall_ms >= job.ended_wall_ms + KEEP_ENDED_MS
            })
            .filter(|(_, job)| job.occurrences.values().all(|one| one.tasks.is_empty()))
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            let Some(job) = self.jobs.remove(&id) else {
                continue;
            };
            let occurrences = job.record.spec.occurrences();
            out.push(Output::Progress { job: id.clone(), queue: job.record.queue, progress: None });
            self.forgotten.insert(id, occurrences);
        }
    }
}

fn restored_task(now: PlannerTime, record: crate::workflow::TaskRecord) -> Task {
    let placement = match &record.phase {
        TaskPhase::Placed(incarnation) => Some(Placement {
            incarnation: incarnation.clone(),
            attempt: record.attempt,
            phase: StartPhase::Running,
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

/// Says what a job needs, for the log.
fn describe(record: &JobRecord) -> String {
    let step = |step: &StepSpec| {
        let mut text = format!(
            "{} tasks of {} millicores, {} MB, {} accelerators, about {} ms",
            step.tasks,
            step.need.cores_milli,
            step.need.memory_mb,
            step.need.accelerators,
            step.estimate_ms
        );
        for (is_so, what) in [
            (step.gang, "gang"),
            (step.same_rack, "same rack"),
            (step.data_rack.is_some(), "data in a rack"),
            (step.checkpointable, "checkpointable"),
            (step.speculative, "speculative"),
        ] {
            if is_so {
                text.push_str(", ");
                text.push_str(what);
            }
        }
        text
    };
    let mut texts: Vec<String> =
        record.spec.steps.iter().take(MAX_DESCRIBED_STEPS).map(step).collect();
    if let Some(schedule) = record.spec.schedule {
        texts.push(format!("{} times each {} ms", schedule.occurrences, schedule.interval_ms));
    }
    texts.join("; ")
}

/// Marks what an earlier leader was stopping: attempts of a job that is over, and what is left of a broken gang.
fn stop_remnants(job: &mut Job) {
    let is_finished = job.result.is_some();
    let steps = 0..job.record.spec.steps.len();
    let gangs: Vec<_> =
        steps.filter(|step| job.step(*step).gang).map(|step| job.range(step)).collect();
    for occurrence in job.occurrences.values_mut().filter(|one| !one.tasks.is_empty()) {
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
