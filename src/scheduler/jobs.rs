//! The jobs of a group and the gangs that run them.

use serde::{Deserialize, Serialize};

use crate::placement::{Demand, JobKey};
use crate::prelude::*;

use super::message::TaskCell;

/// Rights of a job, derived from the active bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Rights {
    /// Index of the organisation in `Scheduler::organisations`.
    pub organisation: u32,
    /// Class of the job.
    pub class: Class,
    /// Whether the job may use cells that are guaranteed to other organisations.
    pub borrows: bool,
    /// Whether the gang may be stopped to reclaim its cells.
    pub reclaimable: bool,
}

/// Job that has not ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Job {
    pub key: JobKey,
    pub spec: JobSpec,
    pub rights: Rights,
    pub demand: Demand,
    pub arrived_ms: u64,
    /// Number of attempts so far; the next gang gets the following number.
    pub attempts: u32,
    /// Run time saved in a checkpoint, in milliseconds.
    pub saved_ms: u64,
    /// Whether an attempt started by an earlier leader may still run.
    pub may_still_run: bool,
    /// Whether a task of an earlier attempt was reported to have run.
    pub ran: bool,
    /// Whether it is unknown if a task of an earlier attempt ran.
    pub in_doubt: bool,
    /// Earliest time of the next attempt.
    pub retry_at_ms: u64,
    /// Number of consecutive intents that ended in a conflict.
    pub conflicts: u32,
    /// Number of failures attributed to the job, on all workers.
    pub failures: u32,
    /// Workers on which the job failed, except those to which the failure was attributed.
    pub failed_on: Vec<u32>,
    /// Current gang; `None` while the job is queued.
    pub gang: Option<Gang>,
    /// Saved run time from which the current attempt resumed, in milliseconds.
    pub resumed_ms: u64,
}

/// Reason why a job waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// The queue has not been searched up to the job yet.
    Turn,
    /// No free cells that the job may use have the required adjacency.
    Capacity,
    /// The job would exceed the quota of its organisation.
    Quota,
    /// Starts are not permitted.
    Permit,
    /// The delay after an attempt that did not start has not passed.
    Retry,
    /// An attempt started by an earlier leader may still run until the leases of that leader have expired.
    Takeover,
    /// The data centre came back into service recently and is refilled gradually.
    Ramp,
}

/// Attempt to run a job, with all its tasks.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Gang {
    pub id: GangId,
    pub stage: Stage,
    pub shares: Vec<GangShare>,
    /// Time at which the stage is overdue; `u64::MAX` if it has no limit.
    pub deadline_ms: u64,
    pub started_ms: u64,
    /// Whether a task was reported to have run.
    pub ran: bool,
    /// Whether it is unknown if a task ran, because its worker was lost or an agent stopped a task that it may only
    /// have reserved.
    pub in_doubt: bool,
    /// Reason for which the gang is being stopped.
    #[serde(rename = "leaves")]
    pub stop_reason: Option<StopReason>,
    /// Job for which cells of the gang are reserved; the gang yields them to it.
    pub backfill: Option<JobKey>,
    /// Whether urgent work claims its cells, so that shorter deadlines for checkpoint and stop apply.
    pub for_urgent: bool,
}

/// Stage of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Other gangs still hold some of its cells and are being stopped.
    Claiming,
    /// Reservations of the cells were sent to the agents.
    Reserving,
    /// The intent is being written.
    Writing,
    /// Requests to start the tasks were sent to the agents.
    Starting,
    /// All tasks are running.
    Running,
    /// Agents reported some tasks of the gang to a new leader, which waits for the reports on its other tasks.
    Adopting,
    /// The tasks write a checkpoint before they are stopped.
    Checkpointing,
    /// Requests to stop the tasks were sent to the agents.
    Stopping,
}

/// Tasks of a gang on one worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GangShare {
    pub worker: u32,
    pub tasks: Vec<TaskCell>,
    pub state: ShareState,
    /// Bit `n` is set when the task at position `n` of `tasks` has ended.
    pub ended: u64,
    /// Bit `n` is set when the task at position `n` of `tasks` has succeeded.
    pub succeeded: u64,
    /// Run time saved in the latest checkpoint of these tasks, in milliseconds.
    pub saved_ms: Option<u64>,
}

/// State of a gang's share on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ShareState {
    /// The reservation was not sent to the agent or not answered by it.
    Asked,
    /// The agent holds the cells.
    Held,
    /// A request to start was sent to the agent.
    Starting,
    /// The agent reported that the tasks are running.
    Running,
    /// All tasks ended, and the cells are free.
    Ended,
}

/// Reason for which a gang is stopped before all tasks succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StopReason {
    /// A task failed on the worker with this index.
    Failed(u32),
    /// A task or its worker was lost.
    Lost,
    /// An agent refused to start a task.
    Refused,
    /// The attempt did not start in time, or a worker of its claimed cells is not up.
    Overdue,
    /// The cells were claimed for another job.
    Reclaimed,
    /// The data centre was taken out of service.
    DataCentreOut,
    /// A caller cancelled the job.
    Cancelled,
    /// Agents did not report all tasks to a new leader in time.
    Partial,
}

impl Job {
    /// Returns the identifier of the next attempt.
    pub fn next_gang(&self) -> GangId {
        GangId { job: self.spec.id.clone(), number: self.attempts + 1 }
    }

    /// Returns the outcome of the job if it ends now.
    ///
    /// This is `ran` if a task is known to have run, `Unknown` if a task may have run and `NotRun` otherwise, the
    /// latter two with `reason`.
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

    /// Returns whether another attempt is allowed after the start of one became durable.
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

    /// Returns whether requests to start were sent, so that agents may have started tasks of the gang.
    pub fn start_was_sent(&self) -> bool {
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

    /// Creates a share none of whose tasks has ended.
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
