//! Rows in named tables, with transactions under conditions and a feed of changes.
//!
//! [`super::Table`] gives each row a version of its own; here all rows share one counter, and changes can be followed.

use std::future::Future;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Names a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// The table.
    pub table: String,
    /// The partition of the table. Transactions of one partition are applied one after another.
    pub partition: u8,
    /// The key in the partition.
    pub key: String,
}

impl RowKey {
    /// Names a row of a table with one partition.
    pub fn new(table: &str, key: &str) -> Self {
        Self::in_partition(table, 0, key)
    }

    /// Names a row of a partition.
    pub fn in_partition(table: &str, partition: u8, key: &str) -> Self {
        Self { table: table.to_owned(), partition, key: key.to_owned() }
    }
}

/// A row as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRow {
    /// The name.
    pub key: RowKey,
    /// The content.
    pub content: Vec<u8>,
    /// The store's version at which it was written.
    pub version: u64,
}

/// A change that the feed reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// The row.
    pub key: RowKey,
    /// Its content; `None` once it was removed.
    pub content: Option<Vec<u8>>,
    /// The store's version of the change.
    pub version: u64,
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The rows, in the order of their keys.
    pub rows: Vec<StoredRow>,
    /// The store's version at that moment.
    pub version: u64,
}

/// Changes of a table since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The changes, in their order.
    pub changes: Vec<RowChange>,
    /// The version from which to go on.
    pub version: u64,
}

/// Writes that are all applied if all conditions hold, or none of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Rows and the versions that they must have; 0 means that the row does not exist.
    pub conditions: Vec<(RowKey, u64)>,
    /// Rows to write.
    pub puts: Vec<(RowKey, Vec<u8>)>,
    /// Rows to remove.
    pub removals: Vec<RowKey>,
}

/// Why a call had no effect, or may have had one.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub))]
pub enum RowError {
    /// A condition does not hold.
    #[snafu(display("a row has another version than expected"))]
    Conflict {
        /// The rows of the conditions that exist, as they are now.
        current: Vec<StoredRow>,
    },
    /// The call certainly had no effect and never will.
    #[snafu(display("the store is unavailable: {reason}"))]
    Unavailable {
        /// Why.
        reason: String,
    },
    /// The transaction may have been applied, or may still be while its conditions hold.
    #[snafu(display("the result is unknown: {reason}"))]
    Unknown {
        /// Why.
        reason: String,
    },
    /// The changes since that version are no longer known; the table has to be read again.
    #[snafu(display("the history since that version is gone"))]
    HistoryGone,
    /// The store refused the call as malformed.
    #[snafu(display("the store refused the call: {reason}"))]
    Refused {
        /// Why.
        reason: String,
    },
}

/// The result of a call.
pub type RowResult<T> = std::result::Result<T, RowError>;

/// A store of rows.
pub trait RowStore: Clone + Send + Sync + 'static {
    /// Reads all rows of a partition.
    ///
    /// # Errors
    ///
    /// [`RowError::Unavailable`] or [`RowError::Refused`].
    fn list(&self, table: &str, partition: u8) -> impl Future<Output = RowResult<Listing>> + Send;

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// [`RowError::Unavailable`] or [`RowError::Refused`].
    fn read(&self, key: &RowKey) -> impl Future<Output = RowResult<Option<StoredRow>>> + Send;

    /// Waits for changes of a table after a version, for at most `wait`.
    ///
    /// # Errors
    ///
    /// [`RowError::HistoryGone`], [`RowError::Unavailable`] or [`RowError::Refused`].
    fn watch(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = RowResult<Changes>> + Send;

    /// Applies a transaction and returns the store's version of it.
    ///
    /// # Errors
    ///
    /// Any [`RowError`] but [`RowError::HistoryGone`].
    fn transact(&self, transaction: &Transaction) -> impl Future<Output = RowResult<u64>> + Send;
}
