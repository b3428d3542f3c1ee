//! Inputs and outputs of a group's scheduler.

use serde::{Deserialize, Serialize};

use crate::bundle::{KindRule, PolicyRules, Rack, WorkerShape};
use crate::prelude::*;

/// The part of a bundle that one group's scheduler needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupRules {
    /// The version of the bundle.
    pub version: BundleVersion,
    /// The workers that the group has when all are up.
    pub topology: GroupTopology,
    /// The guaranteed blocks that admission assigned to this group.
    pub guarantees: Vec<GroupGuarantee>,
    /// The rules for each kind of work.
    pub kinds: Vec<KindRule>,
    /// Limits, deadlines and weights.
    pub policy: PolicyRules,
}

/// The workers that a group has when all are up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupTopology {
    /// What each worker has.
    pub worker: WorkerShape,
    /// The racks of the group.
    pub racks: Vec<Rack>,
}

/// What one organisation holds in a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupGuarantee {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its guaranteed blocks in this group.
    pub blocks: Vec<Block>,
    /// The most accelerators it may use in this group; no limit if absent.
    pub quota_accelerators: Option<u32>,
}

/// One block of adjacent accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// The number of accelerators.
    pub accelerators: u32,
    /// How close to each other they are.
    pub adjacency: Adjacency,
}

/// A worker as its agent announces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// The worker.
    pub id: WorkerId,
    /// Its rack.
    pub rack: RackId,
    /// What it has.
    pub shape: WorkerShape,
}

/// The cells that some tasks of a gang occupy on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareRequest {
    /// The worker.
    pub worker: WorkerId,
    /// The tasks of the gang that run there.
    pub tasks: Vec<TaskCell>,
}

/// The cell of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskCell {
    /// The index of the task in its gang, from 0.
    pub task: u32,
    /// The accelerators of the task, bit `n` for accelerator `n` of the worker.
    pub accelerator_mask: u64,
}

/// What an agent says of a request to reserve cells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReserveResult {
    /// The cells are held until a start, a release or the end of the reservation's lease.
    Held,
    /// The tasks do not fit on the worker, or the agent refuses for another reason.
    Refused {
        /// Why.
        reason: String,
    },
}

/// What is known of a conditional write after it was repeated until its result was certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteResult {
    /// The write is durable.
    Durable,
    /// Another writer was first; the write has no effect and never will.
    Conflict,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// The task succeeded.
    Succeeded,
    /// The task failed by itself.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The agent refused to start the task, so it never ran.
    Refused,
    /// The task's lease lapsed, or its worker was lost.
    Lost,
}

/// A running gang's share on one worker, as an agent reports it to a new leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunningShare {
    /// The gang.
    pub gang: GangId,
    /// The job, so that a new leader can adopt it.
    pub job: JobSpec,
    /// The cells of its tasks on the worker.
    pub tasks: Vec<TaskCell>,
}

/// What happens to a group's scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum Input {
    /// A bundle is in force.
    Rules {
        /// The rules.
        rules: Box<GroupRules>,
    },
    /// A worker's agent announced itself, or answered a new leader.
    WorkerUp {
        /// The worker.
        worker: WorkerSpec,
        /// What runs there.
        running: Vec<RunningShare>,
    },
    /// A worker was lost; its tasks end with the lease.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
    },
    /// A job was accepted; its row is durable.
    Submit {
        /// The job.
        job: JobSpec,
        /// Progress that an earlier attempt saved in a checkpoint, in milliseconds of run time.
        #[serde(default)]
        saved_ms: u64,
        /// The number of attempts before, so that a new attempt has a higher number.
        #[serde(default)]
        attempts: u32,
    },
    /// Callers cancelled jobs; a wave of cancellations comes as one input.
    Cancel {
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// An agent answered a reservation.
    Reserved {
        /// The gang.
        gang: GangId,
        /// The worker.
        worker: WorkerId,
        /// The answer.
        result: ReserveResult,
    },
    /// The result of [`Output::WriteIntent`] is known.
    IntentWritten {
        /// The gang.
        gang: GangId,
        /// The result.
        result: WriteResult,
    },
    /// The tasks of a gang on one worker run.
    Started {
        /// The gang.
        gang: GangId,
        /// The worker.
        worker: WorkerId,
    },
    /// A task reached its end.
    TaskEnded {
        /// The gang.
        gang: GangId,
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: u32,
        /// How.
        end: TaskEnd,
    },
    /// The tasks of a gang on one worker wrote a checkpoint.
    Checkpointed {
        /// The gang.
        gang: GangId,
        /// The worker.
        worker: WorkerId,
        /// The run time that the checkpoint saves, in milliseconds.
        saved_ms: u64,
    },
    /// A late report of what a gang's tasks use.
    Usage {
        /// The gang.
        gang: GangId,
        /// The greatest number of cores that one task uses, in thousandths.
        cores_per_mille: u32,
        /// The greatest amount of memory that one task uses.
        memory_mb: u64,
    },
    /// The agent of a quarantined worker ran a probe.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// Whether the probe succeeded.
        succeeded: bool,
    },
    /// Starts are permitted or not: a data centre was taken out or brought back, or the start permit ran out.
    StartsPermitted {
        /// Whether gangs may start.
        permitted: bool,
        /// Whether operators took the data centre out, so that checkpointable work should move.
        leaving: bool,
    },
    /// Time passed; sent at least every [`MAX_TICK_INTERVAL_MS`] milliseconds.
    Tick,
}

/// The longest time between two [`Input::Tick`], in milliseconds.
pub const MAX_TICK_INTERVAL_MS: u64 = 200;

/// What a group's scheduler wants done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum Output {
    /// Reserve cells for the tasks of a gang on one worker.
    Reserve {
        /// The gang.
        gang: GangId,
        /// The job, of which the agent keeps a copy.
        job: Box<JobSpec>,
        /// The cells.
        share: ShareRequest,
    },
    /// Give up a reservation that was not started.
    Release {
        /// The gang.
        gang: GangId,
        /// The worker.
        worker: WorkerId,
    },
    /// Make the start of a gang durable, on condition of the group's epoch and the job's row.
    WriteIntent {
        /// The gang.
        gang: GangId,
    },
    /// Start the reserved tasks of a gang on one worker.
    Start {
        /// The gang.
        gang: GangId,
        /// The worker.
        worker: WorkerId,
        /// Saved run time to resume from, in milliseconds.
        saved_ms: u64,
    },
    /// Write a checkpoint of a gang's tasks on one worker, then go on running.
    Checkpoint {
        /// The gang.
        gang: GangId,
        /// The worker.
        worker: WorkerId,
    },
    /// Stop a gang's tasks on one worker.
    Stop {
        /// The gang.
        gang: GangId,
        /// The worker.
        worker: WorkerId,
    },
    /// Do not use a worker any more: its agent must end every task and refuse new ones.
    Fence {
        /// The worker.
        worker: WorkerId,
    },
    /// Run a probe on a quarantined worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// A gang left its cells and its job waits again; make that durable.
    WriteQueued {
        /// The gang whose attempt ended.
        gang: GangId,
        /// Progress that is saved, in milliseconds of run time.
        saved_ms: u64,
    },
    /// A job reached its end; make that durable and tell its caller.
    WriteEnd {
        /// The job.
        job: JobId,
        /// How it ended.
        end: JobEnd,
    },
}
