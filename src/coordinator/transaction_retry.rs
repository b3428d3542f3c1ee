//! Sends a transaction again while the answer to an earlier attempt is still outstanding.
//!
//! This is safe only for transactions that invalidate their own condition when they are applied, so that repeated ones
//! have no effect.

use std::future::Future;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::store::{RowError, RowResult, StoredRow};

/// The time without an answer after which the transaction is sent again; it doubles with each attempt. An answer
/// normally takes 4 ms, and about 300 ms while the store is slow.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// The pause before the next attempt once all attempts have failed.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// The maximum number of attempts.
const MAX_ATTEMPTS: u32 = 4;

/// The outcome of a transaction after all its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The transaction is applied, at this version.
    Applied(u64),
    /// A condition does not hold, possibly because an earlier attempt was applied; the rows that differ.
    Conflict(Vec<StoredRow>),
    /// No attempt was applied, and none can be applied later.
    NotApplied(RowError),
    /// An attempt may have been applied, or may still be; the reason is that of the last attempt without an answer.
    Unknown(String),
}

/// Makes attempts until one has a definite result, for at most `limit`.
pub async fn transact_with_retries<F, A>(attempt: F, limit: Duration) -> TransactionOutcome
where
    F: Fn() -> A,
    A: Future<Output = RowResult<u64>>,
{
    let deadline = tokio::time::Instant::now() + limit;
    let mut running = FuturesUnordered::new();
    let (mut attempts, mut next_attempt) = (0, tokio::time::Instant::now());
    let mut unknown_reason = None;
    loop {
        let may_attempt = attempts < MAX_ATTEMPTS;
        if running.is_empty() && !may_attempt {
            return TransactionOutcome::Unknown(unknown_reason.unwrap_or_default());
        }
        tokio::select! {
            biased;
            Some(answer) = running.next() => match answer {
                Ok(version) => return TransactionOutcome::Applied(version),
                Err(RowError::Conflict { current }) => return TransactionOutcome::Conflict(current),
                Err(error) => {
                    match error {
                        RowError::Unknown { reason } => unknown_reason = Some(reason),
                        error if running.is_empty() && unknown_reason.is_none() => {
                            return TransactionOutcome::NotApplied(error);
                        }
                        // Another attempt may still be applied.
                        _ => {}
                    }
                    if running.is_empty() {
                        next_attempt = tokio::time::Instant::now() + RETRY_PAUSE;
                    }
                }
            },
            () = tokio::time::sleep_until(next_attempt), if may_attempt => {
                running.push(attempt());
                next_attempt = tokio::time::Instant::now() + RETRY_AFTER * 2_u32.pow(attempts);
                attempts += 1;
            }
            () = tokio::time::sleep_until(deadline) => {
                return TransactionOutcome::Unknown(unknown_reason.unwrap_or_else(|| "no answer in time".to_owned()));
            }
        }
    }
}
