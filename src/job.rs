//! Gang jobs, and the outcomes that callers get. See docs/design.md, section 3.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{GroupId, JobId, KindId, OrganisationId};

/// The most tasks that a gang may have.
pub const MAX_GANG_TASKS: u32 = 64;

/// What one task of a gang needs. All tasks of a gang need the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Accelerators, which are adjacent on one worker. Zero is allowed.
    pub accelerators: u32,
}

/// How close to each other the tasks of a gang, or the accelerators of a guaranteed block, must be.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// On one worker.
    #[display("worker")]
    Worker,
    /// On workers of one rack.
    #[display("rack")]
    Rack,
    /// On workers of one capacity group, which lies in one data centre.
    #[display("data_centre")]
    DataCentre,
}

/// The class of a kind of work; queues are ordered by class first.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Starts within 2.5 seconds while capacity or reclaimable cells exist.
    #[display("urgent")]
    Urgent,
    /// Ordinary work.
    #[display("normal")]
    Normal,
    /// Work that waits for idle capacity.
    #[display("batch")]
    Batch,
}

/// Whether work may be run a second time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// A second run does no harm.
    #[default]
    Allowed,
    /// The work runs at most once.
    Never,
}

/// A gang job as its caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The job.
    pub id: JobId,
    /// The organisation that submits it.
    pub organisation: OrganisationId,
    /// The kind of work, for which the bundle gives class and rules.
    pub kind: KindId,
    /// The number of tasks, from 1 to [`MAX_GANG_TASKS`].
    pub tasks: u32,
    /// What each task needs.
    pub task: TaskSpec,
    /// How close to each other the tasks must be.
    pub adjacency: Adjacency,
    /// The run time that the caller declares, in milliseconds; it is often far off.
    pub declared_run_ms: u64,
    /// Whether the job may run again after a failure.
    #[serde(default)]
    pub repeat: Repeat,
    /// Whether its tasks can be checkpointed and resumed.
    #[serde(default)]
    pub can_checkpoint: bool,
}

impl JobSpec {
    /// Returns the number of accelerators that the whole gang needs.
    pub fn accelerators(&self) -> u32 {
        self.tasks * self.task.accelerators
    }
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum JobEnd {
    /// All tasks ended well.
    Succeeded,
    /// The job started and did not succeed.
    Failed {
        /// Why.
        reason: String,
    },
    /// No task of the job ever started, and none can start any more.
    NotRun {
        /// Why.
        reason: String,
    },
    /// A caller cancelled the job after it had started.
    Cancelled,
    /// It is not known whether the job started.
    Unknown {
        /// Why.
        reason: String,
    },
}

impl JobEnd {
    /// Returns the outcome that a caller is told.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Succeeded | Self::Failed { .. } | Self::Cancelled => Outcome::Done,
            Self::NotRun { .. } => Outcome::NotRun,
            Self::Unknown { .. } => Outcome::Unknown,
        }
    }
}

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum JobState {
    /// The job waits for its start.
    Queued,
    /// The start of the numbered attempt is durable.
    Running {
        /// The attempt.
        attempt: u32,
    },
    /// The job is at its end.
    Ended {
        /// How it ended.
        #[serde(flatten)]
        end: JobEnd,
    },
}

/// The row of a job in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRow {
    /// The job as submitted.
    pub spec: JobSpec,
    /// The group that owns the job.
    pub group: GroupId,
    /// Where it stands.
    pub state: JobState,
    /// Progress that the last checkpoint saved, in milliseconds of run time.
    #[serde(default)]
    pub saved_ms: u64,
    /// The number of attempts whose start was durable.
    #[serde(default)]
    pub attempts: u32,
    /// Whether a caller asked to cancel the job. The request changes the row's version, so a start that the leader
    /// decided before cannot become durable after it.
    #[serde(default)]
    pub cancel_requested: bool,
}

impl JobRow {
    /// Returns the row of a job that was just accepted.
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

/// The row that lists a job under its group until the job ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupJobRow {
    /// Whether a caller asked to cancel the job, so that the leader's scan finds it without reading each job.
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

/// What a caller knows of a request or a job at its end.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran to its end, and the answer is whole.
    #[display("done")]
    Done,
    /// It certainly did not run, and never will.
    #[display("not_run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}
