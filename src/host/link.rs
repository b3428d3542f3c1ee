//! Finds the leader among the coordinators and keeps a connection to it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use super::event::{Event, EventSender};
use crate::coordinator::message::{AcceptorMessage, DialerMessage, HostMessage, LeaderMessage};
use crate::prelude::*;
use crate::wire::{Link, LinkSettings, connect_with_timeout};

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause between two attempts to connect.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(150);
/// The maximum number of addresses that are accepted from a leader.
const MAX_ADDRESSES: usize = 64;

/// The addresses at which the leader may be reached. Clones share their state.
#[derive(Clone, Debug)]
pub struct LeaderAddresses {
    state: Arc<Mutex<AddressState>>,
    disconnect_request: Arc<Notify>,
}

#[derive(Debug)]
struct AddressState {
    seeds: Vec<SocketAddr>,
    /// The addresses of coordinators that the last leader sent.
    coordinators: Vec<SocketAddr>,
    /// The address of the leader from a redirect; tried once, before all others.
    leader_hint: Option<SocketAddr>,
    next_index: usize,
}

impl LeaderAddresses {
    /// Creates the list with the addresses of the settings.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let state =
            AddressState { seeds, coordinators: Vec::new(), leader_hint: None, next_index: 0 };
        Self { state: Arc::new(Mutex::new(state)), disconnect_request: Arc::default() }
    }

    fn with_state<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut AddressState) -> T,
    {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the addresses of coordinators by those that the leader sent.
    pub fn set_coordinators(&self, mut addresses: Vec<SocketAddr>) {
        addresses.truncate(MAX_ADDRESSES);
        self.with_state(|state| state.coordinators = addresses);
    }

    /// Sets the address that is tried next, from a coordinator's redirect to the leader.
    pub fn set_leader_hint(&self, address: SocketAddr) {
        self.with_state(|state| state.leader_hint = Some(address));
    }

    /// Closes the current connection, so that the next address is tried.
    pub fn disconnect(&self) {
        self.disconnect_request.notify_waiters();
    }

    /// Returns the address to try next: the leader's from a redirect, otherwise all addresses in turn.
    fn next(&self) -> Option<SocketAddr> {
        self.with_state(|state| {
            if let Some(hint) = state.leader_hint.take() {
                return Some(hint);
            }
            let mut all = state.coordinators.clone();
            all.extend(
                state.seeds.iter().copied().filter(|seed| !state.coordinators.contains(seed)),
            );
            state.next_index = state.next_index.wrapping_add(1);
            (!all.is_empty()).then(|| all[state.next_index % all.len()])
        })
    }
}

/// Keeps a connection to the leader open until the process ends.
pub async fn keep_connected(
    worker: WorkerId,
    addresses: LeaderAddresses,
    links: LinkSettings,
    events: EventSender,
) {
    loop {
        if let Some(address) = addresses.next()
            && let Some(link) = connect_with_timeout(address, &links, CONNECT_TIMEOUT).await
        {
            serve(&worker, address, link, &addresses, &events).await;
        }
        if events.is_closed() {
            return;
        }
        tokio::time::sleep(ATTEMPT_PAUSE).await;
    }
}

async fn serve(
    worker: &WorkerId,
    address: SocketAddr,
    mut link: Link<DialerMessage, AcceptorMessage>,
    addresses: &LeaderAddresses,
    events: &EventSender,
) {
    let hello = DialerMessage::Host(HostMessage::Hello { worker: worker.clone() });
    if link.sender.send(hello).await.is_err() {
        return;
    }
    let mut is_welcome = false;
    loop {
        let received = tokio::select! {
            received = link.receiver.receive() => received,
            () = addresses.disconnect_request.notified() => break,
        };
        let message = match received {
            Ok(Some(AcceptorMessage::Host(message))) => message,
            Ok(Some(AcceptorMessage::Peer(_))) => {
                log::warn!(
                    address = address.to_string();
                    "coordinator sent a message meant for coordinators; connection closed"
                );
                break;
            }
            Ok(None) => break,
            Err(error) => {
                log::info!(
                    address = address.to_string();
                    "connection to a coordinator was lost; trying the next address: {error}"
                );
                break;
            }
        };
        match message {
            LeaderMessage::Redirect(leadership) => {
                if let Some(leadership) = leadership.filter(|known| known.address != address) {
                    addresses.set_leader_hint(leadership.address);
                }
                break;
            }
            LeaderMessage::Welcome { epoch, coordinators } => {
                is_welcome = true;
                addresses.set_coordinators(coordinators);
                let event = Event::Connected { epoch, sender: link.sender.clone() };
                let _ = events.send(event).await;
            }
            message => {
                let _ = events.send(Event::Leader(message)).await;
            }
        }
        if events.is_closed() {
            return;
        }
    }
    if is_welcome {
        let _ = events.send(Event::Disconnected).await;
    }
}
