//! Accepts connections of hosts and of other coordinators.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};

use super::event::{Event, EventSender};
use super::message::{AcceptorMessage, DialerMessage, HostMessage, PeerMessage};
use super::peers::PeerSender;
use crate::process::{self, BindSnafu};
use crate::wire::{Link, LinkSettings};

/// Binds the address and accepts connections in a background task until the process ends.
///
/// # Errors
///
/// [`process::Error::Bind`] if the address cannot be bound.
pub async fn spawn(
    address: SocketAddr,
    links: LinkSettings,
    events: EventSender,
) -> process::Result<()> {
    let listener = TcpListener::bind(address).await.context(BindSnafu { address })?;
    tokio::spawn(accept(listener, links, events));
    Ok(())
}

async fn accept(listener: TcpListener, links: LinkSettings, events: EventSender) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(serve(stream, address, links.clone(), events.clone()));
            }
            Err(error) => {
                log::warn!("connection could not be accepted; retried in 50 ms: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, address: SocketAddr, links: LinkSettings, events: EventSender) {
    static CONNECTIONS: AtomicU64 = AtomicU64::new(0);
    let connection = CONNECTIONS.fetch_add(1, Ordering::Relaxed);
    let mut link: Link<AcceptorMessage, DialerMessage> = match Link::accept(stream, &links).await {
        Ok(link) => link,
        Err(error) => {
            log::warn!(
                address = address.to_string();
                "handshake of an accepted connection failed; connection closed: {error}"
            );
            return;
        }
    };
    let mut is_host = false;
    let mut peer = None;
    loop {
        let event = match link.receiver.receive().await {
            Ok(Some(DialerMessage::Peer(message))) => {
                if let PeerMessage::Gossip(gossip) = &message {
                    peer = Some(gossip.process.clone());
                }
                Event::Peer { sender: PeerSender::Accepted(link.sender.clone()), message }
            }
            Ok(Some(DialerMessage::Host(HostMessage::Hello { worker }))) => {
                is_host = true;
                Event::HostConnected { connection, worker, sender: link.sender.clone() }
            }
            Ok(Some(DialerMessage::Host(message))) => Event::Host { connection, message },
            Ok(None) => break,
            Err(error) => {
                log::info!(address = address.to_string(); "accepted connection was lost: {error}");
                break;
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
    // The actor only ends with the process.
    if is_host {
        let _ = events.send(Event::HostLost { connection }).await;
    }
    if let Some(process) = peer {
        let _ = events.send(Event::PeerConnectionClosed(process)).await;
    }
}
