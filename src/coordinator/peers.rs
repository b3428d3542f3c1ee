//! Connections to other coordinators.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::event::{Event, EventSender};
use super::message::{AcceptorMessage, DialerMessage, PeerMessage};
use crate::prelude::*;
use crate::wire::{Link, LinkSender, LinkSettings, connect_with_timeout};

/// The time limit for opening a connection to another coordinator.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause before the next attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);
/// The number of failed attempts in a row after which the pause is [`RARE_RECONNECT_PAUSE`], since the coordinator was
/// probably replaced.
const MAX_FREQUENT_ATTEMPTS: u32 = 60;
/// The pause between rare attempts. A partition may last longer than the frequent attempts, and then separates both
/// coordinators from each other.
const RARE_RECONNECT_PAUSE: Duration = Duration::from_secs(10);
/// The number of failed attempts in a row, about a day of rare ones, after which no more are made to an address. They
/// begin again once its coordinator connects to this one or registers again.
const MAX_FAILED_ATTEMPTS: u32 = 8_700;

/// The sender of messages to another coordinator.
#[derive(Clone, Debug)]
pub enum PeerSender {
    /// A connection that this coordinator opened.
    Dialed(LinkSender<DialerMessage>),
    /// A connection that the other coordinator opened.
    Accepted(LinkSender<AcceptorMessage>),
}

impl PeerSender {
    /// Queues a message. Returns false if the connection does not accept it: such a connection is about to close, and
    /// the message is dropped like the ones that are still in transit.
    pub fn send(&self, message: PeerMessage) -> bool {
        let result = match self {
            Self::Dialed(sender) => sender.try_send(DialerMessage::Peer(message)),
            Self::Accepted(sender) => sender.try_send(AcceptorMessage::Peer(message)),
        };
        if let Err(error) = &result {
            log::debug!("message to another coordinator was dropped: {error}");
        }
        result.is_ok()
    }
}

#[derive(Clone, Debug)]
struct ConnectedPeer {
    sender: PeerSender,
    store_age_ms: u64,
    /// A message may have been lost with one of the connections to the coordinator, or was not accepted by it.
    may_lack_messages: bool,
}

/// The connected coordinators. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct PeerSenders(Arc<Mutex<HashMap<ProcessId, ConnectedPeer>>>);

impl PeerSenders {
    fn with_peers<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut HashMap<ProcessId, ConnectedPeer>) -> T,
    {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records a connection to a coordinator and the age of the store's last answer to it. Returns true if there was no
    /// connection to that coordinator, or if it may lack messages.
    pub fn record(&self, peer: &ProcessId, sender: PeerSender, store_age_ms: u64) -> bool {
        let connected = ConnectedPeer { sender, store_age_ms, may_lack_messages: false };
        let previous = self.with_peers(|peers| peers.insert(peer.clone(), connected));
        previous.is_none_or(|previous| previous.may_lack_messages)
    }

    /// Records that one of the connections to a coordinator was closed. The messages that were in transit on it are lost,
    /// also if another connection replaces it at once.
    pub fn connection_closed(&self, peer: &ProcessId) {
        self.with_peers(|peers| {
            if let Some(peer) = peers.get_mut(peer) {
                peer.may_lack_messages = true;
            }
        });
    }

    /// Returns the lowest age of the store's last answer that a connected coordinator has reported, in milliseconds, or
    /// `u64::MAX` if none is connected.
    pub fn best_store_age_ms(&self) -> u64 {
        self.with_peers(|peers| {
            peers.values().map(|peer| peer.store_age_ms).min().unwrap_or(u64::MAX)
        })
    }

    /// Removes the connection to a coordinator.
    pub fn remove(&self, peer: &ProcessId) {
        self.with_peers(|peers| peers.remove(peer));
    }

    /// Sends a message to all connected coordinators.
    pub fn send_to_all(&self, message: &PeerMessage) {
        self.with_peers(|peers| {
            for peer in peers.values_mut() {
                peer.may_lack_messages |= !peer.sender.send(message.clone());
            }
        });
    }

    /// Sends a message to one coordinator, if it is connected.
    pub fn send_to(&self, peer: &ProcessId, message: PeerMessage) {
        let sender = self.with_peers(|peers| peers.get(peer).map(|peer| peer.sender.clone()));
        if let Some(sender) = sender {
            sender.send(message);
        }
    }

    /// Sends a message to the coordinator with the most recent answer of the store. Returns false if none is connected
    /// or the connection does not accept the message.
    pub fn send_to_best(&self, message: PeerMessage) -> bool {
        let best = self.with_peers(|peers| {
            let best = peers.values().min_by_key(|peer| peer.store_age_ms);
            best.map(|peer| peer.sender.clone())
        });
        best.is_some_and(|sender| sender.send(message))
    }
}

/// Keeps a connection to another coordinator open, until [`MAX_FAILED_ATTEMPTS`] attempts in a row have failed.
pub async fn keep_connected(address: SocketAddr, links: LinkSettings, events: EventSender) {
    let mut failures = 0;
    while failures < MAX_FAILED_ATTEMPTS {
        match connect_with_timeout(address, &links, CONNECT_TIMEOUT).await {
            Some(link) => {
                failures = 0;
                serve_dialed(address, link, &events).await;
            }
            None => failures += 1,
        }
        if failures == MAX_FREQUENT_ATTEMPTS {
            // The actor only ends with the process.
            let _ = events.send(Event::PeerUnreachable(address)).await;
        }
        let is_rare = failures >= MAX_FREQUENT_ATTEMPTS;
        tokio::time::sleep(if is_rare { RARE_RECONNECT_PAUSE } else { RECONNECT_PAUSE }).await;
    }
    let _ = events.send(Event::PeerForgotten(address)).await;
}

async fn serve_dialed(
    address: SocketAddr,
    mut link: Link<DialerMessage, AcceptorMessage>,
    events: &EventSender,
) {
    let sender = PeerSender::Dialed(link.sender.clone());
    let mut process = None;
    let _ = events.send(Event::PeerConnected { address, sender: sender.clone() }).await;
    loop {
        match link.receiver.receive().await {
            Ok(Some(AcceptorMessage::Peer(message))) => {
                if let PeerMessage::Gossip(gossip) = &message {
                    process = Some(gossip.process.clone());
                }
                let event = Event::Peer { sender: sender.clone(), message };
                let held = link.receiver.hold_message().await;
                let _ = events.send_held(event, held).await;
            }
            Ok(Some(AcceptorMessage::Host(_))) => {
                log::warn!(
                    address = address.to_string();
                    "coordinator sent a message meant for hosts; connection closed"
                );
                break;
            }
            Ok(None) => break,
            Err(error) => {
                log::info!(
                    address = address.to_string();
                    "connection to a coordinator was lost; reconnecting: {error}"
                );
                break;
            }
        }
    }
    let _ = events.send(Event::PeerLost(address)).await;
    if let Some(process) = process {
        let _ = events.send(Event::PeerConnectionClosed(process)).await;
    }
}
