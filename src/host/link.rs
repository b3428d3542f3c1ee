//! The connection to the leader, found among the coordinators.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use super::event::{Event, EventSender};
use crate::coordinator::message::{AcceptorMessage, DialerMessage, HostMessage, LeaderMessage};
use crate::prelude::*;
use crate::wire::{Link, LinkSettings, connect_with_timeout};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause between two attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(150);
/// The most addresses that are kept.
const MAX_ADDRESSES: usize = 64;

/// Where the leader may be. Clones share their state.
#[derive(Clone, Debug)]
pub struct LeaderAddresses {
    known: Arc<Mutex<Known>>,
    leave: Arc<Notify>,
}

#[derive(Debug)]
struct Known {
    seeds: Vec<SocketAddr>,
    others: Vec<SocketAddr>,
    hint: Option<SocketAddr>,
    next: usize,
}

impl LeaderAddresses {
    /// Begins with the addresses of the settings.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let known = Known { seeds, others: Vec::new(), hint: None, next: 0 };
        Self { known: Arc::new(Mutex::new(known)), leave: Arc::default() }
    }

    fn with<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut Known) -> T,
    {
        work(&mut self.known.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Names the coordinators that the leader knows.
    pub fn set_others(&self, mut addresses: Vec<SocketAddr>) {
        addresses.truncate(MAX_ADDRESSES);
        self.with(|known| known.others = addresses);
    }

    /// Names the leader.
    pub fn set_hint(&self, address: SocketAddr) {
        self.with(|known| known.hint = Some(address));
    }

    /// Closes the present connection, so that another coordinator is tried.
    pub fn leave(&self) {
        self.leave.notify_waiters();
    }

    /// Returns the address to try next: what was said to be the leader, then all in turn.
    fn next(&self) -> Option<SocketAddr> {
        self.with(|known| {
            if let Some(hint) = known.hint.take() {
                return Some(hint);
            }
            let mut all = known.others.clone();
            all.extend(known.seeds.iter().copied().filter(|seed| !known.others.contains(seed)));
            known.next = known.next.wrapping_add(1);
            (!all.is_empty()).then(|| all[known.next % all.len()])
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
            () = addresses.leave.notified() => break,
        };
        let message = match received {
            Ok(Some(AcceptorMessage::Host(message))) => message,
            Ok(Some(AcceptorMessage::Peer(_))) => {
                log::warn!(address = address.to_string(); "a coordinator sent a message for coordinators");
                break;
            }
            Ok(None) => break,
            Err(error) => {
                log::info!(address = address.to_string(); "lost a coordinator: {error}");
                break;
            }
        };
        match message {
            LeaderMessage::Redirect(leadership) => {
                if let Some(leadership) = leadership.filter(|known| known.address != address) {
                    addresses.set_hint(leadership.address);
                }
                break;
            }
            LeaderMessage::Welcome { epoch, coordinators } => {
                is_welcome = true;
                addresses.set_others(coordinators);
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
