//! A row store in memory, with the faults of the platform's.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use super::{
    Changes, Listing, RowChange, RowError, RowKey, RowResult, RowStore, StoredRow, Transaction,
};

/// How the store answers a client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// As it should.
    #[default]
    None,
    /// Every call is refused, and nothing is done.
    Down,
    /// Transactions are applied and not answered.
    LostAnswers,
    /// Each transaction takes this time, and those of one partition take turns.
    Slow(Duration),
    /// Transactions are not answered, and applied when [`MemoryRowStore::apply_late`] is called.
    Late,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowKey, (Vec<u8>, u64)>,
    history: Vec<RowChange>,
    forgotten_up_to: u64,
    version: u64,
    late: Vec<Transaction>,
    calls: u64,
}

/// A client of a store in memory. Clones share the store and the fault; [`MemoryRowStore::new_client`] shares the
/// store.
#[derive(Clone, Debug)]
pub struct MemoryRowStore {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    fault: Arc<Mutex<StoreFault>>,
    /// Calls that wait for changes since before the last rise of this number are never answered.
    stalls: Arc<AtomicU64>,
    /// Calls that wait for changes of these tables are never answered.
    stalled_tables: Arc<Mutex<BTreeSet<String>>>,
    turns: Arc<Mutex<BTreeMap<(String, u8), Turn>>>,
}

/// Held by the transaction that a partition is applying.
type Turn = Arc<tokio::sync::Mutex<()>>;

impl Default for MemoryRowStore {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
            fault: Arc::default(),
            stalls: Arc::default(),
            stalled_tables: Arc::default(),
            turns: Arc::default(),
        }
    }
}

impl MemoryRowStore {
    /// Returns a client of the same store that has no fault of its own.
    pub fn new_client(&self) -> Self {
        Self { fault: Arc::default(), ..self.clone() }
    }

    /// Sets how the store answers this client.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Applies all transactions whose conditions still hold among those that were held back.
    pub fn apply_late(&self) {
        let late = self.with(|state| std::mem::take(&mut state.late));
        for transaction in late {
            // A condition that no longer holds is the expected case.
            let _ = self.apply(&transaction);
        }
    }

    /// Forgets the history, as the platform's store may do at any time.
    pub fn forget_history(&self) {
        self.with(|state| {
            state.history.clear();
            state.forgotten_up_to = state.version;
        });
    }

    /// Stalls all calls that wait for changes now; new calls are answered.
    pub fn stall_watches(&self) {
        self.stalls.fetch_add(1, Ordering::Relaxed);
    }

    /// Leaves all calls that wait for changes of a table without an answer from now on.
    pub fn stall_watches_of_table(&self, table: &str) {
        let mut tables = self.stalled_tables.lock().unwrap_or_else(PoisonError::into_inner);
        tables.insert(table.to_owned());
    }

    fn is_stalled(&self, table: &str) -> bool {
        self.stalled_tables.lock().unwrap_or_else(PoisonError::into_inner).contains(table)
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.with(|state| state.calls)
    }

    fn with<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut State) -> T,
    {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn turn_of(&self, transaction: &Transaction) -> Turn {
        let partition = transaction.puts.first().map(|(key, _)| (key.table.clone(), key.partition));
        let mut turns = self.turns.lock().unwrap_or_else(PoisonError::into_inner);
        turns.entry(partition.unwrap_or_default()).or_default().clone()
    }

    fn fault(&self) -> StoreFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin_call(&self) -> RowResult<StoreFault> {
        self.with(|state| state.calls += 1);
        match self.fault() {
            StoreFault::Down => Err(RowError::Unavailable { reason: "down".to_owned() }),
            fault => Ok(fault),
        }
    }

    fn apply(&self, transaction: &Transaction) -> RowResult<u64> {
        let version = self.with(|state| {
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
        self.with(|state| {
            if after < state.forgotten_up_to {
                return Err(RowError::HistoryGone);
            }
            let changes = state
                .history
                .iter()
                .filter(|change| change.key.table == table && change.version > after);
            Ok(Changes { changes: changes.cloned().collect(), version: state.version })
        })
    }
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
        Ok(self.with(|state| {
            let is_here = |key: &&RowKey| key.table == table && key.partition == partition;
            let keys = state.rows.keys().filter(is_here);
            Listing {
                rows: keys.filter_map(|key| state.row(key)).collect(),
                version: state.version,
            }
        }))
    }

    async fn read(&self, key: &RowKey) -> RowResult<Option<StoredRow>> {
        self.begin_call()?;
        Ok(self.with(|state| state.row(key)))
    }

    async fn watch(&self, table: &str, after: u64, wait: Duration) -> RowResult<Changes> {
        self.begin_call()?;
        if self.is_stalled(table) {
            return std::future::pending().await;
        }
        let stalls = self.stalls.load(Ordering::Relaxed);
        let mut changed = self.changed.subscribe();
        let until = tokio::time::Instant::now() + wait;
        loop {
            changed.mark_unchanged();
            let changes = self.changes_since(table, after)?;
            if !changes.changes.is_empty() {
                return Ok(changes);
            }
            let has_timed_out = tokio::time::timeout_at(until, changed.changed()).await.is_err();
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
            StoreFault::Late => {
                self.with(|state| state.late.push(transaction.clone()));
                Err(unknown())
            }
            StoreFault::LostAnswers => self.apply(transaction).and_then(|_| Err(unknown())),
            StoreFault::Slow(duration) => {
                let turn = self.turn_of(transaction);
                let _turn = turn.lock().await;
                tokio::time::sleep(duration).await;
                self.apply(transaction)
            }
            StoreFault::None | StoreFault::Down => self.apply(transaction),
        }
    }
}
