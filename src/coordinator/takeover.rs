//! Replaces the leader in the store and reads the stored jobs and their states.

use std::collections::BTreeMap;

use super::job_rows::list_jobs;
use super::{CANCEL_SUFFIX, HEAD_KEY, HEAD_TABLE, LEAD_TABLE, LEADER_KEY, PROGRESS_TABLE};
use crate::election::Leadership;
use crate::prelude::*;
use crate::store::{RowError, RowKey, RowResult, RowStore, Transaction};
use crate::workflow::{self, JobRecord, OccurrenceRecord};

/// The head row. Each transaction of a leader replaces it under the condition that the previous one wrote it, so the
/// transactions are applied in order.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// The leader with its epoch and address.
    pub leadership: Leadership,
    /// The incarnation of the leader's process; tells apart processes that lead under the same name.
    pub incarnation: Incarnation,
    /// The number of the transaction within the epoch.
    pub sequence: u64,
}

/// Returns the key of the row of the [`Head`].
pub fn head_key() -> RowKey {
    RowKey::new(HEAD_TABLE, HEAD_KEY)
}

/// A job as read from the store.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// The identifier of the job.
    pub id: JobId,
    /// The record of the job as it was accepted.
    pub record: JobRecord,
    /// The states of the job's occurrences, by number.
    pub occurrences: Vec<(u32, OccurrenceRecord)>,
    /// Whether a client cancelled the job.
    pub is_cancelled: bool,
}

/// The result of a successful takeover: the new leadership and the stored jobs.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The new leadership.
    pub leadership: Leadership,
    /// The head that the takeover wrote.
    pub head: Head,
    /// The version of the head row in the store.
    pub head_version: u64,
    /// All stored jobs, in the order in which they were accepted.
    pub jobs: Vec<StoredJob>,
    /// The version of the table of jobs from which on changes have to be watched.
    pub jobs_version: u64,
}

/// The reason for which a takeover failed.
#[derive(Clone, Debug)]
pub enum TakeoverError {
    /// Another coordinator leads; its leadership, if it could be decoded.
    Lost(Option<Leadership>),
    /// The store did not answer, or the result of the transaction is unknown.
    Store(RowError),
}

impl From<RowError> for TakeoverError {
    fn from(error: RowError) -> Self {
        Self::Store(error)
    }
}

/// Makes `candidate` the leader, unless the stored leadership is newer than `last_leadership`, the newest one that the
/// candidate has observed.
///
/// # Errors
///
/// [`TakeoverError`]. After [`TakeoverError::Store`] the candidate may be leader in the store; its next takeover then
/// replaces its own leadership.
pub async fn take_over<S>(
    store: &S,
    candidate: (&ProcessId, std::net::SocketAddr, Incarnation),
    last_leadership: Option<&Leadership>,
) -> Result<Takeover, TakeoverError>
where
    S: RowStore,
{
    let (process, address, incarnation) = candidate;
    let row = store.read(&head_key()).await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let current = match &row {
        Some(row) => workflow::decode::<Head>(&row.content).ok(),
        None => None,
    };
    let known_epoch = last_leadership.map_or(Epoch(0), |known| known.epoch);
    let current_epoch = current.as_ref().map_or(Epoch(0), |head| head.leadership.epoch);
    if let Some(head) = &current
        && current_epoch > known_epoch
        && head.incarnation != incarnation
        && last_leadership.is_some()
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
                log::error!(
                    job = row.key.key.as_str();
                    "stored job cannot be decoded and is ignored: {error}"
                );
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
            _ => {
                log::error!(
                    key = row.key.key.as_str();
                    "stored state of an occurrence cannot be decoded and is ignored"
                );
            }
        }
    }
    let mut jobs: Vec<StoredJob> = jobs.into_values().collect();
    jobs.sort_by_key(|job| job.record.accepted_ms);
    Ok((jobs, listing.version))
}
