//! Performs the calls of the table that a group's leader requests.

use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::job::{GroupJobRow, JobRow, group_job_prefix, job_key};
use crate::leader::{EpochContext, IndexEntry, Input, JobChangeResult, Output, change_job};
use crate::prelude::*;
use crate::store::{Row, Table, Writer};

/// The time limit of one try to change a job's row. The leader repeats the change if needed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of concurrent reads.
const MAX_CONCURRENT_READS: usize = 16;

/// Performs a call and returns its result, or `None` if a scan fails or the output is not a call.
pub(super) async fn call<T>(
    writer: &Writer<T>,
    epoch_context: &EpochContext,
    output: Output,
    seed: u64,
) -> Option<Input>
where
    T: Table,
{
    match output {
        Output::Scan => scan(writer.table(), &epoch_context.group).await,
        Output::ReadJobs { jobs } => Some(read(writer.table(), &jobs).await),
        Output::Change { job, change } => {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let pending_change =
                change_job(writer, epoch_context, &job, &change, CHANGE_TIMEOUT, &mut random);
            let result = pending_change.await;
            if !matches!(result, JobChangeResult::Durable) {
                log::info!(job = job.as_str(); "change of a job's row was not confirmed as durable: {result:?}");
            }
            Some(Input::Changed { job, result })
        }
        _ => None,
    }
}

async fn scan<T>(table: &T, group: &GroupId) -> Option<Input>
where
    T: Table,
{
    let prefix = group_job_prefix(group);
    let rows = table.scan(&prefix).await;
    let rows = rows
        .inspect_err(|error| {
            log::info!("jobs of the group could not be listed, retried at the next scan: {error}")
        })
        .ok()?;
    let entry = |row: &Row| {
        let index: GroupJobRow = serde_json::from_value(row.value.clone()).ok()?;
        let job = JobId::from(row.key.strip_prefix(&prefix)?);
        Some(IndexEntry { job, cancel_requested: index.cancel_requested })
    };
    Some(Input::Index { entries: rows.iter().filter_map(entry).collect() })
}

async fn read<T>(table: &T, jobs: &[JobId]) -> Input
where
    T: Table,
{
    let mut rows = Vec::new();
    for chunk in jobs.chunks(MAX_CONCURRENT_READS) {
        let reads: Vec<BoxFuture<'_, Option<JobRow>>> =
            chunk.iter().map(|job| read_job(table, job).boxed()).collect();
        rows.extend(futures::future::join_all(reads).await.into_iter().flatten());
    }
    Input::Jobs { rows }
}

async fn read_job<T>(table: &T, job: &JobId) -> Option<JobRow>
where
    T: Table,
{
    let row = table.read(&job_key(job)).await.ok()??;
    serde_json::from_value(row.value).ok()
}
