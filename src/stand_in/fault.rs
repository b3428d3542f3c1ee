//! Switches for the faults of the platform.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The faults that are on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The table and the object store refuse every call.
    pub table_down: bool,
    /// Each call of the table waits this long first.
    pub table_delay_ms: u64,
    /// So many of a thousand commits take effect but lose their answer.
    pub lost_answers_per_mille: u32,
    /// Faults of single workers.
    pub workers: BTreeMap<WorkerId, WorkerFault>,
}

/// A fault of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerFault {
    /// Each task fails as soon as it starts.
    FailsEverything,
    /// Tasks do not stop when told to; their leases still end them.
    IgnoresStop,
    /// The worker answers no call, and its tasks are gone.
    Down,
}
