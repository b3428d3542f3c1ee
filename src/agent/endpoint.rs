//! The actor around [`EndpointAgent`], and the connections to the entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::RngExt;
use reqwest::Url;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use xtra::WeakAddress;
use xtra::prelude::*;

use super::forward;
use crate::endpoint::{AgentInput, AgentOutput, EndpointAgent, Forward};
use crate::prelude::*;
use crate::process::{self, InboxActor, InboxSender, Metrics, MonotonicClock, run_with_inbox};
use crate::request::ConnectionId;
use crate::wire::{
    AgentMessage, DataCentreState, EndpointSpec, EntryMessage, Link, LinkError, LinkSender,
    LinkSettings,
};

/// The interval at which deadlines are checked. The entry enforces the deadline towards the caller; this check only
/// frees slots.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The capacity of the actor's mailbox, and of its inbox of events.
const MAILBOX_CAPACITY: usize = 4_096;
/// The interval at which a connector checks whether the endpoint has announced itself.
const ANNOUNCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The range of the random delay before a lost connection is opened again.
const RECONNECT_DELAY_MS: std::ops::RangeInclusive<u64> = 50..=250;

/// The actor beside one endpoint.
#[derive(xtra::Actor)]
pub struct Endpoint {
    agent: EndpointAgent,
    clock: MonotonicClock,
    metrics: Metrics,
    target: Option<Target>,
    connections: HashMap<ConnectionId, Connection>,
    forwards: HashMap<AttemptId, oneshot::Sender<()>>,
    /// Notified when no request is in flight during a drain.
    drain_waiters: Vec<oneshot::Sender<()>>,
    inbox: InboxSender<Event>,
}

/// A connection to an entry. Dropping it closes the connection.
struct Connection {
    sender: LinkSender<AgentMessage>,
    _close: oneshot::Sender<()>,
}

/// The HTTP interface of the endpoint.
struct Target {
    client: reqwest::Client,
    url: Url,
    connections: u32,
}

/// Events in the actor's inbox, which keeps their order.
pub enum Event {
    /// A connection to an entry was opened.
    Connected(Connected),
    /// A connection ended.
    Disconnected(ConnectionId),
    /// An entry sent a message, or the endpoint's answer to a request made progress or ended.
    Input(AgentInput),
}

/// Details of a newly opened connection to an entry.
pub struct Connected {
    connection: ConnectionId,
    entry: Incarnation,
    sender: LinkSender<AgentMessage>,
    close: oneshot::Sender<()>,
}

/// Requests a sender for the actor's inbox of events.
struct OpenInbox;

/// Message of the endpoint that announces itself to the actor.
pub struct Announce {
    /// The endpoint.
    pub endpoint: EndpointSpec,
    /// The URL to which requests are posted.
    pub url: Url,
    /// The name of the endpoint's process, if it sends one.
    pub instance: Option<String>,
}

/// Message of the endpoint that it is shutting down. Returns a receiver that completes when no request is in flight.
pub struct Drain;

/// Message that a bundle became active at this agent.
pub struct BundleApplied {
    /// The version of the bundle.
    pub version: BundleVersion,
}

/// Requests an [`EndpointSummary`].
pub struct Dump;

/// State of an agent beside an endpoint, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EndpointSummary {
    /// The endpoint, or `None` if it has not announced itself.
    pub endpoint: Option<EndpointSpec>,
    /// Whether the endpoint is shutting down.
    pub draining: bool,
    /// Whether the agent's data centre is out of service.
    pub data_centre_out: bool,
    /// The number of attempts that were forwarded to the endpoint and have not ended.
    pub running: u64,
    /// The number of open connections to entries.
    pub connections: u64,
}

/// Message that a tick interval has elapsed.
struct Tick;

/// Starts the actor and the task that sends it a tick at each [`TICK_INTERVAL`].
pub fn spawn(clock: MonotonicClock, metrics: &Metrics) -> Address<Endpoint> {
    let (inbox, events) = process::inbox(MAILBOX_CAPACITY);
    let actor = Endpoint {
        agent: EndpointAgent::new(),
        clock,
        metrics: metrics.clone(),
        target: None,
        connections: HashMap::new(),
        forwards: HashMap::new(),
        drain_waiters: Vec::new(),
        inbox,
    };
    let (address, mailbox) = Mailbox::bounded(MAILBOX_CAPACITY);
    tokio::spawn(run_with_inbox(mailbox, actor, events));
    let weak = address.downgrade();
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if weak.send(Tick).await.is_err() {
                return;
            }
        }
    });
    address
}

/// Starts a task per entry that keeps a connection to it open. Sends the signed bundles of entries to `bundles`; after
/// their verification, the actor receives [`BundleApplied`].
pub fn connect_entries(
    address: &Address<Endpoint>,
    entries: &[SocketAddr],
    settings: &LinkSettings,
    bundles: &mpsc::Sender<String>,
) {
    let last_connection = Arc::new(AtomicU64::new(0));
    for entry in entries {
        let connector = Connector {
            endpoint: address.downgrade(),
            entry: *entry,
            settings: settings.clone(),
            bundles: bundles.clone(),
            last_connection: last_connection.clone(),
        };
        tokio::spawn(connector.run());
    }
}

/// Keeps a connection to one entry open. Opens a new connection only after the previous one has ended.
struct Connector {
    endpoint: WeakAddress<Endpoint>,
    entry: SocketAddr,
    settings: LinkSettings,
    bundles: mpsc::Sender<String>,
    last_connection: Arc<AtomicU64>,
}

impl Connector {
    async fn run(self) {
        while self.endpoint.is_connected() {
            if !self.is_announced().await {
                tokio::time::sleep(ANNOUNCE_CHECK_INTERVAL).await;
                continue;
            }
            if let Err(error) = self.connect().await {
                log::debug!(
                    entry = self.entry.to_string();
                    "connection to an entry failed or ended, reconnecting: {error}"
                );
            }
            let delay_ms = rand::rng().random_range(RECONNECT_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Returns whether the endpoint has announced itself. Before that the agent has no message to send, and an entry
    /// closes a connection on which it receives nothing.
    async fn is_announced(&self) -> bool {
        self.endpoint.send(Dump).await.is_ok_and(|summary| summary.endpoint.is_some())
    }

    async fn connect(&self) -> Result<(), LinkError> {
        let limit = Duration::from_millis(self.settings.idle_ms);
        let opened = tokio::time::timeout(limit, TcpStream::connect(self.entry)).await;
        let idle = |_| LinkError::Idle { idle_ms: self.settings.idle_ms };
        let stream = opened.map_err(idle)?.map_err(|source| LinkError::Socket { source })?;
        let mut link: Link<AgentMessage, EntryMessage> =
            Link::connect(stream, &self.settings).await?;
        let Some(EntryMessage::Hello { incarnation }) = link.receiver.receive().await? else {
            return Err(LinkError::Closed);
        };
        let connection = ConnectionId(self.last_connection.fetch_add(1, Ordering::Relaxed) + 1);
        let (close, closed) = oneshot::channel();
        let connected = Connected { connection, entry: incarnation, sender: link.sender, close };
        let inbox = self.endpoint.send(OpenInbox).await.map_err(|_| LinkError::Closed)?;
        let stopping = |_| LinkError::Closed;
        inbox.send(Event::Connected(connected)).await.map_err(stopping)?;
        log::info!(entry = self.entry.to_string(), connection = connection.0; "connected to an entry");
        let result = tokio::select! {
            result = self.receive(connection, &mut link.receiver, &inbox) => result,
            _ = closed => Err(LinkError::Closed),
        };
        inbox.send(Event::Disconnected(connection)).await.map_err(stopping)?;
        result
    }

    async fn receive(
        &self,
        connection: ConnectionId,
        receiver: &mut crate::wire::LinkReceiver<EntryMessage>,
        inbox: &InboxSender<Event>,
    ) -> Result<(), LinkError> {
        while let Some(message) = receiver.receive().await? {
            if let EntryMessage::Config { signed, .. } = message {
                let _ = self.bundles.send(signed).await;
                continue;
            }
            let event = Event::Input(AgentInput::Received { connection, message });
            let held = receiver.hold_message().await;
            inbox.send_held(event, held).await.map_err(|_| LinkError::Closed)?;
        }
        Ok(())
    }
}

impl Endpoint {
    fn apply(&mut self, input: AgentInput) {
        for output in self.agent.handle(self.clock.now_ms(), input) {
            match output {
                AgentOutput::Send { connection, message } => self.send(connection, message),
                AgentOutput::Forward(forward) => self.forward(forward),
                AgentOutput::Abort { attempt } => {
                    self.metrics.count("endpoint", "aborted");
                    self.forwards.remove(&attempt);
                }
                AgentOutput::Drained => {
                    log::info!("endpoint is drained");
                    for waiter in self.drain_waiters.drain(..) {
                        let _ = waiter.send(());
                    }
                }
            }
        }
    }

    /// Queues a message for an entry. Closes the connection if its queue is full, since an answer with a missing part
    /// is useless; the entry then treats its attempts on this connection as unanswered.
    fn send(&mut self, connection: ConnectionId, message: AgentMessage) {
        let entry_connection = self.connections.get(&connection);
        if entry_connection.is_some_and(|open| open.sender.try_send(message).is_err()) {
            self.connections.remove(&connection);
            self.metrics.count("endpoint", "connection_given_up");
        }
    }

    fn forward(&mut self, forward: Forward) {
        let Some(target) = &self.target else { return };
        self.metrics.count("endpoint", "forwarded");
        let (abort, aborted) = oneshot::channel();
        let attempt = forward.attempt;
        let connection = self.agent.connection_of(attempt);
        let entry_connection = connection.and_then(|connection| self.connections.get(&connection));
        let context = forward::ForwardContext {
            client: target.client.clone(),
            url: target.url.clone(),
            inbox: self.inbox.clone(),
            sender: entry_connection.map(|open| open.sender.clone()),
        };
        self.forwards.insert(attempt, abort);
        tokio::spawn(forward::run(context, forward, aborted));
    }

    fn set_target(&mut self, url: Url, connections: u32) -> reqwest::Result<()> {
        let current = self.target.as_ref();
        if current.is_some_and(|target| target.url == url && target.connections == connections) {
            return Ok(());
        }
        self.target = Some(Target { client: forward::client(connections)?, url, connections });
        Ok(())
    }
}

impl Handler<Announce> for Endpoint {
    type Return = Result<(), String>;

    async fn handle(&mut self, announce: Announce, _: &mut Context<Self>) -> Result<(), String> {
        let Announce { endpoint, url, instance } = announce;
        self.set_target(url, endpoint.connections).map_err(|error| error.to_string())?;
        self.apply(AgentInput::Announced { endpoint, instance });
        Ok(())
    }
}

impl Handler<Drain> for Endpoint {
    type Return = oneshot::Receiver<()>;

    async fn handle(&mut self, _: Drain, _: &mut Context<Self>) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let is_drained = self.agent.is_draining() && self.agent.running() == 0;
        if is_drained {
            let _ = sender.send(());
        } else {
            self.drain_waiters.push(sender);
            self.apply(AgentInput::Drain);
        }
        receiver
    }
}

impl Handler<BundleApplied> for Endpoint {
    type Return = ();

    async fn handle(&mut self, applied: BundleApplied, _: &mut Context<Self>) {
        self.apply(AgentInput::Bundle { version: applied.version });
    }
}

impl InboxActor for Endpoint {
    type Event = Event;

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Connected(Connected { connection, entry, sender, close }) => {
                self.connections.insert(connection, Connection { sender, _close: close });
                self.apply(AgentInput::Connected { connection, entry });
            }
            Event::Disconnected(connection) => {
                self.connections.remove(&connection);
                self.apply(AgentInput::Disconnected { connection });
            }
            Event::Input(input) => {
                if let AgentInput::End { attempt }
                | AgentInput::Failed { attempt, .. }
                | AgentInput::Unreachable { attempt } = &input
                {
                    self.forwards.remove(attempt);
                }
                self.apply(input);
            }
        }
    }
}

impl Handler<OpenInbox> for Endpoint {
    type Return = InboxSender<Event>;

    async fn handle(&mut self, _: OpenInbox, _: &mut Context<Self>) -> InboxSender<Event> {
        self.inbox.clone()
    }
}

impl Handler<Tick> for Endpoint {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.apply(AgentInput::Tick);
    }
}

impl Handler<Dump> for Endpoint {
    type Return = EndpointSummary;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self>) -> EndpointSummary {
        EndpointSummary {
            endpoint: self.agent.endpoint().cloned(),
            draining: self.agent.is_draining(),
            data_centre_out: self.agent.data_centre_state() == DataCentreState::Out,
            running: self.agent.running() as u64,
            connections: self.connections.len() as u64,
        }
    }
}
