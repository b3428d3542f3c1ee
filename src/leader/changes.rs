//! The order of a leader's changes of rows: one at a time for each job, repeated until its result is certain.

use serde::{Deserialize, Serialize};

use super::{JobChange, JobChangeResult, Output};
use crate::prelude::*;

/// The most changes that are under way at once, so that a wave of ends leaves the table room for others.
const MAX_UNDER_WAY: usize = 16;
/// The time after which a change that is not certain is tried again.
const RETRY_MS: u64 = 500;

/// The changes that are not certain yet.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Changes {
    open: Vec<OpenChange>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct OpenChange {
    job: JobId,
    change: JobChange,
    under_way: bool,
    /// Whether a try of it may still take effect.
    maybe_applied: bool,
    next_ms: u64,
}

impl Changes {
    pub(super) fn add(&mut self, job: &JobId, change: JobChange) {
        let job = job.clone();
        let (under_way, maybe_applied) = (false, false);
        self.open.push(OpenChange { job, change, under_way, maybe_applied, next_ms: 0 });
    }

    /// Returns whether a change of a job is not certain yet.
    pub(super) fn has(&self, job: &JobId) -> bool {
        self.open.iter().any(|open| &open.job == job)
    }

    /// Notes the result of a job's change that is under way, and returns the change if the result is certain.
    pub(super) fn note(
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
        let is_certain = match result {
            JobChangeResult::Durable | JobChangeResult::Conflict | JobChangeResult::Deposed => true,
            // The scheduler decides again about a start that did not become durable.
            JobChangeResult::NotApplied => is_intent && !open.maybe_applied,
            JobChangeResult::Unknown => false,
        };
        is_certain.then(|| (self.open.remove(index).change, result))
    }

    /// Returns the changes to be tried now: the first of each job. Intents need the leader's own lease.
    pub(super) fn due(&mut self, now_ms: u64, trusted: bool) -> Vec<Output> {
        let mut under_way = self.open.iter().filter(|open| open.under_way).count();
        let mut outputs = Vec::new();
        for index in 0..self.open.len() {
            let open = &self.open[index];
            let is_first = !self.open[..index].iter().any(|earlier| earlier.job == open.job);
            let is_allowed = trusted || !matches!(open.change, JobChange::Intent { .. });
            if open.under_way || !is_first || !is_allowed || now_ms < open.next_ms {
                continue;
            }
            if under_way == MAX_UNDER_WAY {
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
