//! Replaces the leader in the store and reads what it left.

use std::collections::BTreeMap;

use super::job_rows::list_jobs;
use super::{CANCEL_SUFFIX, HEAD_KEY, HEAD_TABLE, LEAD_TABLE, LEADER_KEY, PROGRESS_TABLE};
use crate::election::Leadership;
use crate::prelude::*;
use crate::store::{RowError, RowKey, RowResult, RowStore, Transaction};
use crate::workflow::{self, JobRecord, OccurrenceRecord};

/// What every transaction of a leader writes, so that each follows the one before.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// The leader and its epoch.
    pub leadership: Leadership,
    /// Differs between processes that lead under the same name.
    pub incarnation: Incarnation,
    /// The number of the transaction in the epoch.
    pub sequence: u64,
}

/// Names the row of the [`Head`].
pub fn head_key() -> RowKey {
    RowKey::new(HEAD_TABLE, HEAD_KEY)
}

/// A job as the store has it.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// The job.
    pub id: JobId,
    /// What was accepted.
    pub record: JobRecord,
    /// The state of its occurrences.
    pub occurrences: Vec<(u32, OccurrenceRecord)>,
    /// A client cancelled it.
    pub is_cancelled: bool,
}

/// What a new leader found.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The new leadership.
    pub leadership: Leadership,
    /// The head that was written.
    pub head: Head,
    /// The store's version of the head.
    pub head_version: u64,
    /// All jobs, in the order in which they were accepted.
    pub jobs: Vec<StoredJob>,
    /// The store's version of the jobs.
    pub jobs_version: u64,
}

/// Why a takeover failed.
#[derive(Clone, Debug)]
pub enum TakeoverError {
    /// Another coordinator leads.
    Lost(Option<Leadership>),
    /// The store did not answer, or not clearly.
    Store(RowError),
}

impl From<RowError> for TakeoverError {
    fn from(error: RowError) -> Self {
        Self::Store(error)
    }
}

/// Replaces the leader, unless it is a newer one than `known`.
///
/// # Errors
///
/// [`TakeoverError`]; the caller may still have become leader in the store, and then takes over from itself.
pub async fn take_over<S>(
    store: &S,
    own: (&ProcessId, std::net::SocketAddr, Incarnation),
    known: Option<&Leadership>,
) -> Result<Takeover, TakeoverError>
where
    S: RowStore,
{
    let (process, address, incarnation) = own;
    let row = store.read(&head_key()).await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let current = match &row {
        Some(row) => workflow::decode::<Head>(&row.content).ok(),
        None => None,
    };
    let known_epoch = known.map_or(Epoch(0), |known| known.epoch);
    let current_epoch = current.as_ref().map_or(Epoch(0), |head| head.leadership.epoch);
    if let Some(head) = &current
        && current_epoch > known_epoch
        && head.incarnation != incarnation
        && known.is_some()
    {
        return Err(TakeoverError::Lost(Some(head.leadership.clone())));
    }
    let epoch = current_epoch.max(known_epoch).next();
    let leadership = Leadership { epoch, leader: process.clone(), address };
    let head = Head { leadership: leadership.clone(), incarnation, sequence: 0 };
    let transaction = Transaction {
        conditions: vec![(head_key(), version)],
        puts: vec![
            (head_key(), workflow::encode(&head)),
            (RowKey::new(LEAD_TABLE, LEADER_KEY), workflow::encode(&leadership)),
        ],
        removals: Vec::new(),
    };
    let head_version = match store.transact(&transaction).await {
        Ok(version) => version,
        Err(RowError::Conflict { current }) => {
            let head = current.first().and_then(|row| workflow::decode::<Head>(&row.content).ok());
            return Err(TakeoverError::Lost(head.map(|head| head.leadership)));
        }
        Err(error) => return Err(error.into()),
    };
    let (jobs, jobs_version) = read_jobs(store).await?;
    Ok(Takeover { leadership, head, head_version, jobs, jobs_version })
}

async fn read_jobs<S>(store: &S) -> RowResult<(Vec<StoredJob>, u64)>
where
    S: RowStore,
{
    let listing = list_jobs(store).await?;
    let progress = store.list(PROGRESS_TABLE, 0).await?;
    let mut jobs: BTreeMap<String, StoredJob> = BTreeMap::new();
    for row in &listing.rows {
        if row.key.key.ends_with(CANCEL_SUFFIX) {
            continue;
        }
        match workflow::decode::<JobRecord>(&row.content) {
            Ok(record) => {
                let id = JobId::from(row.key.key.as_str());
                let job = StoredJob { id, record, occurrences: Vec::new(), is_cancelled: false };
                jobs.insert(row.key.key.clone(), job);
            }
            Err(error) => {
                log::error!(job = row.key.key.as_str(); "stored job cannot be read: {error}");
            }
        }
    }
    for row in &listing.rows {
        let job = row.key.key.strip_suffix(CANCEL_SUFFIX).and_then(|id| jobs.get_mut(id));
        if let Some(job) = job {
            job.is_cancelled = true;
        }
    }
    for row in &progress.rows {
        let Some((id, occurrence)) = row.key.key.rsplit_once('.') else {
            continue;
        };
        let record = workflow::decode::<OccurrenceRecord>(&row.content);
        match (jobs.get_mut(id), occurrence.parse(), record) {
            (Some(job), Ok(occurrence), Ok(record)) => job.occurrences.push((occurrence, record)),
            (None, ..) => {}
            _ => log::error!(key = row.key.key.as_str(); "stored state cannot be read"),
        }
    }
    let mut jobs: Vec<StoredJob> = jobs.into_values().collect();
    jobs.sort_by_key(|job| job.record.accepted_ms);
    Ok((jobs, listing.version))
}
