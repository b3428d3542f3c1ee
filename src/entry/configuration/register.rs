//! Keeps the row `entry/{id}` of this entry up to date, and starts and stops the polls.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::time::Instant;

use super::actor::{Applied, GetApplied};
use super::{Shared, poll};
use crate::registration::{ENTRY_RENEW_INTERVAL_MS, EntryRow, entry_key};
use crate::store::{
    Commit, CommitOutcome, Condition, ObjectStore, OperationId, RowVersion, Table, Write,
};

/// The interval at which the entry checks whether its row must be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time for which one write of the row is retried.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The row of this entry as it was last written.
struct Registration {
    version: RowVersion,
    applied: Applied,
    written_at: Instant,
}

/// Errors of a write of the row.
enum WriteError {
    /// The write failed, but a later one may succeed.
    Failed(String),
    /// A later incarnation of an entry of the same name is registered.
    Replaced,
}

/// Registers the entry, then runs the polls and keeps the row up to date.
///
/// The polls start only after the registration is durable: a rollout does not wait for an entry that is not registered
/// yet, so a bundle or state that this entry read before could be outdated.
pub(super) async fn run<T, O>(shared: Arc<Shared<T, O>>)
where
    T: Table,
    O: ObjectStore,
{
    let mut random = ChaCha12Rng::from_rng(&mut rand::rng());
    let mut renewal = 0;
    let mut registration: Option<Registration> = None;
    let mut polls = tokio::task::JoinSet::new();
    loop {
        let Ok(applied) = shared.actor.send(GetApplied).await else { return };
        if registration.as_ref().is_none_or(|registration| registration.is_due(&applied)) {
            renewal += 1;
            let version = registration.as_ref().map(|registration| registration.version);
            match write_row(&shared, version, renewal, &applied, &mut random).await {
                Ok(version) => {
                    registration =
                        Some(Registration { version, applied, written_at: Instant::now() });
                    if polls.is_empty() {
                        polls.spawn(poll::poll_bundle(shared.clone()));
                        polls.spawn(poll::poll_data_centres(shared.clone()));
                    }
                }
                Err(WriteError::Failed(reason)) => {
                    shared.metrics.count("configuration", "registration_failed");
                    log::warn!(
                        "row of this entry could not be written; retrying in {} ms: {reason}",
                        CHECK_INTERVAL.as_millis()
                    );
                    registration = None;
                }
                Err(WriteError::Replaced) => {
                    log::error!(
                        "a later incarnation is registered under the name of this entry; this entry stops its polls"
                    );
                    polls.shutdown().await;
                    return;
                }
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

impl Registration {
    fn is_due(&self, applied: &Applied) -> bool {
        self.applied != *applied
            || self.written_at.elapsed() >= Duration::from_millis(ENTRY_RENEW_INTERVAL_MS)
    }
}

/// Writes the row on condition that it has `version`, or the version read from the table if `version` is `None`.
async fn write_row<T, O>(
    shared: &Shared<T, O>,
    version: Option<RowVersion>,
    renewal: u64,
    applied: &Applied,
    random: &mut ChaCha12Rng,
) -> Result<RowVersion, WriteError>
where
    T: Table,
    O: ObjectStore,
{
    let key = entry_key(&shared.identity.process);
    let version = match version {
        Some(version) => version,
        None => read_row_version(shared, &key).await?,
    };
    let row = EntryRow {
        process: shared.identity.process.clone(),
        incarnation: shared.identity.incarnation,
        data_centre: shared.identity.data_centre.clone(),
        renewal,
        bundle: applied.bundle,
        withdrawn: applied.withdrawn.clone(),
    };
    let value = serde_json::to_value(row).map_err(|e| WriteError::Failed(e.to_string()))?;
    match commit_at(shared, &key, version, &value, random).await {
        // A deleted row reads as absent, but still has a version, which the conflict returns.
        CommitOutcome::Conflict(row) if row.value.is_null() => {
            written_version(commit_at(shared, &key, row.version, &value, random).await)
        }
        outcome => written_version(outcome),
    }
}

async fn commit_at<T, O>(
    shared: &Shared<T, O>,
    key: &str,
    version: RowVersion,
    value: &serde_json::Value,
    random: &mut ChaCha12Rng,
) -> CommitOutcome
where
    T: Table,
    O: ObjectStore,
{
    let commit = Commit {
        operation: OperationId::random(random),
        conditions: vec![Condition { key: key.to_owned(), version }],
        writes: vec![Write { key: key.to_owned(), value: value.clone() }],
    };
    shared.writer.commit(&commit, WRITE_TIMEOUT, random).await
}

fn written_version(outcome: CommitOutcome) -> Result<RowVersion, WriteError> {
    match outcome {
        CommitOutcome::Durable(committed) => {
            Ok(committed.versions.first().copied().unwrap_or_default())
        }
        CommitOutcome::Conflict(row) => {
            Err(WriteError::Failed(format!("conflict: the row is at version {}", row.version)))
        }
        CommitOutcome::NotApplied(reason) | CommitOutcome::Unknown(reason) => {
            Err(WriteError::Failed(reason))
        }
    }
}

async fn read_row_version<T, O>(shared: &Shared<T, O>, key: &str) -> Result<RowVersion, WriteError>
where
    T: Table,
    O: ObjectStore,
{
    let failed = |error: crate::store::Error| WriteError::Failed(error.to_string());
    let Some(row) = shared.writer.table().read(key).await.map_err(failed)? else {
        return Ok(RowVersion::ABSENT);
    };
    let registered: Option<EntryRow> = serde_json::from_value(row.value).ok();
    let is_later = |registered: &EntryRow| registered.incarnation > shared.identity.incarnation;
    if registered.as_ref().is_some_and(is_later) {
        return Err(WriteError::Replaced);
    }
    Ok(row.version)
}

/// Deletes the row of this entry, unless a later incarnation has registered.
pub(super) async fn remove<T, O>(shared: &Shared<T, O>)
where
    T: Table,
    O: ObjectStore,
{
    let key = entry_key(&shared.identity.process);
    let Ok(version) = read_row_version(shared, &key).await else { return };
    let mut random = ChaCha12Rng::from_rng(&mut rand::rng());
    let outcome = commit_at(shared, &key, version, &serde_json::Value::Null, &mut random).await;
    if !matches!(outcome, CommitOutcome::Durable(_)) {
        log::warn!(
            "row of this entry could not be removed; rollouts may wait for this entry until its registration expires: {outcome:?}"
        );
    }
}
