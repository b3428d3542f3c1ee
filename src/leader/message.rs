//! Inputs and outputs of a group's leader.

use serde::{Deserialize, Serialize};

use super::{JobChange, JobChangeResult};
use crate::job::JobRow;
use crate::membership::MembersConfig;
use crate::prelude::*;
use crate::scheduler::{GroupRules, Policy};
use crate::wire::{DataCentreState, GroupSummary, LeaderMessage, MemberMessage};

/// What a leader knows when its epoch begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaderConfig {
    /// The group.
    pub group: GroupId,
    /// The group's size, intervals and leases.
    pub members: MembersConfig,
    /// How cells are chosen.
    pub policy: Policy,
}

/// A row that lists a job under its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexEntry {
    /// The job.
    pub job: JobId,
    /// Whether a caller asked to cancel it.
    pub cancel_requested: bool,
}

/// What happens to a group's leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum Input {
    /// A member sent a message.
    Member {
        /// The message.
        message: MemberMessage,
    },
    /// An entry accepted a job for the group; its row is durable.
    Submit {
        /// The job.
        job: JobId,
    },
    /// Callers cancelled jobs; that is durable.
    Cancel {
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// A bundle is in force.
    Rules {
        /// The part of it that concerns the group.
        rules: Box<GroupRules>,
    },
    /// An entry told the state of the data centre.
    Service {
        /// The state.
        state: DataCentreState,
        /// Its version.
        version: u64,
    },
    /// An entry answered about the start permit.
    Permit {
        /// The version of the data centre's state.
        version: u64,
        /// The time left for which starts are permitted; zero if they are not.
        remaining_ms: u64,
    },
    /// The leader's own lease holds or not.
    Trusted {
        /// Whether it holds.
        trusted: bool,
    },
    /// The answer to [`Output::Scan`].
    Index {
        /// All jobs of the group that have not ended.
        entries: Vec<IndexEntry>,
    },
    /// The answer to [`Output::ReadJobs`].
    Jobs {
        /// The rows.
        rows: Vec<JobRow>,
    },
    /// The answer to [`Output::Change`].
    Changed {
        /// The job.
        job: JobId,
        /// What is known of the change.
        result: JobChangeResult,
    },
    /// Time passed; sent at least every [`super::TICK_MS`] milliseconds.
    Tick,
}

/// What a group's leader wants done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum Output {
    /// Send a message to one incarnation of a member.
    Send {
        /// The worker.
        worker: WorkerId,
        /// The incarnation of its agent.
        incarnation: Incarnation,
        /// The message.
        message: LeaderMessage,
    },
    /// Read the rows that list the group's jobs.
    Scan,
    /// Read rows of jobs.
    ReadJobs {
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Change a job's row, on condition of the leader's epoch; see [`super::change_job`].
    Change {
        /// The job.
        job: JobId,
        /// The change.
        change: JobChange,
    },
    /// Tell the entries that a job arrived.
    Accepted {
        /// The job.
        job: JobId,
    },
    /// Tell the entries about free capacity.
    Summary {
        /// What to tell.
        summary: GroupSummary,
    },
    /// Another process leads the group.
    Deposed,
}
