//! The durable records of jobs, encoded with `postcard`.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{WorkerIncarnation, WorkflowSpec};
use crate::prelude::*;

/// A job as it was accepted, with the rules of its queue at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue.
    pub queue: String,
    /// The organisation that submitted it.
    pub organisation: OrganisationId,
    /// The service whose workers run it.
    pub service: String,
    /// The priority of the queue; 0 comes first.
    pub priority: u8,
    /// The number of failed attempts of a task after which the job has failed.
    pub attempts: u32,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// What was asked for.
    pub spec: WorkflowSpec,
}

/// How far a task is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// It waits for a worker.
    #[default]
    Waiting,
    /// Its latest attempt was given to a worker and has no known end.
    Placed(WorkerIncarnation),
    /// An attempt ended as done.
    Done,
}

/// The durable state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The number of the latest attempt; 0 before the first.
    #[serde(rename = "run")]
    pub attempt: u32,
    /// The number of attempts that ended as failed.
    pub failures: u32,
    /// How far it is.
    pub phase: TaskPhase,
    /// The latest known checkpoint.
    pub checkpoint: Option<String>,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobResult {
    /// All tasks are done.
    Done,
    /// A task failed too often.
    Failed,
    /// A client cancelled it.
    Cancelled,
}

/// The durable state of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// The tasks of all steps, in order. Empty once the occurrence is done and nothing of it runs.
    pub tasks: Vec<TaskRecord>,
    /// All tasks are done.
    pub done: bool,
    /// How the whole job ended, and when in milliseconds since 1970.
    pub job_result: Option<(JobResult, u64)>,
}

/// Bytes that are not a record.
#[derive(Debug, Snafu)]
#[snafu(display("the bytes are not a record of this version: {source}"))]
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
/// [`DecodeError`] if the bytes are damaged or of another version.
pub fn decode<T>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(bytes).map_err(|source| DecodeError { source })
}
