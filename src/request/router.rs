//! The state of the router, and the handling of requests. [`super::attempts`] handles their attempts.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::answer::AnswerCollector;
use super::budget::RetryBudget;
use super::message::{
    ClaimResult, ConnectionId, KeyClaim, Refusal, RequestEnd, RequestSpec, RouterInput,
    RouterOutput, RouterRules,
};
use super::pairs;
use super::pool::{EndpointView, Pool};
use super::queue::{Lane, Queue};
use crate::prelude::*;
use crate::wire::{AgentMessage, EntryMessage};

/// Routes the requests of one entry. A state machine without clock, thread or socket: its caller passes in the time
/// and all events, and performs the outputs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    pub(super) incarnation: Incarnation,
    pub(super) rules: Option<RouterRules>,
    pub(super) requests: BTreeMap<u64, Request>,
    #[serde(with = "pairs")]
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) queue: Queue,
    pub(super) pool: Pool,
    pub(super) budget: RetryBudget,
    pub(super) waiting: BTreeMap<Class, u32>,
    pub(super) running: BTreeMap<OrganisationId, u32>,
    pub(super) timers: BTreeSet<(u64, Timer)>,
    pub(super) totals: Totals,
}

/// The object of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) enum Timer {
    Request(u64),
    Attempt(AttemptId),
}

/// A request without an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Request {
    pub(super) spec: RequestSpec,
    pub(super) class: Class,
    pub(super) deadline_ms: u64,
    pub(super) timer_ms: u64,
    pub(super) stage: Stage,
    pub(super) attempts: u32,
    /// Whether an attempt may have run, so that the outcome can no longer be `not_run`.
    pub(super) maybe_ran: bool,
    pub(super) caller_gone: bool,
    pub(super) cancelled: bool,
    pub(super) last_connection: Option<ConnectionId>,
    pub(super) answer: AnswerCollector,
}

/// The phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Stage {
    /// The claim of its idempotency key was requested, and its result has not arrived.
    Claiming,
    /// The request waits for a slot.
    Queued,
    /// This attempt of the request was sent and has not ended.
    Running(AttemptId),
}

/// An attempt that was sent and may still occupy a slot. It outlives its request if that ended first, e.g. at its
/// deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Attempt {
    pub(super) connection: ConnectionId,
    pub(super) sequence: u64,
    pub(super) organisation: OrganisationId,
    #[serde(rename = "forget_ms")]
    pub(super) expiry_ms: u64,
}

/// Counters of ended requests by outcome, and of the attempts sent for all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Requests that ended as done.
    pub done: u64,
    /// Requests that are guaranteed not to have run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Attempts after the first of their request.
    pub retries: u64,
}

/// State of a router for `/metrics` and `/dump`. It contains no bodies, since they belong to the organisations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSummary {
    /// Whether the router has a bundle.
    pub ready: bool,
    /// Requests that wait for a claim or a slot, by class.
    pub waiting: BTreeMap<Class, u32>,
    /// Attempts that may still occupy a slot.
    pub attempts: u64,
    /// Attempts that may still occupy a slot, by organisation.
    pub running: BTreeMap<OrganisationId, u32>,
    /// The number of connected endpoints.
    pub endpoints: u64,
    /// Counters since the start.
    pub totals: Totals,
}

impl Router {
    /// Creates a router for an incarnation of an entry, which must be unique among all processes.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            rules: None,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            queue: Queue::default(),
            pool: Pool::default(),
            budget: RetryBudget::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            timers: BTreeSet::new(),
            totals: Totals::default(),
        }
    }

    /// Handles an input that occurred at `now_ms` of the entry's clock, and returns the actions to perform, in order.
    pub fn handle<R>(
        &mut self,
        now_ms: u64,
        input: RouterInput,
        random: &mut R,
    ) -> Vec<RouterOutput>
    where
        R: Rng,
    {
        let mut outputs = Vec::new();
        match input {
            RouterInput::Rules(rules) => self.rules = Some(rules),
            RouterInput::Submit { request, spec } => {
                self.submit(now_ms, request, spec, &mut outputs);
            }
            RouterInput::CallerGone { request } => self.caller_gone(request, &mut outputs),
            RouterInput::Announced { connection, endpoint } => {
                for older in self.pool.announce(connection, endpoint) {
                    outputs.push(RouterOutput::Close { connection: older });
                    self.disconnected(now_ms, older, &mut outputs);
                }
            }
            RouterInput::Received { connection, message } => {
                self.received(now_ms, connection, message, &mut outputs);
            }
            RouterInput::NotSent { attempt } => self.not_sent(now_ms, attempt, &mut outputs),
            RouterInput::Disconnected { connection } => {
                self.disconnected(now_ms, connection, &mut outputs);
            }
            RouterInput::DataCentreState { data_centre, state } => {
                self.pool.set_data_centre_state(data_centre, state);
            }
            RouterInput::Claim { request, result } => self.claimed(request, result, &mut outputs),
            RouterInput::Tick => self.fire_timers(now_ms, &mut outputs),
        }
        self.dispatch(now_ms, random, &mut outputs);
        outputs
    }

    /// Returns the state that operators may see.
    pub fn summary(&self) -> RouterSummary {
        RouterSummary {
            ready: self.rules.is_some(),
            waiting: self.waiting.clone(),
            attempts: self.attempts.len() as u64,
            running: self.running.clone(),
            endpoints: self.pool.len() as u64,
            totals: self.totals,
        }
    }

    /// Returns whether there are neither requests nor attempts that may still occupy a slot.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.attempts.is_empty()
    }

    /// Returns the state of all connected endpoints.
    pub fn endpoints(&self) -> Vec<EndpointView> {
        self.pool.list()
    }

    /// Stops sending new attempts to an endpoint, and returns the connections of its agent, to which the caller sends
    /// the drain.
    pub fn drain(&mut self, endpoint: &EndpointId) -> Vec<ConnectionId> {
        let views = self.pool.list().into_iter().filter(|view| &view.id == endpoint);
        let connections: Vec<ConnectionId> = views.map(|view| view.connection).collect();
        for connection in &connections {
            self.pool.drain(*connection);
        }
        connections
    }

    fn submit(
        &mut self,
        now_ms: u64,
        number: u64,
        spec: RequestSpec,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let class = match self.admit(&spec) {
            Ok(class) => class,
            Err(refusal) => {
                self.totals.not_run += 1;
                let end = RequestEnd::NotRun(refusal);
                outputs.push(RouterOutput::End { request: number, end });
                return;
            }
        };
        let deadline_ms = now_ms.saturating_add(spec.deadline_ms);
        let claim = key_claim(&spec);
        let request = Request {
            spec,
            class,
            deadline_ms,
            timer_ms: deadline_ms,
            stage: Stage::Claiming,
            attempts: 0,
            maybe_ran: false,
            caller_gone: false,
            cancelled: false,
            last_connection: None,
            answer: AnswerCollector::default(),
        };
        self.timers.insert((deadline_ms, Timer::Request(number)));
        self.requests.insert(number, request);
        *self.waiting.entry(class).or_default() += 1;
        match claim {
            Some(claim) => outputs.push(RouterOutput::Claim { request: number, claim }),
            None => self.enqueue(number),
        }
    }

    fn admit(&self, spec: &RequestSpec) -> Result<Class, Refusal> {
        let rules = self.rules.as_ref().ok_or(Refusal::NotReady)?;
        if !rules.organisations.contains(&spec.organisation) {
            return Err(Refusal::UnknownOrganisation);
        }
        let class = *rules.kinds.get(&spec.kind).ok_or(Refusal::UnknownKind)?;
        let limit = rules.queue_limits.get(&class).copied().unwrap_or_default();
        let waiting = self.waiting.get(&class).copied().unwrap_or_default();
        if waiting >= limit {
            return Err(Refusal::QueueFull);
        }
        if spec.deadline_ms == 0 {
            return Err(Refusal::DeadlinePassed);
        }
        Ok(class)
    }

    /// Inserts a request, which already counts as waiting, into its lane.
    fn enqueue(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.stage = Stage::Queued;
            self.queue.insert(request.lane(), number);
        }
    }

    /// Puts a request whose attempt ended back into its lane for a retry.
    pub(super) fn requeue(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.answer = AnswerCollector::default();
            *self.waiting.entry(request.class).or_default() += 1;
        }
        self.enqueue(number);
    }

    fn claimed(&mut self, number: u64, result: ClaimResult, outputs: &mut Vec<RouterOutput>) {
        let claiming = |request: &Request| request.stage == Stage::Claiming;
        if !self.requests.get(&number).is_some_and(claiming) {
            return;
        }
        match result {
            ClaimResult::Claimed => self.enqueue(number),
            ClaimResult::Recorded(outcome) => {
                self.end_unrecorded(number, RequestEnd::Recorded(outcome), outputs);
            }
            ClaimResult::Running => {
                let reason = "an earlier call with this idempotency key has no recorded outcome";
                let end = RequestEnd::Unknown { reason: reason.to_owned() };
                self.end_unrecorded(number, end, outputs);
            }
            ClaimResult::Mismatch => {
                self.end_unrecorded(number, RequestEnd::NotRun(Refusal::KeyMismatch), outputs);
            }
            ClaimResult::Unavailable => {
                self.end(number, RequestEnd::NotRun(Refusal::TableUnavailable), outputs);
            }
        }
    }

    fn caller_gone(&mut self, number: u64, outputs: &mut Vec<RouterOutput>) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.caller_gone = true;
        match request.stage {
            Stage::Running(attempt) => self.cancel(number, attempt, outputs),
            Stage::Claiming | Stage::Queued => {
                let end = self.end_without_attempt(
                    number,
                    Refusal::CallerGone,
                    "the caller disconnected, and an earlier attempt may have run",
                );
                self.end(number, end, outputs);
            }
        }
    }

    /// Returns the end of a request without an outstanding attempt: `Unknown` with `reason` if an earlier attempt may
    /// have run, otherwise `NotRun` with `refusal`.
    pub(super) fn end_without_attempt(
        &self,
        number: u64,
        refusal: Refusal,
        reason: &str,
    ) -> RequestEnd {
        if self.requests.get(&number).is_some_and(|request| request.maybe_ran) {
            RequestEnd::Unknown { reason: reason.to_owned() }
        } else {
            RequestEnd::NotRun(refusal)
        }
    }

    /// Sends a cancellation to the agent of a request's attempt, unless one was sent already.
    pub(super) fn cancel(&mut self, number: u64, id: AttemptId, outputs: &mut Vec<RouterOutput>) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(attempt) = self.attempts.get(&id) else { return };
        if !std::mem::replace(&mut request.cancelled, true) {
            let message = EntryMessage::Cancel { attempt: id, sequence: attempt.sequence };
            outputs.push(RouterOutput::Send { connection: attempt.connection, message });
        }
    }

    fn fire_timers(&mut self, now_ms: u64, outputs: &mut Vec<RouterOutput>) {
        while let Some((due_ms, timer)) = self.timers.first().copied() {
            if due_ms > now_ms {
                break;
            }
            self.timers.pop_first();
            match timer {
                Timer::Request(number) => self.on_request_timer(now_ms, number, outputs),
                Timer::Attempt(id) => {
                    if let Some(attempt) = self.release(id) {
                        self.record_failure(now_ms, attempt.connection);
                    }
                }
            }
        }
    }

    fn on_request_timer(&mut self, now_ms: u64, number: u64, outputs: &mut Vec<RouterOutput>) {
        let grace_ms = self.limits().cancel_grace_ms;
        let Some(request) = self.requests.get_mut(&number) else { return };
        let past_grace = request.timer_ms > request.deadline_ms;
        match request.stage {
            Stage::Running(attempt) if !past_grace => {
                request.timer_ms = now_ms.max(request.deadline_ms) + grace_ms.max(1);
                self.timers.insert((request.timer_ms, Timer::Request(number)));
                self.cancel(number, attempt, outputs);
            }
            Stage::Running(_) => {
                let reason = "the deadline passed while the request was running".to_owned();
                self.end(number, RequestEnd::Unknown { reason }, outputs);
            }
            Stage::Claiming | Stage::Queued => {
                let reason = "the deadline passed, and an earlier attempt may have run";
                let end = self.end_without_attempt(number, Refusal::DeadlinePassed, reason);
                self.end(number, end, outputs);
            }
        }
    }

    /// Ends a request, and records its outcome if it has an idempotency key.
    pub(super) fn end(&mut self, number: u64, end: RequestEnd, outputs: &mut Vec<RouterOutput>) {
        let claim = self.requests.get(&number).and_then(|request| key_claim(&request.spec));
        if let Some(claim) = claim {
            outputs.push(RouterOutput::Finish { request: number, claim, outcome: end.outcome() });
        }
        self.end_unrecorded(number, end, outputs);
    }

    /// Ends a request without recording its outcome under its idempotency key. To be called directly only if the key
    /// belongs to another call.
    fn end_unrecorded(&mut self, number: u64, end: RequestEnd, outputs: &mut Vec<RouterOutput>) {
        let Some(request) = self.requests.remove(&number) else { return };
        self.timers.remove(&(request.timer_ms, Timer::Request(number)));
        if !matches!(request.stage, Stage::Running(_)) {
            self.queue.remove(&request.lane(), number);
            self.decrement_waiting(request.class);
        }
        match end.outcome() {
            Outcome::Done => self.totals.done += 1,
            Outcome::NotRun => self.totals.not_run += 1,
            Outcome::Unknown => self.totals.unknown += 1,
        }
        if !request.caller_gone {
            outputs.push(RouterOutput::End { request: number, end });
        }
    }

    pub(super) fn decrement_waiting(&mut self, class: Class) {
        if let Some(waiting) = self.waiting.get_mut(&class) {
            *waiting = waiting.saturating_sub(1);
        }
    }

    /// Handles a message of an endpoint's agent. Ignores the messages of agents beside workers, which other modules
    /// handle.
    fn received(
        &mut self,
        now_ms: u64,
        connection: ConnectionId,
        message: AgentMessage,
        outputs: &mut Vec<RouterOutput>,
    ) {
        match message {
            AgentMessage::Drain => self.pool.drain(connection),
            AgentMessage::NotRun { attempt, reason } => {
                if self.is_outstanding_on(attempt, connection) {
                    self.refused(now_ms, attempt, reason, outputs);
                }
            }
            AgentMessage::Answer { attempt, chunk } => {
                if self.is_outstanding_on(attempt, connection) {
                    self.answered(now_ms, attempt, chunk, outputs);
                }
            }
            AgentMessage::Failed { attempt, reason } => {
                if self.is_outstanding_on(attempt, connection) {
                    self.failed(now_ms, attempt, &reason, outputs);
                }
            }
            AgentMessage::Tombstoned { attempt } => {
                if self.is_outstanding_on(attempt, connection) {
                    self.tombstoned(now_ms, attempt, outputs);
                }
            }
            AgentMessage::Announce(_)
            | AgentMessage::AlreadyStarted { .. }
            | AgentMessage::FindLeader { .. }
            | AgentMessage::AskPermit { .. }
            | AgentMessage::Lead(_)
            | AgentMessage::JobAccepted { .. }
            | AgentMessage::Applied { .. } => {}
        }
    }

    /// Returns whether an attempt was sent on this connection and has not ended.
    fn is_outstanding_on(&self, id: AttemptId, connection: ConnectionId) -> bool {
        self.attempts.get(&id).is_some_and(|attempt| attempt.connection == connection)
    }
}

impl Request {
    pub(super) fn lane(&self) -> Lane {
        Lane {
            class: self.class,
            organisation: self.spec.organisation.clone(),
            kind: self.spec.kind.clone(),
        }
    }
}

fn key_claim(spec: &RequestSpec) -> Option<KeyClaim> {
    let key = spec.key.clone()?;
    Some(KeyClaim { organisation: spec.organisation.clone(), key, digest: spec.digest() })
}
