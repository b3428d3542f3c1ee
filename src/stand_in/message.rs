//! Bodies of the stand-in's HTTP interface.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Starts a task on a worker. The worker does not check whether it fits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartTask {
    /// The name of the task, unique for all time: a second start of the same name is refused.
    pub task: String,
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Accelerators, bit `n` for accelerator `n`.
    pub accelerator_mask: u64,
    /// The time until the task ends if its lease is not renewed.
    pub lease_ms: u64,
    /// The run time of the whole task.
    pub run_ms: u64,
    /// Run time that an earlier checkpoint saved.
    #[serde(default)]
    pub saved_ms: u64,
}

/// Names some tasks of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskList {
    /// The names.
    pub tasks: Vec<String>,
}

/// Renews the leases of some tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRenewal {
    /// The new lease, from now.
    pub lease_ms: u64,
    /// The names of the tasks.
    pub tasks: Vec<String>,
}

/// Where a task of a worker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It succeeded.
    Succeeded,
    /// It failed by itself.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
}

/// What a worker reports of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The name.
    pub task: String,
    /// Where it stands.
    pub state: TaskState,
    /// Run time that the last checkpoint saved.
    pub saved_ms: u64,
    /// What the task used some time ago, in thousandths of a core; absent while no report has arrived.
    pub cores_per_mille: Option<u32>,
    /// The same for memory, in mebibytes.
    pub memory_mb: Option<u64>,
    /// What was asked for at the start.
    pub start: StartTask,
}

/// The time for which the lease of a task still holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskLease {
    /// The name.
    pub task: String,
    /// The remaining time.
    pub remaining_ms: u64,
}

/// A record that a task was started, for checks of promises.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskStart {
    /// When, in milliseconds since the start of the stand-in.
    pub at_ms: u64,
    /// The worker.
    pub worker: WorkerId,
    /// The name.
    pub task: String,
    /// Whether the worker had too little of anything, or the accelerators were in use.
    pub overcommitted: bool,
}

/// A task with its worker, for checks of promises.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskRecord {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub report: TaskReport,
}

/// A record that an endpoint ran a request, for checks of promises.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRun {
    /// When the run began, in milliseconds since the start of the stand-in.
    pub at_ms: u64,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The BLAKE3 hash of the body.
    pub body_hash: String,
    /// Whether the endpoint gave its whole answer.
    pub finished: bool,
}
