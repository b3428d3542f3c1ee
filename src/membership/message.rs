//! Rows, inputs and outputs of the membership slice.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::scheduler::{RunningShare, WorkerSpec};
use crate::store::{Commit, RowVersion};
use crate::wire::LeaderMessage;

/// The row `group/{id}`: who leads a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRow {
    /// The process that leads.
    pub holder: ProcessId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its epoch.
    pub epoch: Epoch,
    /// Rises with each renewal, so that each renewal changes the row.
    pub renewal: u64,
    /// The UDP address at which the members reach it.
    pub address: SocketAddr,
    /// Whether the holder gave the lease up, so that a candidate need not wait for its end.
    pub released: bool,
}

/// The row `group-epoch/{id}`, which changes only at takeover. All commits of a leader are conditional on its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EpochRow {
    /// The epoch.
    pub epoch: Epoch,
    /// The process that leads in it.
    pub holder: ProcessId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Returns the key of a group's lease row.
pub fn lease_key(group: &GroupId) -> String {
    format!("group/{group}")
}

/// Returns the key of a group's epoch row.
pub fn epoch_key(group: &GroupId) -> String {
    format!("group-epoch/{group}")
}

/// A row and its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedRow<T> {
    /// The version.
    pub version: RowVersion,
    /// The content, or `None` if the row does not exist.
    pub row: Option<T>,
}

impl<T> VersionedRow<T> {
    /// Returns a row that never existed.
    pub fn absent() -> Self {
        Self { version: RowVersion::ABSENT, row: None }
    }
}

/// What a candidate or holder of a leader lease knows from its settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseConfig {
    /// The group.
    pub group: GroupId,
    /// The process.
    pub holder: ProcessId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The UDP address at which members reach it when it leads.
    pub address: SocketAddr,
    /// The lease.
    pub lease_ms: u64,
    /// The workers of the group by the bundle.
    pub group_workers: u32,
}

/// What happens to a leader lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum LeaseInput {
    /// The answer to [`LeaseOutput::Read`].
    Read {
        /// The lease row.
        lease: VersionedRow<LeaseRow>,
        /// The epoch row.
        epoch: VersionedRow<EpochRow>,
    },
    /// The table did not answer [`LeaseOutput::Read`].
    ReadFailed,
    /// The commit is durable.
    Durable,
    /// The commit is not durable, or it is not known.
    NotDurable,
    /// The group's leader sent something.
    LeaderHeard,
    /// The process shuts down.
    Shutdown,
    /// Time passed.
    Tick,
}

/// What a leader lease wants done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum LeaseOutput {
    /// Read the lease row and the epoch row.
    Read,
    /// Apply a commit and answer with [`LeaseInput::Durable`] or [`LeaseInput::NotDurable`].
    Commit {
        /// The commit.
        commit: Commit,
    },
    /// The process leads from now on.
    Lead {
        /// Its epoch.
        epoch: Epoch,
        /// The version of the epoch row, on which its commits are conditional.
        epoch_version: RowVersion,
        /// Whether the group never had a leader, so that no gang can run.
        first: bool,
    },
    /// The process does not lead any more.
    Resign,
    /// The lease is given up, or its end must be waited for; the process may exit.
    Done,
}

/// What a leader knows of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembersConfig {
    /// The workers of the group by the bundle.
    pub group_workers: u32,
    /// The interval of heartbeats.
    pub heartbeat_ms: u64,
    /// The lease of gangs.
    pub gang_lease_ms: u64,
}

/// A member that joined, and what runs there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JoinedMember {
    /// The worker.
    pub worker: WorkerSpec,
    /// What runs there.
    pub running: Vec<RunningShare>,
}

/// What happens to the members of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum MembersInput {
    /// A heartbeat arrived.
    Heartbeat {
        /// The worker.
        worker: WorkerId,
        /// The incarnation of its agent.
        incarnation: Incarnation,
        /// The highest epoch that the member has seen.
        epoch: Epoch,
        /// The number of the heartbeat.
        sequence: u64,
    },
    /// A part of what a member tells at its join arrived.
    Join {
        /// The number of the part.
        part: u16,
        /// The number of parts.
        parts: u16,
        /// The worker.
        worker: WorkerSpec,
        /// The incarnation of its agent.
        incarnation: Incarnation,
        /// The epoch that the member follows.
        epoch: Epoch,
        /// What runs there.
        running: Vec<RunningShare>,
    },
    /// An entry granted or withdrew the start permit.
    Permit {
        /// The time left; zero withdraws it.
        remaining_ms: u64,
    },
    /// The leader's own lease holds or not.
    Trusted {
        /// Whether it holds.
        trusted: bool,
    },
    /// A gang is about to be started on a member, or was adopted there.
    #[serde(rename = "gang_on")]
    GangAssigned {
        /// The gang.
        gang: GangId,
        /// The worker.
        worker: WorkerId,
    },
    /// The tasks of a gang on one member ended.
    #[serde(rename = "part_over")]
    PartEnded {
        /// The gang.
        gang: GangId,
        /// The worker.
        worker: WorkerId,
    },
    /// No task of a gang runs any more.
    #[serde(rename = "gang_over")]
    GangEnded {
        /// The gang.
        gang: GangId,
    },
    /// The scheduler does not use a worker any more.
    Fence {
        /// The worker.
        worker: WorkerId,
    },
    /// Time passed.
    Tick,
}

/// What a leader should do about its members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum MembersOutput {
    /// Send a message to one incarnation of a member.
    Send {
        /// The worker.
        worker: WorkerId,
        /// The incarnation of its agent.
        incarnation: Incarnation,
        /// The message.
        message: LeaderMessage,
    },
    /// All members answered the new leader, or the leases of the others lapsed.
    Recovered {
        /// The members.
        members: Vec<JoinedMember>,
    },
    /// A member joined after that.
    Up {
        /// The member.
        member: JoinedMember,
    },
    /// A member was lost, and its leases lapsed.
    Lost {
        /// The worker.
        worker: WorkerId,
    },
    /// A gang has a part on a member whose lease lapsed; the parts on other members must end.
    EndGang {
        /// The gang.
        gang: GangId,
        /// The worker of another part.
        worker: WorkerId,
    },
    /// A member follows a higher epoch, so another process leads.
    Deposed {
        /// The epoch.
        epoch: Epoch,
    },
}
