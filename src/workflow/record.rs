//! The durable records of jobs, encoded with `postcard`.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::{SpecError, WorkerIncarnation, WorkflowSpec};
use crate::prelude::*;

/// A job as it was accepted, with the rules of its queue at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Name of the queue.
    pub queue: String,
    /// Organisation that submitted the job.
    pub organisation: OrganisationId,
    /// Service whose workers run the job.
    pub service: String,
    /// Priority of the queue; 0 is the highest.
    pub priority: u8,
    /// Number of failed attempts of a task after which the job has failed.
    pub attempts: u32,
    /// Time at which the job was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Job as the client submitted it.
    pub spec: WorkflowSpec,
}

impl JobRecord {
    /// Decodes the stored row of a job, and checks the sizes and dependencies on which the planner relies.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the row is damaged, of another version, or not a valid job.
    pub fn decode(content: &[u8]) -> Result<Self, RecordError> {
        let record: Self = decode(content).context(DamagedSnafu)?;
        record.spec.check().context(InvalidSnafu)?;
        Ok(record)
    }

    /// Returns the number of accelerators that all tasks of the first step need together.
    pub fn first_step_accelerators(&self) -> u32 {
        let first = self.spec.steps.first();
        first.map_or(0, |step| step.tasks.saturating_mul(step.need.accelerators))
    }
}

/// Phase of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// The task waits for a worker.
    #[default]
    Waiting,
    /// The latest attempt was assigned to a worker, and no end of it has been recorded.
    Placed(WorkerIncarnation),
    /// An attempt of the task succeeded.
    Done,
}

/// The durable state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the latest attempt; 0 before the first.
    #[serde(rename = "run")]
    pub attempt: u32,
    /// Number of attempts that failed.
    pub failures: u32,
    /// Phase of the task.
    pub phase: TaskPhase,
    /// Latest checkpoint that was reported.
    pub checkpoint: Option<String>,
}

/// Result of a finished job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobResult {
    /// All tasks are done.
    Done,
    /// A task reached the number of failed attempts that its queue allows.
    Failed,
    /// A client cancelled it.
    Cancelled,
}

/// The durable state of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// Tasks of all steps, in order. Empty once the occurrence is done and none of its attempts is running.
    pub tasks: Vec<TaskRecord>,
    /// Whether all tasks are done.
    pub done: bool,
    /// Result of the whole job and the time of its end in milliseconds since 1970, once it has finished.
    pub job_result: Option<(JobResult, u64)>,
    /// Number of the last attempt of each task that was counted as a failure, in the order of the tasks; empty if there
    /// is none.
    #[serde(skip)]
    pub failed_attempts: Vec<u32>,
}

impl OccurrenceRecord {
    /// Encodes the record. The failed attempts follow the other fields, so that processes of an earlier version, which do
    /// not know them, can still read the row.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(self);
        if !self.failed_attempts.is_empty() {
            bytes.extend(encode(&self.failed_attempts));
        }
        bytes
    }

    /// Decodes a record, also one of an earlier version, without failed attempts.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the record is damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (mut record, rest): (Self, &[u8]) =
            postcard::take_from_bytes(bytes).map_err(|source| DecodeError { source })?;
        if !rest.is_empty() {
            record.failed_attempts = decode(rest)?;
        }
        Ok(record)
    }
}

/// Reason for which the stored row of a job cannot be used.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The row cannot be decoded.
    #[snafu(display("{source}"))]
    Damaged {
        /// Error of the decoder.
        source: DecodeError,
    },
    /// The row holds a job that no client could have submitted.
    #[snafu(display("the stored job is not valid: {source}"))]
    Invalid {
        /// The first size or dependency that is not valid.
        source: SpecError,
    },
}

/// Error of decoding a record.
#[derive(Debug, Snafu)]
#[snafu(display("cannot decode the record, which is damaged or of another version: {source}"))]
pub struct DecodeError {
    source: postcard::Error,
}

/// Encodes a record.
pub fn encode<T>(record: &T) -> Vec<u8>
where
    T: Serialize,
{
    postcard::to_allocvec(record).expect("records hold only types that postcard can encode")
}

/// Decodes a record.
///
/// # Errors
///
/// [`DecodeError`] if the record is damaged or of another version.
pub fn decode<T>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(bytes).map_err(|source| DecodeError { source })
}
