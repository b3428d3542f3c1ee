//! Limits the rate of calls of one process to the platform's store, with a reserve for urgent calls.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{Commit, Committed, Result, Row, Table};

/// One call in the unit of a budget, thousandths of a call.
const CALL_MILLI: u64 = 1_000;
/// Divisor for the part of a budget that is reserved for urgent calls.
const URGENT_RESERVE_DIVISOR: u64 = 4;

/// Priority of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Calls for leases, epochs and configuration. Their delay would cost leaders their groups, and delay the commands
    /// of operators.
    Urgent,
    /// All other calls.
    Ordinary,
}

impl Urgency {
    /// Returns the urgency of a call for a key or key prefix.
    pub fn of_key(key: &str) -> Self {
        let urgent_prefixes = ["config/", "group/", "group-epoch/"];
        if urgent_prefixes.iter().any(|prefix| key.starts_with(prefix)) {
            Self::Urgent
        } else {
            Self::Ordinary
        }
    }

    fn of_commit(commit: &Commit) -> Self {
        let has_urgent_write =
            commit.writes.iter().any(|write| Self::of_key(&write.key) == Self::Urgent);
        if has_urgent_write { Self::Urgent } else { Self::Ordinary }
    }
}

/// Token bucket for calls, which holds at most the calls of one second.
///
/// The last quarter of the bucket is reserved for urgent calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallBudget {
    calls_per_second: u64,
    available_milli: u64,
    filled_at_ms: u64,
}

impl CallBudget {
    /// Creates a full budget; a rate of zero is raised to one call per second.
    pub fn new(calls_per_second: u64) -> Self {
        let calls_per_second = calls_per_second.max(1);
        Self { calls_per_second, available_milli: calls_per_second * CALL_MILLI, filled_at_ms: 0 }
    }

    /// Takes one call from the budget.
    ///
    /// # Errors
    ///
    /// The time in milliseconds, at least 1, after which the caller can retry, if the budget is exhausted.
    pub fn try_acquire(&mut self, now_ms: u64, urgency: Urgency) -> std::result::Result<(), u64> {
        self.refill(now_ms);
        let needed_milli = CALL_MILLI + self.reserve_milli(urgency);
        if self.available_milli >= needed_milli {
            self.available_milli -= CALL_MILLI;
            return Ok(());
        }
        Err((needed_milli - self.available_milli).div_ceil(self.calls_per_second))
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_at_ms);
        let full_milli = self.calls_per_second * CALL_MILLI;
        self.available_milli =
            (self.available_milli + elapsed_ms * self.calls_per_second).min(full_milli);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
    }

    fn reserve_milli(&self, urgency: Urgency) -> u64 {
        match urgency {
            Urgency::Urgent => 0,
            // With a rate of one call per second the reserve is zero, or ordinary calls would never be admitted.
            Urgency::Ordinary => (self.calls_per_second - 1) * CALL_MILLI / URGENT_RESERVE_DIVISOR,
        }
    }
}

/// Table whose calls wait until the budget for reads or writes admits them.
#[derive(Debug)]
pub struct LimitedTable<T> {
    table: T,
    start: Instant,
    reads: Mutex<CallBudget>,
    writes: Mutex<CallBudget>,
}

impl<T> LimitedTable<T>
where
    T: Table,
{
    /// Wraps a table with limits for its reads and writes per second.
    pub fn new(table: T, reads_per_second: u64, writes_per_second: u64) -> Self {
        Self {
            table,
            start: Instant::now(),
            reads: Mutex::new(CallBudget::new(reads_per_second)),
            writes: Mutex::new(CallBudget::new(writes_per_second)),
        }
    }

    async fn wait_for_budget(&self, budget: &Mutex<CallBudget>, urgency: Urgency) {
        loop {
            let now_ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
            let acquired =
                budget.lock().unwrap_or_else(PoisonError::into_inner).try_acquire(now_ms, urgency);
            let Err(wait_ms) = acquired else {
                return;
            };
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }
}

impl<T> Table for LimitedTable<T>
where
    T: Table,
{
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        self.wait_for_budget(&self.reads, Urgency::of_key(key)).await;
        self.table.read(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        self.wait_for_budget(&self.reads, Urgency::of_key(prefix)).await;
        self.table.scan(prefix).await
    }

    async fn commit(&self, commit: &Commit) -> Result<Committed> {
        self.wait_for_budget(&self.writes, Urgency::of_commit(commit)).await;
        self.table.commit(commit).await
    }
}

/// Shares a table between tasks.
impl<T> Table for std::sync::Arc<T>
where
    T: Table,
{
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        T::read(self, key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        T::scan(self, prefix).await
    }

    async fn commit(&self, commit: &Commit) -> Result<Committed> {
        T::commit(self, commit).await
    }
}
