//! Accepts connections of hosts and of other coordinators.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};

use super::event::{Event, EventSender};
use super::message::{AcceptorMessage, DialerMessage, HostMessage, PeerMessage};
use super::peers::PeerSender;
use crate::process::intake::{InnerConnection, InnerConnections, Intake, Reason, bind_inner};
use crate::process::{self, BindSnafu};
use crate::wire::{Link, LinkError, LinkSettings};

/// Binds the address and accepts connections in a background task until the process ends, within the bounds of the
/// process.
///
/// # Errors
///
/// [`process::Error::Bind`] if the address cannot be bound.
pub fn spawn(
    address: SocketAddr,
    links: LinkSettings,
    events: EventSender,
    intake: Intake,
) -> process::Result<()> {
    let listener = bind_inner(address).context(BindSnafu { address })?;
    tokio::spawn(accept(listener, links, events, InnerConnections::new(intake)));
    Ok(())
}

async fn accept(
    listener: TcpListener,
    links: LinkSettings,
    events: EventSender,
    connections: InnerConnections,
) {
    let mut next_key = 0;
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                next_key += 1;
                let (links, events) = (links.clone(), events.clone());
                if let Some(connection) = connections.open(next_key) {
                    tokio::spawn(serve_bounded(stream, address, links, events, connection));
                }
                // A connection that was closed in favour of this one releases its descriptor first.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                log::warn!("connection could not be accepted; retried in 50 ms: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_bounded(
    stream: TcpStream,
    address: SocketAddr,
    links: LinkSettings,
    events: EventSender,
    connection: InnerConnection,
) {
    // Only a connection without a first message is closed, so there is nothing to report to the actor.
    tokio::select! {
        biased;
        () = connection.closing() => {}
        () = serve(stream, address, links, events, &connection) => {}
    }
}

async fn serve(
    stream: TcpStream,
    address: SocketAddr,
    links: LinkSettings,
    events: EventSender,
    bounded: &InnerConnection,
) {
    static CONNECTIONS: AtomicU64 = AtomicU64::new(0);
    let connection = CONNECTIONS.fetch_add(1, Ordering::Relaxed);
    let mut link: Link<AcceptorMessage, DialerMessage> = match Link::accept(stream, &links).await {
        Ok(link) => link,
        Err(error) => {
            // The report writes at most one line a second for all of them.
            bounded.record(Reason::Handshake);
            log::debug!(address = address.to_string(); "handshake failed: {error}");
            return;
        }
    };
    let mut is_host = false;
    let mut peer = None;
    loop {
        let received = link.receiver.receive().await;
        if let Ok(Some(_)) = &received {
            bounded.identify();
        }
        let event = match received {
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
                if matches!(error, LinkError::Overloaded) {
                    bounded.record(Reason::FrameBytes);
                }
                log::info!(address = address.to_string(); "accepted connection was lost: {error}");
                break;
            }
        };
        let held = link.receiver.hold_message().await;
        if events.send_held(event, held).await.is_err() {
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
