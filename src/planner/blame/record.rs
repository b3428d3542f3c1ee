//! Outcomes on one worker, from which its standing follows.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Weight of an incident that concerns one worker alone.
pub const FULL_WEIGHT: u32 = 100;
/// Number of different jobs whose incidents make a worker doubtful. One job alone may be at fault itself.
const MIN_JOBS: usize = 2;
/// Time after the last incident for which a worker is doubtful. Bad phases of workers last 5 s to 7 s, and the last
/// incident lies within the phase.
const DOUBT_MS: u64 = 5_000;
/// Time after an incident until a doubtful worker may get a single task as a probe. It limits the attempts that probes
/// cost during a bad phase to three or four for each worker.
const PROBE_INTERVAL_MS: u64 = 2_000;
/// Time for which incidents are kept. Failures that lie further apart have nothing in common.
const RETENTION_MS: u64 = 15_000;
/// Time for which a proof shows that a worker is probably still healthy.
const PROOF_VALIDITY_MS: u64 = 5_000;
/// Maximum number of incidents of a worker, which bounds its record.
const MAX_INCIDENTS: usize = 8;
/// Maximum number of proofs of a worker, each of another job.
const MAX_PROOFS: usize = 4;

/// Kind of an outcome that speaks against a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IncidentKind {
    /// An attempt failed.
    Failed,
    /// An attempt was stopped because it made no progress.
    Stalled,
    /// An order to start an attempt has had no answer for a long time.
    Unanswered,
}

/// Outcome of an attempt that speaks against a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incident {
    pub kind: IncidentKind,
    pub occurrence: u32,
    pub attempt: u32,
    /// Share of the blame, at most [`FULL_WEIGHT`].
    pub weight: u32,
    /// Other workers share the blame.
    pub is_shared: bool,
    /// Steady time of the incident.
    pub at_ms: u64,
}

/// How much a worker is trusted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerStanding {
    /// The worker gets work as usual.
    #[default]
    Trusted,
    /// The worker is probably at fault: it gets no gang and no urgent task, and one other task at a time.
    Doubtful,
}

/// Recent outcomes on an incarnation of a worker.
///
/// Load pattern: workers fail or stall everything that they start for some seconds while they report themselves healthy.
/// Two jobs with an incident and no attempt that ran well in between make a worker doubtful; an attempt that runs well
/// makes it trusted again, and so does the end of the usual duration of such a phase.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Record {
    /// Latest incident of each job since an attempt ran well on the worker.
    incidents: BTreeMap<JobId, Incident>,
    /// Jobs of which an attempt ran well, with the latest steady time at which that was known, the latest first.
    proofs: VecDeque<(JobId, u64)>,
    /// Standing that was last decided, among the workers of the service.
    pub standing: WorkerStanding,
    /// Steady time at which the standing last changed.
    pub standing_since_ms: u64,
}

impl Record {
    /// Adds an incident. A later one of the same job replaces it.
    pub fn add_incident(&mut self, job: &JobId, incident: Incident) {
        self.incidents.insert(job.clone(), incident);
        if self.incidents.len() > MAX_INCIDENTS {
            let oldest = self.incidents.iter().min_by_key(|(_, incident)| incident.at_ms);
            if let Some(oldest) = oldest.map(|(job, _)| job.clone()) {
                self.incidents.remove(&oldest);
            }
        }
    }

    /// Notes that an attempt that started on the worker was running well at this time. Incidents before it no longer
    /// count: the worker has carried out a start since.
    pub fn add_proof(&mut self, job: &JobId, at_ms: u64) {
        if self.proofs.iter().any(|(proved, proved_ms)| proved == job && *proved_ms >= at_ms) {
            return;
        }
        self.proofs.retain(|(proved, _)| proved != job);
        self.proofs.push_front((job.clone(), at_ms));
        self.proofs.truncate(MAX_PROOFS);
        self.incidents.retain(|_, incident| incident.at_ms > at_ms);
    }

    /// Removes the incident of a job that is itself at fault.
    pub fn remove_incident(&mut self, job: &JobId) {
        self.incidents.remove(job);
    }

    /// Removes incidents that are too old to count.
    pub fn expire(&mut self, now_ms: u64) {
        self.incidents.retain(|_, incident| now_ms < incident.at_ms + RETENTION_MS);
    }

    pub fn incidents(&self) -> &BTreeMap<JobId, Incident> {
        &self.incidents
    }

    /// Returns the sum of the incidents' weights.
    pub fn score(&self) -> u32 {
        self.incidents.values().map(|incident| incident.weight).sum()
    }

    /// Returns the sum of the weights of other jobs' incidents.
    pub fn score_without(&self, job: &JobId) -> u32 {
        let others = self.incidents.iter().filter(|(other, _)| *other != job);
        others.map(|(_, incident)| incident.weight).sum()
    }

    fn last_incident_ms(&self) -> u64 {
        self.incidents.values().map(|incident| incident.at_ms).max().unwrap_or_default()
    }

    /// Returns whether the incidents of several jobs together show that the worker is probably at fault.
    pub fn is_against_worker(&self) -> bool {
        self.incidents.len() >= MIN_JOBS && self.score() >= FULL_WEIGHT
    }

    /// Returns whether the worker is probably at fault now.
    pub fn is_probably_at_fault(&self, now_ms: u64) -> bool {
        self.is_against_worker() && now_ms < self.last_incident_ms() + DOUBT_MS
    }

    /// Returns whether a doubtful worker may get a task as a probe.
    pub fn may_probe(&self, now_ms: u64) -> bool {
        now_ms >= self.last_incident_ms() + PROBE_INTERVAL_MS
    }

    /// Returns whether an attempt recently ran well on the worker.
    pub fn is_proven(&self, now_ms: u64) -> bool {
        self.proofs.front().is_some_and(|(_, at_ms)| now_ms < at_ms + PROOF_VALIDITY_MS)
    }

    /// Returns whether an attempt of another job ran well on the worker at or after this time.
    pub fn is_proven_since(&self, job: &JobId, since_ms: u64) -> bool {
        self.proofs.iter().any(|(proved, at_ms)| proved != job && *at_ms >= since_ms)
    }

    /// Describes the incidents for the log, within a bounded length.
    pub fn describe(&self, now_ms: u64) -> String {
        let count = |kind| self.incidents.values().filter(|incident| incident.kind == kind).count();
        let jobs: Vec<&str> = self.incidents.keys().take(3).map(JobId::as_str).collect();
        format!(
            "score {}, jobs with failed attempts {}, stalled {}, unanswered starts {}, last {} ms ago, jobs {}",
            self.score(),
            count(IncidentKind::Failed),
            count(IncidentKind::Stalled),
            count(IncidentKind::Unanswered),
            now_ms.saturating_sub(self.last_incident_ms()),
            jobs.join(" ")
        )
    }
}
