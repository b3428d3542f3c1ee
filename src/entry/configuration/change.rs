//! Performs the changes of the bundle and of the states of data centres that operators request.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Shared;
use super::actor::HoldStarts;
use super::poll::{read_body, read_bundle_row, read_data_centres, read_entries};
use crate::bundle::{self, Action, BUNDLE_ROW_KEY, BundleChange, BundleChangeError, BundleRow};
use crate::permit::{self, DataCentreRow, DataCentreStateChange, data_centre_key};
use crate::prelude::*;
use crate::store::{
    self, Commit, CommitOutcome, Condition, ObjectStore, OperationId, RowVersion, Table, Write,
};
use crate::wire::DataCentreState;

/// The time for which a write is retried before its result is reported as unknown or not applied.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The time limit of each repetition of a write whose result was reported as unknown.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval at which a change reads the entries' rows to check whether they have confirmed it.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Changes the row of the bundle, and returns when the change has ended. The change continues if the caller is dropped.
pub(super) async fn change_bundle<T, O>(
    shared: Arc<Shared<T, O>>,
    action: Action,
) -> Result<bundle::BundleChangeApplied, BundleChangeError>
where
    T: Table,
    O: ObjectStore,
{
    let task_failed = |error: tokio::task::JoinError| BundleChangeError::Unknown {
        version: BundleVersion(0),
        reason: error.to_string(),
    };
    tokio::spawn(run_bundle_change(shared, action)).await.map_err(task_failed)?
}

async fn run_bundle_change<T, O>(
    shared: Arc<Shared<T, O>>,
    action: Action,
) -> Result<bundle::BundleChangeApplied, BundleChangeError>
where
    T: Table,
    O: ObjectStore,
{
    let identity = &shared.identity;
    let (mut change, mut outputs) =
        BundleChange::begin(action, identity.process.clone(), identity.trusted.clone())?;
    loop {
        let input = match outputs.pop() {
            Some(bundle::Output::Answer(answer)) => {
                log::info!("change of the bundle ended: {answer:?}");
                return answer;
            }
            Some(output) => perform(&shared, output).await,
            // A change without outputs waits for the confirmations of the entries.
            None => poll_bundle_confirmations(&shared).await,
        };
        outputs = change.handle(shared.clock.now_ms(), &input);
    }
}

async fn perform<T, O>(shared: &Shared<T, O>, output: bundle::Output) -> bundle::Input
where
    T: Table,
    O: ObjectStore,
{
    match output {
        bundle::Output::ReadRow => match read_bundle_row(shared).await {
            Ok((version, row)) => bundle::Input::Row { version, row: Box::new(row) },
            Err(reason) => bundle::Input::StoreFailed { reason },
        },
        bundle::Output::StoreBody { key, content } => {
            match shared.objects.put(&key, &content).await {
                Ok(()) => bundle::Input::BodyStored,
                Err(error) => bundle::Input::StoreFailed { reason: error.to_string() },
            }
        }
        bundle::Output::ReadBody { key } => match read_body(&shared.objects, &key).await {
            Ok(bundle) => bundle::Input::Body { bundle: bundle.map(Box::new) },
            Err(reason) => bundle::Input::StoreFailed { reason },
        },
        bundle::Output::WriteRow { condition, row } => {
            let result = write_bundle_row(shared, condition, &row).await;
            shared.changed.notify_one();
            bundle::Input::Written { result }
        }
        bundle::Output::WatchEntries | bundle::Output::Answer(_) => bundle::Input::Tick,
    }
}

async fn poll_bundle_confirmations<T, O>(shared: &Shared<T, O>) -> bundle::Input
where
    T: Table,
    O: ObjectStore,
{
    tokio::time::sleep(CONFIRMATION_POLL_INTERVAL).await;
    match read_entries(shared).await {
        Ok(entries) => bundle::Input::Entries { entries },
        Err(_) => bundle::Input::Tick,
    }
}

async fn write_bundle_row<T, O>(
    shared: &Shared<T, O>,
    condition: RowVersion,
    row: &BundleRow,
) -> bundle::WriteOutcome
where
    T: Table,
    O: ObjectStore,
{
    let mut random = ChaCha12Rng::from_rng(&mut rand::rng());
    let commit = match conditional_commit(BUNDLE_ROW_KEY, condition, row, &mut random) {
        Ok(commit) => commit,
        Err(reason) => return bundle::WriteOutcome::NotApplied { reason },
    };
    match shared.writer.commit(&commit, WRITE_TIMEOUT, &mut random).await {
        CommitOutcome::Durable(_) => bundle::WriteOutcome::Durable,
        CommitOutcome::Conflict(found) => {
            let row = Box::new(decode_row(&found).unwrap_or_default());
            bundle::WriteOutcome::Conflict { version: found.version, row }
        }
        CommitOutcome::NotApplied(reason) => bundle::WriteOutcome::NotApplied { reason },
        CommitOutcome::Unknown(reason) => bundle::WriteOutcome::Unknown { reason },
    }
}

/// Changes the state of a data centre, and returns when the change has ended. The change continues if the caller is
/// dropped.
pub(super) async fn change_data_centre<T, O>(
    shared: Arc<Shared<T, O>>,
    data_centre: DataCentreId,
    state: DataCentreState,
    operator: String,
) -> permit::DataCentreChangeResult
where
    T: Table,
    O: ObjectStore,
{
    let task_failed = |error: tokio::task::JoinError| permit::DataCentreChangeError::Unknown {
        reason: error.to_string(),
    };
    tokio::spawn(run_data_centre_change(shared, data_centre, state, operator))
        .await
        .map_err(task_failed)?
}

async fn run_data_centre_change<T, O>(
    shared: Arc<Shared<T, O>>,
    data_centre: DataCentreId,
    state: DataCentreState,
    operator: String,
) -> permit::DataCentreChangeResult
where
    T: Table,
    O: ObjectStore,
{
    let process = shared.identity.process.clone();
    let (mut change, mut outputs) =
        DataCentreStateChange::begin(data_centre.clone(), state, operator, process);
    let mut last_commit = None;
    loop {
        let input = match outputs.pop() {
            Some(permit::Output::Answer(answer)) => {
                // A hold is always output together with the answer.
                if let (Some(permit::Output::Hold { condition }), Some(commit)) =
                    (outputs.pop(), last_commit)
                {
                    hold_starts(&shared, data_centre, condition, commit).await;
                }
                log::info!("change of a data centre ended: {answer:?}");
                return answer;
            }
            Some(permit::Output::ReadRow) => read_data_centre_row(&shared, &data_centre).await,
            Some(permit::Output::WriteRow { condition, row }) => {
                let (result, commit) =
                    write_data_centre_row(&shared, &data_centre, condition, &row).await;
                last_commit = commit;
                // Reads the row at once, so that this entry applies its own change without waiting for its next poll.
                let _ = read_data_centres(&shared).await;
                permit::Input::Written { result }
            }
            _ => poll_data_centre_confirmations(&shared).await,
        };
        outputs = change.handle(shared.clock.now_ms(), &input);
    }
}

async fn read_data_centre_row<T, O>(
    shared: &Shared<T, O>,
    data_centre: &DataCentreId,
) -> permit::Input
where
    T: Table,
    O: ObjectStore,
{
    match shared.writer.table().read(&data_centre_key(data_centre)).await {
        Ok(Some(row)) => match decode_row::<DataCentreRow>(&row) {
            Some(content) => permit::Input::Row { version: row.version, row: Some(content) },
            None => permit::Input::ReadFailed {
                reason: "the data centre's row is malformed".to_owned(),
            },
        },
        Ok(None) => permit::Input::Row { version: RowVersion::ABSENT, row: None },
        Err(error) => permit::Input::ReadFailed { reason: error.to_string() },
    }
}

async fn write_data_centre_row<T, O>(
    shared: &Shared<T, O>,
    data_centre: &DataCentreId,
    condition: RowVersion,
    row: &DataCentreRow,
) -> (permit::WriteOutcome, Option<Commit>)
where
    T: Table,
    O: ObjectStore,
{
    let mut random = ChaCha12Rng::from_rng(&mut rand::rng());
    let commit =
        match conditional_commit(&data_centre_key(data_centre), condition, row, &mut random) {
            Ok(commit) => commit,
            Err(reason) => return (permit::WriteOutcome::NotApplied { reason }, None),
        };
    let outcome = match shared.writer.commit(&commit, WRITE_TIMEOUT, &mut random).await {
        CommitOutcome::Durable(committed) => permit::WriteOutcome::Durable {
            version: committed.versions.first().copied().unwrap_or_default(),
        },
        CommitOutcome::Conflict(found) => {
            permit::WriteOutcome::Conflict { version: found.version, row: decode_row(&found) }
        }
        CommitOutcome::NotApplied(reason) => permit::WriteOutcome::NotApplied { reason },
        CommitOutcome::Unknown(reason) => permit::WriteOutcome::Unknown { reason },
    };
    (outcome, Some(commit))
}

async fn poll_data_centre_confirmations<T, O>(shared: &Shared<T, O>) -> permit::Input
where
    T: Table,
    O: ObjectStore,
{
    tokio::time::sleep(CONFIRMATION_POLL_INTERVAL).await;
    match read_entries(shared).await {
        Ok(entries) => permit::Input::Entries { entries },
        Err(_) => permit::Input::Tick,
    }
}

/// Holds starts at this entry, and repeats the write until its result is known to be durable or a conflict.
///
/// The hold ends when a poll reads a higher version than the write's condition.
async fn hold_starts<T, O>(
    shared: &Arc<Shared<T, O>>,
    data_centre: DataCentreId,
    condition: RowVersion,
    commit: Commit,
) where
    T: Table,
    O: ObjectStore,
{
    let _ = shared.actor.send(HoldStarts { data_centre, condition }).await;
    let shared = shared.clone();
    tokio::spawn(async move {
        let mut random = ChaCha12Rng::from_rng(&mut rand::rng());
        while shared.actor.is_connected() {
            let outcome = shared.writer.commit(&commit, RESOLVE_TIMEOUT, &mut random).await;
            if matches!(outcome, CommitOutcome::Durable(_) | CommitOutcome::Conflict(_)) {
                return;
            }
        }
    });
}

fn conditional_commit<V>(
    key: &str,
    version: RowVersion,
    content: &V,
    random: &mut ChaCha12Rng,
) -> Result<Commit, String>
where
    V: Serialize,
{
    let value = serde_json::to_value(content).map_err(|error| error.to_string())?;
    Ok(Commit {
        operation: OperationId::random(random),
        conditions: vec![Condition { key: key.to_owned(), version }],
        writes: vec![Write { key: key.to_owned(), value }],
    })
}

fn decode_row<V>(row: &store::Row) -> Option<V>
where
    V: DeserializeOwned,
{
    serde_json::from_value(row.value.clone()).ok()
}
