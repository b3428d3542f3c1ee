//! What the planner is told, and what it orders.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::rules::Directives;
use crate::workflow::{
    JobRecord, JobResult, OccurrenceRecord, Resources, TaskId, WorkerIncarnation,
};

/// The time of an input.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct PlannerTime {
    /// A clock that never jumps and goes on while the machine is suspended.
    pub steady_ms: u64,
    /// The time of day, in milliseconds since 1970.
    pub wall_ms: u64,
}

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker and its incarnation.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// The service whose jobs it runs.
    pub service: String,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// Its rack, if its labels name one.
    pub rack: Option<RackId>,
    /// All its labels.
    pub labels: Vec<String>,
    /// What it has.
    pub room: Resources,
    /// It takes no new work and will leave.
    pub draining: bool,
    /// The least time until it leaves and ends all its attempts, if it has said so.
    pub leaves_in_ms: Option<u64>,
}

/// An attempt that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    #[serde(rename = "run")]
    pub attempt: u32,
    /// Its latest checkpoint.
    pub checkpoint: Option<String>,
    /// How much of its work is done.
    pub percent: u8,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// Its work is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// The end of an attempt that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedAttempt {
    /// The number of the end in the worker's incarnation, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    #[serde(rename = "run")]
    pub attempt: u32,
    /// How it ended.
    pub kind: AttemptEnd,
    /// Its latest checkpoint.
    pub checkpoint: Option<String>,
}

/// Why a worker did not start an attempt. In each case the attempt has not started and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// The worker has no room.
    Capacity,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// A later attempt was stopped or ended there.
    Superseded,
    /// The worker's lease is over, or it is in another incarnation.
    Lapsed,
    /// The worker is unhealthy, or the order is malformed.
    Unhealthy,
}

/// All that runs on a worker, as of one answer of the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptsReport {
    /// The worker and its incarnation.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// What runs.
    pub running: Vec<RunningAttempt>,
    /// The ends that are not acknowledged yet.
    pub ended: Vec<EndedAttempt>,
    /// Attempts whose start was under way while the worker answered; they may be missing above.
    pub starting: Vec<(TaskId, u32)>,
    /// Attempts that the worker was told to stop, and said so, before it was asked for this list.
    pub stopped: Vec<(TaskId, u32)>,
}

/// What happens at a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WorkerEvent {
    /// It says this of itself.
    Reported(WorkerReport),
    /// It has ended for good.
    Left(WorkerIncarnation),
    /// It has started an attempt.
    Started {
        /// The worker.
        #[serde(rename = "life")]
        incarnation: WorkerIncarnation,
        /// The task.
        task: TaskId,
        /// The attempt.
        #[serde(rename = "run")]
        attempt: u32,
    },
    /// It has not started an attempt and never will.
    Refused {
        /// The worker.
        #[serde(rename = "life")]
        incarnation: WorkerIncarnation,
        /// The task.
        task: TaskId,
        /// The attempt.
        #[serde(rename = "run")]
        attempt: u32,
        /// Why.
        refusal: StartRefusal,
    },
}

/// An event for the planner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Input {
    /// The rules or the data centres out of service changed.
    Directives(Directives),
    /// A job is durable.
    Submitted {
        /// The job.
        job: JobId,
        /// What was accepted.
        record: JobRecord,
    },
    /// The cancellation of a job is durable.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// Something happened at a connected worker.
    Worker(WorkerEvent),
    /// The connection to a worker's agent is lost.
    Disconnected(WorkerId),
    /// What runs on a worker.
    Runs(AttemptsReport),
    /// Time has passed.
    Tick,
}

/// How far a job is, as its clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobProgress {
    /// No task has started.
    Pending,
    /// A task has started.
    Running,
    /// The job is over.
    #[serde(rename = "Over")]
    Finished(JobResult),
}

/// The start of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The worker.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    #[serde(rename = "run")]
    pub attempt: u32,
    /// The payload of the job.
    pub payload: String,
    /// The checkpoint from which it goes on.
    pub checkpoint: Option<String>,
}

/// What a worker is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerOrder {
    /// Start an attempt.
    Start(StartOrder),
    /// Stop an attempt, or make sure that it never starts.
    Stop {
        /// The worker.
        #[serde(rename = "life")]
        incarnation: WorkerIncarnation,
        /// The task.
        task: TaskId,
        /// The attempt.
        #[serde(rename = "run")]
        attempt: u32,
    },
    /// Forget the ends up to this number, which are durable.
    AcknowledgeEnds {
        /// The worker.
        #[serde(rename = "life")]
        incarnation: WorkerIncarnation,
        /// The number of the last end.
        up_to: u64,
    },
}

impl WorkerOrder {
    /// Returns the worker that the order is for.
    pub fn worker(&self) -> &WorkerId {
        let incarnation = match self {
            Self::Start(order) => &order.incarnation,
            Self::Stop { incarnation, .. } | Self::AcknowledgeEnds { incarnation, .. } => {
                incarnation
            }
        };
        &incarnation.worker
    }
}

/// What the planner wants done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Output {
    /// Tell a worker what to do.
    Order(WorkerOrder),
    /// Tell clients how far a job is.
    Progress {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: String,
        /// How far it is; `None` once it is forgotten.
        progress: Option<JobProgress>,
    },
    /// A decision, for the log.
    Decision {
        /// The job.
        job: JobId,
        /// The task and attempt, if it is about one.
        #[serde(rename = "run")]
        attempt: Option<(TaskId, u32)>,
        /// What was decided.
        what: Decision,
        /// What decided it.
        because: String,
    },
}

/// What the planner decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Decision {
    /// A job entered the queue.
    #[display("queued")]
    Queued,
    /// An attempt was placed on a worker.
    #[display("placed")]
    Placed,
    /// An attempt is stopped.
    #[display("stopped")]
    Stopped,
    /// An attempt ended.
    #[display("ended")]
    Ended,
    /// A start was refused.
    #[display("start_refused")]
    StartRefused,
    /// A job is over.
    #[display("over")]
    #[serde(rename = "Over")]
    Finished,
}

/// A row that the planner wants written, or removed if it has no content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// The state of an occurrence of a job.
    Occurrence {
        /// The job.
        job: JobId,
        /// The occurrence.
        occurrence: u32,
        /// Its state.
        record: Box<OccurrenceRecord>,
    },
    /// All that is stored of a job goes.
    Forget {
        /// The job.
        job: JobId,
        /// The number of its occurrences that may have a record.
        occurrences: u32,
    },
}

/// Changes that have to be durable before their effects are allowed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// What to write.
    pub changes: Vec<RecordChange>,
    /// What to hand to [`super::Planner::release`] afterwards.
    pub effects: Vec<Output>,
}
