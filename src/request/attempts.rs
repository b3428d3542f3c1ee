//! The life of an attempt: dispatch, answers, refusals, failures and retries.

use std::collections::BTreeSet;

use rand::Rng;

use super::answer::Progress;
use super::message::{ConnectionId, Refusal, RequestEnd, RouterLimits, RouterOutput};
use super::router::{Attempt, Router, Stage, Timer};
use crate::prelude::*;
use crate::wire::{AnswerChunk, AttemptRequest, EntryMessage, NotRunReason};

/// How an attempt ended without a whole answer.
enum Ending<'a> {
    /// It did not run, and never will.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(&'a str),
}

impl Router {
    /// Sends waiting requests to endpoints with free slots.
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
                Some(connection) => self.start(now_ms, number, connection, outputs),
                None => {
                    blocked.insert(lane.kind.clone());
                }
            }
        }
    }

    fn start(
        &mut self,
        now_ms: u64,
        number: u64,
        connection: ConnectionId,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let forget_ms = self.limits().forget_ms;
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(sequence) = self.pool.take(connection) else { return };
        self.queue.remove(&request.lane(), number);
        request.attempts += 1;
        let id =
            AttemptId { incarnation: self.incarnation, request: number, number: request.attempts };
        request.stage = Stage::Running(id);
        request.last_connection = Some(connection);
        let organisation = request.spec.organisation.clone();
        let forget_ms = request.deadline_ms.saturating_add(forget_ms);
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
        self.leave_waiting(class);
        *self.running.entry(organisation.clone()).or_default() += 1;
        self.timers.insert((forget_ms, Timer::Attempt(id)));
        self.attempts.insert(id, Attempt { connection, sequence, organisation, forget_ms });
        outputs.push(RouterOutput::Send { connection, message });
    }

    /// Frees the slot of an attempt that ended.
    pub(super) fn release(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        self.timers.remove(&(attempt.forget_ms, Timer::Attempt(id)));
        self.pool.free(attempt.connection);
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
        self.attempt_ended(now_ms, id, Ending::NotRun(reason), outputs);
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
            self.attempt_ended(now_ms, id, Ending::NotRun(NotRunReason::Cancelled), outputs);
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
        self.attempt_ended(now_ms, id, Ending::Unknown(reason), outputs);
    }

    pub(super) fn disconnected(
        &mut self,
        now_ms: u64,
        connection: ConnectionId,
        outputs: &mut Vec<RouterOutput>,
    ) {
        self.pool.remove(connection);
        let on_it = self.attempts.iter().filter(|(_, attempt)| attempt.connection == connection);
        let lost: Vec<AttemptId> = on_it.map(|(id, _)| *id).collect();
        for id in lost {
            self.release(id);
            let ending = Ending::Unknown("the connection to the endpoint's agent was lost");
            self.attempt_ended(now_ms, id, ending, outputs);
        }
    }

    /// Adds a part to the answer of an attempt. Parts for a request that ended only free the slot.
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
            None => Progress::Held,
        };
        match progress {
            Progress::Held => {}
            Progress::Begin(status, bytes) => {
                self.pass_on(RouterOutput::StreamHead { request: number, status }, outputs);
                self.pass_on(RouterOutput::StreamChunk { request: number, bytes }, outputs);
            }
            Progress::Pass(bytes) => {
                self.pass_on(RouterOutput::StreamChunk { request: number, bytes }, outputs);
            }
            Progress::Whole(status, body) => {
                self.done(released, number, RequestEnd::Whole { status, body }, outputs);
            }
            Progress::Complete => self.done(released, number, RequestEnd::Streamed, outputs),
            Progress::Broken(reason) => {
                if let Some(attempt) = self.release(id).or(released) {
                    self.record_failure(now_ms, attempt.connection);
                }
                self.attempt_ended(now_ms, id, Ending::Unknown(&reason), outputs);
            }
        }
    }

    fn pass_on(&self, output: RouterOutput, outputs: &mut Vec<RouterOutput>) {
        let (RouterOutput::StreamHead { request, .. } | RouterOutput::StreamChunk { request, .. }) =
            &output
        else {
            return;
        };
        if self.requests.get(request).is_some_and(|request| !request.caller_gone) {
            outputs.push(output);
        }
    }

    fn done(
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

    /// Retries the request of an attempt that ended without a whole answer, or ends it.
    fn attempt_ended(
        &mut self,
        now_ms: u64,
        id: AttemptId,
        ending: Ending<'_>,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let number = id.request;
        let max_attempts = self.limits().max_attempts;
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.stage != Stage::Running(id) {
            return;
        }
        let ending = match ending {
            Ending::NotRun(_) if request.answer.has_begun() => {
                Ending::Unknown("the agent refused the request after its answer had begun")
            }
            ending => ending,
        };
        request.maybe_ran |= matches!(ending, Ending::Unknown(_));
        let wanted = !request.caller_gone && now_ms < request.deadline_ms;
        let harmless = !request.maybe_ran || request.spec.repeat == Repeat::Allowed;
        let possible = !request.answer.streams() && request.attempts < max_attempts;
        if wanted && harmless && possible && self.budget.spend() {
            self.queue_again(number);
            return;
        }
        let end = match ending {
            Ending::Unknown(reason) => RequestEnd::Unknown { reason: reason.to_owned() },
            Ending::NotRun(reason) => {
                let refusal = self.refusal_after(number, now_ms, reason);
                self.end_without_attempt(number, refusal, "an earlier attempt may have run")
            }
        };
        self.end(number, end, outputs);
    }

    fn refusal_after(&self, number: u64, now_ms: u64, reason: NotRunReason) -> Refusal {
        match self.requests.get(&number) {
            Some(request) if request.caller_gone => Refusal::CallerGone,
            Some(request) if now_ms >= request.deadline_ms => Refusal::DeadlinePassed,
            _ => Refusal::Attempts(reason),
        }
    }
}
