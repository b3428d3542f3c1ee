//! The state of the planner: jobs, tasks, workers.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::message::{JobProgress, WorkerReport};
use super::pace::Slowness;
use crate::prelude::*;
use crate::workflow::{
    JobRecord, JobResult, OccurrenceRecord, StepSpec, TaskId, TaskPhase, TaskRecord,
    WorkerIncarnation,
};

/// How far the start of an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum StartPhase {
    /// The intent is not durable yet, so no order was sent.
    Intended,
    /// The order was sent at this time and is not answered.
    Ordered(u64),
    /// The worker confirmed it, or may have done so to an earlier leader.
    Running,
}

/// An attempt on a worker. Its resources count as used until its end is known.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Placement {
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    #[serde(rename = "run")]
    pub attempt: u32,
    pub phase: StartPhase,
    /// When it was placed.
    pub since_ms: u64,
    /// When its stop was last ordered, if it is to stop.
    pub stopping_ms: Option<u64>,
    pub percent: u8,
    /// When its progress was last seen to change.
    pub progress_ms: u64,
    /// When the worker was first known to run it.
    pub started_ms: u64,
    /// The checkpoint from which it went on.
    pub checkpoint_at_start: Option<String>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Task {
    pub record: TaskRecord,
    pub placement: Option<Placement>,
    /// The worker on which it last failed.
    pub avoid: Option<WorkerId>,
    /// The last attempt that was counted as failed.
    #[serde(rename = "failed_run")]
    pub failed_attempt: u32,
    /// How often it was stopped for standing still.
    pub stalls: u32,
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
    /// The tasks of all steps, in order; dropped once all are done and none has a placement.
    pub tasks: Vec<Task>,
    pub done: bool,
    /// When each step's tasks could first start, by the steady clock.
    pub ready_ms: BTreeMap<usize, u64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Job {
    pub record: JobRecord,
    /// Jobs of one priority are served in this order.
    pub order: u64,
    pub occurrences: BTreeMap<u32, Occurrence>,
    pub result: Option<JobResult>,
    /// When it ended, in milliseconds since 1970.
    pub ended_wall_ms: u64,
    pub started: bool,
}

impl Job {
    pub fn progress(&self) -> JobProgress {
        match self.result {
            Some(result) => JobProgress::Finished(result),
            None if self.started => JobProgress::Running,
            None => JobProgress::Pending,
        }
    }

    pub fn step(&self, step: usize) -> &StepSpec {
        &self.record.spec.steps[step]
    }

    /// Returns where the tasks of a step are in [`Occurrence::tasks`].
    pub fn range(&self, step: usize) -> std::ops::Range<usize> {
        let steps = &self.record.spec.steps;
        let start: usize = steps[..step].iter().map(|one| one.tasks as usize).sum();
        start..start + steps[step].tasks as usize
    }

    /// Returns the accelerators of all tasks of the first step.
    pub fn first_step_accelerators(&self) -> u32 {
        let step = self.step(0);
        step.tasks.saturating_mul(step.need.accelerators)
    }

    /// Returns the place of a task in its occurrence, if the job has such a task.
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

    /// Returns the tasks of the gang that a task belongs to, or just the task.
    pub fn members(&self, task: &TaskId) -> Vec<TaskId> {
        let step = self.step(task.step.into());
        if !step.gang {
            return vec![task.clone()];
        }
        (0..step.tasks).map(|index| TaskId { index, ..task.clone() }).collect()
    }

    pub fn record_of(&self, occurrence: u32) -> OccurrenceRecord {
        let state = self.occurrences.get(&occurrence);
        OccurrenceRecord {
            tasks: state
                .map(|state| state.tasks.iter().map(|task| task.record.clone()).collect())
                .unwrap_or_default(),
            done: state.is_some_and(|state| state.done),
            job_result: self.result.map(|result| (result, self.ended_wall_ms)),
        }
    }
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Worker {
    /// What it last said of itself; `None` if only durable intents name it.
    pub report: Option<WorkerReport>,
    pub connected: bool,
    /// It has listed its attempts to this leader.
    pub synced: bool,
    /// When it was last heard.
    pub heard_ms: u64,
    /// The tasks whose placements are on it.
    pub placed: BTreeSet<TaskId>,
    /// Attempts that it lists and that this leader did not place.
    pub foreign: BTreeSet<(TaskId, u32)>,
    /// The number of the last end that was taken in.
    pub ends_taken: u64,
    /// Jobs that failed here since the last attempt that ended well.
    pub failed_jobs: BTreeSet<JobId>,
    /// It gets no work before this time.
    pub resting_until_ms: u64,
    /// How long it rested last.
    pub rest_ms: u64,
    pub slowness: Slowness,
    /// Until this time it gets no work, or comes last if too many others do: a gang that had a member here stood still.
    pub suspect_until_ms: u64,
    /// It does not leave before this time; known once it has said that it will.
    pub leaves_ms: Option<u64>,
}
