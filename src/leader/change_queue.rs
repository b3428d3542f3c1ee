//! Queue of a leader's row changes: one at a time per job, each retried until its result is known.

use serde::{Deserialize, Serialize};

use super::{JobChange, JobChangeResult, Output};
use crate::prelude::*;

/// Maximum number of concurrent changes, so that many jobs that end at once leave table capacity for other calls.
const MAX_CONCURRENT_CHANGES: usize = 16;
/// Delay before a change without a final result is retried, in milliseconds.
const RETRY_MS: u64 = 500;

/// Row changes without a final result, oldest first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChangeQueue {
    open: Vec<OpenChange>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct OpenChange {
    job: JobId,
    change: JobChange,
    under_way: bool,
    /// Whether an earlier write of the change may have taken effect or may still do so.
    maybe_applied: bool,
    next_ms: u64,
}

impl ChangeQueue {
    pub(super) fn add(&mut self, job: &JobId, change: JobChange) {
        let job = job.clone();
        let (under_way, maybe_applied) = (false, false);
        self.open.push(OpenChange { job, change, under_way, maybe_applied, next_ms: 0 });
    }

    /// Returns whether the job has a change without a final result.
    pub(super) fn has_open(&self, job: &JobId) -> bool {
        self.open.iter().any(|open| &open.job == job)
    }

    /// Records the result of a job's change in progress, and returns the change if the result is final.
    pub(super) fn record_result(
        &mut self,
        now_ms: u64,
        job: &JobId,
        result: JobChangeResult,
    ) -> Option<(JobChange, JobChangeResult)> {
        let index = self.open.iter().position(|open| &open.job == job && open.under_way)?;
        let open = &mut self.open[index];
        open.under_way = false;
        open.next_ms = now_ms + RETRY_MS;
        open.maybe_applied |= result == JobChangeResult::Unknown;
        let is_intent = matches!(open.change, JobChange::Intent { .. });
        let is_final = match result {
            JobChangeResult::Durable | JobChangeResult::Conflict | JobChangeResult::Deposed => true,
            // An intent that was not applied is not retried: the scheduler decides again whether to start.
            JobChangeResult::NotApplied => is_intent && !open.maybe_applied,
            JobChangeResult::Unknown => false,
        };
        is_final.then(|| (self.open.remove(index).change, result))
    }

    /// Starts the due changes, at most the first of each job, and returns their outputs. Intents are started only if
    /// the leader's lease is valid (`trusted`).
    pub(super) fn start_due(&mut self, now_ms: u64, trusted: bool) -> Vec<Output> {
        let mut under_way = self.open.iter().filter(|open| open.under_way).count();
        let mut outputs = Vec::new();
        for index in 0..self.open.len() {
            let open = &self.open[index];
            let is_first = !self.open[..index].iter().any(|earlier| earlier.job == open.job);
            let is_allowed = trusted || !matches!(open.change, JobChange::Intent { .. });
            if open.under_way || !is_first || !is_allowed || now_ms < open.next_ms {
                continue;
            }
            if under_way == MAX_CONCURRENT_CHANGES {
                break;
            }
            under_way += 1;
            let open = &mut self.open[index];
            open.under_way = true;
            outputs.push(Output::Change { job: open.job.clone(), change: open.change.clone() });
        }
        outputs
    }
}
