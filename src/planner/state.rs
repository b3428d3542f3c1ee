//! State of jobs, tasks and workers in the planner.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::blame::Record;
use super::message::{Decision, JobProgress, WorkerReport};
use super::straggler::Slowness;
use crate::prelude::*;
use crate::workflow::{
    self, JobRecord, JobResult, OccurrenceRecord, StepSpec, TaskId, TaskPhase, TaskRecord,
    WorkerIncarnation,
};

/// Age of a worker's last list above which the worker gets no work. Workers list their attempts at least each second; one
/// that does not may have ended.
const MAX_LIST_AGE_MS: u64 = 3_000;

/// Number of replaced incarnations that are remembered for each worker. Reports arrive some seconds late at most.
const MAX_REPLACED_INCARNATIONS: usize = 16;

/// Phase of the start of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum StartPhase {
    /// The intent is not durable yet, so no start order was sent.
    Intended,
    /// The start order was last sent at this steady time in milliseconds, and the worker has not confirmed it.
    Ordered(u64),
    /// The worker confirmed the start, or may have confirmed it to an earlier leader.
    Running,
}

/// Attempt on a worker. Its resources count as used until its end is reported or guaranteed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Placement {
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    #[serde(rename = "run")]
    pub attempt: u32,
    pub phase: StartPhase,
    /// Steady time at which the attempt was placed.
    pub since_ms: u64,
    /// No order to start it can still be carried out: the incarnation has listed it, or an earlier leader ordered it,
    /// whose fencing token is outdated.
    #[serde(default)]
    pub is_start_settled: bool,
    /// The start order was sent more than once, so a refusal of the last one does not prove that no earlier one was or will
    /// be carried out.
    #[serde(default)]
    pub is_order_repeated: bool,
    /// Steady time at which its stop was last ordered, if it has to stop.
    pub stopping_ms: Option<u64>,
    pub percent: u8,
    /// Steady time at which its reported progress last changed.
    pub progress_ms: u64,
    /// Steady time at which the worker first reported it as running.
    pub started_ms: u64,
    /// Checkpoint from which the attempt resumed.
    pub checkpoint_at_start: Option<String>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Task {
    pub record: TaskRecord,
    pub placement: Option<Placement>,
    /// Worker on which the task last failed, stalled or was too slow.
    pub avoid: Option<WorkerId>,
    /// Number of the last attempt that was counted as a failure.
    #[serde(rename = "failed_run")]
    pub failed_attempt: u32,
    /// Number of attempts that were stopped because they stalled or were too slow.
    pub stalls: u32,
    /// Number of attempts that were stopped for urgent jobs.
    pub evictions: u32,
    /// Steady time of the last stop for an urgent job.
    pub evicted_ms: u64,
}

impl Task {
    pub fn is_waiting(&self) -> bool {
        self.placement.is_none() && self.record.phase == TaskPhase::Waiting
    }

    pub fn is_done(&self) -> bool {
        self.record.phase == TaskPhase::Done
    }
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Occurrence {
    /// Tasks of all steps, in order; removed once all are done or the job is finished, and none has a placement.
    pub tasks: Vec<Task>,
    pub done: bool,
    /// Steady time from which the waiting tasks of a step could start, by step.
    pub ready_ms: BTreeMap<usize, u64>,
    /// Last decision against stops for the occurrence, and the steady time at which it was made.
    #[serde(default)]
    pub stop_refusal: Option<(Decision, u64)>,
    /// Workers on which attempts failed or stalled, with the steady time of the last time.
    #[serde(default)]
    pub failed_on: BTreeMap<WorkerId, u64>,
    /// It failed on workers that do well with other jobs, so its failures speak against no worker.
    #[serde(default)]
    pub is_at_fault: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Job {
    pub record: JobRecord,
    /// Order in which jobs of one priority are placed.
    pub order: u64,
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Number below which all occurrences have been created or restored.
    #[serde(default)]
    pub next_occurrence: u32,
    pub result: Option<JobResult>,
    /// The store holds the result.
    #[serde(default)]
    pub is_result_durable: bool,
    /// Time at which the job finished, in milliseconds since 1970.
    pub ended_wall_ms: u64,
    pub started: bool,
    /// Part of the stored state could not be read, so no task is started.
    pub is_held: bool,
    /// Steady time until which nothing that depends on the job's state takes effect, because the store refused that state.
    #[serde(default)]
    pub withheld_until_ms: Option<u64>,
}

impl Job {
    /// Returns the progress as clients may see it. A result counts only once it is durable: after a loss of power the next
    /// leader knows nothing of any other one, and the tasks run again.
    pub fn progress(&self) -> JobProgress {
        match self.result {
            Some(result) if self.is_result_durable => JobProgress::Finished(result),
            _ if self.started => JobProgress::Running,
            _ => JobProgress::Pending,
        }
    }

    pub fn step(&self, step: usize) -> &StepSpec {
        &self.record.spec.steps[step]
    }

    /// Returns whether tasks of the job may start.
    pub fn may_start(&self) -> bool {
        self.result.is_none() && !self.is_held && self.withheld_until_ms.is_none()
    }

    pub fn is_placed(&self) -> bool {
        let mut tasks = self.occurrences.values().flat_map(|occurrence| &occurrence.tasks);
        tasks.any(|task| task.placement.is_some())
    }

    /// Returns the range of the tasks of a step in [`Occurrence::tasks`].
    pub fn range(&self, step: usize) -> std::ops::Range<usize> {
        let steps = &self.record.spec.steps;
        let start: usize = steps[..step].iter().map(|step| step.tasks as usize).sum();
        start..start + steps[step].tasks as usize
    }

    /// Returns the index of a task in [`Occurrence::tasks`], if the job has such a task.
    pub fn position(&self, task: &TaskId) -> Option<usize> {
        let step = usize::from(task.step);
        let spec = self.record.spec.steps.get(step)?;
        (task.index < spec.tasks).then(|| self.range(step).start + task.index as usize)
    }

    pub fn task(&self, task: &TaskId) -> Option<&Task> {
        let position = self.position(task)?;
        self.occurrences.get(&task.occurrence)?.tasks.get(position)
    }

    pub fn task_mut(&mut self, task: &TaskId) -> Option<&mut Task> {
        let position = self.position(task)?;
        self.occurrences.get_mut(&task.occurrence)?.tasks.get_mut(position)
    }

    /// Returns all tasks of the gang that a task belongs to, or only the task itself if it belongs to none.
    pub fn members(&self, task: &TaskId) -> Vec<TaskId> {
        let step = self.step(task.step.into());
        if !step.gang {
            return vec![task.clone()];
        }
        (0..step.tasks).map(|index| TaskId { index, ..task.clone() }).collect()
    }

    /// Returns the number of parts into which the state of each occurrence is divided.
    pub fn part_count(&self) -> u16 {
        workflow::part_count(self.record.spec.tasks_per_occurrence())
    }

    /// Returns the durable state of the tasks in one part of an occurrence.
    pub fn record_of(&self, occurrence: u32, part: u16) -> OccurrenceRecord {
        let state = self.occurrences.get(&occurrence);
        let tasks = state.map(|state| state.tasks.as_slice()).unwrap_or_default();
        let tasks = &tasks[workflow::part_range(part, tasks.len())];
        let failed_attempts: Vec<u32> = tasks.iter().map(|task| task.failed_attempt).collect();
        let has_failed = failed_attempts.iter().any(|attempt| *attempt > 0);
        // A task that is done never resumes.
        let record = |task: &Task| TaskRecord {
            checkpoint: task.record.checkpoint.clone().filter(|_| !task.is_done()),
            ..task.record.clone()
        };
        OccurrenceRecord {
            tasks: tasks.iter().map(record).collect(),
            done: state.is_some_and(|state| state.done),
            job_result: self.result.map(|result| (result, self.ended_wall_ms)),
            failed_attempts: if has_failed { failed_attempts } else { Vec::new() },
        }
    }
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Worker {
    /// Latest description that the worker reported; `None` if it left, or if only durable intents refer to it.
    pub report: Option<WorkerReport>,
    pub connected: bool,
    /// The worker has listed its attempts to this leader.
    pub synced: bool,
    /// Steady time of its last list.
    #[serde(default)]
    pub listed_ms: u64,
    /// Steady time of the last contact with the worker. After a takeover it may lie in the future, which extends the
    /// lease.
    #[serde(rename = "heard_ms")]
    pub last_contact_ms: u64,
    /// Births of the last incarnations that were replaced by another one.
    #[serde(default)]
    pub replaced_born_ms: VecDeque<u64>,
    /// Tasks that are placed on the worker.
    pub placed: BTreeSet<TaskId>,
    /// Attempts that the worker lists, but that are not placed on it according to this planner.
    pub foreign: BTreeSet<(TaskId, u32)>,
    /// Sequence number of the last end that was handled.
    #[serde(rename = "ends_taken")]
    pub last_processed_end: u64,
    /// Steady time at which the handled ends were last acknowledged.
    #[serde(default)]
    pub acknowledged_ms: u64,
    /// Jobs that failed on the worker since an attempt last succeeded on it.
    pub failed_jobs: BTreeSet<JobId>,
    /// Steady time until which the worker gets no work.
    #[serde(rename = "resting_until_ms")]
    pub backoff_until_ms: u64,
    /// Outcomes that decide how much the worker is trusted.
    #[serde(default)]
    pub record: Record,
    pub slowness: Slowness,
    /// Steady time until which the worker is suspect, because an attempt or a gang with a member on it made no progress
    /// or was too slow. A suspect worker gets no work or, if more than half of the workers are suspect, is chosen last.
    pub suspect_until_ms: u64,
    /// Earliest steady time at which the worker leaves, if it has announced that.
    pub leaves_ms: Option<u64>,
}

impl Worker {
    /// Returns whether a report of another incarnation than the current one is a late one: the current one has listed its
    /// attempts, and that other one was replaced before. Times of birth alone do not tell, because clocks may be set back.
    pub fn is_late_report(&self, born_ms: u64) -> bool {
        self.synced && self.replaced_born_ms.contains(&born_ms)
    }

    /// Begins a new incarnation. The attempts of earlier ones stay placed until its first list resolves them.
    pub fn begin_incarnation(&mut self) {
        let mut replaced_born_ms = std::mem::take(&mut self.replaced_born_ms);
        if let Some(last) = &self.report {
            replaced_born_ms.truncate(MAX_REPLACED_INCARNATIONS - 1);
            replaced_born_ms.push_front(last.incarnation.born_ms);
        }
        let placed = std::mem::take(&mut self.placed);
        *self = Self { placed, replaced_born_ms, ..Self::default() };
    }

    /// Returns whether the worker has listed its attempts recently enough to get work.
    pub fn has_recent_list(&self, now_ms: u64) -> bool {
        self.synced && now_ms <= self.listed_ms + MAX_LIST_AGE_MS
    }
}
