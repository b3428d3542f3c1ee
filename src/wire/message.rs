//! Messages between entries and agents over TCP, and between the members and the leader of a group over UDP.
//!
//! All durations are remaining times: clocks of different machines are never compared.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::scheduler::{ReserveResult, RunningShare, ShareRequest, TaskEnd, WorkerSpec};

/// An endpoint as the agent beside it announces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// The endpoint.
    pub id: EndpointId,
    /// The incarnation of its agent.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// The kinds of work that it answers; any kind if empty.
    pub kinds: Vec<KindId>,
}

/// Whether a data centre is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DataCentreState {
    /// Work starts.
    In,
    /// Operators took it out; no work starts.
    Out,
}

/// One attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptRequest {
    /// The name of the attempt.
    pub attempt: AttemptId,
    /// Rises by one with each attempt on its connection, so that the agent recognises copies.
    pub sequence: u64,
    /// The organisation that sends the request.
    pub organisation: OrganisationId,
    /// The kind of work.
    pub kind: KindId,
    /// The time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// The body.
    pub body: Vec<u8>,
}

/// Why an agent refused an attempt, which then never started.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The endpoint is shutting down.
    #[display("the endpoint is shutting down")]
    Draining,
    /// All slots are in use.
    #[display("all slots of the endpoint are in use")]
    Full,
    /// The caller's deadline passed.
    #[display("the deadline passed")]
    DeadlinePassed,
    /// Operators took the data centre out.
    #[display("the data centre is out of service")]
    DataCentreOut,
    /// The attempt was cancelled before it arrived.
    #[display("the attempt was cancelled before it started")]
    Cancelled,
    /// The agent has no endpoint, or the endpoint's connection was refused before anything was sent.
    #[display("the endpoint is gone")]
    EndpointGone,
}

/// The checksum of the answer's body so far: a chain of BLAKE3 hashes over the parts, whose state fits a dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AnswerChecksum([u8; 32]);

impl AnswerChecksum {
    /// Returns the checksum after a further part.
    #[must_use]
    pub fn with(&self, bytes: &[u8]) -> Self {
        Self(*blake3::keyed_hash(&self.0, bytes).as_bytes())
    }
}

/// A part of an answer. The answer is whole when the last part has arrived and length and checksum agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerChunk {
    /// The begin of the answer.
    Head {
        /// The HTTP status that the endpoint gave.
        status: u16,
    },
    /// Some bytes, which begin at `offset_bytes` of the body.
    Data {
        /// The position of the first byte.
        offset_bytes: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The end of the answer.
    End {
        /// The length of the whole body.
        length_bytes: u64,
        /// The checksum over all data parts.
        checksum: AnswerChecksum,
    },
}

/// What a group's leader tells the entries about free capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSummary {
    /// The group.
    pub group: GroupId,
    /// The epoch of its leader.
    pub epoch: Epoch,
    /// Accelerators of all live workers.
    pub total_accelerators: u32,
    /// Accelerators that no task holds.
    pub free_accelerators: u32,
    /// The largest free block on one worker.
    pub largest_worker_block: u32,
    /// The largest free block in one rack.
    pub largest_rack_block: u32,
    /// Jobs that wait.
    pub queued_jobs: u32,
}

/// Messages from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentMessage {
    /// The first message on a connection of an agent beside an endpoint, and again when its specification changes.
    Announce(EndpointSpec),
    /// The endpoint is shutting down: no new attempts.
    Drain,
    /// An attempt was refused and never started.
    NotRun {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: NotRunReason,
    },
    /// A part of an attempt's answer.
    Answer {
        /// The attempt.
        attempt: AttemptId,
        /// The part.
        chunk: AnswerChunk,
    },
    /// The attempt started, and its endpoint did not give a whole answer.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: String,
    },
    /// The answer to [`EntryMessage::Cancel`]: the attempt never started and never will.
    Tombstoned {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The answer to [`EntryMessage::Cancel`]: the attempt had started.
    AlreadyStarted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The first message on a connection of an agent beside a worker.
    FindLeader {
        /// The agent.
        process: ProcessId,
        /// Its data centre.
        data_centre: DataCentreId,
        /// Its rack.
        rack: RackId,
    },
    /// The first message on a connection of a group's leader, and again every second.
    Lead(GroupSummary),
    /// A leader confirms that a job arrived.
    JobAccepted {
        /// The job.
        job: JobId,
    },
    /// A leader asks how long starts are permitted in its data centre.
    AskPermit {
        /// The data centre.
        data_centre: DataCentreId,
        /// Rises with each question; the answer repeats it, and the permit is counted from the question, so that a
        /// leader that was paused takes no time from an answer that waited in its socket.
        sequence: u64,
    },
    /// Confirms [`EntryMessage::Config`] and [`EntryMessage::Service`].
    Applied {
        /// The version of the bundle in force.
        bundle: BundleVersion,
        /// The version of the data centre's state in force.
        service_version: u64,
    },
}

/// Messages from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryMessage {
    /// The first message on each connection.
    Hello {
        /// The incarnation of the entry.
        incarnation: Incarnation,
    },
    /// Run a request.
    Attempt(AttemptRequest),
    /// Do not start an attempt; leaves a tombstone if it has not arrived.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Its sequence number on this connection.
        sequence: u64,
    },
    /// Operators take the endpoint out of use: refuse new attempts, and let those in flight end.
    Drain,
    /// A signed bundle, as JSON.
    Config {
        /// The version.
        version: BundleVersion,
        /// The signed bundle as JSON.
        signed: String,
    },
    /// The state of the agent's data centre, with its rising version.
    Service {
        /// The state.
        state: DataCentreState,
        /// The version.
        version: u64,
        /// The time for which starts are permitted, in milliseconds; zero withdraws the permit.
        permit_ms: u64,
    },
    /// Answers [`AgentMessage::AskPermit`].
    Permit {
        /// The number of the question.
        sequence: u64,
        /// The version of the data centre's state.
        version: u64,
        /// The time for which starts are permitted, counted from the question, in milliseconds; zero if they are not.
        permit_ms: u64,
    },
    /// The group and the leader of an agent beside a worker.
    Leader {
        /// The group.
        group: GroupId,
        /// The number of its workers by the bundle in force.
        group_workers: u32,
        /// The leader's epoch and its UDP address, if it has a leader.
        leader: Option<(Epoch, std::net::SocketAddr)>,
    },
    /// A job was accepted for the leader's group; its row is durable.
    SubmitJob {
        /// The job.
        job: Box<JobSpec>,
    },
    /// Callers cancelled jobs of the leader's group.
    CancelJobs {
        /// The jobs.
        jobs: Vec<JobId>,
    },
}

/// Messages from a member to its leader, by UDP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberMessage {
    /// The member lives.
    Heartbeat {
        /// The worker.
        worker: WorkerId,
        /// The incarnation of its agent.
        incarnation: Incarnation,
        /// The highest epoch that the member has seen.
        epoch: Epoch,
        /// Rises with each heartbeat; the answer repeats it.
        sequence: u64,
        /// The version of the bundle in force at the member.
        bundle: BundleVersion,
    },
    /// The member's worker and what runs there; repeated until the leader acknowledges the epoch. What runs may need
    /// several datagrams; the leader acknowledges when it has all parts.
    Join {
        /// The number of this part, from 0.
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
    /// Answers [`LeaderMessage::Reserve`].
    Reserved {
        /// The worker.
        worker: WorkerId,
        /// The gang.
        gang: GangId,
        /// The answer.
        result: ReserveResult,
    },
    /// Answers [`LeaderMessage::Start`]: all tasks of the share run.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The gang.
        gang: GangId,
    },
    /// Answers [`LeaderMessage::Release`]: no task of the gang starts from this reservation.
    Released {
        /// The worker.
        worker: WorkerId,
        /// The gang.
        gang: GangId,
    },
    /// Answers [`LeaderMessage::Start`] and [`LeaderMessage::Stop`]: no task of the gang runs on the worker.
    NotStarted {
        /// The worker.
        worker: WorkerId,
        /// The gang.
        gang: GangId,
        /// Whether it is certain that no task of the gang ever ran on the worker; an agent that restarted cannot know.
        never_ran: bool,
    },
    /// A task reached its end; repeated until [`LeaderMessage::EndNoted`].
    TaskEnded {
        /// The worker.
        worker: WorkerId,
        /// The gang.
        gang: GangId,
        /// The task.
        task: u32,
        /// How.
        end: TaskEnd,
    },
    /// The tasks of a gang wrote a checkpoint.
    Checkpointed {
        /// The worker.
        worker: WorkerId,
        /// The gang.
        gang: GangId,
        /// The run time that the checkpoint saves, in milliseconds.
        saved_ms: u64,
    },
    /// A late report of what the tasks of a gang use at most.
    Usage {
        /// The gang.
        gang: GangId,
        /// Cores of one task, in thousandths.
        cores_per_mille: u32,
        /// Memory of one task in mebibytes.
        memory_mb: u64,
    },
    /// Answers [`LeaderMessage::Probe`].
    Probed {
        /// The worker.
        worker: WorkerId,
        /// Whether the probe succeeded.
        succeeded: bool,
    },
}

/// A datagram from a leader to a member. Its tag also covers the incarnation of the member that the leader means
/// ([`super::DatagramEncoder::encode_for`]), so that a restarted agent refuses what was meant for its predecessor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaderDatagram {
    /// The epoch of the leader.
    pub epoch: Epoch,
    /// The message.
    pub message: LeaderMessage,
}

/// Messages from a leader to a member, by UDP. A member refuses each whose epoch is lower than one it has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaderMessage {
    /// Answers a heartbeat: renews the leases of all gangs on the worker, and the start permit.
    HeartbeatAck {
        /// The sequence number of the heartbeat.
        sequence: u64,
        /// The lease of the worker's gangs, counted from when the heartbeat was sent, in milliseconds.
        lease_ms: u32,
        /// The start permit, counted in the same way; zero if starts are not permitted.
        permit_ms: u32,
        /// Gangs whose lease is not renewed, because a part of them is missing.
        withheld: Vec<GangId>,
    },
    /// Acknowledges [`MemberMessage::Join`].
    Joined,
    /// Reserve cells for tasks of a gang.
    Reserve {
        /// The gang.
        gang: GangId,
        /// The job.
        job: Box<JobSpec>,
        /// The cells.
        share: ShareRequest,
        /// The time after which the reservation ends by itself, in milliseconds.
        hold_ms: u32,
    },
    /// Give up a reservation.
    Release {
        /// The gang.
        gang: GangId,
    },
    /// Start the reserved tasks of a gang, whose intent is durable.
    Start {
        /// The gang.
        gang: GangId,
        /// Saved run time to resume from, in milliseconds.
        saved_ms: u64,
        /// A heartbeat of the member, from whose sending the permit is counted.
        sequence: u64,
        /// The start permit in milliseconds; zero if starts are not permitted.
        permit_ms: u32,
    },
    /// Write a checkpoint and go on running.
    Checkpoint {
        /// The gang.
        gang: GangId,
    },
    /// Stop the tasks of a gang.
    Stop {
        /// The gang.
        gang: GangId,
    },
    /// End every task and refuse new ones until the agent joins again.
    Fence,
    /// Run a probe.
    Probe,
    /// Acknowledges [`MemberMessage::TaskEnded`].
    EndNoted {
        /// The gang.
        gang: GangId,
        /// The task.
        task: u32,
    },
}
