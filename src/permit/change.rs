//! Change of the state of a data centre on behalf of an operator.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{DataCentreRow, PERMIT_VALIDITY_MS, extend_for_drift};
use crate::prelude::*;
use crate::registration::EntryRow;
use crate::store::RowVersion;
use crate::wire::DataCentreState;

/// Maximum duration of a change, in milliseconds: the write, then the expiry of all permits, then a final read.
pub const DATA_CENTRE_CHANGE_TIMEOUT_MS: u64 = 10_000;

/// Input of a [`DataCentreStateChange`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum Input {
    /// The data centre's row was read.
    Row {
        /// Version of the row, [`RowVersion::ABSENT`] if it does not exist.
        version: RowVersion,
        /// Content of the row.
        row: Option<DataCentreRow>,
    },
    /// The data centre's row could not be read.
    ReadFailed {
        /// Error reported by the store.
        reason: String,
    },
    /// The write requested by [`Output::WriteRow`] ended.
    Written {
        /// Outcome of the write.
        result: WriteOutcome,
    },
    /// The registered entries were read.
    Entries {
        /// Rows of the registered entries.
        entries: Vec<EntryRow>,
    },
    /// Time passed.
    Tick,
}

/// Outcome of a conditional write of the row, after retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum WriteOutcome {
    /// The write took effect.
    Durable {
        /// Version of the row after the write.
        version: RowVersion,
    },
    /// Another write changed the row first.
    Conflict {
        /// Version of the row after the other write.
        version: RowVersion,
        /// Content of the row after the other write.
        row: Option<DataCentreRow>,
    },
    /// The write is guaranteed not to have been applied.
    NotApplied {
        /// Error reported by the store.
        reason: String,
    },
    /// The write may have taken effect, or may still do so.
    Unknown {
        /// Error reported by the store.
        reason: String,
    },
}

/// Action requested by a [`DataCentreStateChange`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum Output {
    /// Read the data centre's row.
    ReadRow,
    /// Write the data centre's row on condition of its version.
    WriteRow {
        /// Version that the row must have.
        condition: RowVersion,
        /// New content of the row.
        row: DataCentreRow,
    },
    /// Poll the registered entries until the change has ended.
    WatchEntries,
    /// Permit no starts at this entry until the result of the write is known, and keep reading the row to find it out.
    Hold {
        /// Version on whose condition the write was sent.
        condition: RowVersion,
    },
    /// Send the result of the change, which has ended.
    Answer(DataCentreChangeResult),
}

/// Result of a [`DataCentreStateChange`].
pub type DataCentreChangeResult = Result<DataCentreStateChanged, DataCentreChangeError>;

/// State of a data centre after a change that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreStateChanged {
    /// Data centre whose state was changed.
    pub data_centre: DataCentreId,
    /// State of the data centre.
    pub state: DataCentreState,
    /// Version of the state.
    pub version: u64,
    /// Operator whose change set the state.
    pub changed_by: String,
}

/// Error of a change that did not take effect or whose effect is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Snafu)]
#[serde(rename_all = "snake_case", tag = "refusal")]
pub enum DataCentreChangeError {
    /// Another operator changed the state first.
    #[snafu(display("conflict: operator {changed_by} set state {state:?} with version {version}"))]
    Conflict {
        /// Version of the state set by the other operator.
        version: u64,
        /// State set by the other operator.
        state: DataCentreState,
        /// Operator whose change took effect.
        changed_by: String,
    },
    /// The table is unavailable and the change was not applied.
    #[snafu(display("the table is unavailable, the change was not applied: {reason}"))]
    Unavailable {
        /// Error reported by the store.
        reason: String,
    },
    /// The change may have taken effect.
    #[snafu(display("the change may or may not have taken effect: {reason}"))]
    Unknown {
        /// Error reported by the store.
        reason: String,
    },
}

/// State machine of one change of a data centre's row on behalf of one operator.
#[derive(Clone, Debug, Serialize)]
pub struct DataCentreStateChange {
    data_centre: DataCentreId,
    state: DataCentreState,
    operator: String,
    entry: ProcessId,
    stage: Stage,
}

#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "stage")]
enum Stage {
    Reading,
    Writing { condition: RowVersion },
    Withdrawing { version: RowVersion, changed_by: String, until_ms: u64 },
    Checking { version: RowVersion, changed_by: String },
    Ended,
}

impl DataCentreStateChange {
    /// Creates a change and returns it with its first outputs.
    pub fn begin(
        data_centre: DataCentreId,
        state: DataCentreState,
        operator: String,
        entry: ProcessId,
    ) -> (Self, Vec<Output>) {
        let change = Self { data_centre, state, operator, entry, stage: Stage::Reading };
        (change, vec![Output::ReadRow])
    }

    /// Applies an input and returns the actions that it requires.
    pub fn handle(&mut self, now_ms: u64, input: &Input) -> Vec<Output> {
        match (self.stage.clone(), input) {
            (Stage::Reading, Input::Row { version, row }) => {
                self.decide(now_ms, *version, row.as_ref())
            }
            (Stage::Reading, Input::ReadFailed { reason }) => {
                self.end(Err(DataCentreChangeError::Unavailable { reason: reason.clone() }))
            }
            (Stage::Writing { condition }, Input::Written { result }) => {
                self.on_written(now_ms, condition, result)
            }
            (Stage::Withdrawing { version, changed_by, .. }, Input::Entries { entries })
                if self.all_withdrew(version, entries) =>
            {
                self.check(version, changed_by)
            }
            (Stage::Withdrawing { version, changed_by, until_ms }, _) if now_ms >= until_ms => {
                self.check(version, changed_by)
            }
            (Stage::Checking { version, changed_by }, Input::Row { version: read, row }) => {
                self.on_checked(version, changed_by, *read, row.as_ref())
            }
            (Stage::Checking { version, changed_by }, Input::ReadFailed { .. }) => {
                self.succeed(version, changed_by)
            }
            _ => Vec::new(),
        }
    }

    fn end(&mut self, result: DataCentreChangeResult) -> Vec<Output> {
        self.stage = Stage::Ended;
        vec![Output::Answer(result)]
    }

    fn succeed(&mut self, version: RowVersion, changed_by: String) -> Vec<Output> {
        let changed = DataCentreStateChanged {
            data_centre: self.data_centre.clone(),
            state: self.state,
            version: version.0,
            changed_by,
        };
        self.end(Ok(changed))
    }

    fn conflict(&mut self, version: RowVersion, row: Option<&DataCentreRow>) -> Vec<Output> {
        let state = row.map_or(DataCentreState::In, |row| row.state);
        let changed_by = row.map_or(String::new(), |row| row.changed_by.clone());
        self.end(Err(DataCentreChangeError::Conflict { version: version.0, state, changed_by }))
    }

    fn decide(
        &mut self,
        now_ms: u64,
        condition: RowVersion,
        row: Option<&DataCentreRow>,
    ) -> Vec<Output> {
        if let Some(row) = row.filter(|row| row.state == self.state) {
            return self.took_effect(now_ms, condition, row.changed_by.clone());
        }
        self.stage = Stage::Writing { condition };
        let row = DataCentreRow {
            state: self.state,
            changed_by: self.operator.clone(),
            entry: self.entry.clone(),
        };
        vec![Output::WriteRow { condition, row }]
    }

    fn on_written(
        &mut self,
        now_ms: u64,
        condition: RowVersion,
        result: &WriteOutcome,
    ) -> Vec<Output> {
        match result {
            WriteOutcome::Durable { version } => {
                self.took_effect(now_ms, *version, self.operator.clone())
            }
            // Two operators that set the same state do not conflict.
            WriteOutcome::Conflict { version, row } => match row {
                Some(row) if row.state == self.state => {
                    self.took_effect(now_ms, *version, row.changed_by.clone())
                }
                _ => self.conflict(*version, row.as_ref()),
            },
            WriteOutcome::NotApplied { reason } => {
                self.end(Err(DataCentreChangeError::Unavailable { reason: reason.clone() }))
            }
            WriteOutcome::Unknown { reason } => {
                let answer =
                    self.end(Err(DataCentreChangeError::Unknown { reason: reason.clone() }));
                [vec![Output::Hold { condition }], answer].concat()
            }
        }
    }

    fn took_effect(&mut self, now_ms: u64, version: RowVersion, changed_by: String) -> Vec<Output> {
        if self.state == DataCentreState::In {
            return self.succeed(version, changed_by);
        }
        let until_ms = now_ms + extend_for_drift(PERMIT_VALIDITY_MS);
        self.stage = Stage::Withdrawing { version, changed_by, until_ms };
        vec![Output::WatchEntries]
    }

    /// Returns whether this entry is in the list and every entry in it has withdrawn the permits. A list without this
    /// entry comes from a stale read, or this entry is not registered yet.
    fn all_withdrew(&self, version: RowVersion, entries: &[EntryRow]) -> bool {
        let has_withdrawn = |entry: &EntryRow| {
            entry.withdrawn.get(&self.data_centre).is_some_and(|seen| *seen >= version.0)
        };
        entries.iter().any(|entry| entry.process == self.entry) && entries.iter().all(has_withdrawn)
    }

    /// Requests a final read of the row, because another operator may have put the data centre back in service in the
    /// meantime.
    fn check(&mut self, version: RowVersion, changed_by: String) -> Vec<Output> {
        self.stage = Stage::Checking { version, changed_by };
        vec![Output::ReadRow]
    }

    fn on_checked(
        &mut self,
        version: RowVersion,
        changed_by: String,
        read: RowVersion,
        row: Option<&DataCentreRow>,
    ) -> Vec<Output> {
        let was_reverted = read > version && row.is_none_or(|row| row.state != self.state);
        if was_reverted { self.conflict(read, row) } else { self.succeed(version, changed_by) }
    }
}
