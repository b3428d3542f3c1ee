//! Inputs and outputs of the planner.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::rules::Directives;
use crate::workflow::{JobRecord, JobResult, Resources, TaskId, WorkerIncarnation};

/// Time of an input, by the steady clock and the wall clock.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct PlannerTime {
    /// Milliseconds of a monotonic clock that keeps running while the machine is suspended.
    pub steady_ms: u64,
    /// Wall-clock time, in milliseconds since 1970.
    pub wall_ms: u64,
}

/// Description of a worker, as the worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Worker and its incarnation.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Service whose jobs the worker runs.
    pub service: String,
    /// Data centre of the worker.
    pub data_centre: DataCentreId,
    /// Rack of the worker, if its labels name one.
    pub rack: Option<RackId>,
    /// All labels of the worker.
    pub labels: Vec<String>,
    /// Total resources of the worker.
    pub room: Resources,
    /// The worker accepts no new work and will leave.
    pub draining: bool,
    /// Minimum time in milliseconds until the worker leaves and ends all its attempts, if it has announced that.
    pub leaves_in_ms: Option<u64>,
}

/// Running attempt in the list of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// Task of the attempt.
    pub task: TaskId,
    /// Number of the attempt.
    #[serde(rename = "run")]
    pub attempt: u32,
    /// Latest checkpoint of the attempt.
    pub checkpoint: Option<String>,
    /// Progress of the attempt in percent.
    pub percent: u8,
}

/// Kind of end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The attempt completed its work.
    Done,
    /// The attempt failed, because of the task or of the worker.
    Failed,
    /// The attempt was stopped.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// Ended attempt in the list of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedAttempt {
    /// Sequence number of the end within the worker's incarnation, from 1.
    pub number: u64,
    /// Task of the attempt.
    pub task: TaskId,
    /// Number of the attempt.
    #[serde(rename = "run")]
    pub attempt: u32,
    /// Kind of the end.
    pub kind: AttemptEnd,
    /// Latest checkpoint of the attempt.
    pub checkpoint: Option<String>,
}

/// Reason for which a worker refused to start an attempt. In each case the attempt has not started and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// The worker lacks free resources.
    Capacity,
    /// The worker has received a higher fencing token.
    Fenced,
    /// A later attempt was stopped or ended on the worker.
    Superseded,
    /// The worker's lease has expired, or the worker is in another incarnation.
    Lapsed,
    /// The worker is unhealthy, or the order is malformed.
    Unhealthy,
}

/// All attempts on a worker, from one response of the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptsReport {
    /// Worker and its incarnation.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Running attempts.
    pub running: Vec<RunningAttempt>,
    /// Ends that are not acknowledged yet.
    pub ended: Vec<EndedAttempt>,
    /// Attempts whose start was in progress while the worker responded; they may be missing in `running`.
    pub starting: Vec<(TaskId, u32)>,
    /// Attempts whose stop the worker had confirmed before this list was requested.
    pub stopped: Vec<(TaskId, u32)>,
}

/// Number of ends that a worker lists at most. The others follow once these are acknowledged.
const MAX_LISTED_ENDS: usize = 500;

impl AttemptsReport {
    /// Removes checkpoints, the longest first, until all together have at most `limit_bytes`. Returns how many were
    /// removed. A list that exceeds a frame of the connection to the leader would never arrive, and the worker's lease
    /// would never be renewed.
    pub fn limit_checkpoints(&mut self, limit_bytes: usize) -> usize {
        let running = self.running.iter_mut().map(|entry| &mut entry.checkpoint);
        let ended = self.ended.iter_mut().map(|end| &mut end.checkpoint);
        let mut checkpoints: Vec<&mut Option<String>> =
            running.chain(ended).filter(|checkpoint| checkpoint.is_some()).collect();
        let length = |checkpoint: &Option<String>| checkpoint.as_ref().map_or(0, String::len);
        let mut bytes: usize = checkpoints.iter().map(|checkpoint| length(checkpoint)).sum();
        if bytes <= limit_bytes {
            return 0;
        }
        checkpoints.sort_unstable_by_key(|checkpoint| length(checkpoint));
        let mut removed = 0;
        while bytes > limit_bytes
            && let Some(checkpoint) = checkpoints.pop()
        {
            bytes -= length(checkpoint);
            *checkpoint = None;
            removed += 1;
        }
        removed
    }

    /// Returns whether ends may be missing in the list. Attempts that it does not contain may then have ended, as done
    /// for example.
    pub fn may_lack_ends(&self) -> bool {
        self.ended.len() >= MAX_LISTED_ENDS
    }
}

/// Event on a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WorkerEvent {
    /// The worker sent its description.
    Reported(WorkerReport),
    /// The incarnation of the worker has ended permanently.
    Left(WorkerIncarnation),
    /// The worker started an attempt.
    Started {
        /// Worker and its incarnation.
        #[serde(rename = "life")]
        incarnation: WorkerIncarnation,
        /// Task of the attempt.
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "run")]
        attempt: u32,
    },
    /// The worker refused to start an attempt and never will start it.
    Refused {
        /// Worker and its incarnation.
        #[serde(rename = "life")]
        incarnation: WorkerIncarnation,
        /// Task of the attempt.
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "run")]
        attempt: u32,
        /// Reason of the refusal.
        refusal: StartRefusal,
    },
}

/// An event for the planner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Input {
    /// The rules or the data centres out of service changed.
    Directives(Directives),
    /// A submitted job is durable.
    Submitted {
        /// Id of the job.
        job: JobId,
        /// Record of the accepted job.
        record: JobRecord,
    },
    /// The cancellation of a job is durable.
    Cancelled {
        /// Id of the job.
        job: JobId,
    },
    /// An event occurred on a connected worker.
    Worker(WorkerEvent),
    /// The connection to a worker's agent is lost.
    Disconnected(WorkerId),
    /// A worker listed its attempts.
    Runs(AttemptsReport),
    /// Periodic timer event.
    Tick,
}

/// Progress of a job, as clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobProgress {
    /// No task has started.
    Pending,
    /// A task has started.
    Running,
    /// The job is finished.
    #[serde(rename = "Over")]
    Finished(JobResult),
}

/// Order to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Worker and its incarnation.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Task of the attempt.
    pub task: TaskId,
    /// Number of the attempt.
    #[serde(rename = "run")]
    pub attempt: u32,
    /// Payload of the job.
    pub payload: String,
    /// Checkpoint from which the attempt resumes.
    pub checkpoint: Option<String>,
}

/// Order for a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerOrder {
    /// Start an attempt.
    Start(StartOrder),
    /// Stop an attempt, or prevent its start if it has not started.
    Stop {
        /// Worker and its incarnation.
        #[serde(rename = "life")]
        incarnation: WorkerIncarnation,
        /// Task of the attempt.
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "run")]
        attempt: u32,
    },
    /// Discard the ends up to a number, since they are durable.
    AcknowledgeEnds {
        /// Worker and its incarnation.
        #[serde(rename = "life")]
        incarnation: WorkerIncarnation,
        /// Sequence number of the last durable end.
        up_to: u64,
    },
}

impl WorkerOrder {
    /// Returns the worker that receives the order.
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

/// Action that the planner requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Output {
    /// Send an order to a worker.
    Order(WorkerOrder),
    /// Publish the progress of a job to clients.
    Progress {
        /// Id of the job.
        job: JobId,
        /// Queue of the job.
        queue: String,
        /// Progress of the job; `None` once its state is removed.
        progress: Option<JobProgress>,
    },
    /// Log a decision.
    Decision {
        /// Id of the job.
        job: JobId,
        /// The task and attempt, if the decision concerns one.
        #[serde(rename = "run")]
        attempt: Option<(TaskId, u32)>,
        /// Kind of the decision.
        what: Decision,
        /// Reason for the decision.
        because: String,
    },
    /// Log that a worker counts as doubtful or is trusted again.
    StandingChanged {
        /// Worker whose standing changed.
        worker: WorkerId,
        /// The worker is probably at fault for what fails or stalls on it.
        is_doubtful: bool,
        /// Outcomes that decided it.
        because: String,
    },
}

impl Output {
    /// Returns whether this publishes the progress of a job.
    pub(super) fn is_progress_of(&self, id: &JobId) -> bool {
        matches!(self, Self::Progress { job, .. } if job == id)
    }
}

/// Kind of a decision of the planner.
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
    /// A worker refused a start.
    #[display("start_refused")]
    StartRefused,
    /// A job finished.
    #[display("over")]
    #[serde(rename = "Over")]
    Finished,
    /// Stops for an urgent job would destroy more than they gain.
    #[display("stop_withheld")]
    StopWithheld,
    /// An urgent job waits for attempts that are about to end or to write a checkpoint.
    #[display("stop_awaited")]
    StopAwaited,
    /// A job fails on workers that do well with other jobs.
    #[display("blamed")]
    Blamed,
}

/// Change of the durable records of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// Write the record of one part of an occurrence of a job.
    Occurrence {
        /// Id of the job.
        job: JobId,
        /// Number of the occurrence.
        occurrence: u32,
        /// Number of the part.
        part: u16,
        /// Encoded state of the tasks in the part.
        record: Vec<u8>,
        /// Other parts, which are no longer needed and have to be removed.
        obsolete_parts: std::ops::Range<u16>,
    },
    /// Remove records of a job that is no longer kept.
    Remove {
        /// Id of the job.
        job: JobId,
        /// Numbers of occurrences that may have a record.
        occurrences: std::ops::Range<u32>,
        /// Number of parts of each occurrence.
        parts: u16,
        /// Remove the record of the job too, since no other occurrences are left.
        is_complete: bool,
    },
}

impl RecordChange {
    /// Returns the job whose records change.
    pub fn job(&self) -> &JobId {
        match self {
            Self::Occurrence { job, .. } | Self::Remove { job, .. } => job,
        }
    }
}

/// Changes that have to be durable before their effects are released.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Changes to make durable.
    pub changes: Vec<RecordChange>,
    /// Effects to pass to [`super::Planner::release`] once the changes are durable.
    pub effects: Vec<Output>,
    /// Number of checkpoints that are too long to be stored.
    pub omitted_checkpoints: usize,
}
