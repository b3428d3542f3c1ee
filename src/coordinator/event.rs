//! The events that the actor of a coordinator handles.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use super::message::{AcceptorMessage, HostMessage, PeerMessage};
use super::peers::PeerSender;
use super::takeover::{Claim, Takeover, TakeoverError};
use crate::election::Leadership;
use crate::prelude::*;
use crate::process::InboxSender;
use crate::rules::Directives;
use crate::store::{RowChange, RowError};
use crate::wire::LinkSender;

/// The sending side of the actor's event queue.
pub type EventSender = InboxSender<Event>;

/// An event for the actor of a coordinator.
#[derive(Debug)]
pub enum Event {
    /// The interval of periodic work has passed at this steady time in milliseconds.
    Tick { sent_ms: u64 },
    /// The store lists this address for a coordinator.
    PeerAddress(SocketAddr),
    /// A connection to another coordinator is open.
    PeerConnected { address: SocketAddr, sender: PeerSender },
    /// Another coordinator sent a message.
    Peer { sender: PeerSender, message: PeerMessage },
    /// The connection to the coordinator at this address is lost.
    PeerLost(SocketAddr),
    /// A connection to this coordinator, which either side opened, is closed.
    PeerConnectionClosed(ProcessId),
    /// Many attempts in a row to connect to this address have failed; from now on they are rare.
    PeerUnreachable(SocketAddr),
    /// The limit of failed attempts in a row to connect to this address is reached; no more are made.
    PeerForgotten(SocketAddr),
    /// A host has connected and sent its `Hello`.
    HostConnected { connection: u64, worker: WorkerId, sender: LinkSender<AcceptorMessage> },
    /// A host sent a message.
    Host { connection: u64, message: HostMessage },
    /// The connection to a host is lost.
    HostLost { connection: u64 },
    /// Directives were read from the store.
    Directives(Directives),
    /// The directives were current when the store answered a call that was sent at this steady time in milliseconds.
    DirectivesConfirmed { requested_ms: u64 },
    /// The leadership row was read from the store.
    Leadership(Leadership),
    /// The newest leadership was that of the last [`Event::Leadership`] when the store answered a call that was sent at this
    /// steady time in milliseconds.
    LeadershipConfirmed { requested_ms: u64 },
    /// A claim of the leadership by this coordinator has succeeded or failed.
    Claimed(Result<Claim, TakeoverError>),
    /// The stored jobs were read after a successful claim.
    TakenOver(Box<Takeover>),
    /// The leader's transaction was applied, or was rejected and cannot be applied.
    Committed { epoch: Epoch, result: Result<u64, RowError> },
    /// A job or a cancellation of a client of this coordinator is durable.
    Stored(RowChange),
    /// The watch of stored jobs, started in this epoch, received changes.
    Jobs { epoch: Epoch, changes: Vec<RowChange> },
    /// The process is shutting down; the sender is used once the leadership is given up.
    End(oneshot::Sender<()>),
}
