//! JSON bodies of the stand-in's HTTP interface.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Request to start a task on a worker. The worker does not check whether the task fits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartTask {
    /// Name of the task. It is never reused: a second start with the same name is refused.
    pub task: String,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Accelerators of the task; bit `n` stands for accelerator `n`.
    pub accelerator_mask: u64,
    /// Time until the task ends if its lease is not renewed, in milliseconds.
    pub lease_ms: u64,
    /// Run time of the whole task, in milliseconds.
    pub run_ms: u64,
    /// Run time that an earlier checkpoint saved, in milliseconds.
    #[serde(default)]
    pub saved_ms: u64,
}

/// List of tasks of a worker, to be checkpointed, stopped or throttled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskList {
    /// Names of the tasks.
    pub tasks: Vec<String>,
}

/// Request to renew the leases of some tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRenewal {
    /// Length of the new leases from receipt of the request, in milliseconds.
    pub lease_ms: u64,
    /// Names of the tasks.
    pub tasks: Vec<String>,
}

/// State of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task ran to its end.
    Succeeded,
    /// The task failed without being stopped.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The task ended because its lease was not renewed in time.
    Lapsed,
}

/// Report of a worker about one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// Name of the task.
    pub task: String,
    /// State of the task.
    pub state: TaskState,
    /// Run time that the last checkpoint saved, in milliseconds.
    pub saved_ms: u64,
    /// Delayed measurement of the task's processor use, in thousandths of a core; absent until the first one arrives.
    pub cores_per_mille: Option<u32>,
    /// Delayed measurement of the task's memory use, in mebibytes; absent until the first one arrives.
    pub memory_mb: Option<u64>,
    /// Request that started the task.
    pub start: StartTask,
}

/// Remaining lease of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskLease {
    /// Name of the task.
    pub task: String,
    /// Time until the lease lapses, in milliseconds.
    pub remaining_ms: u64,
}

/// Record of the start of a task, from which tests check the promises of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskStart {
    /// Time of the start, in milliseconds since the start of the stand-in.
    pub at_ms: u64,
    /// Worker that started the task.
    pub worker: WorkerId,
    /// Name of the task.
    pub task: String,
    /// Whether the worker had too few cores or too little memory for the task, or its accelerators were in use or do
    /// not exist.
    pub overcommitted: bool,
}

/// Record of a task and its worker, from which tests check the promises of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskRecord {
    /// Worker of the task.
    pub worker: WorkerId,
    /// Report about the task.
    pub report: TaskReport,
}

/// Record of a request that an endpoint ran, from which tests check the promises of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRun {
    /// Time at which the run began, in milliseconds since the start of the stand-in.
    pub at_ms: u64,
    /// Endpoint that ran the request.
    pub endpoint: EndpointId,
    /// BLAKE3 hash of the request's body, in hexadecimal.
    pub body_hash: String,
    /// Whether the endpoint completed its answer.
    pub finished: bool,
}
