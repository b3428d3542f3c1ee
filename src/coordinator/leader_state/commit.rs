//! Writes the batches of the planner to the store, one transaction after the other.

use std::time::Duration;

use super::Head;
use crate::coordinator::actor::Coordinator;
use crate::coordinator::event::{Event, EventSender};
use crate::coordinator::job_rows::{cancel_key, job_key};
use crate::coordinator::progress_rows::progress_key;
use crate::coordinator::relay::RelayingStore;
use crate::coordinator::takeover::head_key;
use crate::coordinator::transaction_retry::{TransactionOutcome, transact_with_retries};
use crate::planner::{Batch, PlannerTime, RecordChange};
use crate::prelude::*;
use crate::store::{RowError, RowStore, Transaction};
use crate::workflow;

/// The pause before the first retry of a transaction that had no answer or no effect; it doubles with each retry.
const MIN_COMMIT_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The time limit of one round of attempts, each of which ends by itself after 0.8 s.
const COMMIT_ROUND_LIMIT: Duration = Duration::from_secs(3);
/// The longest pause between two rounds of attempts.
const MAX_COMMIT_RETRY_PAUSE: Duration = Duration::from_millis(250);

impl<S> Coordinator<S>
where
    S: RowStore,
{
    /// Writes the planner's changes to the store, one transaction at a time, until none is left or one is in progress.
    pub(super) fn flush(&mut self) {
        let now = self.now();
        loop {
            let Some(leader_state) = &mut self.leader_state else {
                return;
            };
            if leader_state.pending_batch.is_some() {
                return;
            }
            let Some(batch) = leader_state.planner.take_batch() else {
                return;
            };
            if batch.changes.is_empty() {
                let outputs = leader_state.planner.release(now, batch.effects);
                self.handle_outputs(outputs);
                continue;
            }
            self.begin_commit(batch);
        }
    }

    fn begin_commit(&mut self, batch: Batch) {
        let store = self.store().clone();
        let events = self.events.clone();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.head.sequence += 1;
        let mut transaction = Transaction {
            conditions: vec![(head_key(), leader_state.head_version)],
            puts: vec![(head_key(), workflow::encode(&leader_state.head))],
            removals: Vec::new(),
        };
        for change in &batch.changes {
            add_change(&mut transaction, change);
        }
        leader_state.commit_began_ms = self.service.clock.now_ms();
        if batch.omitted_checkpoints > 0 {
            self.service.metrics.count("checkpoint", "not_stored");
            log::warn!(
                epoch = leader_state.epoch().0, sequence = leader_state.head.sequence,
                checkpoints = batch.omitted_checkpoints;
                "checkpoints do not fit into the rows of their tasks and are kept in memory only"
            );
        }
        leader_state.pending_batch = Some(batch);
        let (head, epoch) = (leader_state.head.clone(), leader_state.epoch());
        leader_state.commit = Some(tokio::spawn(commit(store, transaction, head, epoch, events)));
    }

    pub(in crate::coordinator) fn on_commit_finished(
        &mut self,
        epoch: Epoch,
        result: Result<u64, RowError>,
    ) {
        let now = self.now();
        let Some(leader_state) =
            self.leader_state.as_mut().filter(|leader_state| leader_state.epoch() == epoch)
        else {
            return;
        };
        match result {
            Ok(version) => {
                leader_state.head_version = version;
                let commit_began_ms = leader_state.commit_began_ms;
                let took_ms = now.steady_ms.saturating_sub(commit_began_ms);
                self.service.metrics.observe("commit_seconds", took_ms);
                let batch = leader_state.pending_batch.take().unwrap_or_default();
                let outputs = leader_state.planner.release(now, batch.effects);
                self.election.store_answered(now.steady_ms);
                self.election.confirm_leadership(commit_began_ms);
                self.handle_outputs(outputs);
                self.flush();
            }
            Err(RowError::Refused { reason }) => self.on_commit_refused(now, &reason),
            Err(error) => {
                log::warn!(
                    epoch = epoch.0;
                    "transaction of the leader was rejected and cannot be applied; stepping down: {error}"
                );
                self.step_down("the store rejected a transaction of this leader");
            }
        }
    }

    /// Handles a transaction that the store refuses for its content, such as a row that is too large. No other leader could
    /// apply it either, so this one goes on without the changes that are refused.
    fn on_commit_refused(&mut self, now: PlannerTime, reason: &str) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let batch = leader_state.pending_batch.take().unwrap_or_default();
        let changes = batch.changes.len();
        let (withheld, outputs) = leader_state.planner.take_back_refused(now, batch);
        let epoch = leader_state.epoch().0;
        self.service.metrics.count("commit", "refused");
        match withheld {
            Some(job) => log::error!(
                job = job.as_str(), epoch, reason;
                "the store refuses the state of a job; the job starts nothing, and its result is not shown until the store accepts it"
            ),
            None => log::warn!(
                epoch, changes, reason;
                "the store refused a transaction of the leader; its changes are written one by one"
            ),
        }
        self.handle_outputs(outputs);
        self.flush();
    }
}

fn add_change(transaction: &mut Transaction, change: &RecordChange) {
    match change {
        RecordChange::Occurrence { job, occurrence, part, record, obsolete_parts } => {
            transaction.puts.push((progress_key(job, *occurrence, *part), record.clone()));
            let obsolete = obsolete_parts.clone().map(|part| progress_key(job, *occurrence, part));
            transaction.removals.extend(obsolete);
        }
        RecordChange::Remove { job, occurrences, parts, is_complete } => {
            if *is_complete {
                transaction.removals.push(job_key(job.as_str()));
                transaction.removals.push(cancel_key(job.as_str()));
            }
            for occurrence in occurrences.clone() {
                let keys = (0..*parts).map(|part| progress_key(job, occurrence, part));
                transaction.removals.extend(keys);
            }
        }
    }
}

/// Repeats a transaction until it is known that it was applied or that it cannot be applied.
///
/// The condition of each transaction is the version of the head that the previous one wrote. A repeated transaction is
/// therefore applied at most once, and a delayed one cannot be applied after a newer one.
async fn commit<S>(
    store: RelayingStore<S>,
    transaction: Transaction,
    head: Head,
    epoch: Epoch,
    events: EventSender,
) where
    S: RowStore,
{
    let mut pause = MIN_COMMIT_RETRY_PAUSE;
    let attempt = || async {
        let answer = store.direct().transact(&transaction).await;
        store.record_answer(&answer);
        answer
    };
    let result = loop {
        let reason = match transact_with_retries(attempt, COMMIT_ROUND_LIMIT).await {
            TransactionOutcome::Applied(version) => break Ok(version),
            TransactionOutcome::Conflict(current) => {
                let own_head = current.iter().find(|row| {
                    workflow::decode::<Head>(&row.content).is_ok_and(|stored| stored == head)
                });
                break match own_head {
                    Some(row) => Ok(row.version),
                    None => Err(RowError::Conflict { current }),
                };
            }
            TransactionOutcome::NotApplied(error @ RowError::Unavailable { .. }) => {
                error.to_string()
            }
            TransactionOutcome::NotApplied(error) => break Err(error),
            TransactionOutcome::Unknown(reason) => reason,
        };
        log::warn!(
            epoch = epoch.0, sequence = head.sequence, reason = reason.as_str();
            "transaction of the leader has no definite result; retried after a pause"
        );
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_COMMIT_RETRY_PAUSE);
    };
    // The actor only ends with the process.
    let _ = events.send(Event::Committed { epoch, result }).await;
}
