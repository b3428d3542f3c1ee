//! Messages between coordinators, and between coordinators and hosts, over [`crate::wire::Link`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::admission::LoadSummary;
use crate::election::{Gossip, Leadership};
use crate::planner::{AttemptsReport, JobProgress, SpeedReport, WorkerEvent, WorkerOrder};
use crate::prelude::*;
use crate::rules::Directives;
use crate::store::{RowChange, RowError, RowKey, StoredRow, Transaction};
use crate::wire::MessageKind;

/// A message from the side that opened a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DialerMessage {
    /// A message of a host to the leader.
    Host(HostMessage),
    /// A message of a coordinator to another.
    Peer(PeerMessage),
}

/// A message from the side that accepted a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AcceptorMessage {
    /// A message of a coordinator to a host.
    Host(LeaderMessage),
    /// A message of a coordinator to another.
    Peer(PeerMessage),
}

/// A message of a host to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HostMessage {
    /// The first message of a connection.
    Hello {
        /// The worker that the host serves.
        worker: WorkerId,
    },
    /// An event of the worker.
    Worker(WorkerEvent),
    /// The running and ended attempts of the worker; also the request to renew its lease.
    Runs {
        /// The time of the request on the host's clock, in milliseconds.
        asked_ms: u64,
        /// The attempts of the worker.
        report: AttemptsReport,
    },
}

/// A message of the leader, or of a coordinator that does not lead, to a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaderMessage {
    /// The answer to `Hello` of a coordinator that leads; sent again when the addresses of coordinators change.
    Welcome {
        /// The epoch of the leader, which is the fencing token of its orders.
        epoch: Epoch,
        /// The addresses at which coordinators accept connections.
        coordinators: Vec<SocketAddr>,
    },
    /// The coordinator does not lead; the newest leadership that it has observed.
    Redirect(Option<Leadership>),
    /// The worker's lease is renewed for its usual duration, counted from `asked_ms` on the host's clock.
    Renewed {
        /// The time of the host's request on the host's clock, in milliseconds.
        asked_ms: u64,
    },
    /// An order for the worker.
    Order(WorkerOrder),
}

/// A message of a coordinator to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The state of the sender, sent at intervals.
    Gossip(Gossip),
    /// Directives that are newer than those of the receiver.
    Directives(Directives),
    /// The progress of jobs, sent by the leader.
    Progress {
        /// The leader's epoch.
        epoch: Epoch,
        /// Whether the message replaces all earlier reports of progress.
        is_snapshot: bool,
        /// The progress of each reported job.
        jobs: Vec<JobUpdate>,
    },
    /// A job or a cancellation that the sender made durable. The leader receives it sooner this way than from its watch
    /// of the store.
    Stored(RowChange),
    /// A request to call the store on behalf of the sender, whose own calls the store does not answer.
    Relay {
        /// The number of the call, unique at the coordinator that requests it.
        call: u64,
        /// The call of the store.
        request: StoreRequest,
    },
    /// The answer to a [`PeerMessage::Relay`].
    Relayed {
        /// The number of the call, unique at the coordinator that requests it.
        call: u64,
        /// The answer of the store, or the reason for which there is none.
        answer: Result<StoreAnswer, RowError>,
    },
    /// A request for the receiver's directives, which are newer than those of the sender according to its gossip.
    RequestDirectives,
    /// The load of the deployment, sent by the leader.
    Load {
        /// The leader's epoch.
        epoch: Epoch,
        /// The load.
        load: LoadSummary,
    },
    /// Estimates of the speeds of workers, sent by the leader where placement uses them.
    Speeds {
        /// The leader's epoch.
        epoch: Epoch,
        /// The estimates that are new or have changed.
        speeds: Vec<SpeedReport>,
    },
}

/// The progress of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobUpdate {
    /// The identifier of the job.
    pub job: JobId,
    /// The queue of the job.
    pub queue: String,
    /// The progress of the job; `None` once its rows are removed.
    pub progress: Option<JobProgress>,
}

/// A call of the store that one coordinator makes on behalf of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Reads a row.
    Read(RowKey),
    /// Applies a transaction.
    Transact(Transaction),
}

/// The answer of the store to a [`StoreRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// The row that was read, if it exists.
    Row(Option<StoredRow>),
    /// The version at which the transaction was applied.
    Version(u64),
}

impl MessageKind for HostMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "host_hello",
            Self::Worker(_) => "host_worker",
            Self::Runs { .. } => "host_runs",
        }
    }
}

impl MessageKind for LeaderMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Welcome { .. } => "leader_welcome",
            Self::Redirect(_) => "leader_redirect",
            Self::Renewed { .. } => "leader_renewed",
            Self::Order(_) => "leader_order",
        }
    }
}

impl MessageKind for PeerMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Gossip(_) => "peer_gossip",
            Self::Directives(_) => "peer_directives",
            Self::Progress { .. } => "peer_progress",
            Self::Stored(_) => "peer_stored",
            Self::Relay { .. } => "peer_relay",
            Self::Relayed { .. } => "peer_relayed",
            Self::RequestDirectives => "peer_request_directives",
            Self::Load { .. } => "peer_load",
            Self::Speeds { .. } => "peer_speeds",
        }
    }
}

impl MessageKind for DialerMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Host(message) => message.kind(),
            Self::Peer(message) => message.kind(),
        }
    }
}

impl MessageKind for AcceptorMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Host(message) => message.kind(),
            Self::Peer(message) => message.kind(),
        }
    }
}
