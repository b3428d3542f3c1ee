//! Clients of the platform's table service, row store and object store. See docs/design.md, section 3.
//!
//! The traits separate the processes from the platform: production code uses [`HttpStore`], tests use [`MemoryStore`].

mod http;
mod limit;
mod memory;
mod memory_row_store;
mod message;
mod rows;
#[cfg(test)]
mod tests;
mod writer;

pub use http::HttpStore;
pub use limit::{CallBudget, LimitedTable, Urgency};
pub use memory::MemoryStore;
pub use memory_row_store::{MemoryRowStore, StoreFault};
pub use message::{
    Commit, Committed, Condition, Error, OperationId, Result, Row, RowVersion, Write,
};
pub use rows::{
    Changes, Listing, RowChange, RowError, RowKey, RowResult, RowStore, StoredRow, Transaction,
};
pub use writer::{CommitOutcome, Writer};

use std::future::Future;

/// The platform's transactional table.
pub trait Table: Send + Sync + 'static {
    /// Reads one row. The result may be stale.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>>> + Send;

    /// Reads all rows whose keys begin with `prefix`, in the order of keys.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>>> + Send;

    /// Applies all writes of a commit if all its conditions hold, or none.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if a condition does not hold, [`Error::Unavailable`] if the commit is guaranteed to have had
    /// no effect, and [`Error::UnknownResult`] if it may have taken effect or may still do so.
    fn commit(&self, commit: &Commit) -> impl Future<Output = Result<Committed>> + Send;
}

/// The platform's object store.
pub trait ObjectStore: Send + Sync + 'static {
    /// Writes an object as a whole.
    fn put(&self, key: &str, content: &[u8]) -> impl Future<Output = Result<()>> + Send;

    /// Reads an object as a whole.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Vec<u8>>>> + Send;
}
