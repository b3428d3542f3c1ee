//! The registered entries: each entry keeps a row `entry/{id}` with what it has applied. See docs/design.md, section 3.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The beginning of the keys of all rows of entries.
pub const ENTRY_ROW_PREFIX: &str = "entry/";
/// The interval at which an entry renews its row.
pub const ENTRY_RENEW_INTERVAL_MS: u64 = 5_000;
/// The time after which a row that nobody renews is ignored. It is longer than the partitions of about an hour that the
/// design expects, because an entry behind a partition still works by what it has, and a rollout must wait for it.
pub const ENTRY_EXPIRY_MS: u64 = 2 * 60 * 60 * 1_000;

/// The content of the row `entry/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryRow {
    /// The entry.
    pub process: ProcessId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Rises with each renewal.
    pub renewal: u64,
    /// The version of the bundle in force at the entry.
    pub bundle: BundleVersion,
    /// For each data centre the version of its state for which the entry has seen every permit withdrawn.
    #[serde(default)]
    pub withdrawn: BTreeMap<DataCentreId, u64>,
}

/// Returns the key of the row of an entry.
pub fn entry_key(process: &ProcessId) -> String {
    format!("{ENTRY_ROW_PREFIX}{process}")
}

/// Remembers when the rows of entries last changed, by the clock of the process that observes them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EntryLiveness {
    seen: BTreeMap<ProcessId, Seen>,
}

#[derive(Clone, Debug, Serialize)]
struct Seen {
    incarnation: Incarnation,
    renewal: u64,
    changed_at_ms: u64,
}

impl EntryLiveness {
    /// Takes the rows of one scan and returns those that count as registered.
    pub fn live_entries(&mut self, now_ms: u64, rows: Vec<EntryRow>) -> Vec<EntryRow> {
        self.seen.retain(|process, _| rows.iter().any(|row| &row.process == process));
        rows.into_iter().filter(|row| self.is_live(now_ms, row)).collect()
    }

    fn is_live(&mut self, now_ms: u64, row: &EntryRow) -> bool {
        let fresh =
            Seen { incarnation: row.incarnation, renewal: row.renewal, changed_at_ms: now_ms };
        let seen = self.seen.entry(row.process.clone()).or_insert(fresh.clone());
        if (seen.incarnation, seen.renewal) != (row.incarnation, row.renewal) {
            *seen = fresh;
        }
        now_ms < seen.changed_at_ms + ENTRY_EXPIRY_MS
    }
}
