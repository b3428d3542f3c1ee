//! Cancels jobs that are not stored.
//!
//! The answer "no such job" says that the job does not run. The store may still apply the write of its submission, so the
//! row of the cancellation is written all the same: each submission has the condition that there is none
//! (docs/incidents/2026-12-07-cancellation-in-doubt.md).

use std::time::Duration;

use super::job_rows::{StoredSubmission, cancel_key, job_key};
use super::relay::RelayingStore;
use super::service::{Cancellation, Service};
use super::transaction_retry::{TransactionOutcome, transact_with_retries};
use crate::prelude::*;
use crate::store::{RowError, RowStore, Transaction};

/// The time for which the row is kept. The store applies a write seconds late at most.
const RETENTION: Duration = Duration::from_secs(30);
/// The maximum number of attempts to remove the row. The next leader removes it otherwise.
const REMOVAL_ATTEMPTS: u32 = 3;

/// Returns the transaction that writes the row of a job's cancellation.
pub fn cancel_transaction(job: &JobId) -> Transaction {
    let key = cancel_key(job.as_str());
    Transaction {
        conditions: vec![(key.clone(), 0)],
        puts: vec![(key, vec![1])],
        removals: Vec::new(),
    }
}

/// Removes the row of a cancellation after [`RETENTION`], unless the job is stored: the row then belongs to the job.
pub async fn remove_later<S>(store: RelayingStore<S>, job: JobId, version: u64)
where
    S: RowStore,
{
    let cancel_key = cancel_key(job.as_str());
    let transaction = Transaction {
        conditions: vec![(job_key(job.as_str()), 0), (cancel_key.clone(), version)],
        puts: Vec::new(),
        removals: vec![cancel_key],
    };
    for _ in 0..REMOVAL_ATTEMPTS {
        tokio::time::sleep(RETENTION).await;
        match store.transact(&transaction).await {
            Ok(_) => return,
            Err(RowError::Conflict { current })
                if !matches!(
                    StoredSubmission::of(&job, &current),
                    StoredSubmission::Rejected { .. }
                ) =>
            {
                return;
            }
            Err(error) => {
                log::debug!(job = job.as_str(); "row of a cancellation was not removed: {error}");
            }
        }
    }
}

impl<S> Service<S>
where
    S: RowStore,
{
    /// Cancels a job that was not found in the store. Returns the outcome and its reason.
    pub(super) async fn cancel_early(
        &self,
        job: &JobId,
        limit: Duration,
    ) -> (Cancellation, String) {
        let transaction = cancel_transaction(job);
        match transact_with_retries(|| self.store.transact(&transaction), limit).await {
            TransactionOutcome::Applied(version) => {
                // The job may have been stored since it was looked up.
                self.report_durable_rows(&transaction, version);
                tokio::spawn(remove_later(self.store.clone(), job.clone(), version));
                (Cancellation::NoSuchJob, String::new())
            }
            TransactionOutcome::Conflict(_) => {
                (Cancellation::NoSuchJob, "the cancellation is stored already".to_owned())
            }
            TransactionOutcome::NotApplied(error) => (Cancellation::NotAccepted, error.to_string()),
            TransactionOutcome::Unknown(reason) => (Cancellation::Unknown, reason),
        }
    }
}
