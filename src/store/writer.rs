//! Resolves commits whose answer was lost.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{Commit, Committed, Error, RowVersion, Table};

/// The first delay between two tries of a commit.
const FIRST_DELAY_MS: u64 = 20;
/// The longest delay between two tries of a commit.
const LONGEST_DELAY_MS: u64 = 1_000;

/// What is known of a commit after it was tried and repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The commit took effect once.
    Durable(Committed),
    /// Another operation changed a row first; the commit has no effect and never will.
    Conflict(Box<super::Row>),
    /// The commit certainly had no effect, and no try of it is under way.
    NotApplied(String),
    /// The commit may have taken effect or may still do so.
    Unknown(String),
}

/// Tries commits until their result is certain or a deadline passes.
#[derive(Clone, Debug)]
pub struct Writer<T> {
    table: T,
}

impl<T> Writer<T>
where
    T: Table,
{
    /// Creates a writer to a table.
    pub fn new(table: T) -> Self {
        Self { table }
    }

    /// Returns the table, for reads.
    pub fn table(&self) -> &T {
        &self.table
    }

    /// Applies a commit at most once.
    ///
    /// Repeating the same commit is safe: each written row has a condition on its version, so at most one try takes
    /// effect, and a conflict with a row that carries the commit's own operation id means that an earlier try did.
    pub async fn commit<R>(&self, commit: &Commit, limit: Duration, random: &mut R) -> CommitOutcome
    where
        R: Rng,
    {
        let deadline = tokio::time::Instant::now() + limit;
        let mut delay_ms = FIRST_DELAY_MS;
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
                Err(Error::Conflict { row }) => match self.find_own_write(commit).await {
                    Ok(true) => return CommitOutcome::Durable(versions_after(commit)),
                    Ok(false) if commit.writes.len() == 1 => {
                        return CommitOutcome::Unknown(overwritten(&row.key));
                    }
                    Ok(false) => return CommitOutcome::Unknown(overwritten(&row.key)),
                    Err(error) => error.to_string(),
                },
                Err(Error::Refused { reason }) => return CommitOutcome::NotApplied(reason),
                Err(Error::Unavailable { reason }) => reason,
                Err(Error::UnknownResult { reason }) => {
                    maybe_applied = true;
                    reason
                }
            };
            let pause = Duration::from_millis(random.random_range(delay_ms / 2..=delay_ms));
            if tokio::time::Instant::now() + pause >= deadline {
                return if maybe_applied {
                    CommitOutcome::Unknown(reason)
                } else {
                    CommitOutcome::NotApplied(reason)
                };
            }
            tokio::time::sleep(pause).await;
            delay_ms = (delay_ms * 2).min(LONGEST_DELAY_MS);
        }
    }

    /// Looks for the commit's operation id in any of the rows that it writes.
    async fn find_own_write(&self, commit: &Commit) -> super::Result<bool> {
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

fn overwritten(key: &str) -> String {
    format!("row {key:?} was changed by another operation while the result was unknown")
}

/// Computes the versions that a commit gave to its rows, which its conditions determine.
fn versions_after(commit: &Commit) -> Committed {
    let version_of = |key: &str| {
        commit.conditions.iter().find(|c| c.key == key).map(|c| RowVersion(c.version.0 + 1))
    };
    Committed {
        versions: commit.writes.iter().filter_map(|write| version_of(&write.key)).collect(),
    }
}
