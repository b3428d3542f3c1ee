//! Messages between coordinators, and between coordinators and hosts, over [`crate::wire::Link`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::election::{Gossip, Leadership};
use crate::planner::{AttemptsReport, JobProgress, WorkerEvent, WorkerOrder};
use crate::prelude::*;
use crate::rules::Directives;
use crate::store::{RowChange, RowError, RowKey, StoredRow, Transaction};

/// From the side that opened a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DialerMessage {
    /// Of a host to the leader.
    Host(HostMessage),
    /// Of a coordinator to another.
    Peer(PeerMessage),
}

/// From the side that accepted a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AcceptorMessage {
    /// Of a coordinator to a host.
    Host(LeaderMessage),
    /// Of a coordinator to another.
    Peer(PeerMessage),
}

/// What a host tells the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HostMessage {
    /// The first message.
    Hello {
        /// The worker beside the host.
        worker: WorkerId,
    },
    /// Something happened at the worker.
    Worker(WorkerEvent),
    /// What runs on the worker.
    Runs {
        /// The host's clock when it asked for a longer lease.
        asked_ms: u64,
        /// The attempts.
        report: AttemptsReport,
    },
}

/// What the leader tells a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaderMessage {
    /// The coordinator leads.
    Welcome {
        /// The epoch, the fencing token of its orders.
        epoch: Epoch,
        /// Where all coordinators accept connections.
        coordinators: Vec<SocketAddr>,
    },
    /// Another coordinator leads.
    Redirect(Option<Leadership>),
    /// The host may keep its worker's lease for the usual time from this time on its own clock.
    Renewed {
        /// The host's clock when it asked.
        asked_ms: u64,
    },
    /// What the worker is to do.
    Order(WorkerOrder),
}

/// What coordinators tell each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// State of the sender, at intervals.
    Gossip(Gossip),
    /// Newer directives.
    Directives(Directives),
    /// How far jobs are, from the leader.
    Progress {
        /// The leader's epoch.
        epoch: Epoch,
        /// Replaces all that was said before.
        is_snapshot: bool,
        /// The jobs.
        jobs: Vec<JobUpdate>,
    },
    /// A job or a cancellation is durable; for the leader, which hears of it sooner this way than from the store.
    Stored(RowChange),
    /// Asks the receiver to call the store, which does not answer the sender.
    Relay {
        /// The number of the call.
        call: u64,
        /// What to do.
        request: StoreRequest,
    },
    /// The answer to such a call.
    Relayed {
        /// The number of the call.
        call: u64,
        /// The answer.
        answer: Result<StoreAnswer, RowError>,
    },
}

/// How far a job is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobUpdate {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: String,
    /// How far it is; `None` once it is forgotten.
    pub progress: Option<JobProgress>,
}

/// A call of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Read a row.
    Read(RowKey),
    /// Apply a transaction.
    Transact(Transaction),
}

/// An answer of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// The row, if there is one.
    Row(Option<StoredRow>),
    /// The version of the transaction.
    Version(u64),
}
