//! Renewals of the worker's lease, and the lists of attempts that answer them.

use std::collections::BTreeSet;

use super::Host;
use crate::coordinator::message::HostMessage;
use crate::host::event::{AttemptKey, Event};
use crate::host::{Renewal, RenewalAnswer, WorkerError, WorkerHeartbeat, WorkerPort};
use crate::planner::AttemptsReport;
use crate::prelude::*;
use crate::wire::MAX_FRAME_BYTES;

/// The pause before a failed renewal is repeated.
const RENEWAL_RETRY_PAUSE_MS: u64 = 200;
/// The pause while connections are refused time after time, so that a worker that is gone is not called too often.
const REFUSED_RETRY_PAUSE_MS: u64 = 1_000;
/// The pause while the worker's program is ending, so that its end is noticed soon.
const TERMINATION_RETRY_PAUSE_MS: u64 = 50;
/// The pause before the next renewal while the leader has not acknowledged all listed ends or not yet renewed the
/// lease. Its acknowledgement ends the pause early.
const UNACKNOWLEDGED_PAUSE_MS: u64 = 250;
/// The number of refused connections in a row from which on the pause is [`REFUSED_RETRY_PAUSE_MS`].
const FREQUENT_REFUSED_RETRIES: u32 = 5;
/// The maximum length of all checkpoints in a list to the leader, in bytes; half of a frame.
const MAX_LISTED_CHECKPOINT_BYTES: usize = MAX_FRAME_BYTES / 2;
/// The longest time for which the next request waits for the leader's answer to a list, which lets it extend the lease. Lists
/// that follow each other closely do not wait: an end in the meantime would be noticed later.
const RENEWED_WAIT_MS: u64 = 60;

/// A renewal whose call of the worker has not ended.
#[derive(Debug)]
pub(super) struct PendingRenewal {
    number: u64,
    epoch: Epoch,
    acknowledged: u64,
    /// The attempts whose start was in progress at some time since the renewal began.
    pub(super) starting: BTreeSet<AttemptKey>,
    /// The attempts whose stop was confirmed before the renewal began.
    stopped: BTreeSet<AttemptKey>,
}

impl<P> Host<P>
where
    P: WorkerPort,
{
    /// Requests the worker to extend its lease and to list its attempts, unless a renewal is in progress or a pause has
    /// not ended.
    pub(super) fn renew(&mut self) {
        let now_ms = self.clock.now_ms();
        if self.pending_renewal.is_none() && now_ms >= self.renew_after_ms {
            let is_first = !self.has_listed || self.lease.renewed_ms().is_none();
            self.begin_renewal(if is_first { 0 } else { self.listing.wait_ms(now_ms) });
        }
    }

    pub(super) fn begin_renewal(&mut self, wait_ms: u64) {
        let Some(heartbeat) = &self.last_heartbeat else {
            return;
        };
        // Without a leader the lease is extended for as long as the last renewal allows.
        let now_ms = self.clock.now_ms();
        if self.leader.is_none() && !self.lease.is_extendable(now_ms) {
            return;
        }
        if self.superseded_by_born_ms.is_some() && self.unconfirmed.is_none() {
            return;
        }
        self.last_renewal_number += 1;
        // The clock and the numbers of ends of another incarnation are its own.
        let (target, deadline_ms, acknowledged) = match &self.unconfirmed {
            Some(unconfirmed) => (unconfirmed.target.clone(), None, 0),
            None => {
                let deadline_ms = self.lease.deadline_ms(now_ms);
                let is_new = self.acknowledged > self.delivered_acknowledgement;
                let acknowledged = if is_new { self.acknowledged } else { 0 };
                (heartbeat.target.clone(), deadline_ms, acknowledged)
            }
        };
        let epoch = self.highest_epoch;
        let renewal = Renewal { fence: epoch, deadline_ms, acknowledged, wait_ms };
        self.expiry.record_deadline(deadline_ms.unwrap_or_default());
        self.pending_renewal = Some(PendingRenewal {
            number: self.last_renewal_number,
            epoch,
            acknowledged,
            starting: self.starts.keys().chain(&self.unresolved).cloned().collect(),
            stopped: self.stopped.clone(),
        });
        let port = self.port.clone();
        let (events, number) = (self.events.clone(), self.last_renewal_number);
        tokio::spawn(async move {
            let result = port.renew_lease(&target, &renewal).await;
            let _ = events.send(Event::RenewalEnded { renewal: number, result }).await;
        });
    }

    pub(super) fn on_renewal_ended(
        &mut self,
        number: u64,
        result: Result<RenewalAnswer, WorkerError>,
    ) {
        let Some(pending) = self.pending_renewal.take_if(|pending| pending.number == number) else {
            return;
        };
        let now_ms = self.clock.now_ms();
        match result {
            Ok(answer) => self.on_renewed(now_ms, pending, answer),
            Err(error) => {
                log::warn!(
                    "lease of the worker could not be renewed; retried after a pause: {error}"
                );
                self.on_renewal_failed(now_ms, &error);
            }
        }
    }

    /// Repeats a renewal after a pause. A refused connection does not prove that the worker has ended: a firewall may
    /// refuse connections to a worker that goes on running its attempts.
    fn on_renewal_failed(&mut self, now_ms: u64, error: &WorkerError) {
        if *error == WorkerError::OtherIncarnation {
            self.unconfirmed = None;
        }
        let is_refused = *error == WorkerError::ConnectionRefused;
        self.refused_connections = if is_refused { self.refused_connections + 1 } else { 0 };
        if is_refused && self.end_notice.is_announced() {
            self.incarnation_ended("its program announced its end, and connections are refused");
            return;
        }
        let pause_ms = match self.end_notice.is_announced() {
            true => TERMINATION_RETRY_PAUSE_MS,
            false if self.refused_connections > FREQUENT_REFUSED_RETRIES => REFUSED_RETRY_PAUSE_MS,
            false => RENEWAL_RETRY_PAUSE_MS,
        };
        self.renew_after_ms = now_ms + pause_ms;
        self.renew_later(pause_ms);
    }

    fn on_renewed(&mut self, now_ms: u64, pending: PendingRenewal, answer: RenewalAnswer) {
        self.refused_connections = 0;
        let Some(incarnation) =
            self.last_heartbeat.as_ref().map(|heartbeat| heartbeat.report.incarnation.clone())
        else {
            return;
        };
        let unconfirmed = self.unconfirmed.take();
        if answer.born_ms != incarnation.born_ms {
            log::info!(
                born_ms = answer.born_ms, known = incarnation.born_ms;
                "list of attempts of another incarnation; no orders until that one sends a heartbeat"
            );
            self.superseded_by_born_ms = Some(answer.born_ms);
            self.abort_starts();
            let has_answered = |heartbeat: &WorkerHeartbeat| {
                heartbeat.report.incarnation.born_ms == answer.born_ms
            };
            if let Some(heartbeat) = unconfirmed.filter(has_answered) {
                self.on_heartbeat(heartbeat);
                return;
            }
            self.renew_after_ms = now_ms + RENEWAL_RETRY_PAUSE_MS;
            self.renew_later(RENEWAL_RETRY_PAUSE_MS);
            return;
        }
        self.has_listed = true;
        self.delivered_acknowledgement = self.delivered_acknowledgement.max(pending.acknowledged);
        if self.end_notice.record_answer(now_ms) {
            log::info!(
                "worker answers after the notice of its end; refused connections do not prove its end"
            );
        }
        self.lease.record_worker_clock(answer.clock_ms, now_ms);
        self.record_answer(answer.clock_ms);
        self.listing.record_listing(now_ms, &answer.running);
        let last_ended = answer.ended.last().map_or(0, |end| end.number);
        let has_unacknowledged = last_ended > self.acknowledged;
        let is_first = self.lease.renewed_ms().is_none();
        self.last_ended = self.last_ended.max(last_ended);
        let has_leader = self.leader.as_ref().is_some_and(|leader| leader.epoch == pending.epoch);
        if has_leader {
            self.stopped.retain(|key| !pending.stopped.contains(key));
            let mut report = AttemptsReport {
                incarnation,
                running: answer.running,
                ended: answer.ended,
                starting: pending.starting.into_iter().collect(),
                stopped: pending.stopped.into_iter().collect(),
            };
            let omitted = report.limit_checkpoints(MAX_LISTED_CHECKPOINT_BYTES);
            if omitted > 0 {
                self.metrics.count("checkpoint", "not_listed");
                log::warn!(
                    checkpoints = omitted, attempts = report.running.len();
                    "checkpoints are too long for the list to the leader and are left out"
                );
            }
            self.send_to_leader(HostMessage::Runs { asked_ms: now_ms, report });
        }
        self.awaits_renewed = is_first;
        if has_unacknowledged || is_first {
            self.renew_after_ms = now_ms + UNACKNOWLEDGED_PAUSE_MS;
            self.renew_later(UNACKNOWLEDGED_PAUSE_MS);
        } else if has_leader && !self.listing.has_young(now_ms) {
            self.awaits_renewed = true;
            self.renew_after_ms = now_ms + RENEWED_WAIT_MS;
            self.renew_later(RENEWED_WAIT_MS);
        } else {
            self.renew();
        }
    }

    pub(super) fn renew_later(&self, pause_ms: u64) {
        let events = self.events.clone();
        tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(pause_ms)).await;
            let _ = events.send(Event::Tick).await;
        });
    }
}
