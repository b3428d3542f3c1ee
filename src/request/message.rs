//! Inputs and outputs of the router, and its rules and limits.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::bundle::Bundle;
use crate::prelude::*;
use crate::wire::{AgentMessage, DataCentreState, EndpointSpec, EntryMessage, NotRunReason};

/// The number of an agent's connection to this entry. Numbers increase and are never reused.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConnectionId(pub u64);

/// A request as its caller sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSpec {
    /// The organisation that sends the request.
    pub organisation: OrganisationId,
    /// The kind of work, which determines the class by the bundle's rules.
    pub kind: KindId,
    /// The time from submission until the caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may be retried if an earlier attempt may have run.
    pub repeat: Repeat,
    /// The idempotency key, if all calls with this key are to count as one request.
    pub key: Option<String>,
    /// The body of the request.
    pub body: Vec<u8>,
}

impl RequestSpec {
    /// Returns a hash of kind and body, which differs between two different requests with the same idempotency key.
    pub fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(self.kind.as_str().len() as u64).to_be_bytes());
        hasher.update(self.kind.as_str().as_bytes()).update(&self.body);
        hasher.finalize().to_hex().to_string()
    }
}

/// Routing rules from the active bundle, and the router's own limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterRules {
    /// The organisations that may send requests.
    pub organisations: BTreeSet<OrganisationId>,
    /// The class of each kind of work that may be requested.
    pub kinds: BTreeMap<KindId, Class>,
    /// The maximum number of waiting requests in each class.
    pub queue_limits: BTreeMap<Class, u32>,
    /// Retries allowed for each thousand requests that succeed.
    pub retry_budget_per_mille: u32,
    /// Limits that no bundle sets.
    pub limits: RouterLimits,
}

/// Limits of the router that no bundle sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterLimits {
    /// The maximum number of attempts of one request.
    pub max_attempts: u32,
    /// The largest answer that is buffered until it is complete, in bytes. If a buffered answer breaks off, the request
    /// can still be retried or end with an error response; a larger answer is streamed to the caller.
    pub buffer_bytes: u64,
    /// The time after the deadline for which the router waits for a cancelled attempt's proof that it never started, in
    /// milliseconds.
    pub cancel_grace_ms: u64,
    /// The time after the deadline, in milliseconds, at which an attempt whose end was not reported no longer occupies
    /// a slot and counts as a failure of its endpoint.
    #[serde(rename = "forget_ms")]
    pub attempt_expiry_ms: u64,
    /// The number of consecutive failures after which an endpoint is ejected, i.e. gets no requests for `eject_ms`.
    pub eject_failures: u32,
    /// The duration of the first ejection, in milliseconds; doubles with each consecutive ejection, up to eightfold.
    pub eject_ms: u64,
    /// The maximum share of endpoints that may be ejected at once, in per cent. If more of them fail,
    /// a common cause is assumed, which ejections do not avoid.
    pub eject_max_percent: u32,
    /// The time for which an endpoint that refused an attempt as full gets no requests if no attempt of this entry is
    /// outstanding there, in milliseconds.
    pub full_pause_ms: u64,
}

impl Default for RouterLimits {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            buffer_bytes: 64 * 1024,
            cancel_grace_ms: 100,
            attempt_expiry_ms: 10_000,
            eject_failures: 5,
            eject_ms: 1_000,
            eject_max_percent: 50,
            full_pause_ms: 5,
        }
    }
}

impl RouterRules {
    /// Creates the rules from a bundle and the router's limits.
    pub fn new(bundle: &Bundle, limits: RouterLimits) -> Self {
        let policy = &bundle.policy;
        let queue_limits = [
            (Class::Urgent, policy.queue_limit_urgent),
            (Class::Normal, policy.queue_limit_normal),
            (Class::Batch, policy.queue_limit_batch),
        ];
        Self {
            organisations: bundle.organisations.iter().map(|o| o.id.clone()).collect(),
            kinds: bundle.kinds.iter().map(|rule| (rule.id.clone(), rule.class)).collect(),
            queue_limits: queue_limits.into(),
            retry_budget_per_mille: policy.retry_budget_per_mille,
            limits,
        }
    }
}

/// The answer to [`RouterOutput::Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The idempotency key belongs to this request; the claim is durable.
    Claimed,
    /// An earlier call with the key ended with this outcome.
    Recorded(Outcome),
    /// An earlier call with the key has no recorded outcome: it is still running, or its entry stopped.
    Running,
    /// The key belongs to a different request.
    Mismatch,
    /// The table did not answer. The claim may have been applied, or may still be.
    Unavailable,
}

/// Inputs of [`super::Router::handle`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterInput {
    /// A bundle became active.
    Rules(RouterRules),
    /// A caller sends a request.
    Submit {
        /// The number of the request, unique in this incarnation. Lower numbers are older requests.
        request: u64,
        /// The request.
        spec: RequestSpec,
    },
    /// The caller disconnected or cancelled the request.
    CallerGone {
        /// The request.
        request: u64,
    },
    /// An agent announced its endpoint on a connection, for the first time or again.
    Announced {
        /// The connection.
        connection: ConnectionId,
        /// The endpoint.
        endpoint: EndpointSpec,
    },
    /// An agent sent a message.
    Received {
        /// The connection.
        connection: ConnectionId,
        /// The message.
        message: AgentMessage,
    },
    /// An attempt was not written to its connection, so the agent never receives it.
    NotSent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A connection ended.
    Disconnected {
        /// The connection.
        connection: ConnectionId,
    },
    /// The state of a data centre changed: operators took it out of service or put it back in.
    #[serde(rename = "service")]
    DataCentreState {
        /// The data centre.
        data_centre: DataCentreId,
        /// Its state.
        state: DataCentreState,
    },
    /// The table answered a claim.
    Claim {
        /// The request.
        request: u64,
        /// The answer.
        result: ClaimResult,
    },
    /// Fires the timers that are due. Expected at least every few milliseconds.
    Tick,
}

/// Actions that the caller of [`super::Router::handle`] performs, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterOutput {
    /// Send a message to an agent.
    Send {
        /// The connection.
        connection: ConnectionId,
        /// The message.
        message: EntryMessage,
    },
    /// Close a connection that was replaced by a newer one of the same endpoint.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Write the claim of a key, on the condition that no row exists.
    Claim {
        /// The request.
        request: u64,
        /// The row and the request's digest.
        claim: KeyClaim,
    },
    /// Write the outcome into the row of a key, if it belongs to this request or does not exist.
    Finish {
        /// The request.
        request: u64,
        /// The row and the request's digest.
        claim: KeyClaim,
        /// The outcome.
        outcome: Outcome,
    },
    /// Begin an answer that is streamed to the caller. It is complete only if [`RequestEnd::Streamed`] follows.
    StreamHead {
        /// The request.
        request: u64,
        /// The HTTP status.
        status: u16,
    },
    /// Send the next part of a streamed answer to the caller.
    StreamChunk {
        /// The request.
        request: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Report to the caller how its request ended. No further output for this request follows.
    End {
        /// The request.
        request: u64,
        /// The end of the request.
        end: RequestEnd,
    },
}

/// Identifies the row of an idempotency key, and the request to which it belongs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyClaim {
    /// The organisation, within which keys are unique.
    pub organisation: OrganisationId,
    /// The idempotency key.
    pub key: String,
    /// The hash of the request, see [`RequestSpec::digest`].
    pub digest: String,
}

/// The end of a request as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// The request is done; contains the complete answer.
    Whole {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The request is done; the streamed parts are the complete answer.
    Streamed,
    /// The request is guaranteed not to have run, and never will.
    NotRun(Refusal),
    /// The request may have run. If a streamed answer was begun, the caller's connection must be closed before the end
    /// of the body, so that the caller detects that the answer is incomplete.
    Unknown {
        /// The reason why the outcome is unknown.
        reason: String,
    },
    /// An earlier call with the same idempotency key ended with this outcome; the answer went to that call.
    Recorded(Outcome),
}

impl RequestEnd {
    /// Returns the outcome that is reported to the caller.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Whole { .. } | Self::Streamed => Outcome::Done,
            Self::NotRun(_) => Outcome::NotRun,
            Self::Unknown { .. } => Outcome::Unknown,
            Self::Recorded(outcome) => *outcome,
        }
    }
}

/// The reason why a request was refused. A refused request never ran, and never will.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// This entry has no active bundle.
    #[display("this entry has no active bundle")]
    NotReady,
    /// The bundle does not name the organisation.
    #[display("field organisation: the bundle does not name it")]
    UnknownOrganisation,
    /// The bundle does not name the kind of work.
    #[display("field kind: the bundle does not name it")]
    UnknownKind,
    /// The idempotency key belongs to a request with another kind or body.
    #[display("field idempotency-key: it belongs to a request with another kind or body")]
    KeyMismatch,
    /// The queue of the class is full.
    #[display("the queue of this class is full")]
    QueueFull,
    /// The table is unavailable, but a request with an idempotency key needs it.
    #[display("the table is unavailable, so this call with an idempotency key made no attempt")]
    TableUnavailable,
    /// No slot became free before the deadline.
    #[display("no endpoint had a free slot before the deadline")]
    DeadlinePassed,
    /// The caller disconnected before any attempt started.
    #[display("the caller disconnected before the request started")]
    CallerGone,
    /// Every attempt was refused, the last one for this reason.
    #[display("{_0}, and no attempts or retries are left")]
    Attempts(NotRunReason),
}
