//! Faults that the stand-in can be switched to produce.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Active faults of the stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether the table and the object store refuse every call.
    pub table_down: bool,
    /// Delay before each call of the table or object store, in milliseconds.
    pub table_delay_ms: u64,
    /// Share of commits that take effect but are answered with an error, in thousandths.
    pub lost_answers_per_mille: u32,
    /// Faults of single workers, by their ids.
    pub workers: BTreeMap<WorkerId, WorkerFault>,
}

/// Fault of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerFault {
    /// Each task of the worker fails as soon as it starts.
    FailsEverything,
    /// Requests to stop tasks are ignored; tasks still end when their leases lapse.
    IgnoresStop,
    /// The worker is unavailable to every call, and its tasks are lost.
    Down,
}
