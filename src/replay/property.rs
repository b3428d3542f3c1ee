//! Checks the properties promised in docs/design.md against the tasks that the simulated workers ran.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use serde::Serialize;

use crate::prelude::*;
use crate::scheduler::{TaskCell, TaskEnd};

/// Time after the acknowledgement of `datacentre out` during which a start is still allowed, in milliseconds.
const OUT_GRACE_MS: u64 = 3_000;

/// A property promised in docs/design.md, section 2, that a replayed session can violate.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Property {
    /// The guaranteed blocks of each organisation can be reclaimed.
    #[display("P1 guaranteed shape reclaimable")]
    GuaranteeReclaimable,
    /// The tasks of a gang run all together or not at all.
    #[display("P2 gangs whole")]
    GangWhole,
    /// No task starts in a data centre after it was taken out of service.
    #[display("P3 no start after out")]
    NoStartAfterOut,
    /// The outcome reported to the caller of a job matches what ran, `not_run` in particular.
    #[display("P5 told outcome true")]
    OutcomeTrue,
    /// A job that must not be repeated runs at most once, and no job runs twice at the same time or after its end.
    #[display("P6 at most once")]
    AtMostOnce,
    /// Every accepted job reaches an end.
    #[display("no job lost")]
    NoJobLost,
    /// An invariant that the scheduler checks itself.
    #[display("scheduler invariant")]
    Invariant,
}

/// A violation of a property during a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PropertyViolation {
    /// Violated property.
    pub promise: Property,
    /// Virtual time of the violation, in milliseconds.
    pub at_ms: u64,
    /// Number of the scheduler input after which the violation was detected, from 1.
    pub step: u64,
    /// Description of the observed violation.
    pub detail: String,
}

/// Records which tasks ran and which outcomes were reported to callers, and collects the violations.
#[derive(Debug, Default)]
pub(super) struct PropertyChecker {
    pub(super) violations: Vec<PropertyViolation>,
    pub(super) step: u64,
    jobs: BTreeMap<JobId, JobRecord>,
    partial_since_ms: BTreeMap<GangId, u64>,
    out_since_ms: BTreeMap<DataCentreId, u64>,
}

#[derive(Debug)]
struct JobRecord {
    tasks: u32,
    repeat: Repeat,
    attempts: BTreeMap<u32, Attempt>,
    reported_end: Option<JobEnd>,
}

#[derive(Debug, Default)]
struct Attempt {
    started: BTreeSet<u32>,
    running: BTreeSet<u32>,
    succeeded: BTreeSet<u32>,
}

impl PropertyChecker {
    /// Records a violation of a property; a repeated detail is recorded once.
    pub(super) fn record_violation(&mut self, now_ms: u64, promise: Property, detail: String) {
        let is_recorded =
            self.violations.iter().any(|v| v.promise == promise && v.detail == detail);
        if !is_recorded {
            self.violations.push(PropertyViolation {
                promise,
                at_ms: now_ms,
                step: self.step,
                detail,
            });
        }
    }

    /// Records that the row of a job became durable.
    pub(super) fn record_accepted(&mut self, job: &JobSpec) {
        let record = JobRecord {
            tasks: job.tasks,
            repeat: job.repeat,
            attempts: BTreeMap::new(),
            reported_end: None,
        };
        self.jobs.insert(job.id.clone(), record);
    }

    /// Records that tasks of a gang started on a worker of a data centre.
    pub(super) fn record_start(
        &mut self,
        now_ms: u64,
        data_centre: &DataCentreId,
        gang: &GangId,
        cells: &[TaskCell],
    ) {
        let faults = match self.jobs.get_mut(&gang.job) {
            Some(record) => record.start(gang, cells),
            None => vec![(Property::AtMostOnce, format!("{gang} runs and was never accepted"))],
        };
        for (promise, detail) in faults {
            self.record_violation(now_ms, promise, detail);
        }
        if let Some(out_ms) = self.out_since_ms.get(data_centre)
            && now_ms > out_ms + OUT_GRACE_MS
        {
            let late_ms = now_ms - out_ms;
            let detail =
                format!("{gang} started in {data_centre} {late_ms} ms after the acknowledgement");
            self.record_violation(now_ms, Property::NoStartAfterOut, detail);
        }
        self.update_partial(now_ms, gang);
    }

    /// Records that running tasks of a gang ended on a worker.
    pub(super) fn record_end(
        &mut self,
        now_ms: u64,
        gang: &GangId,
        cells: &[TaskCell],
        end: TaskEnd,
    ) {
        if let Some(record) = self.jobs.get_mut(&gang.job) {
            let attempt = record.attempts.entry(gang.number).or_default();
            for cell in cells {
                attempt.running.remove(&cell.task);
                if end == TaskEnd::Succeeded {
                    attempt.succeeded.insert(cell.task);
                }
            }
        }
        self.update_partial(now_ms, gang);
    }

    /// Records that the end of a job became durable and was reported to its caller.
    pub(super) fn record_reported_end(&mut self, now_ms: u64, job: &JobId, end: &JobEnd) {
        let Some(record) = self.jobs.get_mut(job) else { return };
        let ran = !record.attempts.is_empty();
        let whole = record.attempts.values().any(|a| a.succeeded.len() == record.tasks as usize);
        let fault = match end {
            JobEnd::NotRun { .. } if ran => Some("told not_run after a task ran"),
            JobEnd::Succeeded if !whole => Some("told succeeded without a whole successful run"),
            JobEnd::Failed { .. } | JobEnd::Cancelled if !ran => {
                Some("told that it ran, and no task ran")
            }
            _ => None,
        };
        record.reported_end = Some(end.clone());
        if let Some(fault) = fault {
            self.record_violation(now_ms, Property::OutcomeTrue, format!("{job}: {fault}"));
        }
    }

    /// Records that operators received the acknowledgement that a data centre is out of service.
    pub(super) fn record_out_acknowledged(&mut self, now_ms: u64, data_centre: &DataCentreId) {
        self.out_since_ms.insert(data_centre.clone(), now_ms);
    }

    /// Records that operators returned a data centre to service.
    pub(super) fn record_returned(&mut self, data_centre: &DataCentreId) {
        self.out_since_ms.remove(data_centre);
    }

    /// Records a violation for each gang that runs partially for longer than `limit_ms`.
    pub(super) fn check_partial(&mut self, now_ms: u64, limit_ms: u64) {
        let late: Vec<GangId> = self
            .partial_since_ms
            .iter()
            .filter(|(_, since_ms)| now_ms > **since_ms + limit_ms)
            .map(|(gang, _)| gang.clone())
            .collect();
        for gang in late {
            self.partial_since_ms.remove(&gang);
            let detail = format!("{gang} runs partially for more than {limit_ms} ms");
            self.record_violation(now_ms, Property::GangWhole, detail);
        }
    }

    /// Restarts the time limit of partial gangs of the affected jobs, because another fault delays their end by a
    /// lease.
    pub(super) fn restart_partial_timeouts<F>(&mut self, now_ms: u64, is_affected: F)
    where
        F: Fn(&JobId) -> bool,
    {
        for (gang, since_ms) in &mut self.partial_since_ms {
            if is_affected(&gang.job) {
                *since_ms = now_ms;
            }
        }
    }

    fn update_partial(&mut self, now_ms: u64, gang: &GangId) {
        let partial = self.jobs.get(&gang.job).is_some_and(|record| {
            let attempt = record.attempts.get(&gang.number);
            attempt.is_some_and(|attempt| attempt.is_partial(record.tasks))
        });
        if partial {
            self.partial_since_ms.entry(gang.clone()).or_insert(now_ms);
        } else {
            self.partial_since_ms.remove(gang);
        }
    }
}

impl JobRecord {
    fn start(&mut self, gang: &GangId, cells: &[TaskCell]) -> Vec<(Property, String)> {
        let mut faults = Vec::new();
        match &self.reported_end {
            Some(JobEnd::NotRun { .. }) => {
                faults.push((Property::OutcomeTrue, format!("{gang} started after told not_run")));
            }
            Some(_) => {
                faults.push((Property::AtMostOnce, format!("{gang} started after its end")));
            }
            None => {}
        }
        let others = self.attempts.iter().filter(|(number, _)| **number != gang.number);
        for (number, other) in others {
            if !other.running.is_empty() {
                let detail = format!("{gang} started while attempt {number} runs");
                faults.push((Property::AtMostOnce, detail));
            } else if self.repeat == Repeat::Never {
                let detail = format!("{gang} started, and attempt {number} had run");
                faults.push((Property::AtMostOnce, detail));
            }
        }
        let attempt = self.attempts.entry(gang.number).or_default();
        for cell in cells {
            attempt.running.insert(cell.task);
            if !attempt.started.insert(cell.task) {
                let detail = format!("task {} of {gang} started twice", cell.task);
                faults.push((Property::AtMostOnce, detail));
            }
        }
        faults
    }
}

impl Attempt {
    fn is_partial(&self, tasks: u32) -> bool {
        let whole = self.running.union(&self.succeeded).count() == tasks as usize;
        !self.running.is_empty() && !whole
    }
}
