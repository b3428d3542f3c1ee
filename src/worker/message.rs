//! Inputs and outputs of a worker's agent.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::scheduler::WorkerSpec;
use crate::wire::{LeaderMessage, MemberMessage};

/// What an agent knows from its settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerConfig {
    /// The worker and what it really has.
    pub worker: WorkerSpec,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The time between two heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
}

/// What happens to a worker's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum Input {
    /// A datagram of a leader arrived.
    Leader {
        /// The epoch of the leader.
        epoch: Epoch,
        /// The incarnation of the agent that the leader means.
        incarnation: Incarnation,
        /// The message.
        message: LeaderMessage,
    },
    /// An entry or the table named the epoch of the group's leader.
    EpochSeen {
        /// The epoch.
        epoch: Epoch,
    },
    /// The worker answered a call.
    Worker {
        /// The answer.
        answer: WorkerAnswer,
    },
    /// A bundle is in force at the agent.
    BundleInForce {
        /// The version.
        version: BundleVersion,
    },
    /// Time passed; sent at least every [`super::TICK_MS`] milliseconds.
    Tick,
}

/// What a worker's agent wants done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum Output {
    /// Send a message to the leader.
    Send {
        /// The message.
        message: MemberMessage,
    },
    /// Ask an entry for the group's leader.
    FindLeader,
    /// Call the worker.
    Call {
        /// The call.
        call: WorkerCall,
    },
}

/// One task to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskStart {
    /// The name of the task.
    pub name: String,
    /// Its accelerators.
    pub accelerator_mask: u64,
}

/// A call of the worker's interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum WorkerCall {
    /// List all tasks.
    List {
        /// The number of the call, which the answer repeats.
        number: u64,
    },
    /// Start the tasks of a gang's share.
    Start {
        /// The gang.
        gang: GangId,
        /// What each task needs.
        need: TaskSpec,
        /// The tasks.
        tasks: Vec<TaskStart>,
        /// The run time of each task as its caller declared it, in milliseconds.
        run_ms: u64,
        /// Saved run time to resume from, in milliseconds.
        saved_ms: u64,
        /// The lease of the tasks in milliseconds, counted from the decision.
        lease_ms: u64,
        /// The time after the decision at which no task may be started any more, in milliseconds.
        valid_ms: u64,
    },
    /// Renew the leases of tasks.
    Renew {
        /// The names of the tasks.
        tasks: Vec<String>,
        /// The lease in milliseconds, counted from the decision.
        lease_ms: u64,
    },
    /// Write a checkpoint of a gang's tasks.
    Checkpoint {
        /// The gang.
        gang: GangId,
        /// The names of the tasks.
        tasks: Vec<String>,
    },
    /// Stop tasks.
    Stop {
        /// The names of the tasks.
        tasks: Vec<String>,
    },
    /// Run a probe.
    Probe,
}

/// Where the worker says that a task stands.
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

/// A task in the worker's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedTask {
    /// The name.
    pub name: String,
    /// Where it stands.
    pub state: TaskState,
}

/// An answer of the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum WorkerAnswer {
    /// All tasks, ended ones included.
    Listed {
        /// The number of the call.
        number: u64,
        /// The tasks.
        tasks: Vec<ListedTask>,
    },
    /// All tasks of a gang's share run.
    Started {
        /// The gang.
        gang: GangId,
    },
    /// Not all tasks of a gang's share could be started, or it is not known.
    StartFailed {
        /// The gang.
        gang: GangId,
        /// Whether it is certain that no task of the share was started.
        never_ran: bool,
    },
    /// The tasks of a gang's share wrote a checkpoint.
    Checkpointed {
        /// The gang.
        gang: GangId,
        /// The run time that the checkpoint saves, in milliseconds.
        saved_ms: u64,
    },
    /// What the tasks of a gang use at most.
    Usage {
        /// The gang.
        gang: GangId,
        /// Cores of one task, in thousandths.
        cores_per_mille: u32,
        /// Memory of one task in mebibytes.
        memory_mb: u64,
    },
    /// A probe ended.
    Probed {
        /// Whether it succeeded.
        succeeded: bool,
    },
}
