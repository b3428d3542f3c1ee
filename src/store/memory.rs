//! In-memory table and object store for tests and the platform stand-in.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::{Commit, Committed, Error, ObjectStore, Result, Row, RowVersion, Table};

/// In-memory transactional table and object store. Clones share the content.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    content: Arc<Mutex<Content>>,
}

#[derive(Debug, Default)]
struct Content {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Vec<u8>>,
}

impl MemoryStore {
    /// Reads one row; deleted rows count as absent.
    pub fn read_row(&self, key: &str) -> Option<Row> {
        self.lock().rows.get(key).filter(|row| !row.value.is_null()).cloned()
    }

    /// Reads all rows whose keys begin with `prefix`; deleted rows count as absent.
    pub fn scan_rows(&self, prefix: &str) -> Vec<Row> {
        let content = self.lock();
        let rows = content.rows.range(prefix.to_owned()..).map(|(_, row)| row);
        rows.take_while(|row| row.key.starts_with(prefix))
            .filter(|row| !row.value.is_null())
            .cloned()
            .collect()
    }

    /// Applies a commit.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if a condition does not hold, [`Error::Refused`] if a written row has no condition.
    pub fn apply(&self, commit: &Commit) -> Result<Committed> {
        let mut content = self.lock();
        for write in &commit.writes {
            if !commit.conditions.iter().any(|condition| condition.key == write.key) {
                return Err(Error::Refused {
                    reason: format!("write of row {:?} has no condition", write.key),
                });
            }
        }
        for condition in &commit.conditions {
            let row = content.row_or_absent(&condition.key);
            if row.version != condition.version {
                return Err(Error::Conflict { row: Box::new(row) });
            }
        }
        let versions = commit
            .writes
            .iter()
            .map(|write| content.write(commit, &write.key, &write.value))
            .collect();
        Ok(Committed { versions })
    }

    /// Writes an object.
    pub fn put_object(&self, key: &str, content: &[u8]) {
        self.lock().objects.insert(key.to_owned(), content.to_vec());
    }

    /// Reads an object.
    pub fn get_object(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().objects.get(key).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Content {
    fn row_or_absent(&self, key: &str) -> Row {
        self.rows.get(key).cloned().unwrap_or_else(|| Row {
            key: key.to_owned(),
            version: RowVersion::ABSENT,
            operation: Default::default(),
            value: serde_json::Value::Null,
        })
    }

    fn write(&mut self, commit: &Commit, key: &str, value: &serde_json::Value) -> RowVersion {
        let version = RowVersion(self.row_or_absent(key).version.0 + 1);
        let row = Row {
            key: key.to_owned(),
            version,
            operation: commit.operation.clone(),
            value: value.clone(),
        };
        self.rows.insert(key.to_owned(), row);
        version
    }
}

impl Table for MemoryStore {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        Ok(self.read_row(key))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        Ok(self.scan_rows(prefix))
    }

    async fn commit(&self, commit: &Commit) -> Result<Committed> {
        self.apply(commit)
    }
}

impl ObjectStore for MemoryStore {
    async fn put(&self, key: &str, content: &[u8]) -> Result<()> {
        self.put_object(key, content);
        Ok(())
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>> {
        Ok(self.get_object(key))
    }
}
