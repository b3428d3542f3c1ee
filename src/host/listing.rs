//! How often a worker lists its attempts.

use std::collections::BTreeMap;

use crate::planner::RunningAttempt;
use crate::workflow::TaskId;

/// How long the worker waits for an end before it lists its attempts anyway; also the interval of lease renewals.
const RENEWAL_WAIT_MS: u64 = 1_000;
/// The same while an attempt is young, so that the planner soon sees one that stands still.
const YOUNG_RENEWAL_WAIT_MS: u64 = 300;
/// How long an attempt counts as young after it was first listed. Urgent tasks take up to 8 s.
const YOUNG_MS: u64 = 10_000;

/// The attempts that a worker lists, by the time at which each was first seen.
#[derive(Debug, Default)]
pub struct ListingPace {
    first_listed_ms: BTreeMap<(TaskId, u32), u64>,
}

impl ListingPace {
    /// Takes in a list.
    pub fn listed(&mut self, now_ms: u64, running: &[RunningAttempt]) {
        let mut before = std::mem::take(&mut self.first_listed_ms);
        for entry in running {
            let key = (entry.task.clone(), entry.attempt);
            let first_ms = before.remove(&key).unwrap_or(now_ms);
            self.first_listed_ms.insert(key, first_ms);
        }
    }

    /// Forgets the attempts of an incarnation that is over.
    pub fn clear(&mut self) {
        self.first_listed_ms.clear();
    }

    /// Returns how long the worker may wait for an end before it lists its attempts.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        let is_young = |first_ms: &u64| now_ms < first_ms.saturating_add(YOUNG_MS);
        match self.first_listed_ms.values().any(is_young) {
            true => YOUNG_RENEWAL_WAIT_MS,
            false => RENEWAL_WAIT_MS,
        }
    }
}
