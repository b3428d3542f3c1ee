//! Replaces the leader in the store, and reads the stored jobs and their states for the new leader.

use std::collections::BTreeMap;

use super::job_rows::JobListing;
use super::progress_rows::ProgressKey;
use super::rejection::is_rejection;
use super::relay::RelayingStore;
use super::{CANCEL_SUFFIX, HEAD_KEY, HEAD_TABLE, LEAD_TABLE, LEADER_KEY, PROGRESS_TABLE};
use crate::election::Leadership;
use crate::prelude::*;
use crate::store::{RowError, RowKey, RowResult, RowStore, Transaction};
use crate::workflow::{self, JobRecord, OccurrenceRecord, StoredParts};

/// A coordinator that claims the leadership.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The name of the process.
    pub process: ProcessId,
    /// The address that accepts connections of other processes of the system.
    pub address: std::net::SocketAddr,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

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
    /// Whether the state of an occurrence cannot be read.
    pub has_damaged_state: bool,
    /// The numbers of the occurrences whose whole state an earlier version wrote into one row.
    pub undivided_occurrences: Vec<u32>,
}

impl StoredJob {
    fn hold(&mut self, problem: &str, key: &str) {
        self.has_damaged_state = true;
        log::error!(key; "stored state of an occurrence {problem}; the job starts no more tasks");
    }
}

/// A leadership that is durable. From then on no transaction of an earlier leader is applied.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The head that the claim wrote, with the new leadership.
    pub head: Head,
    /// The version of the head row in the store.
    pub head_version: u64,
}

/// All that a new leader needs: its leadership and the stored jobs.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The new leadership.
    pub claim: Claim,
    /// All stored jobs, in the order in which they were accepted.
    pub jobs: Vec<StoredJob>,
    /// The rows of rejected submissions, with their versions.
    pub rejections: Vec<(RowKey, u64)>,
    /// The cancellations of jobs that are not stored, with the versions of their rows.
    pub early_cancellations: Vec<(JobId, u64)>,
    /// The version of the table of jobs from which on changes have to be watched.
    pub jobs_version: u64,
}

/// The reason for which a claim of the leadership failed.
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

/// Makes `candidate` the leader, unless another process holds a leadership that is newer than `last_leadership`, the newest
/// one that the candidate has observed. A candidate that has observed none cannot tell whether that leader is alive, unless
/// the leader was an earlier incarnation of its own process.
///
/// # Errors
///
/// [`TakeoverError`]. After [`TakeoverError::Store`] the candidate may be leader in the store; its next claim then
/// replaces its own leadership.
pub async fn claim_leadership<S>(
    store: &S,
    candidate: &Candidate,
    last_leadership: Option<&Leadership>,
) -> Result<Claim, TakeoverError>
where
    S: RowStore,
{
    let Candidate { process, address, incarnation } = candidate;
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
        && head.incarnation != *incarnation
        && (last_leadership.is_some() || head.leadership.leader != *process)
    {
        return Err(TakeoverError::Lost(Some(head.leadership.clone())));
    }
    let epoch = current_epoch.max(known_epoch).next();
    let leadership = Leadership { epoch, leader: process.clone(), address: *address };
    let head = Head { leadership: leadership.clone(), incarnation: *incarnation, sequence: 0 };
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
    Ok(Claim { head, head_version })
}

/// Reads what a new leader needs after its claim. `listing` keeps what was read, so that the next attempt continues
/// after a failure.
///
/// # Errors
///
/// [`RowError`] if the store does not answer.
pub async fn read_jobs<S>(
    store: &RelayingStore<S>,
    claim: &Claim,
    listing: &mut JobListing,
) -> RowResult<Takeover>
where
    S: RowStore,
{
    listing.read_missing(store).await?;
    let progress = store.direct().list(PROGRESS_TABLE, 0).await?;
    let listing = std::mem::take(listing).into_listing();
    let mut jobs: BTreeMap<String, StoredJob> = BTreeMap::new();
    let (mut rejections, mut early_cancellations) = (Vec::new(), Vec::new());
    for row in &listing.rows {
        if row.key.key.ends_with(CANCEL_SUFFIX) {
            continue;
        }
        if is_rejection(&row.content) {
            rejections.push((row.key.clone(), row.version));
            continue;
        }
        match JobRecord::decode(&row.content) {
            Ok(record) => {
                let id = JobId::from(row.key.key.as_str());
                let job = StoredJob {
                    id,
                    record,
                    occurrences: Vec::new(),
                    is_cancelled: false,
                    has_damaged_state: false,
                    undivided_occurrences: Vec::new(),
                };
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
        let Some(id) = row.key.key.strip_suffix(CANCEL_SUFFIX) else {
            continue;
        };
        match jobs.get_mut(id) {
            Some(job) => job.is_cancelled = true,
            None => early_cancellations.push((JobId::from(id), row.version)),
        }
    }
    let mut parts: BTreeMap<(&str, u32), StoredParts> = BTreeMap::new();
    for row in &progress.rows {
        let Some(key) = ProgressKey::decode(&row.key.key) else {
            continue;
        };
        let Some(job) = jobs.get_mut(key.job) else {
            continue;
        };
        match (key.numbers, OccurrenceRecord::decode(&row.content)) {
            (Some((occurrence, part)), Ok(record)) => {
                parts.entry((key.job, occurrence)).or_default().insert(part, record);
            }
            _ => job.hold("cannot be decoded", &row.key.key),
        }
    }
    for ((id, occurrence), parts) in parts {
        let Some(job) = jobs.get_mut(id) else {
            continue;
        };
        match parts.assemble(job.record.spec.tasks_per_occurrence()) {
            Some(assembled) => {
                job.occurrences.push((occurrence, assembled.record));
                if assembled.is_in_one_part {
                    job.undivided_occurrences.push(occurrence);
                }
            }
            None => job.hold("does not match the job", &format!("{id}.{occurrence}")),
        }
    }
    let mut jobs: Vec<StoredJob> = jobs.into_values().collect();
    jobs.sort_by_key(|job| job.record.accepted_ms);
    let claim = claim.clone();
    let jobs_version = listing.version;
    Ok(Takeover { claim, jobs, rejections, early_cancellations, jobs_version })
}
