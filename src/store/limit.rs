//! Limits the calls that one process makes of the platform's store, urgent ones first.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{Commit, Committed, Result, Row, Table};

/// One call, in the thousandths of calls in which a budget counts.
const CALL_MILLI: u64 = 1_000;
/// The share of a budget that only urgent calls may use, as one part of this many.
const URGENT_SHARE: u64 = 4;

/// Whether a call of the store goes before others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Leases, epochs and configuration: if they wait, leaders lose their groups or operators their commands.
    Urgent,
    /// Everything else.
    Ordinary,
}

impl Urgency {
    /// Returns the urgency of a call that concerns a key.
    pub fn of_key(key: &str) -> Self {
        let urgent = ["config/", "group/", "group-epoch/"];
        if urgent.iter().any(|prefix| key.starts_with(prefix)) {
            Self::Urgent
        } else {
            Self::Ordinary
        }
    }

    fn of_commit(commit: &Commit) -> Self {
        let urgent = commit.writes.iter().any(|write| Self::of_key(&write.key) == Self::Urgent);
        if urgent { Self::Urgent } else { Self::Ordinary }
    }
}

/// A budget of calls a second, which fills steadily up to the calls of one second.
///
/// Ordinary calls leave the last quarter of the budget to urgent ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallBudget {
    calls_per_second: u64,
    available_milli: u64,
    filled_at_ms: u64,
}

impl CallBudget {
    /// Creates a full budget of at least one call a second.
    pub fn new(calls_per_second: u64) -> Self {
        let calls_per_second = calls_per_second.max(1);
        Self { calls_per_second, available_milli: calls_per_second * CALL_MILLI, filled_at_ms: 0 }
    }

    /// Takes one call from the budget, or returns the time after which to ask again.
    ///
    /// # Errors
    ///
    /// The waiting time in milliseconds, at least 1.
    pub fn take(&mut self, now_ms: u64, urgency: Urgency) -> std::result::Result<(), u64> {
        self.fill(now_ms);
        let needed_milli = CALL_MILLI + self.reserve_milli(urgency);
        if self.available_milli >= needed_milli {
            self.available_milli -= CALL_MILLI;
            return Ok(());
        }
        Err((needed_milli - self.available_milli).div_ceil(self.calls_per_second))
    }

    fn fill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_at_ms);
        let full_milli = self.calls_per_second * CALL_MILLI;
        self.available_milli =
            (self.available_milli + elapsed_ms * self.calls_per_second).min(full_milli);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
    }

    fn reserve_milli(&self, urgency: Urgency) -> u64 {
        match urgency {
            Urgency::Urgent => 0,
            // A budget of one call a second must still let ordinary calls through.
            Urgency::Ordinary => (self.calls_per_second - 1) * CALL_MILLI / URGENT_SHARE,
        }
    }
}

/// A table whose calls wait for the budgets of reads and writes.
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
    /// Limits the calls of a table.
    pub fn new(table: T, reads_per_second: u64, writes_per_second: u64) -> Self {
        Self {
            table,
            start: Instant::now(),
            reads: Mutex::new(CallBudget::new(reads_per_second)),
            writes: Mutex::new(CallBudget::new(writes_per_second)),
        }
    }

    async fn wait(&self, budget: &Mutex<CallBudget>, urgency: Urgency) {
        loop {
            let now_ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
            let taken = budget.lock().unwrap_or_else(PoisonError::into_inner).take(now_ms, urgency);
            let Err(wait_ms) = taken else {
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
        self.wait(&self.reads, Urgency::of_key(key)).await;
        self.table.read(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        self.wait(&self.reads, Urgency::of_key(prefix)).await;
        self.table.scan(prefix).await
    }

    async fn commit(&self, commit: &Commit) -> Result<Committed> {
        self.wait(&self.writes, Urgency::of_commit(commit)).await;
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
