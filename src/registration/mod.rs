//! Registration of entries: each entry renews a row `entry/{id}` that records the bundle and the states of data centres
//! that it has applied. See docs/design.md, section 3.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Prefix of the keys of all rows of entries.
pub const ENTRY_ROW_PREFIX: &str = "entry/";
/// Interval at which an entry renews its row, in milliseconds.
pub const ENTRY_RENEW_INTERVAL_MS: u64 = 5_000;
/// Time after which a row that is not renewed is ignored, in milliseconds. It is longer than the partitions of about an
/// hour that the design expects: an entry behind a partition still applies its last bundle, so a rollout must wait for
/// it.
pub const ENTRY_EXPIRY_MS: u64 = 2 * 60 * 60 * 1_000;

/// Content of the row `entry/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryRow {
    /// Identifier of the entry.
    pub process: ProcessId,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Number of the renewal, which increases each time the entry renews the row.
    pub renewal: u64,
    /// Version of the entry's active bundle.
    pub bundle: BundleVersion,
    /// For each data centre, the version of its state for which the entry has observed that every permit is withdrawn.
    #[serde(default)]
    pub withdrawn: BTreeMap<DataCentreId, u64>,
}

/// Returns the key of the row of an entry.
pub fn entry_key(process: &ProcessId) -> String {
    format!("{ENTRY_ROW_PREFIX}{process}")
}

/// Tracks when the row of each entry last changed, by the clock of the observing process.
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
    /// Records the rows of one scan and returns those that changed within [`ENTRY_EXPIRY_MS`]. Entries without a row
    /// are removed.
    pub fn live_entries(&mut self, now_ms: u64, rows: Vec<EntryRow>) -> Vec<EntryRow> {
        self.seen.retain(|process, _| rows.iter().any(|row| &row.process == process));
        rows.into_iter().filter(|row| self.is_live(now_ms, row)).collect()
    }

    fn is_live(&mut self, now_ms: u64, row: &EntryRow) -> bool {
        let current =
            Seen { incarnation: row.incarnation, renewal: row.renewal, changed_at_ms: now_ms };
        let seen = self.seen.entry(row.process.clone()).or_insert(current.clone());
        if (seen.incarnation, seen.renewal) != (row.incarnation, row.renewal) {
            *seen = current;
        }
        now_ms < seen.changed_at_ms + ENTRY_EXPIRY_MS
    }
}
