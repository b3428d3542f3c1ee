//! Accepts the connections of agents, and passes their messages to the actors that handle them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use xtra::Address;

use super::groups::{self, Groups};
use super::requests::{
    EndpointConnected, EndpointDisconnected, Event, FromEndpoint, OpenInbox, Requests,
};
use crate::prelude::*;
use crate::process::InboxSender;
use crate::process::intake::{InnerConnection, InnerConnections, Reason};
use crate::request::ConnectionId;
use crate::store::Table;
use crate::wire::{
    AgentMessage, EndpointSpec, EntryMessage, Link, LinkError, LinkReceiver, LinkSender,
    LinkSettings,
};

/// The delay before the next accept after one failed, usually because the process has too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The actors that receive the messages of agents.
#[derive(Debug)]
pub struct Actors<T>
where
    T: Table + Clone,
{
    /// Actor that routes requests.
    pub requests: Address<Requests<T>>,
    /// Actor that keeps the groups and their leaders.
    pub groups: Address<Groups>,
    /// Channel to the actor that distributes the configuration.
    pub config: mpsc::Sender<ConfigEvent>,
}

impl<T> Clone for Actors<T>
where
    T: Table + Clone,
{
    fn clone(&self) -> Self {
        let (requests, groups) = (self.requests.clone(), self.groups.clone());
        Self { requests, groups, config: self.config.clone() }
    }
}

/// Events of a connection that the distribution of the configuration handles.
#[derive(Debug)]
pub enum ConfigEvent {
    /// An agent connected and sent its first message.
    Connected {
        /// The connection.
        connection: ConnectionId,
        /// Data centre of the agent, or `None` if the first message does not name it, as with a leader.
        data_centre: Option<DataCentreId>,
        /// Sending side of the connection.
        sender: LinkSender<EntryMessage>,
    },
    /// A leader asked for a start permit.
    AskPermit {
        /// The connection.
        connection: ConnectionId,
        /// Data centre of the leader.
        data_centre: DataCentreId,
        /// Sequence number of the question, which the answer repeats.
        sequence: u64,
    },
    /// An agent confirmed the configuration that it has applied.
    Applied {
        /// The connection.
        connection: ConnectionId,
        /// Version of the applied bundle.
        bundle: BundleVersion,
        /// Row version of the applied state of the data centre.
        service_version: u64,
    },
    /// A connection ended.
    Disconnected {
        /// The connection.
        connection: ConnectionId,
    },
}

/// Accepts connections of agents within the bounds of the process until the actors stop.
pub async fn serve<T>(
    listener: TcpListener,
    settings: LinkSettings,
    incarnation: Incarnation,
    actors: Actors<T>,
    connections: InnerConnections,
) where
    T: Table + Clone,
{
    let last_connection = AtomicU64::new(0);
    while actors.requests.is_connected() {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(
                    "connection of an agent could not be accepted; retrying in {} ms: {error}",
                    ACCEPT_RETRY_DELAY.as_millis()
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let connection = ConnectionId(last_connection.fetch_add(1, Ordering::Relaxed) + 1);
        let (settings, actors) = (settings.clone(), actors.clone());
        if let Some(bounded) = connections.open(connection.0) {
            tokio::spawn(async move {
                serve_agent(connection, stream, &settings, incarnation, &actors, &bounded).await;
            });
        }
        // A connection that was closed in favour of this one releases its descriptor first.
        tokio::task::yield_now().await;
    }
}

async fn serve_agent<T>(
    connection: ConnectionId,
    stream: TcpStream,
    settings: &LinkSettings,
    incarnation: Incarnation,
    actors: &Actors<T>,
    bounded: &InnerConnection,
) where
    T: Table + Clone,
{
    let opened = tokio::select! {
        biased;
        () = bounded.closing() => return,
        opened = open_link(stream, settings, incarnation) => opened,
    };
    let result = match opened {
        Ok((link, first)) => {
            bounded.identify();
            handle(connection, link, first, actors).await
        }
        Err(error) => {
            bounded.record(Reason::Handshake);
            log::debug!(connection = connection.0; "connection of an agent failed: {error}");
            return;
        }
    };
    if let Err(error) = result {
        if matches!(error, LinkError::Overloaded) {
            bounded.record(Reason::FrameBytes);
        }
        log::info!(connection = connection.0; "connection of an agent ended: {error}");
    }
}

type AgentLink = Link<EntryMessage, AgentMessage>;

async fn open_link(
    stream: TcpStream,
    settings: &LinkSettings,
    incarnation: Incarnation,
) -> Result<(AgentLink, AgentMessage), LinkError> {
    let mut link = AgentLink::accept(stream, settings).await?;
    link.sender.send(EntryMessage::Hello { incarnation }).await?;
    let first =
        tokio::time::timeout(Duration::from_millis(settings.idle_ms), link.receiver.receive());
    let first = first.await.map_err(|_| LinkError::Idle { idle_ms: settings.idle_ms })??;
    Ok((link, first.ok_or(LinkError::Closed)?))
}

async fn handle<T>(
    connection: ConnectionId,
    link: AgentLink,
    first: AgentMessage,
    actors: &Actors<T>,
) -> Result<(), LinkError>
where
    T: Table + Clone,
{
    let data_centre = match &first {
        AgentMessage::Announce(endpoint) => Some(endpoint.data_centre.clone()),
        AgentMessage::FindLeader { data_centre, .. } => Some(data_centre.clone()),
        _ => None,
    };
    let sender = link.sender.clone();
    let event = ConfigEvent::Connected { connection, data_centre, sender };
    let _ = actors.config.send(event).await;
    let result = match first {
        AgentMessage::Announce(endpoint) => {
            handle_endpoint(connection, link, endpoint, actors).await
        }
        first => handle_worker(connection, link, first, actors).await,
    };
    let _ = actors.config.send(ConfigEvent::Disconnected { connection }).await;
    result
}

async fn handle_endpoint<T>(
    connection: ConnectionId,
    link: AgentLink,
    endpoint: EndpointSpec,
    actors: &Actors<T>,
) -> Result<(), LinkError>
where
    T: Table + Clone,
{
    let (close, mut closed) = oneshot::channel();
    let connected = EndpointConnected { connection, sender: link.sender, close, endpoint };
    let stopping = |_| LinkError::Closed;
    let inbox = actors.requests.send(OpenInbox).await.map_err(stopping)?;
    inbox.send(Event::Connected(connected)).await.map_err(|_| LinkError::Closed)?;
    let result = tokio::select! {
        result = receive_endpoint(connection, link.receiver, actors, &inbox) => result,
        _ = &mut closed => Err(LinkError::Closed),
    };
    let disconnected = EndpointDisconnected { connection };
    inbox.send(Event::Disconnected(disconnected)).await.map_err(|_| LinkError::Closed)?;
    result
}

async fn receive_endpoint<T>(
    connection: ConnectionId,
    mut receiver: LinkReceiver<AgentMessage>,
    actors: &Actors<T>,
    inbox: &InboxSender<Event>,
) -> Result<(), LinkError>
where
    T: Table + Clone,
{
    while let Some(message) = receiver.receive().await? {
        if let AgentMessage::Applied { bundle, service_version } = message {
            let event = ConfigEvent::Applied { connection, bundle, service_version };
            let _ = actors.config.send(event).await;
            continue;
        }
        let from = FromEndpoint { connection, message };
        let held = receiver.hold_message().await;
        inbox.send_held(Event::Received(from), held).await.map_err(|_| LinkError::Closed)?;
    }
    Ok(())
}

async fn handle_worker<T>(
    connection: ConnectionId,
    link: AgentLink,
    first: AgentMessage,
    actors: &Actors<T>,
) -> Result<(), LinkError>
where
    T: Table + Clone,
{
    let Link { sender, receiver } = link;
    let stopping = |_| LinkError::Closed;
    let connected = groups::Connected { connection, sender };
    actors.groups.send(connected).await.map_err(stopping)?;
    let result = receive_worker(connection, receiver, first, actors).await;
    let disconnected = groups::Disconnected { connection };
    actors.groups.send(disconnected).await.map_err(stopping)?;
    result
}

async fn receive_worker<T>(
    connection: ConnectionId,
    mut receiver: LinkReceiver<AgentMessage>,
    first: AgentMessage,
    actors: &Actors<T>,
) -> Result<(), LinkError>
where
    T: Table + Clone,
{
    let mut next = Some(first);
    while let Some(message) = next {
        let event = match message {
            AgentMessage::Applied { bundle, service_version } => {
                Some(ConfigEvent::Applied { connection, bundle, service_version })
            }
            AgentMessage::AskPermit { data_centre, sequence } => {
                Some(ConfigEvent::AskPermit { connection, data_centre, sequence })
            }
            message => {
                let from = groups::FromAgent { connection, message };
                let _held = receiver.hold_message().await;
                actors.groups.send(from).await.map_err(|_| LinkError::Closed)?;
                None
            }
        };
        if let Some(event) = event {
            let _ = actors.config.send(event).await;
        }
        next = receiver.receive().await?;
    }
    Ok(())
}
