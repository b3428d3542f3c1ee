//! Keeps the row `entry/{id}` of this entry up to date, and owns the polls.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use tokio::time::Instant;

use super::actor::{Applied, Standing};
use super::{Shared, poll};
use crate::registration::{ENTRY_RENEW_INTERVAL_MS, EntryRow, entry_key};
use crate::store::{
    Commit, CommitOutcome, Condition, ObjectStore, OperationId, RowVersion, Table, Write,
};

/// The interval at which the entry looks whether its row must be written.
const CHECK: Duration = Duration::from_millis(50);
/// The time for which one write of the row is tried.
const WRITE_LIMIT: Duration = Duration::from_secs(2);

/// The row of this entry as it was last written.
struct Registration {
    version: RowVersion,
    applied: Applied,
    written_at: Instant,
}

/// Why the row could not be written.
enum NotWritten {
    /// The next try may succeed.
    Failed(String),
    /// A later process with the same name is registered.
    Replaced,
}

/// Registers the entry, then runs the polls and keeps the row up to date.
///
/// What was read before the registration is durable is not used, because a rollout does not wait for an entry that is
/// not registered yet.
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
        let Ok(applied) = shared.actor.send(Standing).await else { return };
        if registration.as_ref().is_none_or(|known| known.is_due(&applied)) {
            renewal += 1;
            let version = registration.as_ref().map(|known| known.version);
            match write(&shared, version, renewal, &applied, &mut random).await {
                Ok(version) => {
                    registration =
                        Some(Registration { version, applied, written_at: Instant::now() });
                    if polls.is_empty() {
                        polls.spawn(poll::poll_bundle(shared.clone()));
                        polls.spawn(poll::poll_services(shared.clone()));
                    }
                }
                Err(NotWritten::Failed(reason)) => {
                    shared.metrics.count("configuration", "registration_failed");
                    log::warn!("row of this entry could not be written: {reason}");
                    registration = None;
                }
                Err(NotWritten::Replaced) => {
                    log::error!(
                        "another process is registered by the name of this entry; this one stops its polls"
                    );
                    polls.shutdown().await;
                    return;
                }
            }
        }
        tokio::time::sleep(CHECK).await;
    }
}

impl Registration {
    fn is_due(&self, applied: &Applied) -> bool {
        self.applied != *applied
            || self.written_at.elapsed() >= Duration::from_millis(ENTRY_RENEW_INTERVAL_MS)
    }
}

/// Writes the row on condition of the version that it should have, or that it is found to have.
async fn write<T, O>(
    shared: &Shared<T, O>,
    version: Option<RowVersion>,
    renewal: u64,
    applied: &Applied,
    random: &mut ChaCha12Rng,
) -> Result<RowVersion, NotWritten>
where
    T: Table,
    O: ObjectStore,
{
    let key = entry_key(&shared.identity.process);
    let version = match version {
        Some(version) => version,
        None => find_version(shared, &key).await?,
    };
    let row = EntryRow {
        process: shared.identity.process.clone(),
        incarnation: shared.identity.incarnation,
        data_centre: shared.identity.data_centre.clone(),
        renewal,
        bundle: applied.bundle,
        withdrawn: applied.withdrawn.clone(),
    };
    let value = serde_json::to_value(row).map_err(|e| NotWritten::Failed(e.to_string()))?;
    match commit_at(shared, &key, version, &value, random).await {
        // A deleted row reads as absent, but has a version.
        CommitOutcome::Conflict(row) if row.value.is_null() => {
            settle(commit_at(shared, &key, row.version, &value, random).await)
        }
        outcome => settle(outcome),
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
    shared.writer.commit(&commit, WRITE_LIMIT, random).await
}

fn settle(outcome: CommitOutcome) -> Result<RowVersion, NotWritten> {
    match outcome {
        CommitOutcome::Durable(committed) => {
            Ok(committed.versions.first().copied().unwrap_or_default())
        }
        CommitOutcome::Conflict(row) => {
            Err(NotWritten::Failed(format!("row is at version {}", row.version)))
        }
        CommitOutcome::NotApplied(reason) | CommitOutcome::Unknown(reason) => {
            Err(NotWritten::Failed(reason))
        }
    }
}

async fn find_version<T, O>(shared: &Shared<T, O>, key: &str) -> Result<RowVersion, NotWritten>
where
    T: Table,
    O: ObjectStore,
{
    let failed = |error: crate::store::Error| NotWritten::Failed(error.to_string());
    let Some(row) = shared.writer.table().read(key).await.map_err(failed)? else {
        return Ok(RowVersion::ABSENT);
    };
    let known: Option<EntryRow> = serde_json::from_value(row.value).ok();
    let is_later = |known: &EntryRow| known.incarnation > shared.identity.incarnation;
    if known.as_ref().is_some_and(is_later) {
        return Err(NotWritten::Replaced);
    }
    Ok(row.version)
}

/// Deletes the row of this entry, unless another process has taken it over.
pub(super) async fn remove<T, O>(shared: &Shared<T, O>)
where
    T: Table,
    O: ObjectStore,
{
    let key = entry_key(&shared.identity.process);
    let Ok(version) = find_version(shared, &key).await else { return };
    let mut random = ChaCha12Rng::from_rng(&mut rand::rng());
    let outcome = commit_at(shared, &key, version, &serde_json::Value::Null, &mut random).await;
    if !matches!(outcome, CommitOutcome::Durable(_)) {
        log::warn!("row of this entry could not be removed: {outcome:?}");
    }
}
