//! Conditional changes of a job's row by the leader of its group.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::job::{JobRow, group_job_key, job_key};
use crate::membership::epoch_key;
use crate::prelude::*;
use crate::store::{
    Commit, CommitOutcome, Condition, OperationId, Row, RowVersion, Table, Write, Writer,
};

/// Change of a job's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum JobChange {
    /// An attempt is about to start.
    Intent {
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt has ended, and the job is queued again.
    Queued {
        /// Number of the attempt.
        attempt: u32,
        /// Run time saved by a checkpoint, in milliseconds.
        saved_ms: u64,
    },
    /// The job has ended.
    Ended {
        /// End of the job.
        end: JobEnd,
    },
}

/// Result of a [`JobChange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobChangeResult {
    /// The change is durable.
    Durable,
    /// The row does not allow the change, and no write of it can take effect any more.
    Conflict,
    /// The write of this call is guaranteed not applied and no longer in progress.
    NotApplied,
    /// The change may have taken effect or may still do so.
    Unknown,
    /// Another process leads the group, and the condition on the group's epoch prevented the change.
    Deposed,
}

/// Group and epoch in which a leader changes rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EpochContext {
    /// Group of the leader.
    pub group: GroupId,
    /// Version of the group's epoch row in the leader's epoch.
    pub epoch_version: RowVersion,
}

/// Result of applying a change to a row.
enum Applied {
    /// New content of the row.
    Row(Box<JobRow>),
    /// The row already contains the change.
    Unchanged,
    /// The row does not allow the change.
    Conflict,
}

/// Changes a job's row on condition that the group's epoch and the row's version are unchanged since they were read.
///
/// The operation is idempotent: if the row already contains the change, whichever write applied it, the result is
/// [`JobChangeResult::Durable`].
pub async fn change_job<T, R>(
    writer: &Writer<T>,
    epoch_context: &EpochContext,
    job: &JobId,
    change: &JobChange,
    limit: Duration,
    random: &mut R,
) -> JobChangeResult
where
    T: Table,
    R: Rng,
{
    let table = writer.table();
    let (row_key, index_key) = (job_key(job), group_job_key(&epoch_context.group, job));
    let read = futures::future::try_join(table.read(&row_key), table.read(&index_key));
    let Ok((row, index)) = read.await else { return JobChangeResult::NotApplied };
    let Some(row) = row else { return JobChangeResult::Conflict };
    let Ok(old) = serde_json::from_value::<JobRow>(row.value.clone()) else {
        return JobChangeResult::Conflict;
    };
    let new = match apply(&old, change) {
        Applied::Row(new) => new,
        Applied::Unchanged => return JobChangeResult::Durable,
        Applied::Conflict => return JobChangeResult::Conflict,
    };
    let commit = build_commit(epoch_context, &row, index.as_ref(), &new, random);
    match writer.commit(&commit, limit, random).await {
        CommitOutcome::Durable(_) => JobChangeResult::Durable,
        CommitOutcome::NotApplied(_) => JobChangeResult::NotApplied,
        CommitOutcome::Unknown(_) => JobChangeResult::Unknown,
        CommitOutcome::Conflict(row) if row.key == epoch_key(&epoch_context.group) => {
            JobChangeResult::Deposed
        }
        // The row changed after it was read; the next call reads it again.
        CommitOutcome::Conflict(_) => JobChangeResult::NotApplied,
    }
}

fn build_commit<R>(
    epoch_context: &EpochContext,
    row: &Row,
    index: Option<&Row>,
    new: &JobRow,
    random: &mut R,
) -> Commit
where
    R: Rng,
{
    let mut conditions = vec![
        Condition { key: epoch_key(&epoch_context.group), version: epoch_context.epoch_version },
        Condition { key: row.key.clone(), version: row.version },
    ];
    let value = serde_json::to_value(new).expect("job rows have string keys");
    let mut writes = vec![Write { key: row.key.clone(), value }];
    if let (JobState::Ended { .. }, Some(index)) = (&new.state, index) {
        conditions.push(Condition { key: index.key.clone(), version: index.version });
        writes.push(Write { key: index.key.clone(), value: serde_json::Value::Null });
    }
    Commit { operation: OperationId::random(random), conditions, writes }
}

fn apply(row: &JobRow, change: &JobChange) -> Applied {
    if matches!(row.state, JobState::Ended { .. }) {
        // The first durable end is final; a later end counts as already applied.
        let is_end = matches!(change, JobChange::Ended { .. });
        return if is_end { Applied::Unchanged } else { Applied::Conflict };
    }
    let mut new = Box::new(row.clone());
    match change {
        JobChange::Intent { attempt } => match row.state {
            JobState::Running { attempt: running } if running == *attempt => {
                return Applied::Unchanged;
            }
            JobState::Queued if !row.cancel_requested && row.attempts < *attempt => {
                new.state = JobState::Running { attempt: *attempt };
                new.attempts = *attempt;
            }
            _ => return Applied::Conflict,
        },
        JobChange::Queued { attempt, saved_ms } => {
            if row.attempts > *attempt {
                return Applied::Conflict;
            }
            new.state = JobState::Queued;
            new.attempts = *attempt;
            new.saved_ms = row.saved_ms.max(*saved_ms);
        }
        JobChange::Ended { end } => new.state = JobState::Ended { end: end.clone() },
    }
    if *new == *row { Applied::Unchanged } else { Applied::Row(new) }
}
