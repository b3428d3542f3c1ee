//! Rows, inputs and outputs of the membership module.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::scheduler::{RunningShare, WorkerSpec};
use crate::store::{Commit, RowVersion};
use crate::wire::LeaderMessage;

/// Row `group/{id}`: the lease of the leader of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRow {
    /// Process that leads.
    pub holder: ProcessId,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Epoch in which the holder leads.
    pub epoch: Epoch,
    /// Number of the renewal, so that each renewal changes the row.
    pub renewal: u64,
    /// UDP address at which the members reach the holder.
    pub address: SocketAddr,
    /// Whether the holder released the lease, so that a candidate need not wait for its expiry.
    pub released: bool,
}

/// Row `group-epoch/{id}`, which changes only at takeover. All commits of a leader are conditional on its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EpochRow {
    /// Current epoch.
    pub epoch: Epoch,
    /// Process that leads in the epoch.
    pub holder: ProcessId,
    /// Incarnation of the holder.
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

/// Content of a row and its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedRow<T> {
    /// Version of the row.
    pub version: RowVersion,
    /// Content of the row, or `None` if the row does not exist.
    pub row: Option<T>,
}

impl<T> VersionedRow<T> {
    /// Returns the state of a row that never existed.
    pub fn absent() -> Self {
        Self { version: RowVersion::ABSENT, row: None }
    }
}

/// Configuration of a candidate for, or holder of, a leader lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseConfig {
    /// Group to be led.
    pub group: GroupId,
    /// Name of the process.
    pub holder: ProcessId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// UDP address at which members reach the process when it leads.
    pub address: SocketAddr,
    /// Duration of the lease in ms.
    pub lease_ms: u64,
    /// Number of workers of the group according to the bundle.
    pub group_workers: u32,
}

/// Input of a leader lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum LeaseInput {
    /// Answer to [`LeaseOutput::Read`].
    Read {
        /// Lease row of the group.
        lease: VersionedRow<LeaseRow>,
        /// Epoch row of the group.
        epoch: VersionedRow<EpochRow>,
    },
    /// The table did not answer [`LeaseOutput::Read`].
    ReadFailed,
    /// The commit is durable.
    Durable,
    /// The commit was not applied, or its outcome is unknown.
    NotDurable,
    /// A message of the group's leader arrived.
    #[serde(rename = "leader_heard")]
    LeaderMessageReceived,
    /// The process shuts down.
    Shutdown,
    /// Time passed.
    Tick,
}

/// Output of a leader lease: an action for the process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum LeaseOutput {
    /// Read the lease row and the epoch row.
    Read,
    /// Apply a commit, and pass on its outcome as [`LeaseInput::Durable`] or [`LeaseInput::NotDurable`].
    Commit {
        /// Commit of the lease row, and at takeover also of the epoch row.
        commit: Commit,
    },
    /// The process leads from now on.
    Lead {
        /// Epoch in which the process leads.
        epoch: Epoch,
        /// Version of the epoch row, on which commits of the leader are conditional.
        epoch_version: RowVersion,
        /// Whether the group never had a leader before, so that no gang can be running.
        first: bool,
    },
    /// The process no longer leads.
    Resign,
    /// The lease was released, or will expire by itself; the process may exit.
    Done,
}

/// Configuration of a leader's view of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembersConfig {
    /// Number of workers of the group according to the bundle.
    pub group_workers: u32,
    /// Interval of heartbeats in ms.
    pub heartbeat_ms: u64,
    /// Duration of a gang lease in ms.
    pub gang_lease_ms: u64,
}

/// Member that joined, and the shares of gangs that run on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JoinedMember {
    /// Worker of the member.
    pub worker: WorkerSpec,
    /// Shares of gangs that run on the worker.
    pub running: Vec<RunningShare>,
}

/// Input of a leader's view of its members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum MembersInput {
    /// A heartbeat arrived.
    Heartbeat {
        /// Worker of the member.
        worker: WorkerId,
        /// Incarnation of the worker's agent.
        incarnation: Incarnation,
        /// Highest epoch that the member has received.
        epoch: Epoch,
        /// Sequence number of the heartbeat.
        sequence: u64,
    },
    /// A part of a member's join message arrived.
    Join {
        /// Index of the part.
        part: u16,
        /// Number of parts.
        parts: u16,
        /// Worker of the member.
        worker: WorkerSpec,
        /// Incarnation of the worker's agent.
        incarnation: Incarnation,
        /// Epoch that the member follows.
        epoch: Epoch,
        /// Shares of gangs that run on the worker, as far as this part lists them.
        running: Vec<RunningShare>,
    },
    /// An entry granted or withdrew the start permit.
    Permit {
        /// Remaining time of the permit in ms; zero withdraws it.
        remaining_ms: u64,
    },
    /// The leader's trust in its own lease changed or was confirmed.
    Trusted {
        /// Whether the leader can rely on its lease.
        trusted: bool,
    },
    /// A gang is about to be started on a member, or was adopted there.
    #[serde(rename = "gang_on")]
    GangAssigned {
        /// Gang concerned.
        gang: GangId,
        /// Worker of the member.
        worker: WorkerId,
    },
    /// The tasks of a gang on one member ended.
    #[serde(rename = "part_over")]
    PartEnded {
        /// Gang concerned.
        gang: GangId,
        /// Worker of the member.
        worker: WorkerId,
    },
    /// All tasks of a gang ended.
    #[serde(rename = "gang_over")]
    GangEnded {
        /// Gang concerned.
        gang: GangId,
    },
    /// The scheduler no longer uses a worker.
    Fence {
        /// Worker of the member.
        worker: WorkerId,
    },
    /// Time passed.
    Tick,
}

/// Output of a leader's view of its members: an action or event for the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum MembersOutput {
    /// Send a message to one incarnation of a member.
    Send {
        /// Worker of the member.
        worker: WorkerId,
        /// Incarnation of the worker's agent.
        incarnation: Incarnation,
        /// Message for the member.
        message: LeaderMessage,
    },
    /// All members joined the new leader, or the leases of those that did not join have lapsed.
    Recovered {
        /// Members that joined.
        members: Vec<JoinedMember>,
    },
    /// A member joined after the recovery.
    Up {
        /// Member that joined.
        member: JoinedMember,
    },
    /// A member was lost, and its leases lapsed.
    Lost {
        /// Worker of the member.
        worker: WorkerId,
    },
    /// A gang has a part on a member whose lease lapsed; the parts on other members must end.
    EndGang {
        /// Gang concerned.
        gang: GangId,
        /// Worker that holds another part.
        worker: WorkerId,
    },
    /// A member follows a higher epoch, so another process leads.
    Deposed {
        /// Epoch that the member follows.
        epoch: Epoch,
    },
}
