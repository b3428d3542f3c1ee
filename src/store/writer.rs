//! Repeats commits, and determines the result of commits whose answer was lost.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{Commit, Committed, Error, RowVersion, Table};

/// Longest delay before the first retry of a commit; the delay doubles with each retry.
const FIRST_RETRY_DELAY_MS: u64 = 20;
/// Longest delay before any retry of a commit.
const MAX_RETRY_DELAY_MS: u64 = 1_000;

/// Result of a commit after its retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The commit took effect exactly once.
    Durable(Committed),
    /// Another operation changed a row first. The commit is guaranteed not applied. Holds the row found.
    Conflict(Box<super::Row>),
    /// The commit is guaranteed not applied, and no call for it is in flight. Holds the reason.
    NotApplied(String),
    /// The commit may have taken effect or may still do so. Holds the reason.
    Unknown(String),
}

/// Retries commits until their result is determined or a deadline passes.
#[derive(Clone, Debug)]
pub struct Writer<T> {
    table: T,
}

impl<T> Writer<T>
where
    T: Table,
{
    /// Creates a writer for a table.
    pub fn new(table: T) -> Self {
        Self { table }
    }

    /// Returns the table, for reads.
    pub fn table(&self) -> &T {
        &self.table
    }

    /// Applies a commit at most once; retries within `limit`.
    ///
    /// Repeating the same commit is safe: each written row has a condition on its version, so at most one call takes
    /// effect. A conflict with a row that carries the operation id of this commit means that an earlier call did.
    pub async fn commit<R>(&self, commit: &Commit, limit: Duration, random: &mut R) -> CommitOutcome
    where
        R: Rng,
    {
        let deadline = tokio::time::Instant::now() + limit;
        let mut delay_ms = FIRST_RETRY_DELAY_MS;
        let mut maybe_applied = false;
        loop {
            let reason = match self.table.commit(commit).await {
                Ok(committed) => return CommitOutcome::Durable(committed),
                Err(Error::Conflict { row }) if row.operation == commit.operation => {
                    return CommitOutcome::Durable(versions_after(commit));
                }
                Err(Error::Conflict { row }) if !maybe_applied => {
                    return CommitOutcome::Conflict(row);
                }
                Err(Error::Conflict { row }) => match self.find_operation(commit).await {
                    Ok(true) => return CommitOutcome::Durable(versions_after(commit)),
                    Ok(false) if commit.writes.len() == 1 => {
                        return CommitOutcome::Unknown(overwritten_reason(&row.key));
                    }
                    Ok(false) => return CommitOutcome::Unknown(overwritten_reason(&row.key)),
                    Err(error) => error.to_string(),
                },
                Err(Error::Refused { reason }) => return CommitOutcome::NotApplied(reason),
                Err(Error::Unavailable { reason }) => reason,
                Err(Error::UnknownResult { reason }) => {
                    maybe_applied = true;
                    reason
                }
            };
            let delay = Duration::from_millis(random.random_range(delay_ms / 2..=delay_ms));
            if tokio::time::Instant::now() + delay >= deadline {
                return if maybe_applied {
                    CommitOutcome::Unknown(reason)
                } else {
                    CommitOutcome::NotApplied(reason)
                };
            }
            tokio::time::sleep(delay).await;
            delay_ms = (delay_ms * 2).min(MAX_RETRY_DELAY_MS);
        }
    }

    /// Returns whether any row that the commit writes carries its operation id.
    async fn find_operation(&self, commit: &Commit) -> super::Result<bool> {
        for write in &commit.writes {
            if self
                .table
                .read(&write.key)
                .await?
                .is_some_and(|row| row.operation == commit.operation)
            {
                return Ok(true);
            }
        }
        Ok(false)
    }
}

fn overwritten_reason(key: &str) -> String {
    format!("row {key:?} was changed by another operation while the result was unknown")
}

/// Computes the versions of the written rows after a commit: those of its conditions plus one.
fn versions_after(commit: &Commit) -> Committed {
    let version_of = |key: &str| {
        commit.conditions.iter().find(|c| c.key == key).map(|c| RowVersion(c.version.0 + 1))
    };
    Committed {
        versions: commit.writes.iter().filter_map(|write| version_of(&write.key)).collect(),
    }
}
