//! Rejects submissions under load.
//!
//! A rejection says that the job never runs. An earlier request with the same identifier may have had no answer, and the
//! store may still apply its write, so a rejection first writes an empty row under the key of the job: the late write
//! then fails its condition. A submission that arrives later replaces the empty row. One that was in progress already does
//! not: it may be a repetition of the rejected one, at another coordinator.

use std::time::Duration;

use super::job_rows::{StoredSubmission, job_key};
use super::relay::RelayingStore;
use super::service::{Service, Submission, compare_with_stored};
use super::transaction_retry::TransactionOutcome;
use crate::admission::{Admission, LoadSummary};
use crate::prelude::*;
use crate::store::{RowKey, RowStore, Transaction};
use crate::workflow::JobRecord;

/// The time for which the row of a rejection is kept. The store applies a write seconds late at most.
const RETENTION: Duration = Duration::from_secs(30);

/// Returns whether the content of a job's row says that the job was rejected.
pub fn is_rejection(content: &[u8]) -> bool {
    content.is_empty()
}

/// Removes the row of a rejection after [`RETENTION`], unless a submission has replaced it.
pub async fn remove_later<S>(store: RelayingStore<S>, key: RowKey, version: u64)
where
    S: RowStore,
{
    tokio::time::sleep(RETENTION).await;
    let transaction = Transaction {
        conditions: vec![(key.clone(), version)],
        puts: Vec::new(),
        removals: vec![key],
    };
    if let Err(error) = store.transact(&transaction).await {
        log::debug!("row of a rejected submission was not removed: {error}");
    }
}

impl<S> Service<S>
where
    S: RowStore,
{
    /// Returns the reason for which a new job is rejected, or `None` if it is accepted. A job that this coordinator knows
    /// is never rejected.
    pub(super) fn rejection(
        &self,
        now_ms: u64,
        job: &JobId,
        record: &JobRecord,
    ) -> Option<Submission> {
        if self.shared.with_view(|view| view.progress(job).is_some()) {
            return None;
        }
        let (age_ms, load) = self.shared.recent_load(now_ms)?;
        let rules = self.rules()?;
        let queue = rules.queues.iter().find(|queue| queue.name == record.queue)?;
        let guarantee = rules.guarantee_of(&record.organisation);
        let decide = match self.rejects_by_value {
            true => LoadSummary::decide_by_value,
            false => LoadSummary::decide,
        };
        let admission = decide(&load, job, record, queue.objective(), guarantee);
        let (kind, reason, retry_after_s) = match admission {
            Admission::Accept => return None,
            Admission::Overload { wait_ms, retry_after_s } => {
                let reason = format!(
                    "the accepted work takes about {wait_ms} ms more, so the job would end too late"
                );
                ("overload", reason, retry_after_s)
            }
            Admission::Infeasible { step, retry_after_s } => {
                let reason = format!("no set of workers that exists can run step {step}");
                ("infeasible", reason, retry_after_s)
            }
        };
        self.metrics.count("rejection", kind);
        self.metrics.count("rejection_by_organisation", record.organisation.as_str());
        log::info!(
            job = job.as_str(), queue = record.queue.as_str(), priority = record.priority,
            organisation = record.organisation.as_str(), load_age_ms = age_ms, retry_after_s,
            reason = reason.as_str();
            "job rejected"
        );
        Some(Submission::Rejected { reason, retry_after_s })
    }

    /// Makes a rejection durable. Returns another outcome if the job is stored already, or if that cannot be found out.
    pub(super) async fn reject(
        &self,
        job: &JobId,
        record: &JobRecord,
        rejection: Submission,
        limit: Duration,
    ) -> Submission {
        let (_, result) = self.write_job_row(job, Vec::new(), u64::MAX, limit).await;
        match result {
            TransactionOutcome::Applied(version) => {
                tokio::spawn(remove_later(self.store.clone(), job_key(job.as_str()), version));
                rejection
            }
            TransactionOutcome::Conflict(current) => match StoredSubmission::of(job, &current) {
                // Another request for the job is in progress at the same time.
                StoredSubmission::Rejected { .. } => Submission::Unknown,
                _ => compare_with_stored(job, &current, record).0,
            },
            TransactionOutcome::NotApplied(_) => Submission::NotAccepted,
            TransactionOutcome::Unknown(_) => Submission::Unknown,
        }
    }
}
