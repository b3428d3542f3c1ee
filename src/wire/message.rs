//! Messages between entries and agents over TCP, and between the members and the leader of a group over UDP.
//!
//! All times are durations that remain, since the clocks of different machines are never compared.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::traffic::MessageKind;
use crate::prelude::*;
use crate::scheduler::{ReserveResult, RunningShare, ShareRequest, TaskEnd, WorkerSpec};

/// Specification of an endpoint, as announced by its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    /// Data centre of the endpoint.
    pub data_centre: DataCentreId,
    /// Largest number of requests that it runs concurrently.
    pub slots: u32,
    /// Largest number of connections that it accepts.
    pub connections: u32,
    /// Kinds of work that it accepts; any kind if empty.
    pub kinds: Vec<KindId>,
}

/// Whether a data centre is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DataCentreState {
    /// In service: work may start.
    In,
    /// Taken out of service by operators: no work may start.
    Out,
}

/// One attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptRequest {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Number of the attempt on its connection, counted by one, by which the agent recognises duplicates.
    pub sequence: u64,
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Kind of work.
    pub kind: KindId,
    /// Time until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// Reason for which an agent refused an attempt, which then never started.
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
    /// The agent has no endpoint, or the endpoint refused the connection before anything was sent.
    #[display("the endpoint is gone")]
    EndpointGone,
}

/// Checksum of the parts of an answer's body so far: a chain of BLAKE3 hashes over the parts, so that its state
/// fits a dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AnswerChecksum([u8; 32]);

impl AnswerChecksum {
    /// Returns the checksum that includes a further part.
    #[must_use]
    pub fn with(&self, bytes: &[u8]) -> Self {
        Self(*blake3::keyed_hash(&self.0, bytes).as_bytes())
    }
}

/// Part of an answer. The answer is complete when the last part was received and length and checksum match.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerChunk {
    /// Start of the answer.
    Head {
        /// HTTP status returned by the endpoint.
        status: u16,
    },
    /// Bytes of the body.
    Data {
        /// Offset of the first byte in the body.
        offset_bytes: u64,
        /// Content of the part.
        bytes: Vec<u8>,
    },
    /// End of the answer.
    End {
        /// Length of the whole body in bytes.
        length_bytes: u64,
        /// Checksum of all data parts.
        checksum: AnswerChecksum,
    },
}

/// Summary of a group's capacity, sent by its leader to the entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSummary {
    /// Id of the group.
    pub group: GroupId,
    /// Epoch of its leader.
    pub epoch: Epoch,
    /// Accelerators of all live workers.
    pub total_accelerators: u32,
    /// Accelerators that are not held by a task.
    pub free_accelerators: u32,
    /// Accelerators in the largest free block on one worker.
    pub largest_worker_block: u32,
    /// Accelerators in the largest free block in one rack.
    pub largest_rack_block: u32,
    /// Jobs in the queue.
    pub queued_jobs: u32,
}

/// Messages from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentMessage {
    /// Announces an endpoint: the first message on a connection of its agent, repeated when the specification changes.
    Announce(EndpointSpec),
    /// The endpoint is shutting down and accepts no new attempts.
    Drain,
    /// An attempt was refused and never started.
    NotRun {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Reason for the refusal.
        reason: NotRunReason,
    },
    /// A part of an attempt's answer.
    Answer {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Part of the answer.
        chunk: AnswerChunk,
    },
    /// The attempt started, but its endpoint did not return a complete answer.
    Failed {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Description of the failure.
        reason: String,
    },
    /// Answers [`EntryMessage::Cancel`]: the attempt has not started and never will.
    Tombstoned {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// Answers [`EntryMessage::Cancel`]: the attempt had already started.
    AlreadyStarted {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// Requests the leader of a worker's group: the first message on a connection of a worker's agent.
    FindLeader {
        /// Process id of the agent.
        process: ProcessId,
        /// Data centre of the agent.
        data_centre: DataCentreId,
        /// Rack of the agent.
        rack: RackId,
    },
    /// Capacity of a group: the first message on a connection of its leader, repeated every second.
    Lead(GroupSummary),
    /// Acknowledges [`EntryMessage::SubmitJob`].
    JobAccepted {
        /// Id of the job.
        job: JobId,
    },
    /// Requests the start permit of the leader's data centre.
    AskPermit {
        /// Id of the data centre.
        data_centre: DataCentreId,
        /// Increases with each request; the answer repeats it. The permit is counted from the time of the request, so
        /// that a leader that was paused does not count it from when it reads the delayed answer from its socket.
        sequence: u64,
    },
    /// Confirms [`EntryMessage::Config`] and [`EntryMessage::DataCentreState`].
    Applied {
        /// Version of the active bundle.
        bundle: BundleVersion,
        /// Version of the data centre's state that the agent applied.
        service_version: u64,
    },
}

/// Messages from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryMessage {
    /// Introduces the entry: the first message on each connection.
    Hello {
        /// Incarnation of the entry.
        incarnation: Incarnation,
    },
    /// Starts an attempt of a request.
    Attempt(AttemptRequest),
    /// Cancels an attempt unless it has started; leaves a tombstone if the attempt has not arrived.
    Cancel {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Sequence number of the attempt on this connection.
        sequence: u64,
    },
    /// Drains the endpoint on request of operators: new attempts are refused, those in flight complete.
    Drain,
    /// Distributes a signed bundle.
    Config {
        /// Version of the bundle.
        version: BundleVersion,
        /// Signed bundle as JSON.
        signed: String,
    },
    /// Distributes the state of the agent's data centre.
    #[serde(rename = "service")]
    DataCentreState {
        /// State of the data centre.
        state: DataCentreState,
        /// Version of the state, which increases with each change.
        version: u64,
        /// Duration of the start permit in milliseconds; zero withdraws the permit.
        permit_ms: u64,
    },
    /// Answers [`AgentMessage::AskPermit`].
    Permit {
        /// Sequence number of the request.
        sequence: u64,
        /// Version of the data centre's state.
        version: u64,
        /// Duration of the start permit in milliseconds, counted from the request; zero if starts are not permitted.
        permit_ms: u64,
    },
    /// Answers [`AgentMessage::FindLeader`] with the group and leader of the worker.
    Leader {
        /// Id of the group.
        group: GroupId,
        /// Number of workers of the group in the active bundle.
        group_workers: u32,
        /// Epoch and UDP address of the leader, if the group has one.
        leader: Option<(Epoch, std::net::SocketAddr)>,
    },
    /// Submits a job that was accepted for the leader's group; its row is durable.
    SubmitJob {
        /// Specification of the job.
        job: Box<JobSpec>,
    },
    /// Reports jobs of the leader's group that callers cancelled.
    CancelJobs {
        /// Ids of the cancelled jobs.
        jobs: Vec<JobId>,
    },
}

/// Messages from a member to its leader, by UDP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberMessage {
    /// Reports that the member is alive.
    Heartbeat {
        /// Id of the worker.
        worker: WorkerId,
        /// Incarnation of its agent.
        incarnation: Incarnation,
        /// Highest epoch that the member received.
        epoch: Epoch,
        /// Increases with each heartbeat; the answer repeats it.
        sequence: u64,
        /// Version of the active bundle of the member.
        bundle: BundleVersion,
    },
    /// Reports the member's worker and its running tasks; repeated until the leader acknowledges it for its epoch. The
    /// running tasks may need several datagrams; the leader acknowledges when it has received all parts.
    Join {
        /// Index of this part, from 0.
        part: u16,
        /// Number of parts.
        parts: u16,
        /// Specification of the worker.
        worker: WorkerSpec,
        /// Incarnation of its agent.
        incarnation: Incarnation,
        /// Epoch of the leader that the member follows.
        epoch: Epoch,
        /// Shares of gangs that run on the worker.
        running: Vec<RunningShare>,
    },
    /// Answers [`LeaderMessage::Reserve`].
    Reserved {
        /// Id of the worker.
        worker: WorkerId,
        /// Id of the gang.
        gang: GangId,
        /// Result of the reservation.
        result: ReserveResult,
    },
    /// Answers [`LeaderMessage::Start`]: all tasks of the share are running.
    Started {
        /// Id of the worker.
        worker: WorkerId,
        /// Id of the gang.
        gang: GangId,
    },
    /// Answers [`LeaderMessage::Release`]: the reservation ended and no task of the gang starts from it.
    Released {
        /// Id of the worker.
        worker: WorkerId,
        /// Id of the gang.
        gang: GangId,
    },
    /// Answers [`LeaderMessage::Start`] and [`LeaderMessage::Stop`]: no task of the gang runs on the worker.
    NotStarted {
        /// Id of the worker.
        worker: WorkerId,
        /// Id of the gang.
        gang: GangId,
        /// Whether it is guaranteed that no task of the gang ever ran on the worker; an agent that restarted has no
        /// record of this.
        never_ran: bool,
    },
    /// Reports the end of a task; repeated until [`LeaderMessage::EndNoted`].
    TaskEnded {
        /// Id of the worker.
        worker: WorkerId,
        /// Id of the gang.
        gang: GangId,
        /// Index of the task in the gang.
        task: u32,
        /// How the task ended.
        end: TaskEnd,
    },
    /// Reports that the tasks of a gang wrote a checkpoint.
    Checkpointed {
        /// Id of the worker.
        worker: WorkerId,
        /// Id of the gang.
        gang: GangId,
        /// Run time that the checkpoint preserves, in milliseconds.
        saved_ms: u64,
    },
    /// Reports the peak usage of the tasks of a gang, with a lag.
    Usage {
        /// Id of the gang.
        gang: GangId,
        /// Cores used by one task, in thousandths.
        cores_per_mille: u32,
        /// Memory used by one task, in mebibytes.
        memory_mb: u64,
    },
    /// Answers [`LeaderMessage::Probe`].
    Probed {
        /// Id of the worker.
        worker: WorkerId,
        /// Whether the probe succeeded.
        succeeded: bool,
    },
}

/// Datagram from a leader to a member. Its tag also covers the incarnation of the member to which it is addressed
/// ([`super::DatagramEncoder::encode_for`]), so that a restarted agent rejects datagrams for its earlier incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaderDatagram {
    /// Epoch of the leader.
    pub epoch: Epoch,
    /// Message to the member.
    pub message: LeaderMessage,
}

/// Messages from a leader to a member, by UDP. A member rejects a message if it has received a higher epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaderMessage {
    /// Answers [`MemberMessage::Heartbeat`]: renews the leases of the gangs on the worker, and the start permit.
    HeartbeatAck {
        /// Sequence number of the heartbeat.
        sequence: u64,
        /// Lease of the worker's gangs in milliseconds, counted from the sending of the heartbeat.
        lease_ms: u32,
        /// Start permit in milliseconds, counted in the same way; zero if starts are not permitted.
        permit_ms: u32,
        /// Gangs whose lease is not renewed, because a part of the gang is missing.
        withheld: Vec<GangId>,
    },
    /// Acknowledges [`MemberMessage::Join`].
    Joined,
    /// Requests a reservation of cells for tasks of a gang.
    Reserve {
        /// Id of the gang.
        gang: GangId,
        /// Specification of the gang's job.
        job: Box<JobSpec>,
        /// Cells to reserve.
        share: ShareRequest,
        /// Time after which the reservation expires, in milliseconds.
        hold_ms: u32,
    },
    /// Cancels a reservation.
    Release {
        /// Id of the gang.
        gang: GangId,
    },
    /// Starts the reserved tasks of a gang; the intent to start it is durable.
    Start {
        /// Id of the gang.
        gang: GangId,
        /// Run time preserved by the checkpoint from which the tasks resume, in milliseconds.
        saved_ms: u64,
        /// Sequence number of a heartbeat of the member, from whose sending the permit is counted.
        sequence: u64,
        /// Start permit in milliseconds; zero if starts are not permitted.
        permit_ms: u32,
    },
    /// Requests a checkpoint of a gang's tasks, which continue to run.
    Checkpoint {
        /// Id of the gang.
        gang: GangId,
    },
    /// Stops the tasks of a gang.
    Stop {
        /// Id of the gang.
        gang: GangId,
    },
    /// Ends all tasks on the worker and makes it refuse new ones until the agent joins again.
    Fence,
    /// Requests a probe of the worker.
    Probe,
    /// Acknowledges [`MemberMessage::TaskEnded`].
    EndNoted {
        /// Id of the gang.
        gang: GangId,
        /// Index of the task in the gang.
        task: u32,
    },
}

impl MessageKind for AgentMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Announce(_) => "agent_announce",
            Self::Drain => "agent_drain",
            Self::NotRun { .. } => "agent_not_run",
            Self::Answer { .. } => "agent_answer",
            Self::Failed { .. } => "agent_failed",
            Self::Tombstoned { .. } => "agent_tombstoned",
            Self::AlreadyStarted { .. } => "agent_already_started",
            Self::FindLeader { .. } => "agent_find_leader",
            Self::Lead(_) => "agent_lead",
            Self::JobAccepted { .. } => "agent_job_accepted",
            Self::AskPermit { .. } => "agent_ask_permit",
            Self::Applied { .. } => "agent_applied",
        }
    }
}

impl MessageKind for EntryMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "entry_hello",
            Self::Attempt(_) => "entry_attempt",
            Self::Cancel { .. } => "entry_cancel",
            Self::Drain => "entry_drain",
            Self::Config { .. } => "entry_config",
            Self::DataCentreState { .. } => "entry_data_centre_state",
            Self::Permit { .. } => "entry_permit",
            Self::Leader { .. } => "entry_leader",
            Self::SubmitJob { .. } => "entry_submit_job",
            Self::CancelJobs { .. } => "entry_cancel_jobs",
        }
    }
}
