//! Finds the leader among the coordinators and keeps a connection to it.
//!
//! The addresses come from the settings and from the leader, which sends them again when they change. Coordinators may
//! all be replaced while a host is disconnected, so a host that finds no leader reads the registered addresses from the
//! store (docs/incidents/2026-12-05-replaced-coordinators.md).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::event::{Event, EventSender};
use super::register_reads::RegisterReads;
use crate::coordinator::list_registered;
use crate::coordinator::message::{AcceptorMessage, DialerMessage, HostMessage, LeaderMessage};
use crate::prelude::*;
use crate::store::RowStore;
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

    /// Replaces the addresses of the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.with_state(|state| state.seeds = seeds);
    }

    /// Replaces the addresses of coordinators by those that the leader sent or that are registered in the store.
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
pub async fn keep_connected<S>(
    worker: WorkerId,
    addresses: LeaderAddresses,
    links: LinkSettings,
    store: S,
    events: EventSender,
) where
    S: RowStore,
{
    let mut reads = RegisterReads::new(&worker, Instant::now());
    loop {
        if let Some(address) = addresses.next()
            && let Some(link) = connect_with_timeout(address, &links, CONNECT_TIMEOUT).await
            && serve(&worker, address, link, &addresses, &events).await
        {
            reads.record_leader(Instant::now());
        }
        if events.is_closed() {
            return;
        }
        if reads.is_due(Instant::now()) {
            read_register(&store, &addresses).await;
            reads.record_read(Instant::now());
        }
        tokio::time::sleep(ATTEMPT_PAUSE).await;
    }
}

/// Replaces the addresses of coordinators by the registered ones.
async fn read_register<S>(store: &S, addresses: &LeaderAddresses)
where
    S: RowStore,
{
    match list_registered(store).await {
        Ok(registered) => {
            log::info!(
                coordinators = registered.coordinators.len(),
                leader = registered.leader.map(|address| address.to_string()).unwrap_or_default();
                "no leader was found; addresses of coordinators read from the store"
            );
            if !registered.coordinators.is_empty() {
                addresses.set_coordinators(registered.coordinators);
            }
            if let Some(leader) = registered.leader {
                addresses.set_leader_hint(leader);
            }
        }
        Err(error) => {
            log::warn!(
                "no leader was found, and the addresses of coordinators could not be read: {error}"
            );
        }
    }
}

/// Serves a connection until it is lost. Returns whether the coordinator was the leader.
async fn serve(
    worker: &WorkerId,
    address: SocketAddr,
    mut link: Link<DialerMessage, AcceptorMessage>,
    addresses: &LeaderAddresses,
    events: &EventSender,
) -> bool {
    let hello = DialerMessage::Host(HostMessage::Hello { worker: worker.clone() });
    if link.sender.send(hello).await.is_err() {
        return false;
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
                addresses.set_coordinators(coordinators);
                if !is_welcome {
                    let event = Event::Connected { epoch, sender: link.sender.clone() };
                    let _ = events.send(event).await;
                }
                is_welcome = true;
            }
            message => {
                let held = link.receiver.hold_message().await;
                let _ = events.send_held(Event::Leader(message), held).await;
            }
        }
        if events.is_closed() {
            break;
        }
    }
    if is_welcome {
        let _ = events.send(Event::Disconnected).await;
    }
    is_welcome
}
