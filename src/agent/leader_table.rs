//! The calls of the table that a group's leader wants.

use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::job::{GroupJobRow, JobRow, group_job_prefix, job_key};
use crate::leader::{EpochContext, IndexEntry, Input, JobChangeResult, Output, change_job};
use crate::prelude::*;
use crate::store::{Row, Table, Writer};

/// The time for which one try of a change takes at most; the leader repeats it.
const CHANGE_LIMIT: Duration = Duration::from_secs(5);
/// The reads that are under way at once.
const READS_AT_ONCE: usize = 16;

/// Makes a call and returns its answer, or `None` if the table does not answer or the output is not a call.
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
            let changing =
                change_job(writer, epoch_context, &job, &change, CHANGE_LIMIT, &mut random);
            let result = changing.await;
            if !matches!(result, JobChangeResult::Durable) {
                log::info!(job = job.as_str(); "change of a job's row: {result:?}");
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
        .inspect_err(|error| log::info!("jobs of the group could not be listed: {error}"))
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
    for some in jobs.chunks(READS_AT_ONCE) {
        let reads: Vec<BoxFuture<'_, Option<JobRow>>> =
            some.iter().map(|job| read_job(table, job).boxed()).collect();
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
