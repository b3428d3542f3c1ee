//! The actor around the entry's [`Router`]: gives its outputs to agents, callers and the table.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use tokio::sync::{Semaphore, mpsc, oneshot};
use xtra::prelude::*;

use super::keys;
use crate::prelude::*;
use crate::process::{InboxActor, Metrics, MonotonicClock, run_with_inbox};
use crate::request::{
    ClaimResult, ConnectionId, EndpointView, KeyClaim, RequestEnd, RequestSpec, Router,
    RouterInput, RouterOutput, RouterRules, RouterSummary,
};
use crate::store::{Table, Writer};
use crate::wire::{AgentMessage, DataCentreState, EndpointSpec, EntryMessage, LinkSender};

/// The interval at which deadlines are checked while there are requests.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// The interval while there are none. Ticks of 5 ms made an idle entry use more than its 1.1 % of a core.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The most outcomes that wait to be recorded while the table is down.
const MAX_RECORDS: usize = 256;
/// The most messages, and the most events, that wait for the actor.
const MAILBOX_MESSAGES: usize = 4_096;
/// The most parts of an answer that wait for a caller. With parts of 32 KiB, a slow caller costs at most 8 MiB.
const MAX_WAITING_PARTS: usize = 256;

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
    records: Arc<Semaphore>,
    inbox: mpsc::Sender<Event>,
}

/// A connection of an agent beside an endpoint. Dropping it closes the connection.
struct Connection {
    sender: LinkSender<EntryMessage>,
    _close: oneshot::Sender<()>,
}

/// What a caller gets, in order.
#[derive(Debug)]
pub enum AnswerPart {
    /// An answer begins that is passed on as it arrives.
    Head {
        /// The HTTP status.
        status: u16,
    },
    /// A part of such an answer.
    Chunk(Vec<u8>),
    /// The end of the request.
    End(RequestEnd),
}

/// A caller sends a request.
pub struct Submit {
    /// The number of the request, unique in this entry.
    pub request: u64,
    /// The request.
    pub spec: RequestSpec,
    /// Where its answer goes; see [`answer_part_channel`].
    pub parts: mpsc::Sender<AnswerPart>,
}

/// Creates the channel of an answer. It is bounded, and a caller that is too slow for it loses its connection.
pub fn answer_part_channel() -> (mpsc::Sender<AnswerPart>, mpsc::Receiver<AnswerPart>) {
    mpsc::channel(MAX_WAITING_PARTS)
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
    /// Its sending side.
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

/// A bundle came into force.
pub struct ApplyRules {
    /// What the router follows from it.
    pub rules: RouterRules,
}

/// The state of a data centre is known.
pub struct ApplyService {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Its state.
    pub state: DataCentreState,
}

/// Asks for what operators may see.
pub struct Dump;

/// Asks for the sender of [`Event`]s.
pub struct OpenInbox;

struct Tick;

/// What arrives in the actor's ordered inbox.
pub enum Event {
    /// A caller sends a request.
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
        /// The answer.
        result: ClaimResult,
    },
}

/// Starts the actor, and the task that keeps its time.
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
    let (inbox, events) = mpsc::channel(MAILBOX_MESSAGES);
    let actor = Requests {
        router: Router::new(incarnation),
        incarnation,
        writer,
        clock,
        metrics: metrics.clone(),
        random,
        callers: HashMap::new(),
        connections: HashMap::new(),
        records: Arc::new(Semaphore::new(MAX_RECORDS)),
        inbox,
    };
    let (address, mailbox) = Mailbox::bounded(MAILBOX_MESSAGES);
    tokio::spawn(run_with_inbox(mailbox, actor, events));
    let weak = address.downgrade();
    tokio::spawn(async move {
        while let Ok(is_idle) = weak.send(Tick).await {
            let pause = if is_idle { IDLE_TICK_INTERVAL } else { TICK_INTERVAL };
            tokio::time::sleep(pause).await;
        }
    });
    address
}

impl<T> Requests<T>
where
    T: Table + Clone,
{
    /// Handles an input, and then what follows from messages that could not be sent.
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
                self.record(request, claim, outcome);
            }
            RouterOutput::StreamHead { request, status } => {
                return self.pass_on(request, AnswerPart::Head { status });
            }
            RouterOutput::StreamChunk { request, bytes } => {
                return self.pass_on(request, AnswerPart::Chunk(bytes));
            }
            RouterOutput::End { request, end } => self.end(request, end),
        }
        None
    }

    fn connected(&mut self, connected: EndpointConnected) {
        let EndpointConnected { connection, sender, close, endpoint } = connected;
        log::info!(endpoint = endpoint.id.as_str(), connection = connection.0; "endpoint connected");
        self.connections.insert(connection, Connection { sender, _close: close });
        self.apply(RouterInput::Announced { connection, endpoint });
    }

    /// Queues a message on its connection. An attempt that does not fit certainly never runs.
    fn send(&self, connection: ConnectionId, message: EntryMessage) -> Option<RouterInput> {
        let attempt = match &message {
            EntryMessage::Attempt(request) => Some(request.attempt),
            _ => None,
        };
        let open = self.connections.get(&connection);
        if open.is_some_and(|open| open.sender.try_send(message).is_ok()) {
            return None;
        }
        self.metrics.count("requests", "message_not_sent");
        attempt.map(|attempt| RouterInput::NotSent { attempt })
    }

    /// Passes on a part of an answer. A caller that cannot keep up counts as gone.
    fn pass_on(&mut self, request: u64, part: AnswerPart) -> Option<RouterInput> {
        let caller = self.callers.get(&request)?;
        if caller.try_send(part).is_ok() {
            return None;
        }
        self.callers.remove(&request);
        self.metrics.count("requests", "caller_too_slow");
        Some(RouterInput::CallerGone { request })
    }

    /// Tells the caller the end. If that fails, the channel closes without an end, which breaks the connection.
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
    fn record(&self, request: u64, claim: KeyClaim, outcome: Outcome) {
        let (writer, entry, metrics) =
            (self.writer.clone(), self.incarnation, self.metrics.clone());
        let Ok(permit) = self.records.clone().try_acquire_owned() else {
            self.metrics.count("requests", "outcome_not_recorded");
            log::warn!(request = request; "outcome of a keyed request is not recorded: too many wait for the table");
            return;
        };
        tokio::spawn(async move {
            let _permit = permit;
            if !keys::finish(&writer, entry, request, &claim, outcome).await {
                metrics.count("requests", "outcome_not_recorded");
                log::warn!(request = request; "outcome of a keyed request could not be recorded");
            }
        });
    }
}

impl<T> InboxActor for Requests<T>
where
    T: Table + Clone,
{
    type Event = Event;

    /// Handles an event. Messages of a connection that was closed may still be on their way, and are ignored.
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
            Event::Connected(connected) => self.connected(connected),
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
    type Return = mpsc::Sender<Event>;

    async fn handle(&mut self, _: OpenInbox, _: &mut Context<Self>) -> mpsc::Sender<Event> {
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

impl<T> Handler<ApplyService> for Requests<T>
where
    T: Table + Clone,
{
    type Return = ();

    async fn handle(&mut self, apply: ApplyService, _: &mut Context<Self>) {
        let ApplyService { data_centre, state } = apply;
        self.apply(RouterInput::Service { data_centre, state });
    }
}

impl<T> Handler<Tick> for Requests<T>
where
    T: Table + Clone,
{
    /// Whether the entry has no requests.
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

/// Asks for all connected endpoints.
pub struct ListEndpoints;

/// Takes an endpoint out of use. The answer is whether its agent is connected to this entry.
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
