//! Connections to other coordinators.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::event::{Event, EventSender};
use super::message::{AcceptorMessage, DialerMessage, PeerMessage};
use crate::prelude::*;
use crate::wire::{Link, LinkSender, LinkSettings, connect_with_timeout};

/// How long a connection to another coordinator may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause before a connection is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);
/// The number of failed attempts in a row after which an address is given up. It is tried again if it calls here.
const GIVE_UP_ATTEMPTS: u32 = 60;

/// Where messages to another coordinator go.
#[derive(Clone, Debug)]
pub enum PeerSender {
    /// A connection that this coordinator opened.
    Dialed(LinkSender<DialerMessage>),
    /// A connection that the other opened.
    Accepted(LinkSender<AcceptorMessage>),
}

impl PeerSender {
    /// Queues a message. A connection that takes nothing more is about to end, so a message that it does not take is
    /// lost like one that was on its way.
    pub fn send(&self, message: PeerMessage) -> bool {
        let result = match self {
            Self::Dialed(sender) => sender.try_send(DialerMessage::Peer(message)),
            Self::Accepted(sender) => sender.try_send(AcceptorMessage::Peer(message)),
        };
        if let Err(error) = &result {
            log::debug!("a message to another coordinator was dropped: {error}");
        }
        result.is_ok()
    }
}

#[derive(Clone, Debug)]
struct Connected {
    sender: PeerSender,
    store_age_ms: u64,
}

/// The connected coordinators. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct PeerSenders(Arc<Mutex<HashMap<ProcessId, Connected>>>);

impl PeerSenders {
    fn with<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut HashMap<ProcessId, Connected>) -> T,
    {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Notes a connection and how long ago the store answered the coordinator at its other end. Returns true if there was
    /// no connection to it.
    pub fn note(&self, peer: &ProcessId, sender: PeerSender, store_age_ms: u64) -> bool {
        self.with(|peers| peers.insert(peer.clone(), Connected { sender, store_age_ms })).is_none()
    }

    /// Returns how long ago the store answered any connected coordinator, as they last said.
    pub fn best_store_age_ms(&self) -> u64 {
        self.with(|peers| peers.values().map(|peer| peer.store_age_ms).min().unwrap_or(u64::MAX))
    }

    /// Forgets a coordinator.
    pub fn remove(&self, peer: &ProcessId) {
        self.with(|peers| peers.remove(peer));
    }

    /// Sends to all.
    pub fn send_to_all(&self, message: &PeerMessage) {
        let senders: Vec<PeerSender> =
            self.with(|peers| peers.values().map(|peer| peer.sender.clone()).collect());
        for sender in senders {
            sender.send(message.clone());
        }
    }

    /// Sends to one coordinator, if it is connected.
    pub fn send_to(&self, peer: &ProcessId, message: PeerMessage) {
        let sender = self.with(|peers| peers.get(peer).map(|peer| peer.sender.clone()));
        if let Some(sender) = sender {
            sender.send(message);
        }
    }

    /// Sends to the coordinator that the store answered last. Returns false if there is none.
    pub fn send_to_best(&self, message: PeerMessage) -> bool {
        let best = self.with(|peers| {
            let best = peers.values().min_by_key(|peer| peer.store_age_ms);
            best.map(|peer| peer.sender.clone())
        });
        best.is_some_and(|sender| sender.send(message))
    }
}

/// Keeps a connection to another coordinator open, until its address is given up.
pub async fn keep_connected(address: SocketAddr, links: LinkSettings, events: EventSender) {
    let mut failures = 0;
    while failures < GIVE_UP_ATTEMPTS {
        match connect_with_timeout(address, &links, CONNECT_TIMEOUT).await {
            Some(link) => {
                failures = 0;
                serve_dialed(address, link, &events).await;
            }
            None => failures += 1,
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
    // The actor only ends with the process.
    let _ = events.send(Event::PeerGivenUp(address)).await;
}

async fn serve_dialed(
    address: SocketAddr,
    mut link: Link<DialerMessage, AcceptorMessage>,
    events: &EventSender,
) {
    let sender = PeerSender::Dialed(link.sender.clone());
    let _ = events.send(Event::PeerConnected { address, sender: sender.clone() }).await;
    loop {
        match link.receiver.receive().await {
            Ok(Some(AcceptorMessage::Peer(message))) => {
                let event = Event::Peer { sender: sender.clone(), message };
                let _ = events.send(event).await;
            }
            Ok(Some(AcceptorMessage::Host(_))) => {
                log::warn!(address = address.to_string(); "a coordinator sent a message for hosts");
                break;
            }
            Ok(None) => break,
            Err(error) => {
                log::info!(address = address.to_string(); "lost a coordinator: {error}");
                break;
            }
        }
    }
    let _ = events.send(Event::PeerLost(address)).await;
}
