//! The jobs of a group and the gangs that run them.

use serde::{Deserialize, Serialize};

use crate::placement::{Demand, JobKey};
use crate::prelude::*;

use super::message::TaskCell;

/// What the bundle allows a job to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Rights {
    /// The organisation, as an index of the scheduler.
    pub organisation: u32,
    /// The class.
    pub class: Class,
    /// Whether the job may use cells that are guaranteed to others.
    pub borrows: bool,
    /// Whether its gang may be stopped to give cells back.
    pub reclaimable: bool,
}

/// One job that has not ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Job {
    pub key: JobKey,
    pub spec: JobSpec,
    pub rights: Rights,
    pub demand: Demand,
    pub arrived_ms: u64,
    /// Attempts so far; the next gang has the following number.
    pub attempts: u32,
    /// Progress saved in a checkpoint.
    pub saved_ms: u64,
    /// Whether an attempt under an earlier leader may still run.
    pub may_still_run: bool,
    /// Whether a task of an earlier attempt is known to have run.
    pub ran: bool,
    /// Whether it is unknown if a task of an earlier attempt ran.
    pub in_doubt: bool,
    /// Before this time the job is not tried again.
    pub retry_at_ms: u64,
    /// Conflicting intents in a row.
    pub conflicts: u32,
    /// Failures of the job itself, whatever worker they were on.
    pub failures: u32,
    /// Workers on which the job failed and that are not at fault themselves.
    pub failed_on: Vec<u32>,
    /// The gang, unless the job is queued.
    pub gang: Option<Gang>,
    /// Progress from which the present attempt resumed.
    pub resumed_ms: u64,
}

/// Why a job waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// Its turn has not come yet.
    Turn,
    /// No cells that it may use are free and adjacent.
    Capacity,
    /// Its organisation uses all that its quota allows.
    Quota,
    /// Starts are not permitted.
    Permit,
    /// An attempt was refused a moment ago.
    Retry,
    /// Whether an attempt under an earlier leader runs is not known yet.
    Takeover,
    /// The data centre came back a moment ago and is refilled gradually.
    Ramp,
}

/// One attempt to run a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Gang {
    pub id: GangId,
    pub stage: Stage,
    pub shares: Vec<GangShare>,
    /// When the stage is overdue; `u64::MAX` if it may last.
    pub deadline_ms: u64,
    pub started_ms: u64,
    /// Whether a task is known to have run.
    pub ran: bool,
    /// Whether it is unknown if a task ran, because its worker was lost or an agent stopped what it had only reserved.
    pub in_doubt: bool,
    /// Why the gang leaves its cells.
    pub leaves: Option<StopReason>,
    /// The job for which cells of the gang are reserved; the gang gives way to it.
    pub backfill: Option<JobKey>,
    /// Whether its cells are wanted for urgent work, which cannot wait for long deadlines.
    pub for_urgent: bool,
}

/// How far a gang is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Its cells are being given back by other gangs.
    Claiming,
    /// Agents were asked to hold the cells.
    Reserving,
    /// The intent is being written.
    Writing,
    /// Agents were told to start.
    Starting,
    /// All tasks run.
    Running,
    /// A new leader found parts of the gang and waits for the others.
    Adopting,
    /// The tasks write a checkpoint before they are stopped.
    Checkpointing,
    /// Agents were told to stop.
    Stopping,
}

/// The tasks of a gang on one worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GangShare {
    pub worker: u32,
    pub tasks: Vec<TaskCell>,
    pub state: ShareState,
    /// Bit `n` says that the task at position `n` of `tasks` ended.
    pub ended: u64,
    /// The same for tasks that succeeded.
    pub succeeded: u64,
    /// Progress that the latest checkpoint of these tasks saved.
    pub saved_ms: Option<u64>,
}

/// How far a share is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ShareState {
    /// The agent has not been asked or has not answered.
    Asked,
    /// The agent holds the cells.
    Held,
    /// The agent was told to start.
    Starting,
    /// The agent said that the tasks run.
    Running,
    /// All tasks ended, and the cells are free.
    Ended,
}

/// Why a gang is stopped before all tasks succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StopReason {
    /// A task failed on the worker.
    Failed(u32),
    /// A task or its worker was lost.
    Lost,
    /// An agent refused to start a task.
    Refused,
    /// The start took too long.
    Overdue,
    /// The cells were claimed by others.
    Reclaimed,
    /// The data centre was taken out of service.
    DataCentreOut,
    /// A caller cancelled the job.
    Cancelled,
    /// Not all parts were found after a takeover.
    Partial,
}

impl Job {
    /// Returns the name that the next attempt has.
    pub fn next_gang(&self) -> GangId {
        GangId { job: self.spec.id.clone(), number: self.attempts + 1 }
    }

    /// Returns the end of the job if it ends now and `ran` is its end in case a task ran.
    pub fn end(&self, ran: JobEnd, reason: &str) -> JobEnd {
        let reason = reason.to_owned();
        let gang = self.gang.as_ref();
        if self.ran || gang.is_some_and(|gang| gang.ran) {
            ran
        } else if self.in_doubt || gang.is_some_and(|gang| gang.in_doubt) {
            JobEnd::Unknown { reason }
        } else {
            JobEnd::NotRun { reason }
        }
    }

    /// Returns whether a second attempt is allowed once the start of a first became durable.
    pub fn is_repeatable(&self) -> bool {
        self.spec.repeat == Repeat::Allowed
    }
}

impl Gang {
    /// Returns the share on a worker.
    pub fn share_mut(&mut self, worker: u32) -> Option<&mut GangShare> {
        self.shares.iter_mut().find(|share| share.worker == worker)
    }

    /// Returns whether all shares reached at least a state.
    pub fn all_reached(&self, state: ShareState) -> bool {
        self.shares.iter().all(|share| share.state >= state)
    }

    /// Returns whether agents may have started tasks of the gang.
    pub fn was_told_to_start(&self) -> bool {
        matches!(
            self.stage,
            Stage::Starting
                | Stage::Running
                | Stage::Adopting
                | Stage::Checkpointing
                | Stage::Stopping
        )
    }
}

impl GangShare {
    /// Records the end of a task, and returns whether it was the first report of that end.
    pub fn end_task(&mut self, task: u32) -> bool {
        let Some(position) = self.tasks.iter().position(|cell| cell.task == task) else {
            return false;
        };
        let first = self.ended & (1 << position) == 0;
        self.ended |= 1 << position;
        first
    }

    /// Creates the share of a plan.
    pub fn new(worker: u32, tasks: Vec<TaskCell>, state: ShareState) -> Self {
        Self { worker, tasks, state, ended: 0, succeeded: 0, saved_ms: None }
    }

    /// Returns whether all tasks succeeded.
    pub fn has_succeeded(&self) -> bool {
        self.succeeded.count_ones() as usize == self.tasks.len()
    }

    /// Returns whether all tasks ended.
    pub fn all_tasks_ended(&self) -> bool {
        self.ended.count_ones() as usize == self.tasks.len()
    }
}
