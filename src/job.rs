//! Gang jobs and the outcomes that callers receive. See docs/design.md, section 3.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{GroupId, JobId, KindId, OrganisationId};

/// Maximum number of tasks of a gang.
pub const MAX_GANG_TASKS: u32 = 64;

/// Resources of one task of a gang; they are the same for all its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Number of accelerators, which are adjacent on one worker; may be 0.
    pub accelerators: u32,
}

/// Smallest unit that must hold all tasks of a gang, or all accelerators of a guaranteed block.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// One worker.
    #[display("worker")]
    Worker,
    /// Workers of one rack.
    #[display("rack")]
    Rack,
    /// Workers of one capacity group, which belongs to one data centre.
    #[display("data_centre")]
    DataCentre,
}

/// Class of a kind of work, by which queues are ordered first.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Work that starts within 2.5 seconds while capacity or reclaimable cells exist.
    #[display("urgent")]
    Urgent,
    /// Ordinary work.
    #[display("normal")]
    Normal,
    /// Work that waits for idle capacity.
    #[display("batch")]
    Batch,
}

/// Whether a job or a request may be run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Repeating the work is harmless.
    #[default]
    Allowed,
    /// The work must run at most once.
    Never,
}

/// A gang job as its caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Identifier of the job.
    pub id: JobId,
    /// Organisation that submits the job.
    pub organisation: OrganisationId,
    /// Kind of work, for which the bundle defines class and rules.
    pub kind: KindId,
    /// Number of tasks, from 1 to [`MAX_GANG_TASKS`].
    pub tasks: u32,
    /// Resources of each task.
    pub task: TaskSpec,
    /// Smallest unit that must hold all tasks.
    pub adjacency: Adjacency,
    /// Run time that the caller declares, in milliseconds; the actual run time often differs much.
    pub declared_run_ms: u64,
    /// Whether the job may run again after a failure.
    #[serde(default)]
    pub repeat: Repeat,
    /// Whether the tasks of the job can be checkpointed and resumed.
    #[serde(default)]
    pub can_checkpoint: bool,
}

impl JobSpec {
    /// Returns the number of accelerators that the whole gang needs.
    pub fn accelerators(&self) -> u32 {
        self.tasks * self.task.accelerators
    }
}

/// Result of a job that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum JobEnd {
    /// All tasks succeeded.
    Succeeded,
    /// The job started and did not succeed.
    Failed {
        /// Why the job failed.
        reason: String,
    },
    /// No task of the job ever started, and none can start any more.
    NotRun {
        /// Why the job did not start.
        reason: String,
    },
    /// A caller cancelled the job after it had started.
    Cancelled,
    /// It is not known whether the job started.
    Unknown {
        /// Why this is not known.
        reason: String,
    },
}

impl JobEnd {
    /// Returns the outcome that is reported to the caller.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Succeeded | Self::Failed { .. } | Self::Cancelled => Outcome::Done,
            Self::NotRun { .. } => Outcome::NotRun,
            Self::Unknown { .. } => Outcome::Unknown,
        }
    }
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum JobState {
    /// The job waits for its start.
    Queued,
    /// The start of the numbered attempt is durable.
    Running {
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// The job has ended.
    Ended {
        /// Result of the job.
        #[serde(flatten)]
        end: JobEnd,
    },
}

/// Row of a job in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRow {
    /// Job as submitted.
    pub spec: JobSpec,
    /// Group that owns the job.
    pub group: GroupId,
    /// State of the job.
    pub state: JobState,
    /// Progress saved by the last checkpoint, in milliseconds of run time.
    #[serde(default)]
    pub saved_ms: u64,
    /// Number of attempts whose start became durable.
    #[serde(default)]
    pub attempts: u32,
    /// Whether a caller requested the cancellation of the job. The request changes the row's version, so a start that
    /// the leader decided before it cannot become durable after it.
    #[serde(default)]
    pub cancel_requested: bool,
}

impl JobRow {
    /// Returns the row of a newly accepted job.
    pub fn queued(spec: JobSpec, group: GroupId) -> Self {
        Self {
            spec,
            group,
            state: JobState::Queued,
            saved_ms: 0,
            attempts: 0,
            cancel_requested: false,
        }
    }
}

/// Row that lists a job under its group until the job ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupJobRow {
    /// Whether a caller requested the cancellation of the job. The leader's scan finds it here without reading the row
    /// of each job.
    pub cancel_requested: bool,
}

/// Returns the key of a job's row.
pub fn job_key(job: &JobId) -> String {
    format!("job/{job}")
}

/// Returns the key of the row that lists a job under its group.
pub fn group_job_key(group: &GroupId, job: &JobId) -> String {
    format!("group-job/{group}/{job}")
}

/// Returns the prefix of the rows that list the jobs of a group.
pub fn group_job_prefix(group: &GroupId) -> String {
    format!("group-job/{group}/")
}

/// Outcome of a request or a job that is reported to its caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request or job ran to its end, and its answer is complete.
    #[display("done")]
    Done,
    /// The request or job is guaranteed not to have run and never to run.
    #[display("not_run")]
    NotRun,
    /// The request or job may have run.
    #[display("unknown")]
    Unknown,
}
