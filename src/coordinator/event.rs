//! What happens around a coordinator.

use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};

use super::message::{AcceptorMessage, HostMessage, PeerMessage};
use super::peers::PeerSender;
use super::takeover::{Takeover, TakeoverError};
use crate::election::Leadership;
use crate::prelude::*;
use crate::rules::Directives;
use crate::store::{RowChange, RowError};
use crate::wire::LinkSender;

/// Where events for the actor go.
pub type EventSender = mpsc::Sender<Event>;

/// What happens around a coordinator.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Another coordinator may be at this address.
    PeerAddress(SocketAddr),
    /// A connection to another coordinator is open.
    PeerConnected { address: SocketAddr, sender: PeerSender },
    /// Another coordinator sent a message.
    Peer { sender: PeerSender, message: PeerMessage },
    /// A connection to another coordinator is lost.
    PeerLost(SocketAddr),
    /// Nothing was reached at this address for a long time.
    PeerGivenUp(SocketAddr),
    /// A host is connected.
    HostConnected { connection: u64, worker: WorkerId, sender: LinkSender<AcceptorMessage> },
    /// A host sent a message.
    Host { connection: u64, message: HostMessage },
    /// The connection to a host is lost.
    HostLost { connection: u64 },
    /// The store has directives.
    Directives(Directives),
    /// The store names the leader.
    Leadership(Leadership),
    /// An attempt to take over has ended.
    TakenOver(Box<Result<Takeover, TakeoverError>>),
    /// The leader's transaction is durable, or can never be.
    Committed { epoch: Epoch, result: Result<u64, RowError> },
    /// A job or a cancellation of a client of this coordinator is durable.
    Stored(RowChange),
    /// Stored jobs changed.
    Jobs { epoch: Epoch, changes: Vec<RowChange> },
    /// The process is ending.
    End(oneshot::Sender<()>),
}
