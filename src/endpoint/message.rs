//! Inputs and outputs of the agent beside an endpoint.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::request::ConnectionId;
use crate::wire::{AgentMessage, EndpointSpec, EntryMessage};

/// The maximum size of a part of an answer. Parts of several answers alternate on a connection, so that a large answer
/// does not delay small ones.
pub const MAX_CHUNK_BYTES: usize = 32 * 1024;

/// Inputs of [`super::EndpointAgent::handle`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentInput {
    /// The endpoint announced itself. It repeats this periodically, so that a restarted agent receives it.
    Announced {
        /// The endpoint.
        endpoint: EndpointSpec,
        /// The name of the endpoint's process, if it sends one. After a drain, an announcement with the name of the
        /// drained process is late and ignored; one without a name counts as that of a new process.
        instance: Option<String>,
    },
    /// The endpoint is shutting down.
    Drain,
    /// A connection to an entry was opened. Connection numbers increase and are never reused.
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
    /// The endpoint's answer is complete.
    End {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The endpoint refused the connection, so it received nothing of the request.
    Unreachable {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The endpoint did not answer, or its answer ended early.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// The reason of the failure.
        reason: String,
    },
    /// A bundle became active at this agent.
    Bundle {
        /// The version of the bundle.
        version: BundleVersion,
    },
    /// Aborts attempts past their deadline. Expected at least every few milliseconds while attempts run.
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

/// Actions that the caller of [`super::EndpointAgent::handle`] performs, in order.
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
    /// Stop waiting for the endpoint's answer, since the deadline passed. The slot stays occupied until the connection
    /// to the endpoint has ended ([`AgentInput::Failed`]).
    Abort {
        /// The attempt.
        attempt: AttemptId,
    },
    /// No request is in flight, and none will start, so the endpoint may exit.
    Drained,
}
