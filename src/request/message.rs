//! Inputs and outputs of the router, and the rules that it follows.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::bundle::Bundle;
use crate::prelude::*;
use crate::wire::{AgentMessage, DataCentreState, EndpointSpec, EntryMessage, NotRunReason};

/// A connection of an agent to this entry. Numbers rise and are never used again.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConnectionId(pub u64);

/// A request as its caller sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSpec {
    /// The organisation that sends it.
    pub organisation: OrganisationId,
    /// The kind of work, for which the bundle gives the class.
    pub kind: KindId,
    /// The time until the caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may run again if it may have run before.
    pub repeat: Repeat,
    /// The idempotency key, if the caller wants all calls with this key to count as one request.
    pub key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl RequestSpec {
    /// Returns the hash that tells two requests with the same key apart.
    pub fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(self.kind.as_str().len() as u64).to_be_bytes());
        hasher.update(self.kind.as_str().as_bytes()).update(&self.body);
        hasher.finalize().to_hex().to_string()
    }
}

/// What the router follows from the bundle, and its own limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterRules {
    /// The organisations that may send requests.
    pub organisations: BTreeSet<OrganisationId>,
    /// The class of each kind of work.
    pub kinds: BTreeMap<KindId, Class>,
    /// The most requests that wait in each class.
    pub queue_limits: BTreeMap<Class, u32>,
    /// Retries allowed for each thousand requests that succeed.
    pub retry_budget_per_mille: u32,
    /// The limits that no bundle sets.
    pub limits: RouterLimits,
}

/// Limits of the router that no bundle sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterLimits {
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// Answers up to this size are held until they are whole, so that a broken one can be retried or refused cleanly.
    pub buffer_bytes: u64,
    /// The time that a cancelled attempt has to prove that it did not start.
    pub cancel_grace_ms: u64,
    /// The time after the deadline at which an attempt without any answer stops counting against its endpoint.
    pub forget_ms: u64,
    /// The number of consecutive failures after which an endpoint gets no requests for a while.
    pub eject_failures: u32,
    /// How long; doubles with each ejection in a row, up to eight times.
    pub eject_ms: u64,
    /// The most endpoints that may be ejected at once, in per cent. More failures than that have a common cause.
    pub eject_max_percent: u32,
    /// How long an endpoint that refused as full gets nothing if no request of this entry runs there.
    pub full_pause_ms: u64,
}

impl Default for RouterLimits {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            buffer_bytes: 64 * 1024,
            cancel_grace_ms: 100,
            forget_ms: 10_000,
            eject_failures: 5,
            eject_ms: 1_000,
            eject_max_percent: 50,
            full_pause_ms: 5,
        }
    }
}

impl RouterRules {
    /// Extracts the rules from a bundle.
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
    /// The key belongs to this request; the claim is durable.
    Claimed,
    /// An earlier call with the key ended.
    Recorded(Outcome),
    /// An earlier call with the key has no recorded end: it runs, or its entry is gone.
    Running,
    /// The key belongs to a different request.
    Mismatch,
    /// The table gave no answer. The claim may be durable or become so.
    Unavailable,
}

/// What happens to the router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterInput {
    /// A bundle came into force.
    Rules(RouterRules),
    /// A caller sends a request.
    Submit {
        /// The number of the request, unique in this incarnation; a lower number means an older request.
        request: u64,
        /// The request.
        spec: RequestSpec,
    },
    /// The caller disconnected, or no longer wants the answer.
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
    /// An attempt was not put on its connection, so the agent never gets it.
    NotSent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A connection ended.
    Disconnected {
        /// The connection.
        connection: ConnectionId,
    },
    /// Operators took a data centre out or back in.
    Service {
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
    /// Time passed. Due at least every few milliseconds.
    Tick,
}

/// What the router wants done.
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
    /// Close a connection that a newer one of the same endpoint replaces.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Write the claim of a key, on the condition that no row exists.
    Claim {
        /// The request.
        request: u64,
        /// What identifies the row and the request.
        claim: KeyClaim,
    },
    /// Write the outcome into the row of a key, if it belongs to this request or does not exist.
    Finish {
        /// The request.
        request: u64,
        /// What identifies the row and the request.
        claim: KeyClaim,
        /// The outcome.
        outcome: Outcome,
    },
    /// Begin an answer that is passed on as it arrives. It is whole only if [`RequestEnd::Streamed`] follows.
    StreamHead {
        /// The request.
        request: u64,
        /// The HTTP status.
        status: u16,
    },
    /// Pass on a part of a begun answer.
    StreamChunk {
        /// The request.
        request: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Tell the caller how its request ended. Nothing follows for this request.
    End {
        /// The request.
        request: u64,
        /// How.
        end: RequestEnd,
    },
}

/// What identifies the row of an idempotency key and the request that it stands for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyClaim {
    /// The organisation, within which keys are unique.
    pub organisation: OrganisationId,
    /// The key.
    pub key: String,
    /// [`RequestSpec::digest`].
    pub digest: String,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// Done; the whole answer.
    Whole {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// Done; the parts that were passed on are the whole answer.
    Streamed,
    /// It certainly did not run, and never will.
    NotRun(Refusal),
    /// It may have run. If an answer was begun, the caller's connection must be broken.
    Unknown {
        /// Why.
        reason: String,
    },
    /// An earlier call with the same idempotency key ended with this outcome; its caller got the answer.
    Recorded(Outcome),
}

impl RequestEnd {
    /// Returns the outcome that the caller is told.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Whole { .. } | Self::Streamed => Outcome::Done,
            Self::NotRun(_) => Outcome::NotRun,
            Self::Unknown { .. } => Outcome::Unknown,
            Self::Recorded(outcome) => *outcome,
        }
    }
}

/// Why a request was refused. It never ran, and never will.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// No bundle is in force.
    #[display("no bundle is in force at this entry")]
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
    /// The table is down, which requests with an idempotency key need.
    #[display("the table is unavailable, so this call with an idempotency key made no attempt")]
    TableUnavailable,
    /// No slot became free before the deadline.
    #[display("no endpoint had a free slot before the deadline")]
    DeadlinePassed,
    /// The caller went away before any attempt started.
    #[display("the caller went away before the request started")]
    CallerGone,
    /// Every attempt was refused; the reason of the last one.
    #[display("{_0}, and no attempts or retries are left")]
    Attempts(NotRunReason),
}
