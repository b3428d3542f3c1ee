//! The keys and partitions of the rows of jobs and cancellations.

use std::collections::BTreeMap;

use futures::{StreamExt, stream};

use super::rejection::is_rejection;
use super::relay::RelayingStore;
use super::{CANCEL_SUFFIX, JOB_TABLE};
use crate::prelude::*;
use crate::store::{Listing, RowKey, RowResult, RowStore, StoredRow};

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

/// What the store holds of a submission whose conditions failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredSubmission<'a> {
    /// The job is stored.
    Job(&'a StoredRow),
    /// The job was cancelled before it was stored.
    Cancelled,
    /// The job was rejected, with the row at this version.
    Rejected {
        /// The version of the row.
        version: u64,
    },
    /// There is no row of the job.
    Nothing,
}

impl<'a> StoredSubmission<'a> {
    /// Finds the rows of a job among the current rows of a failed condition.
    pub fn of(job: &JobId, current: &'a [StoredRow]) -> Self {
        let row = |key: RowKey| current.iter().find(|row| row.key == key);
        let stored = row(job_key(job.as_str()));
        match stored {
            Some(row) if !is_rejection(&row.content) => Self::Job(row),
            _ if row(cancel_key(job.as_str())).is_some() => Self::Cancelled,
            Some(row) => Self::Rejected { version: row.version },
            None => Self::Nothing,
        }
    }
}

/// The number of partitions that are read at the same time. On a slow link the lists of all of them would begin too late.
const CONCURRENT_LISTS: usize = 4;

/// The lists of the partitions of the table of jobs, which may be read in several attempts.
#[derive(Debug, Default)]
pub struct JobListing {
    partitions: BTreeMap<u8, Listing>,
}

impl JobListing {
    /// Reads the partitions that are still missing. Each one that was read counts as an answer of the store: it shows that
    /// the store answers this coordinator while its watches wait for the same link.
    ///
    /// # Errors
    ///
    /// [`RowError`](crate::store::RowError) if a partition could not be read. Those that were read are kept for the next attempt.
    pub async fn read_missing<S>(&mut self, store: &RelayingStore<S>) -> RowResult<()>
    where
        S: RowStore,
    {
        let missing =
            (0..JOB_PARTITIONS).filter(|partition| !self.partitions.contains_key(partition));
        let lists = missing.collect::<Vec<_>>().into_iter().map(|partition| async move {
            (partition, store.direct().list(JOB_TABLE, partition).await)
        });
        let mut lists = stream::iter(lists).buffer_unordered(CONCURRENT_LISTS);
        let mut result = Ok(());
        while let Some((partition, list)) = lists.next().await {
            match list {
                Ok(listing) => {
                    let answer = Ok(());
                    store.record_answer(&answer);
                    self.partitions.insert(partition, listing);
                }
                Err(error) => result = Err(error),
            }
        }
        result
    }

    /// Returns the rows of all partitions. The version is the lowest of all partitions, so the rows may include later
    /// changes.
    pub fn into_listing(self) -> Listing {
        let version =
            self.partitions.values().map(|listing| listing.version).min().unwrap_or_default();
        let rows = self.partitions.into_values().flat_map(|listing| listing.rows).collect();
        Listing { rows, version }
    }
}

/// Reads the rows of all jobs and cancellations.
///
/// # Errors
///
/// [`RowError`](crate::store::RowError) if the store does not answer.
pub async fn list_jobs<S>(store: &RelayingStore<S>) -> RowResult<Listing>
where
    S: RowStore,
{
    let mut listing = JobListing::default();
    listing.read_missing(store).await?;
    Ok(listing.into_listing())
}
