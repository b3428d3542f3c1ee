//! The state of the agent beside an endpoint.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::message::{AgentInput, AgentOutput, Forward, MAX_CHUNK_BYTES};
use super::window::{AttemptWindow, Mark};
use crate::prelude::*;
use crate::request::{ConnectionId, pairs};
use crate::wire::{
    AgentMessage, AnswerChecksum, AnswerChunk, AttemptRequest, DataCentreState, EndpointSpec,
    EntryMessage, NotRunReason,
};

/// The agent beside one endpoint. A state machine without clock, thread or socket: its caller passes in the time and
/// all events, and performs the outputs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAgent {
    endpoint: Option<EndpointSpec>,
    instance: Option<String>,
    draining: bool,
    drain_reported: bool,
    service: DataCentreState,
    service_version: u64,
    bundle: BundleVersion,
    connections: BTreeMap<ConnectionId, Connection>,
    #[serde(with = "pairs")]
    running: BTreeMap<AttemptId, Running>,
}

/// A connection to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Connection {
    entry: Incarnation,
    window: AttemptWindow,
}

/// An attempt that was forwarded to the endpoint and has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Running {
    connection: ConnectionId,
    sequence: u64,
    deadline_ms: u64,
    aborted: bool,
    sent_bytes: u64,
    checksum: AnswerChecksum,
}

impl EndpointAgent {
    /// Creates the agent of an endpoint that has not announced itself.
    pub fn new() -> Self {
        Self {
            endpoint: None,
            instance: None,
            draining: false,
            drain_reported: false,
            service: DataCentreState::In,
            service_version: 0,
            bundle: BundleVersion(0),
            connections: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Returns the endpoint, or `None` if it has not announced itself.
    pub fn endpoint(&self) -> Option<&EndpointSpec> {
        self.endpoint.as_ref()
    }

    /// Returns whether the endpoint is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the newest state of the data centre that an entry has sent, by version.
    pub fn data_centre_state(&self) -> DataCentreState {
        self.service
    }

    /// Returns the number of attempts that were forwarded to the endpoint and have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the connection on which a running attempt arrived.
    pub fn connection_of(&self, attempt: AttemptId) -> Option<ConnectionId> {
        self.running.get(&attempt).map(|running| running.connection)
    }

    /// Handles an input that occurred at `now_ms` of the agent's clock, and returns the actions to perform, in order.
    pub fn handle(&mut self, now_ms: u64, input: AgentInput) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        match input {
            AgentInput::Announced { endpoint, instance } => {
                self.announced(endpoint, instance, &mut outputs);
            }
            AgentInput::Drain => self.drain(&mut outputs),
            AgentInput::Connected { connection, entry } => {
                self.connected(connection, entry, &mut outputs);
            }
            AgentInput::Disconnected { connection } => {
                self.connections.remove(&connection);
            }
            AgentInput::Received { connection, message } => {
                self.received(now_ms, connection, message, &mut outputs);
            }
            AgentInput::Head { attempt, status } => {
                self.answer(attempt, AnswerChunk::Head { status }, &mut outputs);
            }
            AgentInput::Data { attempt, bytes } => self.data(attempt, &bytes, &mut outputs),
            AgentInput::End { attempt } => self.end(attempt, &mut outputs),
            AgentInput::Unreachable { attempt } => self.unreachable(attempt, &mut outputs),
            AgentInput::Failed { attempt, reason } => self.failed(attempt, reason, &mut outputs),
            AgentInput::Bundle { version } => {
                self.bundle = self.bundle.max(version);
                self.send_applied_to_all(&mut outputs);
            }
            AgentInput::Tick => self.abort_expired(now_ms, &mut outputs),
        }
        self.report_drained(&mut outputs);
        outputs
    }

    fn announced(
        &mut self,
        endpoint: EndpointSpec,
        instance: Option<String>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let is_same_process = instance.is_some() && instance == self.instance;
        if self.draining && (is_same_process || !self.drain_reported) {
            return;
        }
        let is_unchanged = self.endpoint.as_ref() == Some(&endpoint);
        if self.draining || !is_unchanged {
            self.send_to_all(&AgentMessage::Announce(endpoint.clone()), outputs);
        }
        self.draining = false;
        self.drain_reported = false;
        self.endpoint = Some(endpoint);
        self.instance = instance;
    }

    fn drain(&mut self, outputs: &mut Vec<AgentOutput>) {
        self.draining = true;
        self.send_to_all(&AgentMessage::Drain, outputs);
    }

    fn report_drained(&mut self, outputs: &mut Vec<AgentOutput>) {
        if self.draining && self.running.is_empty() && !self.drain_reported {
            self.drain_reported = true;
            outputs.push(AgentOutput::Drained);
        }
    }

    fn connected(
        &mut self,
        connection: ConnectionId,
        entry: Incarnation,
        outputs: &mut Vec<AgentOutput>,
    ) {
        self.connections.insert(connection, Connection { entry, window: AttemptWindow::new() });
        if let Some(spec) = self.endpoint.clone() {
            outputs.push(AgentOutput::Send { connection, message: AgentMessage::Announce(spec) });
        }
        if self.draining {
            outputs.push(AgentOutput::Send { connection, message: AgentMessage::Drain });
        }
    }

    /// Handles a message of an entry. Ignores the messages for agents beside workers, and `Config`: the process
    /// verifies its bundle first and then sends [`AgentInput::Bundle`].
    fn received(
        &mut self,
        now_ms: u64,
        connection: ConnectionId,
        message: EntryMessage,
        outputs: &mut Vec<AgentOutput>,
    ) {
        match message {
            EntryMessage::Attempt(request) => self.attempt(now_ms, connection, request, outputs),
            EntryMessage::Cancel { attempt, sequence } => {
                self.cancel(connection, attempt, sequence, outputs);
            }
            EntryMessage::DataCentreState { state, version, .. } => {
                if version > self.service_version {
                    self.service = state;
                    self.service_version = version;
                }
                let message = self.applied_message();
                outputs.push(AgentOutput::Send { connection, message });
            }
            EntryMessage::Drain => self.drain(outputs),
            EntryMessage::Hello { .. }
            | EntryMessage::Config { .. }
            | EntryMessage::Permit { .. }
            | EntryMessage::Leader { .. }
            | EntryMessage::SubmitJob { .. }
            | EntryMessage::CancelJobs { .. } => {}
        }
    }

    /// Starts or refuses an attempt. Duplicates, and attempts of another incarnation of the entry, are ignored: the
    /// entry could mistake an answer to a duplicate for the answer to the original attempt.
    fn attempt(
        &mut self,
        now_ms: u64,
        connection: ConnectionId,
        request: AttemptRequest,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let refusal = self.refusal(&request);
        let Some(entry_connection) = self.connections.get_mut(&connection) else { return };
        let is_new = entry_connection.window.get(request.sequence) == Some(Mark::Unseen);
        let is_running = self.running.contains_key(&request.attempt);
        if !is_new || is_running || entry_connection.entry != request.attempt.incarnation {
            return;
        }
        let attempt = request.attempt;
        if let Some(reason) = refusal {
            entry_connection.window.set(request.sequence, Mark::NotRun);
            let message = AgentMessage::NotRun { attempt, reason };
            outputs.push(AgentOutput::Send { connection, message });
            return;
        }
        entry_connection.window.set(request.sequence, Mark::Started);
        let running = Running {
            connection,
            sequence: request.sequence,
            deadline_ms: now_ms.saturating_add(request.remaining_ms),
            aborted: false,
            sent_bytes: 0,
            checksum: AnswerChecksum::default(),
        };
        self.running.insert(attempt, running);
        let AttemptRequest { organisation, kind, body, .. } = request;
        outputs.push(AgentOutput::Forward(Forward { attempt, organisation, kind, body }));
    }

    fn refusal(&self, request: &AttemptRequest) -> Option<NotRunReason> {
        let Some(spec) = &self.endpoint else { return Some(NotRunReason::EndpointGone) };
        if self.draining {
            Some(NotRunReason::Draining)
        } else if self.service == DataCentreState::Out {
            Some(NotRunReason::DataCentreOut)
        } else if request.remaining_ms == 0 {
            Some(NotRunReason::DeadlinePassed)
        } else if self.running.len() >= spec.slots.min(spec.connections) as usize {
            Some(NotRunReason::Full)
        } else {
            None
        }
    }

    /// Cancels an attempt: if it has not started, sets a tombstone so that it never will, and confirms that; otherwise
    /// reports that it has started.
    fn cancel(
        &mut self,
        connection: ConnectionId,
        attempt: AttemptId,
        sequence: u64,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let Some(entry_connection) = self.connections.get_mut(&connection) else { return };
        if entry_connection.entry != attempt.incarnation {
            return;
        }
        let message = match entry_connection.window.get(sequence) {
            Some(Mark::Unseen | Mark::NotRun) => {
                entry_connection.window.set(sequence, Mark::NotRun);
                AgentMessage::Tombstoned { attempt }
            }
            // Below the window, the state of the attempt has been discarded, so it may have started.
            Some(Mark::Started) | None => AgentMessage::AlreadyStarted { attempt },
        };
        outputs.push(AgentOutput::Send { connection, message });
    }

    fn data(&mut self, attempt: AttemptId, bytes: &[u8], outputs: &mut Vec<AgentOutput>) {
        for part in bytes.chunks(MAX_CHUNK_BYTES) {
            let Some(running) = self.running.get_mut(&attempt) else { return };
            let offset_bytes = running.sent_bytes;
            running.sent_bytes += part.len() as u64;
            running.checksum = running.checksum.with(part);
            let chunk = AnswerChunk::Data { offset_bytes, bytes: part.to_vec() };
            self.answer(attempt, chunk, outputs);
        }
    }

    fn answer(&mut self, attempt: AttemptId, chunk: AnswerChunk, outputs: &mut Vec<AgentOutput>) {
        if let Some(running) = self.running.get(&attempt) {
            let connection = running.connection;
            self.send(connection, AgentMessage::Answer { attempt, chunk }, outputs);
        }
    }

    fn end(&mut self, attempt: AttemptId, outputs: &mut Vec<AgentOutput>) {
        let Some(running) = self.running.remove(&attempt) else { return };
        let Running { connection, sent_bytes: length_bytes, checksum, .. } = running;
        let chunk = AnswerChunk::End { length_bytes, checksum };
        self.send(connection, AgentMessage::Answer { attempt, chunk }, outputs);
    }

    fn unreachable(&mut self, attempt: AttemptId, outputs: &mut Vec<AgentOutput>) {
        let Some(running) = self.running.remove(&attempt) else { return };
        let Some(entry_connection) = self.connections.get_mut(&running.connection) else { return };
        entry_connection.window.set(running.sequence, Mark::NotRun);
        let message = AgentMessage::NotRun { attempt, reason: NotRunReason::EndpointGone };
        outputs.push(AgentOutput::Send { connection: running.connection, message });
    }

    fn failed(&mut self, attempt: AttemptId, reason: String, outputs: &mut Vec<AgentOutput>) {
        if let Some(running) = self.running.remove(&attempt) {
            self.send(running.connection, AgentMessage::Failed { attempt, reason }, outputs);
        }
    }

    fn abort_expired(&mut self, now_ms: u64, outputs: &mut Vec<AgentOutput>) {
        for (attempt, running) in &mut self.running {
            if now_ms >= running.deadline_ms && !running.aborted {
                running.aborted = true;
                outputs.push(AgentOutput::Abort { attempt: *attempt });
            }
        }
    }

    fn applied_message(&self) -> AgentMessage {
        AgentMessage::Applied { bundle: self.bundle, service_version: self.service_version }
    }

    fn send_applied_to_all(&self, outputs: &mut Vec<AgentOutput>) {
        self.send_to_all(&self.applied_message(), outputs);
    }

    fn send_to_all(&self, message: &AgentMessage, outputs: &mut Vec<AgentOutput>) {
        for connection in self.connections.keys() {
            let message = message.clone();
            outputs.push(AgentOutput::Send { connection: *connection, message });
        }
    }

    /// Sends a message on a connection, or drops it if the connection ended; its entry has then ended the attempt.
    fn send(
        &self,
        connection: ConnectionId,
        message: AgentMessage,
        outputs: &mut Vec<AgentOutput>,
    ) {
        if self.connections.contains_key(&connection) {
            outputs.push(AgentOutput::Send { connection, message });
        }
    }
}

impl Default for EndpointAgent {
    fn default() -> Self {
        Self::new()
    }
}
