//! Failure attribution: whether a failure of a task is attributed to its job or to its worker.

use super::message::Output;
use super::state::Scheduler;
use crate::placement::{JobKey, WorkerState};
use crate::prelude::*;

/// Number of distinct workers on which a job must fail for the failures to be attributed to the job, and of distinct
/// jobs that must fail on a worker for them to be attributed to the worker.
const DISTINCT_FAILURES: usize = 3;
/// Number of failures of one job after which it ends even if they were on fewer distinct workers, as in a small group.
const MAX_FAILURES: u32 = 8;
/// Divisor of a group's number of workers that gives the maximum number of workers in quarantine, at least 1.
const QUARANTINE_DIVISOR: usize = 4;
/// Time between two probes of a quarantined worker, in milliseconds; it doubles with each further quarantine.
const PROBE_INTERVAL_MS: u64 = 30_000;
/// Maximum number of times that the time between two probes is doubled.
const MAX_PROBE_DOUBLINGS: u32 = 6;

impl Scheduler {
    /// Attributes a failure on a worker, and returns the reason for ending the job if it is attributed to the job.
    pub(crate) fn attribute(
        &mut self,
        now_ms: u64,
        key: JobKey,
        worker: u32,
        out: &mut Vec<Output>,
    ) -> Option<String> {
        if self.pool.worker(worker).state == WorkerState::Quarantined {
            return None;
        }
        let job = self.job_mut(key);
        job.failures += 1;
        if !job.failed_on.contains(&worker) {
            job.failed_on.push(worker);
        }
        let (failed_on, failures) = (job.failed_on.clone(), job.failures);
        if failed_on.len() >= DISTINCT_FAILURES || failures >= MAX_FAILURES {
            for worker in &mut self.pool.workers {
                worker.failed_jobs.retain(|job| *job != key);
            }
            let names: Vec<String> =
                failed_on.iter().map(|w| self.worker_id(*w).to_string()).collect();
            return Some(format!(
                "the job failed {failures} times, on workers {}",
                names.join(", ")
            ));
        }
        let entry = self.pool.worker_mut(worker);
        if !entry.failed_jobs.contains(&key) {
            entry.failed_jobs.push(key);
        }
        self.quarantine_if_failing(now_ms, worker, out);
        None
    }

    fn quarantine_if_failing(&mut self, now_ms: u64, worker: u32, out: &mut Vec<Output>) {
        let entry = self.pool.worker(worker);
        if entry.state != WorkerState::Up || entry.failed_jobs.len() < DISTINCT_FAILURES {
            return;
        }
        let quarantined =
            self.pool.workers.iter().filter(|w| w.state == WorkerState::Quarantined).count();
        let limit = (self.pool.workers.len() / QUARANTINE_DIVISOR).max(1);
        if quarantined >= limit {
            return;
        }
        self.remove_failures_on(worker);
        let entry = self.pool.worker_mut(worker);
        entry.state = WorkerState::Quarantined;
        entry.failed_jobs.clear();
        entry.quarantines += 1;
        let is_repeated = entry.quarantines > 1;
        entry.probe_at_ms =
            now_ms + if is_repeated { probe_interval_ms(entry.quarantines) } else { 0 };
        self.probe_if_due(now_ms, worker, out);
        self.bindings.repair(&mut self.pool);
    }

    /// Removes the failures on a worker from its jobs, because they were attributed to the worker.
    fn remove_failures_on(&mut self, worker: u32) {
        for job in self.jobs.values_mut() {
            if job.failed_on.contains(&worker) {
                job.failed_on.retain(|other| *other != worker);
                job.failures = job.failures.saturating_sub(1);
            }
        }
    }

    fn probe_if_due(&mut self, now_ms: u64, worker: u32, out: &mut Vec<Output>) {
        let entry = self.pool.worker_mut(worker);
        if entry.state == WorkerState::Quarantined && entry.probe_at_ms <= now_ms {
            entry.probe_at_ms = now_ms + probe_interval_ms(entry.quarantines);
            out.push(Output::Probe { worker: self.worker_id(worker) });
        }
    }

    /// Probes quarantined workers that are due, and quarantines failing workers that the maximum excluded before.
    pub(crate) fn check_quarantine(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        for worker in 0..self.pool.workers.len() as u32 {
            self.probe_if_due(now_ms, worker, out);
            self.quarantine_if_failing(now_ms, worker, out);
        }
    }

    /// Records the result of a probe; a worker that succeeded leaves quarantine.
    pub(crate) fn probed(&mut self, worker: &WorkerId, succeeded: bool) {
        let Some(worker) = self.pool.position(worker) else { return };
        let entry = self.pool.worker_mut(worker);
        if succeeded && entry.state == WorkerState::Quarantined {
            entry.state = WorkerState::Up;
            self.bindings.repair(&mut self.pool);
            self.dirty = true;
        }
    }
}

fn probe_interval_ms(quarantines: u32) -> u64 {
    PROBE_INTERVAL_MS << quarantines.saturating_sub(1).min(MAX_PROBE_DOUBLINGS)
}
