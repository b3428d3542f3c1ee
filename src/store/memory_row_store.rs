//! In-memory row store that simulates faults of the platform's store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use super::{
    Changes, Listing, RowChange, RowError, RowKey, RowResult, RowStore, StoredRow, Transaction,
};

/// Simulated fault in the calls of one client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Every call fails as unavailable without effect.
    Down,
    /// Transactions are applied, but their answers are lost.
    LostAnswers,
    /// Each transaction takes this time; those of one partition are applied sequentially.
    Slow(Duration),
    /// Answers of transactions are lost, and transactions are applied when [`MemoryRowStore::apply_delayed`] is called.
    Delayed,
}

/// Maximum number of entries of a transaction.
const MAX_ENTRIES: usize = 100;
/// Maximum size of a transaction in bytes, in which the content of rows is base64.
const MAX_TRANSACTION_BYTES: usize = 1_000_000;
/// Maximum size of a row in bytes, unless [`MemoryRowStore::set_row_limit`] sets another one.
const DEFAULT_ROW_LIMIT_BYTES: usize = 65_536;

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowKey, (Vec<u8>, u64)>,
    history: Vec<RowChange>,
    discarded_up_to: u64,
    version: u64,
    delayed_transactions: Vec<Transaction>,
    calls: u64,
    refused_transactions: u64,
    row_limit_bytes: Option<usize>,
}

/// Client of an in-memory row store. Clones share the store and the fault of the client;
/// [`MemoryRowStore::new_client`] shares only the store.
#[derive(Clone, Debug)]
pub struct MemoryRowStore {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    fault: Arc<Mutex<StoreFault>>,
    /// Number of calls of [`MemoryRowStore::stall_watches`]. Watches that began before the last one are never answered.
    stalls: Arc<AtomicU64>,
    /// Names of tables whose watches are never answered.
    stalled_tables: Arc<Mutex<BTreeSet<String>>>,
    list_faults: Arc<Mutex<BTreeMap<String, ListFault>>>,
    partition_locks: Arc<Mutex<BTreeMap<(String, u8), PartitionLock>>>,
}

/// Simulated fault in the lists of one table.
#[derive(Clone, Copy, Debug, Default)]
struct ListFault {
    duration: Duration,
    /// Number of lists that fail before the next one succeeds.
    failures: u32,
}

/// Lock held while a partition applies a transaction.
type PartitionLock = Arc<tokio::sync::Mutex<()>>;

impl Default for MemoryRowStore {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
            fault: Arc::default(),
            stalls: Arc::default(),
            stalled_tables: Arc::default(),
            list_faults: Arc::default(),
            partition_locks: Arc::default(),
        }
    }
}

impl MemoryRowStore {
    /// Creates a client of the same store without a fault.
    pub fn new_client(&self) -> Self {
        Self { fault: Arc::default(), ..self.clone() }
    }

    /// Sets the fault of this client and its clones.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Applies the transactions delayed by [`StoreFault::Delayed`] whose conditions still hold.
    pub fn apply_delayed(&self) {
        let transactions = self.with_state(|state| std::mem::take(&mut state.delayed_transactions));
        for transaction in transactions {
            // A conflict is expected: conditions may no longer hold.
            let _ = self.apply(&transaction);
        }
    }

    /// Discards the history of changes, as the platform's store may do at any time.
    pub fn discard_history(&self) {
        self.with_state(|state| {
            state.history.clear();
            state.discarded_up_to = state.version;
        });
    }

    /// Stalls all current watches, which are then never answered; new ones are answered.
    pub fn stall_watches(&self) {
        self.stalls.fetch_add(1, Ordering::Relaxed);
    }

    /// Stalls all watches of a table that begin from now on.
    pub fn stall_watches_of_table(&self, table: &str) {
        let mut tables = self.stalled_tables.lock().unwrap_or_else(PoisonError::into_inner);
        tables.insert(table.to_owned());
    }

    /// Makes each list of a table take this time from now on.
    pub fn slow_lists_of_table(&self, table: &str, duration: Duration) {
        self.with_list_fault(table, |fault| fault.duration = duration);
    }

    /// Makes the next lists of a table fail as unavailable.
    pub fn fail_lists_of_table(&self, table: &str, failures: u32) {
        self.with_list_fault(table, |fault| fault.failures = failures);
    }

    fn with_list_fault<T, F>(&self, table: &str, work: F) -> T
    where
        F: FnOnce(&mut ListFault) -> T,
    {
        let mut faults = self.list_faults.lock().unwrap_or_else(PoisonError::into_inner);
        work(faults.entry(table.to_owned()).or_default())
    }

    fn is_stalled(&self, table: &str) -> bool {
        self.stalled_tables.lock().unwrap_or_else(PoisonError::into_inner).contains(table)
    }

    /// Sets the maximum size of rows that are written from now on, in bytes.
    pub fn set_row_limit(&self, limit_bytes: usize) {
        self.with_state(|state| state.row_limit_bytes = Some(limit_bytes));
    }

    /// Returns the number of transactions that were refused for their size so far.
    pub fn refused_transactions(&self) -> u64 {
        self.with_state(|state| state.refused_transactions)
    }

    /// Returns the number of calls by all clients so far.
    pub fn calls(&self) -> u64 {
        self.with_state(|state| state.calls)
    }

    fn with_state<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut State) -> T,
    {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn partition_lock(&self, transaction: &Transaction) -> PartitionLock {
        let partition = transaction.puts.first().map(|(key, _)| (key.table.clone(), key.partition));
        let mut locks = self.partition_locks.lock().unwrap_or_else(PoisonError::into_inner);
        locks.entry(partition.unwrap_or_default()).or_default().clone()
    }

    fn fault(&self) -> StoreFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin_call(&self) -> RowResult<StoreFault> {
        self.with_state(|state| state.calls += 1);
        match self.fault() {
            StoreFault::Down => Err(RowError::Unavailable { reason: "down".to_owned() }),
            fault => Ok(fault),
        }
    }

    fn apply(&self, transaction: &Transaction) -> RowResult<u64> {
        let version = self.with_state(|state| {
            if let Err(error) = check_size(transaction, state.row_limit_bytes) {
                state.refused_transactions += 1;
                return Err(error);
            }
            let version_of = |key: &RowKey| state.rows.get(key).map_or(0, |(_, version)| *version);
            if transaction.conditions.iter().any(|(key, version)| version_of(key) != *version) {
                let current = transaction.conditions.iter().filter_map(|(key, _)| state.row(key));
                return Err(RowError::Conflict { current: current.collect() });
            }
            state.version += 1;
            let version = state.version;
            for (key, content) in &transaction.puts {
                state.rows.insert(key.clone(), (content.clone(), version));
                let (key, content) = (key.clone(), Some(content.clone()));
                state.history.push(RowChange { key, content, version });
            }
            for key in &transaction.removals {
                state.rows.remove(key);
                state.history.push(RowChange { key: key.clone(), content: None, version });
            }
            Ok(version)
        })?;
        self.changed.send_replace(version);
        Ok(version)
    }

    fn changes_since(&self, table: &str, after: u64) -> RowResult<Changes> {
        self.with_state(|state| {
            if after < state.discarded_up_to {
                return Err(RowError::HistoryUnavailable);
            }
            let changes = state
                .history
                .iter()
                .filter(|change| change.key.table == table && change.version > after);
            Ok(Changes { changes: changes.cloned().collect(), version: state.version })
        })
    }
}

/// Checks the limits of the platform's store.
fn check_size(transaction: &Transaction, row_limit_bytes: Option<usize>) -> RowResult<()> {
    let Transaction { conditions, puts, removals } = transaction;
    let limit_bytes = row_limit_bytes.unwrap_or(DEFAULT_ROW_LIMIT_BYTES);
    let entries = conditions.len() + puts.len() + removals.len();
    let base64_bytes: usize = puts.iter().map(|(_, row)| row.len().div_ceil(3) * 4).sum();
    let reason = match puts.iter().find(|(_, row)| row.len() > limit_bytes) {
        Some((key, row)) => format!("row {} has {} bytes", key.key, row.len()),
        None if entries > MAX_ENTRIES => format!("the transaction has {entries} entries"),
        None if base64_bytes > MAX_TRANSACTION_BYTES => {
            format!("the rows of the transaction take {base64_bytes} bytes")
        }
        None => return Ok(()),
    };
    Err(RowError::Refused { reason })
}

impl State {
    fn row(&self, key: &RowKey) -> Option<StoredRow> {
        let (content, version) = self.rows.get(key)?;
        Some(StoredRow { key: key.clone(), content: content.clone(), version: *version })
    }
}

impl RowStore for MemoryRowStore {
    async fn list(&self, table: &str, partition: u8) -> RowResult<Listing> {
        self.begin_call()?;
        let (duration, fails) = self.with_list_fault(table, |fault| {
            let fails = fault.failures > 0;
            fault.failures = fault.failures.saturating_sub(1);
            (fault.duration, fails)
        });
        if fails {
            return Err(RowError::Unavailable { reason: "the list failed".to_owned() });
        }
        if !duration.is_zero() {
            tokio::time::sleep(duration).await;
        }
        Ok(self.with_state(|state| {
            let is_in_partition = |key: &&RowKey| key.table == table && key.partition == partition;
            let keys = state.rows.keys().filter(is_in_partition);
            Listing {
                rows: keys.filter_map(|key| state.row(key)).collect(),
                version: state.version,
            }
        }))
    }

    async fn read(&self, key: &RowKey) -> RowResult<Option<StoredRow>> {
        self.begin_call()?;
        Ok(self.with_state(|state| state.row(key)))
    }

    async fn watch(&self, table: &str, after: u64, wait: Duration) -> RowResult<Changes> {
        self.begin_call()?;
        if self.is_stalled(table) {
            return std::future::pending().await;
        }
        let stalls = self.stalls.load(Ordering::Relaxed);
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            changed.mark_unchanged();
            let changes = self.changes_since(table, after)?;
            if !changes.changes.is_empty() {
                return Ok(changes);
            }
            let has_timed_out = tokio::time::timeout_at(deadline, changed.changed()).await.is_err();
            if self.stalls.load(Ordering::Relaxed) != stalls {
                return std::future::pending().await;
            }
            if self.fault() == StoreFault::Down {
                return Err(RowError::Unavailable { reason: "down".to_owned() });
            }
            if has_timed_out {
                return Ok(changes);
            }
        }
    }

    async fn transact(&self, transaction: &Transaction) -> RowResult<u64> {
        let unknown = || RowError::Unknown { reason: "no answer".to_owned() };
        match self.begin_call()? {
            StoreFault::Delayed => {
                self.with_state(|state| state.delayed_transactions.push(transaction.clone()));
                Err(unknown())
            }
            StoreFault::LostAnswers => self.apply(transaction).and_then(|_| Err(unknown())),
            StoreFault::Slow(duration) => {
                let lock = self.partition_lock(transaction);
                let _guard = lock.lock().await;
                tokio::time::sleep(duration).await;
                self.apply(transaction)
            }
            StoreFault::None | StoreFault::Down => self.apply(transaction),
        }
    }
}
