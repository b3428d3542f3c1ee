//! The keys and partitions of the rows of jobs and cancellations.

use futures::future::try_join_all;

use super::{CANCEL_SUFFIX, JOB_TABLE};
use crate::store::{Listing, RowKey, RowResult, RowStore};

/// The number of partitions of the table of jobs. While the store is slow, a partition applies only a few transactions
/// per second, and each job and each cancellation is one transaction.
const JOB_PARTITIONS: u8 = 8;

/// Returns the key of the row of a job.
pub fn job_key(job: &str) -> RowKey {
    RowKey::in_partition(JOB_TABLE, partition_of(job), job)
}

/// Returns the key of the row of a job's cancellation, which is in the partition of the job.
pub fn cancel_key(job: &str) -> RowKey {
    RowKey::in_partition(JOB_TABLE, partition_of(job), &format!("{job}{CANCEL_SUFFIX}"))
}

fn partition_of(job: &str) -> u8 {
    let hash = job.bytes().fold(0_u8, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte));
    hash % JOB_PARTITIONS
}

/// Reads the rows of all jobs and cancellations. The version of the listing is the lowest of all partitions, so the
/// rows may include later changes.
pub async fn list_jobs<S>(store: &S) -> RowResult<Listing>
where
    S: RowStore,
{
    let listings =
        try_join_all((0..JOB_PARTITIONS).map(|partition| store.list(JOB_TABLE, partition))).await?;
    let version = listings.iter().map(|listing| listing.version).min().unwrap_or_default();
    let rows = listings.into_iter().flat_map(|listing| listing.rows).collect();
    Ok(Listing { rows, version })
}
