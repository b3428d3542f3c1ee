//! Performs the calls of the table that a leader lease requests.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::de::DeserializeOwned;

use crate::membership::{LeaseInput, LeaseOutput, VersionedRow, epoch_key, lease_key};
use crate::prelude::*;
use crate::store::{CommitOutcome, RowVersion, Table, Writer};

/// The time limit of a commit of a lease, including its retries.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Performs a call and returns its result, or `None` if the output is not a call.
pub(super) async fn call<T>(
    writer: &Writer<T>,
    group: &GroupId,
    output: &LeaseOutput,
    seed: u64,
) -> Option<LeaseInput>
where
    T: Table,
{
    match output {
        LeaseOutput::Read => Some(read(writer.table(), group).await),
        LeaseOutput::Commit { commit } => {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            match writer.commit(commit, COMMIT_TIMEOUT, &mut random).await {
                CommitOutcome::Durable(_) => Some(LeaseInput::Durable),
                _ => Some(LeaseInput::NotDurable),
            }
        }
        LeaseOutput::Lead { .. } | LeaseOutput::Resign | LeaseOutput::Done => None,
    }
}

async fn read<T>(table: &T, group: &GroupId) -> LeaseInput
where
    T: Table,
{
    let lease = read_row(table, &lease_key(group)).await;
    let epoch = read_row(table, &epoch_key(group)).await;
    match (lease, epoch) {
        (Ok(lease), Ok(epoch)) => LeaseInput::Read { lease, epoch },
        (Err(reason), _) | (_, Err(reason)) => {
            log::debug!(group = group.as_str(); "leader lease could not be read, will be retried: {reason}");
            LeaseInput::ReadFailed
        }
    }
}

/// Reads a row. A row that cannot be parsed is an error: if it counted as absent, a claim could replace it and lower
/// the epoch.
async fn read_row<T, V>(table: &T, key: &str) -> Result<VersionedRow<V>, String>
where
    T: Table,
    V: DeserializeOwned,
{
    let Some(row) = table.read(key).await.map_err(|error| error.to_string())? else {
        return Ok(VersionedRow { version: RowVersion::ABSENT, row: None });
    };
    let content = serde_json::from_value(row.value);
    let content = content.map_err(|error| format!("row {key:?} is unreadable: {error}"))?;
    Ok(VersionedRow { version: row.version, row: Some(content) })
}
