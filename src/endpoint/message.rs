//! Inputs and outputs of the agent beside an endpoint.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::request::ConnectionId;
use crate::wire::{AgentMessage, EndpointSpec, EntryMessage};

/// The largest part of an answer, so that small answers are not held up behind large ones on a connection.
pub const MAX_CHUNK_BYTES: usize = 32 * 1024;

/// What happens to the agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentInput {
    /// The endpoint announced itself. It does so again and again, so that an agent that restarts learns of it.
    Announced {
        /// The endpoint.
        endpoint: EndpointSpec,
        /// The name of the endpoint's process, if it gives one. A process that drains takes no new work, even if an
        /// announcement of it arrives late; a process without name that announces itself after a drain is a new one.
        instance: Option<String>,
    },
    /// The endpoint is shutting down.
    Drain,
    /// A connection to an entry is open. Numbers rise and are never used again.
    Connected {
        /// The connection.
        connection: ConnectionId,
        /// The incarnation of the entry.
        entry: Incarnation,
    },
    /// A connection ended.
    Disconnected {
        /// The connection.
        connection: ConnectionId,
    },
    /// An entry sent a message.
    Received {
        /// The connection.
        connection: ConnectionId,
        /// The message.
        message: EntryMessage,
    },
    /// The endpoint's answer began.
    Head {
        /// The attempt.
        attempt: AttemptId,
        /// The HTTP status.
        status: u16,
    },
    /// A part of the endpoint's answer arrived.
    Data {
        /// The attempt.
        attempt: AttemptId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The endpoint's answer is whole.
    End {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The endpoint refused the connection, so that it got nothing of the request.
    Unreachable {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The endpoint did not answer, or its answer broke off.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: String,
    },
    /// A bundle came into force at this agent.
    Bundle {
        /// Its version.
        version: BundleVersion,
    },
    /// Time passed. Due at least every few milliseconds while attempts run.
    Tick,
}

/// A request to forward to the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Forward {
    /// The attempt.
    pub attempt: AttemptId,
    /// The organisation that sends the request.
    pub organisation: OrganisationId,
    /// The kind of work.
    pub kind: KindId,
    /// The body.
    pub body: Vec<u8>,
}

/// What the agent wants done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentOutput {
    /// Send a message to an entry.
    Send {
        /// The connection.
        connection: ConnectionId,
        /// The message.
        message: AgentMessage,
    },
    /// Forward a request to the endpoint, once.
    Forward(Forward),
    /// Give up waiting for the endpoint's answer, whose deadline passed. Its slot stays taken until the endpoint's
    /// connection ended ([`AgentInput::Failed`]).
    Abort {
        /// The attempt.
        attempt: AttemptId,
    },
    /// No request is in flight, and none will start: the endpoint may leave.
    Drained,
}
