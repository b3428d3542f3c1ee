//! Inputs and outputs of a worker's agent.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::scheduler::WorkerSpec;
use crate::wire::{LeaderMessage, MemberMessage};

/// Configuration of a worker's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerConfig {
    /// Worker with its actual resources.
    pub worker: WorkerSpec,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Interval between two heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
}

/// Input of a worker's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum Input {
    /// A datagram of a leader arrived.
    Leader {
        /// Epoch of the leader.
        epoch: Epoch,
        /// Incarnation of the agent to which the message is addressed.
        incarnation: Incarnation,
        /// Message of the leader.
        message: LeaderMessage,
    },
    /// An entry or the table reported the epoch of the group's leader.
    #[serde(rename = "epoch_seen")]
    EpochReported {
        /// Epoch of the group's leader.
        epoch: Epoch,
    },
    /// The worker answered a call.
    Worker {
        /// Answer of the worker.
        answer: WorkerAnswer,
    },
    /// A bundle became active at the agent.
    #[serde(rename = "bundle_in_force")]
    BundleActivated {
        /// Version of the bundle.
        version: BundleVersion,
    },
    /// Time passed; sent at least every [`super::TICK_MS`] milliseconds.
    Tick,
}

/// Action requested by a worker's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum Output {
    /// Send a message to the leader.
    Send {
        /// Message to the leader.
        message: MemberMessage,
    },
    /// Query an entry for the group's leader.
    FindLeader,
    /// Call the worker.
    Call {
        /// Call of the worker's interface.
        call: WorkerCall,
    },
}

/// Task to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskStart {
    /// Name of the task.
    pub name: String,
    /// Bit mask of the task's accelerators.
    pub accelerator_mask: u64,
}

/// Call of the worker's interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum WorkerCall {
    /// List all tasks.
    List {
        /// Number of the call, which the answer repeats.
        number: u64,
    },
    /// Start the tasks of a gang's share.
    Start {
        /// Gang of the tasks.
        gang: GangId,
        /// Resources of each task.
        need: TaskSpec,
        /// Tasks to start.
        tasks: Vec<TaskStart>,
        /// Run time of each task declared by the caller, in milliseconds.
        run_ms: u64,
        /// Saved run time from which the tasks resume, in milliseconds.
        saved_ms: u64,
        /// Lease of the tasks, in milliseconds after the agent's decision.
        lease_ms: u64,
        /// Time after the agent's decision from which no task may be started any more, in milliseconds.
        valid_ms: u64,
    },
    /// Renew the leases of tasks.
    Renew {
        /// Names of the tasks.
        tasks: Vec<String>,
        /// Lease of the tasks, in milliseconds after the agent's decision.
        lease_ms: u64,
    },
    /// Write a checkpoint of a gang's tasks.
    Checkpoint {
        /// Gang of the tasks.
        gang: GangId,
        /// Names of the tasks.
        tasks: Vec<String>,
    },
    /// Stop tasks.
    Stop {
        /// Names of the tasks.
        tasks: Vec<String>,
    },
    /// Run a probe.
    Probe,
}

/// State of a task reported by the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task succeeded.
    Succeeded,
    /// The task failed by itself.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The task ended because its lease lapsed.
    Lapsed,
}

/// Task in the worker's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedTask {
    /// Name of the task.
    pub name: String,
    /// State of the task.
    pub state: TaskState,
}

/// Answer of the worker to a call, or its report on a gang's resource usage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum WorkerAnswer {
    /// All tasks of the worker were listed.
    Listed {
        /// Number of the call.
        number: u64,
        /// Tasks of the worker, including ended ones.
        tasks: Vec<ListedTask>,
    },
    /// All tasks of a gang's share were started.
    Started {
        /// Gang of the share.
        gang: GangId,
    },
    /// Some tasks of a gang's share were not started, or the result of the start is unknown.
    StartFailed {
        /// Gang of the share.
        gang: GangId,
        /// Whether it is guaranteed that no task of the share was started.
        never_ran: bool,
    },
    /// The tasks of a gang's share wrote a checkpoint.
    Checkpointed {
        /// Gang of the share.
        gang: GangId,
        /// Run time saved by the checkpoint, in milliseconds.
        saved_ms: u64,
    },
    /// The maximum resource usage of a gang's tasks was determined.
    Usage {
        /// Gang of the tasks.
        gang: GangId,
        /// Cores of one task, in thousandths.
        cores_per_mille: u32,
        /// Memory of one task, in mebibytes.
        memory_mb: u64,
    },
    /// A probe ended.
    Probed {
        /// Whether it succeeded.
        succeeded: bool,
    },
}
