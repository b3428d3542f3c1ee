//! The service for clients: submits jobs, cancels them and returns their progress.

use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use tokio::sync::Semaphore;

use super::early_cancellation::cancel_transaction;
use super::event::{Event, EventSender};
use super::job_rows::{StoredSubmission, cancel_key, job_key};
use super::pause::PauseDetector;
use super::rejection::is_rejection;
use super::relay::RelayingStore;
use super::transaction_retry::{TransactionOutcome, transact_with_retries};
use super::view::JobView;
use crate::admission::{LoadSummary, MAX_LOAD_AGE_MS};
use crate::planner::JobProgress;
use crate::prelude::*;
use crate::process::{BoottimeClock, Metrics, Readiness};
use crate::rules::{Directives, Rules};
use crate::store::{RowChange, RowError, RowStore, Transaction};
use crate::workflow::{self, JobRecord, JobResult};

/// The time limit for repeating a write whose result is unknown. Clients wait for 3 s, and call another coordinator
/// after a definite answer.
const WRITE_LIMIT_MS: u64 = 1_500;

/// The time for which a read of a job waits for earlier ones. Clients wait for 3 s.
const READ_WAIT: Duration = Duration::from_secs(1);
/// The reason for which requests are refused after a pause of the process.
const PAUSED: &str = "this process was paused, and its configuration is not confirmed yet";

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission {
    /// The job is durable.
    Accepted,
    /// A different job is stored under this identifier.
    DifferentJob,
    /// The job is larger than the store allows, so it can never be stored.
    TooLarge {
        /// The reason, for the client.
        reason: String,
    },
    /// The job was cancelled before it was stored, so it never runs.
    Cancelled,
    /// The job is not stored, and this request cannot store it later.
    NotAccepted,
    /// The job may be stored already, or may still be.
    Unknown,
    /// The job is rejected because of the load or because no workers can run it. It is not stored, and neither this
    /// request nor an earlier one can store it later.
    Rejected {
        /// The reason, for the client.
        reason: String,
        /// The time after which the client may come back, in seconds.
        retry_after_s: u64,
    },
}

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// The cancellation is durable, or the job was cancelled before.
    Accepted,
    /// There is no such job, or it is finished.
    NoSuchJob,
    /// The cancellation is not stored, and this request cannot store it later.
    NotAccepted,
    /// The cancellation may be stored already, or may still be.
    Unknown,
}

/// The state that the actor shares with clients' requests: the directives and the view of jobs.
#[derive(Debug, Default)]
pub struct SharedState {
    directives: RwLock<Directives>,
    view: Mutex<JobView>,
    /// The load that the leader reported last, and the time of its arrival.
    load: Mutex<Option<(u64, Arc<LoadSummary>)>>,
    pub(super) pause: PauseDetector,
}

impl SharedState {
    /// Returns the current rules, or `None` if none were received yet.
    pub fn rules(&self) -> Option<Arc<Rules>> {
        self.directives.read().unwrap_or_else(PoisonError::into_inner).rules.clone()
    }

    /// Replaces the directives.
    pub fn set_directives(&self, directives: Directives) {
        *self.directives.write().unwrap_or_else(PoisonError::into_inner) = directives;
    }

    /// Replaces the load of the deployment, which arrived at `now_ms`.
    pub fn set_load(&self, now_ms: u64, load: LoadSummary) {
        *self.load.lock().unwrap_or_else(PoisonError::into_inner) = Some((now_ms, Arc::new(load)));
    }

    /// Returns the load of the deployment with its age, unless it is too old to decide by.
    pub(super) fn recent_load(&self, now_ms: u64) -> Option<(u64, Arc<LoadSummary>)> {
        let load = self.load.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let (arrived_ms, load) = load?;
        let age_ms = now_ms.saturating_sub(arrived_ms);
        (age_ms <= MAX_LOAD_AGE_MS).then_some((age_ms, load))
    }

    /// Calls `work` with the view of jobs while it is locked.
    pub fn with_view<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut JobView) -> T,
    {
        work(&mut self.view.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The service that answers clients. Clones share their state.
#[derive(Clone, Debug)]
pub struct Service<S> {
    pub(super) store: RelayingStore<S>,
    pub(super) shared: Arc<SharedState>,
    pub(super) clock: BoottimeClock,
    pub(super) metrics: Metrics,
    pub(super) readiness: Readiness,
    pub(super) events: EventSender,
    pub(super) row_limit_bytes: usize,
    /// Jobs are rejected by the expected value of their results.
    pub(super) rejects_by_value: bool,
    /// Permits of reads of jobs for clients, since each takes the memory of a row.
    pub(super) reads: Arc<Semaphore>,
}

impl<S> Service<S>
where
    S: RowStore,
{
    /// Returns the current rules, or `None` if none were received yet.
    pub fn rules(&self) -> Option<Arc<Rules>> {
        self.shared.rules()
    }

    /// Returns whether the coordinator accepts requests.
    pub fn is_ready(&self) -> bool {
        self.readiness.get()
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the time of day in milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        self.clock.wall_ms()
    }

    /// Stores a job. A repeated submission of the same job is accepted again. `client_timeout_ms` is the time for which
    /// the client waits; the write is repeated for at most half of it.
    pub async fn submit(
        &self,
        job: &JobId,
        record: &JobRecord,
        client_timeout_ms: u64,
    ) -> Submission {
        let started_ms = self.clock.now_ms();
        let limit = Duration::from_millis(WRITE_LIMIT_MS.min(client_timeout_ms / 2));
        let (outcome, reason) = if !self.shared.pause.may_decide(started_ms) {
            (Submission::NotAccepted, PAUSED.to_owned())
        } else {
            match self.rejection(started_ms, job, record) {
                Some(rejection) => {
                    (self.reject(job, record, rejection, limit).await, String::new())
                }
                None => self.store_job(job, record, limit).await,
            }
        };
        self.record_submission(job, record, &outcome, &reason, started_ms);
        outcome
    }

    /// Writes the row of a job, and replaces the row of an earlier rejection. Returns the outcome and its reason.
    async fn store_job(
        &self,
        job: &JobId,
        record: &JobRecord,
        limit: Duration,
    ) -> (Submission, String) {
        let content = workflow::encode(record);
        if content.len() > self.row_limit_bytes {
            let (bytes, limit) = (content.len(), self.row_limit_bytes);
            return too_large(format!(
                "the job takes {bytes} bytes in the store, which allows {limit}"
            ));
        }
        let known_version = self.store.newest_version();
        let (transaction, result) = self.write_job_row(job, content, known_version, limit).await;
        match result {
            TransactionOutcome::Applied(version) => {
                self.report_durable_rows(&transaction, version);
                (Submission::Accepted, String::new())
            }
            TransactionOutcome::Conflict(current) => {
                let (outcome, reason) = compare_with_stored(job, &current, record);
                (outcome, reason.to_owned())
            }
            TransactionOutcome::NotApplied(error @ RowError::Refused { .. }) => {
                too_large(error.to_string())
            }
            TransactionOutcome::NotApplied(error) => (Submission::NotAccepted, error.to_string()),
            TransactionOutcome::Unknown(reason) => (Submission::Unknown, reason),
        }
    }

    /// Writes the row of a job, unless it is stored or was cancelled. The row of a rejection is replaced if it is not newer
    /// than `replaceable_version`: a newer one may have answered a repetition of the same submission. Returns the last
    /// transaction that was tried.
    pub(super) async fn write_job_row(
        &self,
        job: &JobId,
        content: Vec<u8>,
        replaceable_version: u64,
        limit: Duration,
    ) -> (Transaction, TransactionOutcome) {
        let key = job_key(job.as_str());
        let mut transaction = Transaction {
            conditions: vec![(key.clone(), 0), (cancel_key(job.as_str()), 0)],
            puts: vec![(key, content)],
            removals: Vec::new(),
        };
        let mut result = transact_with_retries(|| self.store.transact(&transaction), limit).await;
        if let TransactionOutcome::Conflict(current) = &result
            && let StoredSubmission::Rejected { version } = StoredSubmission::of(job, current)
            && version <= replaceable_version
        {
            transaction.conditions[0].1 = version;
            result = transact_with_retries(|| self.store.transact(&transaction), limit).await;
        }
        (transaction, result)
    }

    fn record_submission(
        &self,
        job: &JobId,
        record: &JobRecord,
        outcome: &Submission,
        reason: &str,
        started_ms: u64,
    ) {
        if *outcome == Submission::Accepted {
            self.shared.with_view(|view| view.add_accepted(job, &record.queue));
        }
        let took_ms = self.clock.now_ms().saturating_sub(started_ms);
        self.metrics.observe("submit_seconds", took_ms);
        self.metrics.count("submission", outcome_name(outcome));
        log::info!(
            job = job.as_str(), queue = record.queue.as_str(),
            organisation = record.organisation.as_str(), took_ms, outcome = outcome_name(outcome),
            reason;
            "submission of a job answered"
        );
    }

    /// Returns the progress of a job, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`RowError`] if the job is not in the coordinator's view and the store does not answer.
    pub async fn progress(&self, job: &JobId) -> Result<Option<JobProgress>, RowError> {
        if let Some(progress) = self.shared.with_view(|view| view.progress(job)) {
            return Ok(Some(progress));
        }
        // The permit is held until the row is decoded.
        let permit = tokio::time::timeout(READ_WAIT, self.reads.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(RowError::Unavailable {
                reason: "too many jobs are being read".to_owned(),
            });
        };
        let row = self.store.read(&job_key(job.as_str())).await?;
        let Some(row) = row.filter(|row| !is_rejection(&row.content)) else {
            return Ok(None);
        };
        match workflow::decode::<JobRecord>(&row.content) {
            Ok(record) => self.shared.with_view(|view| view.add_accepted(job, &record.queue)),
            Err(error) => {
                log::error!(
                    job = job.as_str();
                    "stored job cannot be decoded; reported as pending: {error}"
                );
            }
        }
        Ok(Some(JobProgress::Pending))
    }

    /// Stores the cancellation of a job. `client_timeout_ms` is the time for which the client waits; the write is
    /// repeated for at most half of it.
    pub async fn cancel(&self, job: &JobId, client_timeout_ms: u64) -> Cancellation {
        let started_ms = self.clock.now_ms();
        let limit = Duration::from_millis(WRITE_LIMIT_MS.min(client_timeout_ms / 2));
        let (outcome, reason) = match self.shared.pause.may_decide(started_ms) {
            true => self.try_cancel(job, limit).await,
            false => (Cancellation::NotAccepted, PAUSED.to_owned()),
        };
        let name = match outcome {
            Cancellation::Accepted => "accepted",
            Cancellation::NoSuchJob => "no_such_job",
            Cancellation::NotAccepted => "not_accepted",
            Cancellation::Unknown => "unknown",
        };
        let took_ms = self.clock.now_ms().saturating_sub(started_ms);
        self.metrics.count("cancellation", name);
        log::info!(
            job = job.as_str(), took_ms, outcome = name, reason = reason.as_str();
            "cancellation of a job answered"
        );
        outcome
    }

    async fn try_cancel(&self, job: &JobId, limit: Duration) -> (Cancellation, String) {
        match self.progress(job).await {
            Ok(Some(JobProgress::Pending | JobProgress::Running)) => {}
            Ok(Some(JobProgress::Finished(JobResult::Cancelled))) => {
                return (Cancellation::Accepted, "the job is cancelled already".to_owned());
            }
            Ok(Some(JobProgress::Finished(_))) => {
                return (Cancellation::NoSuchJob, "the job is finished".to_owned());
            }
            Ok(None) => return self.cancel_early(job, limit).await,
            Err(error) => return (Cancellation::NotAccepted, error.to_string()),
        }
        let transaction = cancel_transaction(job);
        match transact_with_retries(|| self.store.transact(&transaction), limit).await {
            TransactionOutcome::Applied(version) => {
                self.report_durable_rows(&transaction, version);
                (Cancellation::Accepted, String::new())
            }
            TransactionOutcome::Conflict(_) => {
                (Cancellation::Accepted, "the cancellation is stored already".to_owned())
            }
            TransactionOutcome::NotApplied(error) => (Cancellation::NotAccepted, error.to_string()),
            TransactionOutcome::Unknown(reason) => (Cancellation::Unknown, reason),
        }
    }

    /// Sends the rows that became durable to the actor, which passes them to the leader.
    pub(super) fn report_durable_rows(&self, transaction: &Transaction, version: u64) {
        for (key, content) in &transaction.puts {
            let content = Some(content.clone());
            let change = RowChange { key: key.clone(), content, version };
            if let Err(error) = self.events.try_send(Event::Stored(change)) {
                log::debug!(
                    "change was not sent to the leader, which receives it from its watch of the store: {error}"
                );
            }
        }
    }

    /// Returns the number of jobs of a queue of which no task has started.
    pub fn waiting(&self, queue: &str) -> usize {
        self.shared.with_view(|view| view.waiting(queue))
    }
}

/// Compares what is stored with a job that was submitted under the same identifier, regardless of their times of
/// acceptance. Returns the outcome of the submission and its reason.
pub(super) fn compare_with_stored(
    job: &JobId,
    current: &[crate::store::StoredRow],
    record: &JobRecord,
) -> (Submission, &'static str) {
    let row = match StoredSubmission::of(job, current) {
        StoredSubmission::Job(row) => row,
        StoredSubmission::Cancelled => {
            return (Submission::Cancelled, "the job was cancelled before it was stored");
        }
        StoredSubmission::Rejected { .. } => {
            return (Submission::NotAccepted, "the job was rejected at the same time");
        }
        StoredSubmission::Nothing => {
            return (Submission::Unknown, "the rows of the job have changed meanwhile");
        }
    };
    let is_same = workflow::decode::<JobRecord>(&row.content)
        .is_ok_and(|stored| stored.spec == record.spec && stored.queue == record.queue);
    let outcome = if is_same { Submission::Accepted } else { Submission::DifferentJob };
    (outcome, "the job is stored already")
}

fn too_large(reason: String) -> (Submission, String) {
    (Submission::TooLarge { reason: reason.clone() }, reason)
}

fn outcome_name(outcome: &Submission) -> &'static str {
    match outcome {
        Submission::Accepted => "accepted",
        Submission::TooLarge { .. } => "too_large",
        Submission::DifferentJob => "different_job",
        Submission::Cancelled => "cancelled",
        Submission::NotAccepted => "not_accepted",
        Submission::Unknown => "unknown",
        Submission::Rejected { .. } => "rejected",
    }
}
