//! Repeats a transaction before its answer is known to be lost.
//!
//! Only for transactions whose first application breaks their own condition, so that each further one has no effect.

use std::future::Future;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::store::{RowError, RowResult, StoredRow};

/// After this time without an answer the transaction is sent again; the time doubles with each attempt. An answer
/// normally takes 4 ms, and about 300 ms while the store is slow.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// The pause after attempts that had no answer in their own time.
const REPEAT_PAUSE: Duration = Duration::from_millis(40);
/// The most attempts.
const MAX_ATTEMPTS: u32 = 4;

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// It is applied, at this version.
    Applied(u64),
    /// A condition does not hold; perhaps since an earlier attempt was applied.
    Conflict(Vec<StoredRow>),
    /// No attempt had or will have an effect.
    NotApplied(RowError),
    /// It may be applied, now or later.
    Unknown(String),
}

/// Makes attempts until one has a certain result, for at most `limit`.
pub async fn transact_with_retries<F, A>(attempt: F, limit: Duration) -> TransactionOutcome
where
    F: Fn() -> A,
    A: Future<Output = RowResult<u64>>,
{
    let until = tokio::time::Instant::now() + limit;
    let mut running = FuturesUnordered::new();
    let (mut attempts, mut next) = (0, tokio::time::Instant::now());
    let mut unknown = None;
    loop {
        let may_attempt = attempts < MAX_ATTEMPTS;
        if running.is_empty() && !may_attempt {
            return TransactionOutcome::Unknown(unknown.unwrap_or_default());
        }
        tokio::select! {
            biased;
            Some(answer) = running.next() => match answer {
                Ok(version) => return TransactionOutcome::Applied(version),
                Err(RowError::Conflict { current }) => return TransactionOutcome::Conflict(current),
                Err(error) => {
                    match error {
                        RowError::Unknown { reason } => unknown = Some(reason),
                        error if running.is_empty() && unknown.is_none() => {
                            return TransactionOutcome::NotApplied(error);
                        }
                        // Another attempt may still be applied.
                        _ => {}
                    }
                    if running.is_empty() {
                        next = tokio::time::Instant::now() + REPEAT_PAUSE;
                    }
                }
            },
            () = tokio::time::sleep_until(next), if may_attempt => {
                running.push(attempt());
                next = tokio::time::Instant::now() + RETRY_AFTER * 2_u32.pow(attempts);
                attempts += 1;
            }
            () = tokio::time::sleep_until(until) => {
                return TransactionOutcome::Unknown(unknown.unwrap_or_else(|| "no answer in time".to_owned()));
            }
        }
    }
}
