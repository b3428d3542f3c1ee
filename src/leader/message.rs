//! Inputs and outputs of a group's leader.

use serde::{Deserialize, Serialize};

use super::{JobChange, JobChangeResult};
use crate::job::JobRow;
use crate::membership::MembersConfig;
use crate::prelude::*;
use crate::scheduler::{GroupRules, Policy};
use crate::wire::{DataCentreState, GroupSummary, LeaderMessage, MemberMessage};

/// Configuration of a leader, fixed for its epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaderConfig {
    /// Group of the leader.
    pub group: GroupId,
    /// Size, intervals and leases of the group.
    #[serde(rename = "members")]
    pub members_config: MembersConfig,
    /// Placement policy, by which cells are chosen.
    pub policy: Policy,
}

/// Index row that lists a job under its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexEntry {
    /// Job listed by the row.
    pub job: JobId,
    /// Whether a caller requested to cancel the job.
    pub cancel_requested: bool,
}

/// Input of a group's leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum Input {
    /// A member sent a message.
    Member {
        /// Message of the member.
        message: MemberMessage,
    },
    /// An entry accepted a job for the group, and the job's row is durable.
    Submit {
        /// Accepted job.
        job: JobId,
    },
    /// Callers cancelled jobs, and the cancellations are durable.
    Cancel {
        /// Cancelled jobs.
        jobs: Vec<JobId>,
    },
    /// A bundle became active.
    Rules {
        /// Rules of the bundle that apply to the group.
        rules: Box<GroupRules>,
    },
    /// An entry reported the state of the data centre.
    #[serde(rename = "service")]
    DataCentreState {
        /// State of the data centre.
        state: DataCentreState,
        /// Version of the state.
        version: u64,
    },
    /// An entry answered a request for the start permit.
    Permit {
        /// Version of the data centre's state.
        version: u64,
        /// Remaining time for which starts are permitted, in milliseconds; zero if they are not.
        remaining_ms: u64,
    },
    /// The validity of the leader's lease was checked.
    Trusted {
        /// Whether the lease is valid.
        trusted: bool,
    },
    /// The scan requested by [`Output::Scan`] ended.
    Index {
        /// All jobs of the group that have not ended.
        entries: Vec<IndexEntry>,
    },
    /// The rows requested by [`Output::ReadJobs`] were read.
    Jobs {
        /// Rows of the jobs.
        rows: Vec<JobRow>,
    },
    /// The change requested by [`Output::Change`] ended.
    Changed {
        /// Job whose row was to be changed.
        job: JobId,
        /// Result of the change.
        result: JobChangeResult,
    },
    /// Time passed; sent at least every [`super::TICK_MS`] milliseconds.
    Tick,
}

/// Action requested by a group's leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum Output {
    /// Send a message to one incarnation of a member.
    Send {
        /// Worker of the member.
        worker: WorkerId,
        /// Incarnation of the worker's agent.
        incarnation: Incarnation,
        /// Message to the agent.
        message: LeaderMessage,
    },
    /// Read the rows that list the group's jobs.
    Scan,
    /// Read rows of jobs.
    ReadJobs {
        /// Jobs whose rows are read.
        jobs: Vec<JobId>,
    },
    /// Change a job's row, on condition of the leader's epoch; see [`super::change_job`].
    Change {
        /// Job whose row is changed.
        job: JobId,
        /// Change of the row.
        change: JobChange,
    },
    /// Report to the entries that the leader received a job.
    Accepted {
        /// Received job.
        job: JobId,
    },
    /// Report the group's free capacity to the entries.
    Summary {
        /// Capacity and queue length of the group.
        summary: GroupSummary,
    },
    /// Stop leading, because another process leads the group.
    Deposed,
}
