//! Handling of attempts: dispatch, answers, refusals, failures and retries.

use std::collections::BTreeSet;

use rand::Rng;

use super::answer::AnswerProgress;
use super::message::{ConnectionId, Refusal, RequestEnd, RouterLimits, RouterOutput};
use super::router::{Attempt, Router, Stage, Timer};
use crate::prelude::*;
use crate::wire::{AnswerChunk, AttemptRequest, EntryMessage, NotRunReason};

/// How an attempt ended without a complete answer.
enum AttemptFailure<'a> {
    /// The attempt did not run, and never will.
    NotRun(NotRunReason),
    /// The attempt may have run; the outcome is unknown for this reason.
    Unknown(&'a str),
}

impl Router {
    /// Sends waiting requests to endpoints that have room.
    pub(super) fn dispatch<R>(
        &mut self,
        now_ms: u64,
        random: &mut R,
        outputs: &mut Vec<RouterOutput>,
    ) where
        R: Rng,
    {
        let mut blocked = BTreeSet::new();
        while !self.queue.is_empty() {
            let Some((lane, number)) = self.queue.next(&self.running, &blocked) else { return };
            let avoid = self.requests.get(&number).and_then(|request| request.last_connection);
            match self.pool.choose(&lane.kind, avoid, now_ms, random) {
                Some(connection) => self.start_attempt(now_ms, number, connection, outputs),
                None => {
                    blocked.insert(lane.kind.clone());
                }
            }
        }
    }

    fn start_attempt(
        &mut self,
        now_ms: u64,
        number: u64,
        connection: ConnectionId,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let attempt_expiry_ms = self.limits().attempt_expiry_ms;
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(sequence) = self.pool.acquire_slot(connection) else { return };
        self.queue.remove(&request.lane(), number);
        request.attempts += 1;
        let id =
            AttemptId { incarnation: self.incarnation, request: number, number: request.attempts };
        request.stage = Stage::Running(id);
        request.last_connection = Some(connection);
        let organisation = request.spec.organisation.clone();
        let expiry_ms = request.deadline_ms.saturating_add(attempt_expiry_ms);
        let message = EntryMessage::Attempt(AttemptRequest {
            attempt: id,
            sequence,
            organisation: organisation.clone(),
            kind: request.spec.kind.clone(),
            remaining_ms: request.deadline_ms.saturating_sub(now_ms),
            body: request.spec.body.clone(),
        });
        let class = request.class;
        self.totals.attempts += 1;
        self.totals.retries += u64::from(request.attempts > 1);
        self.decrement_waiting(class);
        *self.running.entry(organisation.clone()).or_default() += 1;
        self.timers.insert((expiry_ms, Timer::Attempt(id)));
        self.attempts.insert(id, Attempt { connection, sequence, organisation, expiry_ms });
        outputs.push(RouterOutput::Send { connection, message });
    }

    /// Removes an attempt that ended and releases its slot.
    pub(super) fn release(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        self.timers.remove(&(attempt.expiry_ms, Timer::Attempt(id)));
        self.pool.release_slot(attempt.connection);
        if let Some(running) = self.running.get_mut(&attempt.organisation) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(&attempt.organisation);
            }
        }
        Some(attempt)
    }

    pub(super) fn limits(&self) -> RouterLimits {
        self.rules.as_ref().map(|rules| rules.limits).unwrap_or_default()
    }

    pub(super) fn record_failure(&mut self, now_ms: u64, connection: ConnectionId) {
        let limits = self.limits();
        self.pool.record_failure(connection, now_ms, &limits);
    }

    pub(super) fn refused(
        &mut self,
        now_ms: u64,
        id: AttemptId,
        reason: NotRunReason,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let Some(attempt) = self.release(id) else { return };
        let limits = self.limits();
        self.pool.record_refusal(attempt.connection, reason, now_ms, &limits);
        self.attempt_ended(now_ms, id, AttemptFailure::NotRun(reason), outputs);
    }

    pub(super) fn not_sent(&mut self, now_ms: u64, id: AttemptId, outputs: &mut Vec<RouterOutput>) {
        self.refused(now_ms, id, NotRunReason::EndpointGone, outputs);
    }

    pub(super) fn tombstoned(
        &mut self,
        now_ms: u64,
        id: AttemptId,
        outputs: &mut Vec<RouterOutput>,
    ) {
        if self.release(id).is_some() {
            self.attempt_ended(
                now_ms,
                id,
                AttemptFailure::NotRun(NotRunReason::Cancelled),
                outputs,
            );
        }
    }

    pub(super) fn failed(
        &mut self,
        now_ms: u64,
        id: AttemptId,
        reason: &str,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let Some(attempt) = self.release(id) else { return };
        self.record_failure(now_ms, attempt.connection);
        self.attempt_ended(now_ms, id, AttemptFailure::Unknown(reason), outputs);
    }

    pub(super) fn disconnected(
        &mut self,
        now_ms: u64,
        connection: ConnectionId,
        outputs: &mut Vec<RouterOutput>,
    ) {
        self.pool.remove(connection);
        let outstanding =
            self.attempts.iter().filter(|(_, attempt)| attempt.connection == connection);
        let ids: Vec<AttemptId> = outstanding.map(|(id, _)| *id).collect();
        for id in ids {
            self.release(id);
            let failure =
                AttemptFailure::Unknown("the connection to the endpoint's agent was lost");
            self.attempt_ended(now_ms, id, failure, outputs);
        }
    }

    /// Adds a part to the answer of an attempt. If its request ended already, the part is ignored, except that the last
    /// one releases the slot.
    pub(super) fn answered(
        &mut self,
        now_ms: u64,
        id: AttemptId,
        chunk: AnswerChunk,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let is_end = matches!(chunk, AnswerChunk::End { .. });
        let released = if is_end { self.release(id) } else { None };
        let buffer_bytes = self.limits().buffer_bytes;
        let number = id.request;
        let running = self.requests.get_mut(&number).filter(|r| r.stage == Stage::Running(id));
        let progress = match running {
            Some(request) => request.answer.add(chunk, buffer_bytes),
            None => AnswerProgress::Buffered,
        };
        match progress {
            AnswerProgress::Buffered => {}
            AnswerProgress::BeginStream(status, bytes) => {
                self.send_to_caller(RouterOutput::StreamHead { request: number, status }, outputs);
                self.send_to_caller(RouterOutput::StreamChunk { request: number, bytes }, outputs);
            }
            AnswerProgress::Stream(bytes) => {
                self.send_to_caller(RouterOutput::StreamChunk { request: number, bytes }, outputs);
            }
            AnswerProgress::CompleteBuffered(status, body) => {
                self.complete(released, number, RequestEnd::Whole { status, body }, outputs);
            }
            AnswerProgress::CompleteStreamed => {
                self.complete(released, number, RequestEnd::Streamed, outputs)
            }
            AnswerProgress::Invalid(reason) => {
                if let Some(attempt) = self.release(id).or(released) {
                    self.record_failure(now_ms, attempt.connection);
                }
                self.attempt_ended(now_ms, id, AttemptFailure::Unknown(&reason), outputs);
            }
        }
    }

    fn send_to_caller(&self, output: RouterOutput, outputs: &mut Vec<RouterOutput>) {
        let (RouterOutput::StreamHead { request, .. } | RouterOutput::StreamChunk { request, .. }) =
            &output
        else {
            return;
        };
        if self.requests.get(request).is_some_and(|request| !request.caller_gone) {
            outputs.push(output);
        }
    }

    fn complete(
        &mut self,
        released: Option<Attempt>,
        number: u64,
        end: RequestEnd,
        outputs: &mut Vec<RouterOutput>,
    ) {
        if let Some(attempt) = released {
            self.pool.record_success(attempt.connection);
        }
        self.budget.earn(self.rules.as_ref().map_or(0, |rules| rules.retry_budget_per_mille));
        self.end(number, end, outputs);
    }

    /// Retries the request of an attempt that ended without a complete answer if that is safe and within the limits;
    /// otherwise ends the request.
    fn attempt_ended(
        &mut self,
        now_ms: u64,
        id: AttemptId,
        failure: AttemptFailure<'_>,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let number = id.request;
        let max_attempts = self.limits().max_attempts;
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.stage != Stage::Running(id) {
            return;
        }
        let failure = match failure {
            AttemptFailure::NotRun(_) if request.answer.has_begun() => {
                AttemptFailure::Unknown("the agent refused the attempt after its answer had begun")
            }
            failure => failure,
        };
        request.maybe_ran |= matches!(failure, AttemptFailure::Unknown(_));
        let is_awaited = !request.caller_gone && now_ms < request.deadline_ms;
        let is_safe = !request.maybe_ran || request.spec.repeat == Repeat::Allowed;
        let is_possible = !request.answer.is_streaming() && request.attempts < max_attempts;
        if is_awaited && is_safe && is_possible && self.budget.try_spend() {
            self.requeue(number);
            return;
        }
        let end = match failure {
            AttemptFailure::Unknown(reason) => RequestEnd::Unknown { reason: reason.to_owned() },
            AttemptFailure::NotRun(reason) => {
                let refusal = self.refusal_after(number, now_ms, reason);
                self.end_without_attempt(number, refusal, "an earlier attempt may have run")
            }
        };
        self.end(number, end, outputs);
    }

    /// Returns the refusal of a request whose last attempt was refused.
    fn refusal_after(&self, number: u64, now_ms: u64, reason: NotRunReason) -> Refusal {
        match self.requests.get(&number) {
            Some(request) if request.caller_gone => Refusal::CallerGone,
            Some(request) if now_ms >= request.deadline_ms => Refusal::DeadlinePassed,
            _ => Refusal::Attempts(reason),
        }
    }
}
