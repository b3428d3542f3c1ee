//! Computes how long a worker may wait before it lists its attempts.

use std::collections::BTreeMap;

use crate::planner::RunningAttempt;
use crate::workflow::TaskId;

/// The time that the worker waits for the end of an attempt before it lists its attempts; also the interval of lease
/// renewals.
const RENEWAL_WAIT_MS: u64 = 1_000;
/// The wait while an attempt is young. It is shorter, so that the planner soon detects an attempt without progress.
const YOUNG_RENEWAL_WAIT_MS: u64 = 300;
/// The time for which an attempt counts as young after it was first listed. Urgent tasks take up to 8 s.
const YOUNG_MS: u64 = 10_000;

/// The attempts in a worker's last list, with the time at which each was first listed.
#[derive(Debug, Default)]
pub struct ListingInterval {
    first_listed_ms: BTreeMap<(TaskId, u32), u64>,
}

impl ListingInterval {
    /// Replaces the recorded attempts by those of a list. An attempt that was recorded before keeps its time.
    pub fn record_listing(&mut self, now_ms: u64, running: &[RunningAttempt]) {
        let mut previous = std::mem::take(&mut self.first_listed_ms);
        for entry in running {
            let key = (entry.task.clone(), entry.attempt);
            let first_ms = previous.remove(&key).unwrap_or(now_ms);
            self.first_listed_ms.insert(key, first_ms);
        }
    }

    /// Returns the attempts in the last list.
    pub fn attempts(&self) -> Vec<(TaskId, u32)> {
        self.first_listed_ms.keys().cloned().collect()
    }

    /// Removes all attempts.
    pub fn clear(&mut self) {
        self.first_listed_ms.clear();
    }

    /// Returns the time that the worker may wait for the end of an attempt before it lists its attempts, in
    /// milliseconds.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        match self.has_young(now_ms) {
            true => YOUNG_RENEWAL_WAIT_MS,
            false => RENEWAL_WAIT_MS,
        }
    }

    /// Returns whether an attempt is young, so that lists follow each other closely.
    pub fn has_young(&self, now_ms: u64) -> bool {
        let is_young = |first_ms: &u64| now_ms < first_ms.saturating_add(YOUNG_MS);
        self.first_listed_ms.values().any(is_young)
    }
}
