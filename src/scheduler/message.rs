//! Inputs and outputs of a group's scheduler.

use serde::{Deserialize, Serialize};

use crate::bundle::{KindRule, PolicyRules, Rack, WorkerShape};
use crate::prelude::*;

/// Part of a bundle that the scheduler of one group needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupRules {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Workers of the group when all are up.
    pub topology: GroupTopology,
    /// Guaranteed blocks that admission assigned to this group.
    pub guarantees: Vec<GroupGuarantee>,
    /// Class and reclaim rules for each kind of work.
    pub kinds: Vec<KindRule>,
    /// Queue limits, deadlines and weights of the policy.
    pub policy: PolicyRules,
}

/// Workers of a group when all are up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupTopology {
    /// Total resources of each worker.
    pub worker: WorkerShape,
    /// Racks of the group.
    pub racks: Vec<Rack>,
}

/// Guaranteed blocks and quota of one organisation in a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupGuarantee {
    /// Organisation that owns the guarantee.
    pub organisation: OrganisationId,
    /// Guaranteed blocks of the organisation in this group.
    pub blocks: Vec<Block>,
    /// Maximum number of accelerators that the organisation may use in this group; no limit if absent.
    pub quota_accelerators: Option<u32>,
}

/// Size and adjacency of a block of accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Required adjacency of the accelerators.
    pub adjacency: Adjacency,
}

/// Description of a worker, as announced by its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Total resources of the worker.
    pub shape: WorkerShape,
}

/// Cells requested on one worker for some tasks of a gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareRequest {
    /// Worker on which the cells are requested.
    pub worker: WorkerId,
    /// Tasks of the gang on this worker, with their cells.
    pub tasks: Vec<TaskCell>,
}

/// Cell of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskCell {
    /// Index of the task in its gang, from 0.
    pub task: u32,
    /// Accelerators of the task: bit `n` stands for accelerator `n` of the worker.
    pub accelerator_mask: u64,
}

/// Answer of an agent to a request to reserve cells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReserveResult {
    /// The agent holds the cells until a start, a release or the expiry of the reservation's lease.
    Held,
    /// The tasks do not fit on the worker, or the agent refuses for another reason.
    Refused {
        /// Reason reported by the agent.
        reason: String,
    },
}

/// Final result of a conditional write, which is repeated until the store reports one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteResult {
    /// The write is durable.
    Durable,
    /// Another writer changed the row first; the write is guaranteed not applied.
    Conflict,
}

/// Outcome of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// The task succeeded.
    Succeeded,
    /// The task failed on its own, without a request to stop.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The agent refused to start the task, so it never ran.
    Refused,
    /// The task's lease expired, or its worker was lost.
    Lost,
}

/// Running tasks of a gang on one worker, as an agent reports them to a new leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunningShare {
    /// Gang that the tasks belong to.
    pub gang: GangId,
    /// Specification of the job, from which a new leader adopts the gang.
    pub job: JobSpec,
    /// Running tasks on the worker, with their cells.
    pub tasks: Vec<TaskCell>,
}

/// Input of a group's scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum Input {
    /// A bundle became active.
    Rules {
        /// Rules of the bundle for this group.
        rules: Box<GroupRules>,
    },
    /// A worker's agent announced itself, or answered a new leader.
    WorkerUp {
        /// Worker of the agent.
        worker: WorkerSpec,
        /// All gangs with running tasks on the worker.
        running: Vec<RunningShare>,
    },
    /// A worker was lost; its tasks have ended because their leases expired.
    WorkerLost {
        /// Lost worker.
        worker: WorkerId,
    },
    /// A job was accepted; its row is durable.
    Submit {
        /// Specification of the job.
        job: JobSpec,
        /// Run time saved in a checkpoint of an earlier attempt, in milliseconds.
        #[serde(default)]
        saved_ms: u64,
        /// Number of earlier attempts; the next attempt gets a higher number.
        #[serde(default)]
        attempts: u32,
    },
    /// Callers cancelled jobs; cancellations that arrive together are combined into one input.
    Cancel {
        /// Cancelled jobs.
        jobs: Vec<JobId>,
    },
    /// An agent answered a reservation.
    Reserved {
        /// Gang for which cells were requested.
        gang: GangId,
        /// Worker of the agent.
        worker: WorkerId,
        /// Answer of the agent.
        result: ReserveResult,
    },
    /// The store reported the result of [`Output::WriteIntent`].
    IntentWritten {
        /// Gang whose start was written.
        gang: GangId,
        /// Result of the write.
        result: WriteResult,
    },
    /// The tasks of a gang on one worker are running.
    Started {
        /// Gang that the tasks belong to.
        gang: GangId,
        /// Worker on which the tasks run.
        worker: WorkerId,
    },
    /// A task ended.
    TaskEnded {
        /// Gang that the task belongs to.
        gang: GangId,
        /// Worker on which the task ran.
        worker: WorkerId,
        /// Index of the task in its gang.
        task: u32,
        /// Outcome of the task.
        end: TaskEnd,
    },
    /// The tasks of a gang on one worker wrote a checkpoint.
    Checkpointed {
        /// Gang that the tasks belong to.
        gang: GangId,
        /// Worker on which the tasks run.
        worker: WorkerId,
        /// Run time saved in the checkpoint, in milliseconds.
        saved_ms: u64,
    },
    /// Resource usage of a gang's tasks, reported with a delay.
    Usage {
        /// Gang that the tasks belong to.
        gang: GangId,
        /// Maximum number of cores that one task uses, in thousandths.
        cores_per_mille: u32,
        /// Maximum memory that one task uses, in MB.
        memory_mb: u64,
    },
    /// The agent of a quarantined worker ran a probe.
    Probed {
        /// Probed worker.
        worker: WorkerId,
        /// Whether the probe succeeded.
        succeeded: bool,
    },
    /// Whether starts are permitted: a data centre was taken out or brought back, or the start permit expired.
    StartsPermitted {
        /// Whether gangs may start.
        permitted: bool,
        /// Whether operators took the data centre out of service, so that checkpointable work should move elsewhere.
        leaving: bool,
    },
    /// Time passed; sent at least every [`MAX_TICK_INTERVAL_MS`] milliseconds.
    Tick,
}

/// Maximum time between two [`Input::Tick`], in milliseconds.
pub const MAX_TICK_INTERVAL_MS: u64 = 200;

/// Action requested by a group's scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum Output {
    /// Reserve cells for the tasks of a gang on one worker.
    Reserve {
        /// Gang that the tasks belong to.
        gang: GangId,
        /// Specification of the job, of which the agent keeps a copy.
        job: Box<JobSpec>,
        /// Requested worker and cells.
        share: ShareRequest,
    },
    /// Release a reservation whose tasks were not started.
    Release {
        /// Gang that the cells are reserved for.
        gang: GangId,
        /// Worker that holds the cells.
        worker: WorkerId,
    },
    /// Make the start of a gang durable, on condition that the group's epoch and the job's row are unchanged.
    WriteIntent {
        /// Gang that is about to start.
        gang: GangId,
    },
    /// Start the reserved tasks of a gang on one worker.
    Start {
        /// Gang that the tasks belong to.
        gang: GangId,
        /// Worker that holds the cells.
        worker: WorkerId,
        /// Saved run time to resume from, in milliseconds.
        saved_ms: u64,
    },
    /// Write a checkpoint of a gang's tasks on one worker and continue to run them.
    Checkpoint {
        /// Gang that the tasks belong to.
        gang: GangId,
        /// Worker on which the tasks run.
        worker: WorkerId,
    },
    /// Stop a gang's tasks on one worker.
    Stop {
        /// Gang that the tasks belong to.
        gang: GangId,
        /// Worker on which the tasks run.
        worker: WorkerId,
    },
    /// Take a worker out of use: its agent must end every task and refuse new ones.
    Fence {
        /// Worker to fence.
        worker: WorkerId,
    },
    /// Run a probe on a quarantined worker.
    Probe {
        /// Quarantined worker.
        worker: WorkerId,
    },
    /// Make durable that an attempt ended and that its job is queued again.
    WriteQueued {
        /// Gang whose attempt ended.
        gang: GangId,
        /// Saved run time, in milliseconds.
        saved_ms: u64,
    },
    /// Make the end of a job durable and report it to the caller.
    WriteEnd {
        /// Job that ended.
        job: JobId,
        /// Outcome of the job.
        end: JobEnd,
    },
}
