//! The actor around the entry's [`Router`]: passes the router's outputs to agents, callers and the table.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use tokio::sync::{Semaphore, mpsc, oneshot};
use xtra::prelude::*;

use super::keys;
use crate::prelude::*;
use crate::process::{self, InboxActor, InboxSender, Metrics, MonotonicClock, run_with_inbox};
use crate::request::{
    ClaimResult, ConnectionId, EndpointView, KeyClaim, RequestEnd, RequestSpec, Router,
    RouterInput, RouterOutput, RouterRules, RouterSummary,
};
use crate::store::{Table, Writer};
use crate::wire::{AgentMessage, DataCentreState, EndpointSpec, EntryMessage, LinkSender};

/// The interval at which deadlines are checked while the entry has requests.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// The interval at which deadlines are checked while the entry has no requests. With 5 ms, an idle entry exceeded its
/// budget of 1.1 % of a core.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of outcomes that wait to be recorded, as while the table is down. Further ones are dropped.
const MAX_PENDING_RECORDS: usize = 256;
/// The capacity of the actor's mailbox, in messages, and of its inbox, in events.
const MAILBOX_CAPACITY: usize = 4_096;
/// The maximum number of parts of an answer that are queued for a caller. With parts of 32 KiB, a slow caller takes at
/// most 8 MiB.
const MAX_QUEUED_PARTS: usize = 256;

/// The actor that routes the requests of one entry.
#[derive(xtra::Actor)]
pub struct Requests<T>
where
    T: Table + Clone,
{
    router: Router,
    incarnation: Incarnation,
    writer: Writer<T>,
    clock: MonotonicClock,
    metrics: Metrics,
    random: ChaCha8Rng,
    callers: HashMap<u64, mpsc::Sender<AnswerPart>>,
    connections: HashMap<ConnectionId, Connection>,
    record_slots: Arc<Semaphore>,
    inbox: InboxSender<Event>,
}

/// A connection of an agent beside an endpoint. Dropping it closes the connection.
struct Connection {
    sender: LinkSender<EntryMessage>,
    _close: oneshot::Sender<()>,
}

/// Parts of an answer in the order in which a caller receives them.
#[derive(Debug)]
pub enum AnswerPart {
    /// The head of an answer that is streamed to the caller.
    Head {
        /// HTTP status of the answer.
        status: u16,
    },
    /// A part of the body of a streamed answer.
    Chunk(Vec<u8>),
    /// The end of the request.
    End(RequestEnd),
}

/// Submits a request of a caller.
pub struct Submit {
    /// Number of the request, unique in this entry.
    pub request: u64,
    /// Specification of the request.
    pub spec: RequestSpec,
    /// Channel for the answer; see [`answer_part_channel`].
    pub parts: mpsc::Sender<AnswerPart>,
}

/// Creates the bounded channel of an answer. A caller whose channel is full is disconnected.
pub fn answer_part_channel() -> (mpsc::Sender<AnswerPart>, mpsc::Receiver<AnswerPart>) {
    mpsc::channel(MAX_QUEUED_PARTS)
}

/// A caller disconnected before the end of its request.
pub struct CallerGone {
    /// The request.
    pub request: u64,
}

/// An agent announced an endpoint as the first message of its connection.
pub struct EndpointConnected {
    /// The connection.
    pub connection: ConnectionId,
    /// Sending side of the connection.
    pub sender: LinkSender<EntryMessage>,
    /// Closes the connection when it is dropped.
    pub close: oneshot::Sender<()>,
    /// The endpoint.
    pub endpoint: EndpointSpec,
}

/// An agent beside an endpoint sent a further message.
pub struct FromEndpoint {
    /// The connection.
    pub connection: ConnectionId,
    /// The message.
    pub message: AgentMessage,
}

/// The connection of an agent beside an endpoint ended.
pub struct EndpointDisconnected {
    /// The connection.
    pub connection: ConnectionId,
}

/// A bundle became active.
pub struct ApplyRules {
    /// Rules that the router derives from the bundle.
    pub rules: RouterRules,
}

/// The state of a data centre was read.
pub struct ApplyDataCentreState {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// State of the data centre.
    pub state: DataCentreState,
}

/// Returns the summary of the router for a dump.
pub struct Dump;

/// Returns the sender of [`Event`]s.
pub struct OpenInbox;

struct Tick;

/// Events of the actor's inbox, which are handled in the order of their arrival.
pub enum Event {
    /// A caller submitted a request.
    Submit(Submit),
    /// A caller disconnected.
    CallerGone(CallerGone),
    /// An agent announced an endpoint.
    Connected(EndpointConnected),
    /// An agent sent a further message.
    Received(FromEndpoint),
    /// A connection ended.
    Disconnected(EndpointDisconnected),
    /// The table answered a claim.
    Claim {
        /// The request.
        request: u64,
        /// Result of the claim.
        result: ClaimResult,
    },
}

/// Starts the actor, and the task that sends it ticks.
pub fn spawn<T>(
    incarnation: Incarnation,
    writer: Writer<T>,
    clock: MonotonicClock,
    metrics: &Metrics,
    random: ChaCha8Rng,
) -> Address<Requests<T>>
where
    T: Table + Clone,
{
    let (inbox, events) = process::inbox(MAILBOX_CAPACITY);
    let actor = Requests {
        router: Router::new(incarnation),
        incarnation,
        writer,
        clock,
        metrics: metrics.clone(),
        random,
        callers: HashMap::new(),
        connections: HashMap::new(),
        record_slots: Arc::new(Semaphore::new(MAX_PENDING_RECORDS)),
        inbox,
    };
    let (address, mailbox) = Mailbox::bounded(MAILBOX_CAPACITY);
    tokio::spawn(run_with_inbox(mailbox, actor, events));
    let weak = address.downgrade();
    tokio::spawn(async move {
        while let Ok(is_idle) = weak.send(Tick).await {
            let interval = if is_idle { IDLE_TICK_INTERVAL } else { TICK_INTERVAL };
            tokio::time::sleep(interval).await;
        }
    });
    address
}

impl<T> Requests<T>
where
    T: Table + Clone,
{
    /// Passes an input to the router and performs the outputs. A message that could not be sent yields a further input.
    fn apply(&mut self, input: RouterInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let now_ms = self.clock.now_ms();
            for output in self.router.handle(now_ms, input, &mut self.random) {
                inputs.extend(self.perform(output));
            }
        }
    }

    fn perform(&mut self, output: RouterOutput) -> Option<RouterInput> {
        match output {
            RouterOutput::Send { connection, message } => return self.send(connection, message),
            RouterOutput::Close { connection } => {
                self.connections.remove(&connection);
            }
            RouterOutput::Claim { request, claim } => self.claim(request, claim),
            RouterOutput::Finish { request, claim, outcome } => {
                self.record_outcome(request, claim, outcome);
            }
            RouterOutput::StreamHead { request, status } => {
                return self.send_part(request, AnswerPart::Head { status });
            }
            RouterOutput::StreamChunk { request, bytes } => {
                return self.send_part(request, AnswerPart::Chunk(bytes));
            }
            RouterOutput::End { request, end } => self.end(request, end),
        }
        None
    }

    fn add_connection(&mut self, connected: EndpointConnected) {
        let EndpointConnected { connection, sender, close, endpoint } = connected;
        log::info!(endpoint = endpoint.id.as_str(), connection = connection.0; "endpoint connected");
        self.connections.insert(connection, Connection { sender, _close: close });
        self.apply(RouterInput::Announced { connection, endpoint });
    }

    /// Queues a message on its connection. If the queue is full or the connection closed, the message is dropped; an
    /// attempt in it is guaranteed not to run, and is returned as not sent.
    fn send(&self, connection: ConnectionId, message: EntryMessage) -> Option<RouterInput> {
        let attempt = match &message {
            EntryMessage::Attempt(request) => Some(request.attempt),
            _ => None,
        };
        let link = self.connections.get(&connection);
        if link.is_some_and(|link| link.sender.try_send(message).is_ok()) {
            return None;
        }
        self.metrics.count("requests", "message_not_sent");
        attempt.map(|attempt| RouterInput::NotSent { attempt })
    }

    /// Sends a part of an answer to the caller. A caller whose channel is full counts as disconnected.
    fn send_part(&mut self, request: u64, part: AnswerPart) -> Option<RouterInput> {
        let caller = self.callers.get(&request)?;
        if caller.try_send(part).is_ok() {
            return None;
        }
        self.callers.remove(&request);
        self.metrics.count("requests", "caller_too_slow");
        Some(RouterInput::CallerGone { request })
    }

    /// Sends the end of the request to the caller. If the channel is full, it closes without an end, which breaks the
    /// caller's connection.
    fn end(&mut self, request: u64, end: RequestEnd) {
        let outcome = end.outcome();
        self.metrics.count("requests", &outcome.to_string());
        if let RequestEnd::Unknown { reason } = &end {
            log::info!(request = request; "outcome of a request is unknown: {reason}");
        }
        if let Some(caller) = self.callers.remove(&request) {
            let _ = caller.try_send(AnswerPart::End(end));
        }
    }

    fn claim(&self, request: u64, claim: KeyClaim) {
        let (writer, entry) = (self.writer.clone(), self.incarnation);
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let result = keys::claim(&writer, entry, request, &claim).await;
            let _ = inbox.send(Event::Claim { request, result }).await;
        });
    }

    /// Records the outcome of a keyed request. The caller does not wait for it.
    fn record_outcome(&self, request: u64, claim: KeyClaim, outcome: Outcome) {
        let (writer, entry, metrics) =
            (self.writer.clone(), self.incarnation, self.metrics.clone());
        let Ok(permit) = self.record_slots.clone().try_acquire_owned() else {
            self.metrics.count("requests", "outcome_not_recorded");
            log::warn!(request = request; "outcome of a keyed request is dropped: {MAX_PENDING_RECORDS} outcomes wait to be recorded");
            return;
        };
        tokio::spawn(async move {
            let _permit = permit;
            if !keys::finish(&writer, entry, request, &claim, outcome).await {
                metrics.count("requests", "outcome_not_recorded");
                log::warn!(request = request; "outcome of a keyed request could not be recorded; it is not retried");
            }
        });
    }
}

impl<T> InboxActor for Requests<T>
where
    T: Table + Clone,
{
    type Event = Event;

    /// Handles an event. Messages of a closed connection may still arrive, and are ignored.
    fn on_event(&mut self, event: Event) {
        match event {
            Event::Submit(Submit { request, spec, parts }) => {
                self.callers.insert(request, parts);
                self.apply(RouterInput::Submit { request, spec });
            }
            Event::CallerGone(CallerGone { request }) => {
                if self.callers.remove(&request).is_some() {
                    self.metrics.count("requests", "caller_gone");
                    self.apply(RouterInput::CallerGone { request });
                }
            }
            Event::Connected(connected) => self.add_connection(connected),
            Event::Received(FromEndpoint { connection, message }) => {
                if self.connections.contains_key(&connection) {
                    self.apply(router_input(connection, message));
                }
            }
            Event::Disconnected(EndpointDisconnected { connection }) => {
                if self.connections.remove(&connection).is_some() {
                    log::info!(connection = connection.0; "endpoint disconnected");
                    self.apply(RouterInput::Disconnected { connection });
                }
            }
            Event::Claim { request, result } => {
                self.apply(RouterInput::Claim { request, result });
            }
        }
    }
}

fn router_input(connection: ConnectionId, message: AgentMessage) -> RouterInput {
    match message {
        AgentMessage::Announce(endpoint) => RouterInput::Announced { connection, endpoint },
        message => RouterInput::Received { connection, message },
    }
}

impl<T> Handler<OpenInbox> for Requests<T>
where
    T: Table + Clone,
{
    type Return = InboxSender<Event>;

    async fn handle(&mut self, _: OpenInbox, _: &mut Context<Self>) -> InboxSender<Event> {
        self.inbox.clone()
    }
}

impl<T> Handler<ApplyRules> for Requests<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, apply: ApplyRules, _: &mut Context<Self>) {
        self.apply(RouterInput::Rules(apply.rules));
    }
}

impl<T> Handler<ApplyDataCentreState> for Requests<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, apply: ApplyDataCentreState, _: &mut Context<Self>) {
        let ApplyDataCentreState { data_centre, state } = apply;
        self.apply(RouterInput::DataCentreState { data_centre, state });
    }
}

impl<T> Handler<Tick> for Requests<T>
where
    T: Table + Clone,
{
    /// `true` if the entry has no requests.
    type Return = bool;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) -> bool {
        self.apply(RouterInput::Tick);
        self.router.is_idle()
    }
}

impl<T> Handler<Dump> for Requests<T>
where
    T: Table + Clone,
{
    type Return = RouterSummary;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self>) -> RouterSummary {
        self.router.summary()
    }
}

/// Returns all connected endpoints.
pub struct ListEndpoints;

/// Drains an endpoint. Returns whether the agent of the endpoint is connected to this entry.
pub struct DrainEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
}

impl<T> Handler<ListEndpoints> for Requests<T>
where
    T: Table + Clone,
{
    type Return = Vec<EndpointView>;

    async fn handle(&mut self, _: ListEndpoints, _: &mut Context<Self>) -> Vec<EndpointView> {
        self.router.endpoints()
    }
}

impl<T> Handler<DrainEndpoint> for Requests<T>
where
    T: Table + Clone,
{
    type Return = bool;

    async fn handle(&mut self, drain: DrainEndpoint, _: &mut Context<Self>) -> bool {
        let connections = self.router.drain(&drain.endpoint);
        for connection in &connections {
            self.send(*connection, EntryMessage::Drain);
        }
        !connections.is_empty()
    }
}
