//! Checks the promises that decisions carry, from what the fake workers really ran.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use serde::Serialize;

use crate::prelude::*;
use crate::scheduler::{TaskCell, TaskEnd};

/// The time after the acknowledgement of `datacentre out` in which a start is still allowed, in milliseconds.
const OUT_GRACE_MS: u64 = 3_000;

/// A property promised in docs/design.md, section 2, that a session can break.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Property {
    /// An organisation's guaranteed shape can be reclaimed.
    #[display("P1 guaranteed shape reclaimable")]
    GuaranteeReclaimable,
    /// Gangs run as a whole or not at all.
    #[display("P2 gangs whole")]
    GangWhole,
    /// No start after a data centre was taken out.
    #[display("P3 no start after out")]
    NoStartAfterOut,
    /// What a caller is told of its job is true, `not_run` above all.
    #[display("P5 told outcome true")]
    OutcomeTrue,
    /// Work that may not be repeated runs at most once, and no job runs twice at the same time or after its end.
    #[display("P6 at most once")]
    AtMostOnce,
    /// Each accepted job reaches an end.
    #[display("no job lost")]
    NoJobLost,
    /// A limit that the scheduler checks itself.
    #[display("scheduler invariant")]
    Invariant,
}

/// A property that a session broke.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PropertyViolation {
    /// The property.
    pub promise: Property,
    /// The time, in milliseconds.
    pub at_ms: u64,
    /// The number of the scheduler input after which it was noticed, from 1.
    pub step: u64,
    /// What was seen.
    pub detail: String,
}

/// What workers really did, and what callers were told.
#[derive(Debug, Default)]
pub(super) struct PropertyChecker {
    pub(super) violations: Vec<PropertyViolation>,
    pub(super) step: u64,
    jobs: BTreeMap<JobId, Truth>,
    partial: BTreeMap<GangId, u64>,
    out: BTreeMap<DataCentreId, u64>,
}

#[derive(Debug)]
struct Truth {
    tasks: u32,
    repeat: Repeat,
    attempts: BTreeMap<u32, Attempt>,
    told: Option<JobEnd>,
}

#[derive(Debug, Default)]
struct Attempt {
    started: BTreeSet<u32>,
    running: BTreeSet<u32>,
    succeeded: BTreeSet<u32>,
}

impl PropertyChecker {
    /// Notes a violation of a property, each detail once.
    pub(super) fn note(&mut self, now_ms: u64, promise: Property, detail: String) {
        let known = self.violations.iter().any(|b| b.promise == promise && b.detail == detail);
        if !known {
            self.violations.push(PropertyViolation {
                promise,
                at_ms: now_ms,
                step: self.step,
                detail,
            });
        }
    }

    /// A job's row became durable.
    pub(super) fn accepted(&mut self, job: &JobSpec) {
        let truth =
            Truth { tasks: job.tasks, repeat: job.repeat, attempts: BTreeMap::new(), told: None };
        self.jobs.insert(job.id.clone(), truth);
    }

    /// Tasks of a gang began to run on a worker of a data centre.
    pub(super) fn began(&mut self, now_ms: u64, at: &DataCentreId, gang: &GangId, c: &[TaskCell]) {
        let faults = match self.jobs.get_mut(&gang.job) {
            Some(truth) => truth.began(gang, c),
            None => vec![(Property::AtMostOnce, format!("{gang} runs and was never accepted"))],
        };
        for (promise, detail) in faults {
            self.note(now_ms, promise, detail);
        }
        if let Some(out_ms) = self.out.get(at)
            && now_ms > out_ms + OUT_GRACE_MS
        {
            let late_ms = now_ms - out_ms;
            let detail = format!("{gang} started in {at} {late_ms} ms after the acknowledgement");
            self.note(now_ms, Property::NoStartAfterOut, detail);
        }
        self.update_partial(now_ms, gang);
    }

    /// Running tasks of a gang ended on a worker.
    pub(super) fn ceased(&mut self, now_ms: u64, gang: &GangId, cells: &[TaskCell], end: TaskEnd) {
        if let Some(truth) = self.jobs.get_mut(&gang.job) {
            let attempt = truth.attempts.entry(gang.number).or_default();
            for cell in cells {
                attempt.running.remove(&cell.task);
                if end == TaskEnd::Succeeded {
                    attempt.succeeded.insert(cell.task);
                }
            }
        }
        self.update_partial(now_ms, gang);
    }

    /// The end of a job became durable, and its caller was told.
    pub(super) fn told(&mut self, now_ms: u64, job: &JobId, end: &JobEnd) {
        let Some(truth) = self.jobs.get_mut(job) else { return };
        let ran = !truth.attempts.is_empty();
        let whole = truth.attempts.values().any(|a| a.succeeded.len() == truth.tasks as usize);
        let fault = match end {
            JobEnd::NotRun { .. } if ran => Some("told not_run after a task ran"),
            JobEnd::Succeeded if !whole => Some("told succeeded without a whole successful run"),
            JobEnd::Failed { .. } | JobEnd::Cancelled if !ran => {
                Some("told that it ran, and no task ran")
            }
            _ => None,
        };
        truth.told = Some(end.clone());
        if let Some(fault) = fault {
            self.note(now_ms, Property::OutcomeTrue, format!("{job}: {fault}"));
        }
    }

    /// Operators got the acknowledgement that a data centre is out.
    pub(super) fn out_acknowledged(&mut self, now_ms: u64, data_centre: &DataCentreId) {
        self.out.insert(data_centre.clone(), now_ms);
    }

    /// Operators brought a data centre back.
    pub(super) fn in_again(&mut self, data_centre: &DataCentreId) {
        self.out.remove(data_centre);
    }

    /// Checks that no gang runs partially for longer than allowed.
    pub(super) fn check_partial(&mut self, now_ms: u64, limit_ms: u64) {
        let late: Vec<GangId> = self
            .partial
            .iter()
            .filter(|(_, since_ms)| now_ms > **since_ms + limit_ms)
            .map(|(gang, _)| gang.clone())
            .collect();
        for gang in late {
            self.partial.remove(&gang);
            let detail = format!("{gang} runs partially for more than {limit_ms} ms");
            self.note(now_ms, Property::GangWhole, detail);
        }
    }

    /// Counts the time of some partial gangs anew, because a further fault delays their end by a lease.
    pub(super) fn restart_partial<F>(&mut self, now_ms: u64, is_concerned: F)
    where
        F: Fn(&JobId) -> bool,
    {
        for (gang, since_ms) in &mut self.partial {
            if is_concerned(&gang.job) {
                *since_ms = now_ms;
            }
        }
    }

    fn update_partial(&mut self, now_ms: u64, gang: &GangId) {
        let partial = self.jobs.get(&gang.job).is_some_and(|truth| {
            let attempt = truth.attempts.get(&gang.number);
            attempt.is_some_and(|attempt| attempt.is_partial(truth.tasks))
        });
        if partial {
            self.partial.entry(gang.clone()).or_insert(now_ms);
        } else {
            self.partial.remove(gang);
        }
    }
}

impl Truth {
    fn began(&mut self, gang: &GangId, cells: &[TaskCell]) -> Vec<(Property, String)> {
        let mut faults = Vec::new();
        match &self.told {
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
