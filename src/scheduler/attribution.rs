//! Which of a job and a worker is at fault when a task fails.

use super::message::Output;
use super::state::Scheduler;
use crate::placement::{JobKey, WorkerState};
use crate::prelude::*;

/// The number of distinct workers on which a job fails before it is found at fault, and of distinct jobs for a worker.
const DISTINCT_FAILURES: usize = 3;
/// The most failures of one job before it is given up, if its group has too few workers to tell who is at fault.
const MAX_FAILURES: u32 = 8;
/// The part of a group's workers that may be in quarantine at once is 1 / this.
const QUARANTINE_PART: usize = 4;
/// The time between two probes of a worker; it doubles each time the worker is found at fault again.
const PROBE_MS: u64 = 30_000;
/// The most that the time between two probes is doubled.
const MAX_PROBE_DOUBLINGS: u32 = 6;

impl Scheduler {
    /// Attributes a failure, and returns why the job is at fault if it is.
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
        self.quarantine_if_at_fault(now_ms, worker, out);
        None
    }

    fn quarantine_if_at_fault(&mut self, now_ms: u64, worker: u32, out: &mut Vec<Output>) {
        let entry = self.pool.worker(worker);
        if entry.state != WorkerState::Up || entry.failed_jobs.len() < DISTINCT_FAILURES {
            return;
        }
        let quarantined =
            self.pool.workers.iter().filter(|w| w.state == WorkerState::Quarantined).count();
        let most = (self.pool.workers.len() / QUARANTINE_PART).max(1);
        if quarantined >= most {
            return;
        }
        self.forgive_jobs(worker);
        let entry = self.pool.worker_mut(worker);
        entry.state = WorkerState::Quarantined;
        entry.failed_jobs.clear();
        entry.quarantines += 1;
        let again = entry.quarantines > 1;
        entry.probe_at_ms = now_ms + if again { probe_ms(entry.quarantines) } else { 0 };
        self.probe_due(now_ms, worker, out);
        self.bindings.repair(&mut self.pool);
    }

    /// Takes failures on a worker that is at fault away from the jobs that met them.
    fn forgive_jobs(&mut self, worker: u32) {
        for job in self.jobs.values_mut() {
            if job.failed_on.contains(&worker) {
                job.failed_on.retain(|other| *other != worker);
                job.failures = job.failures.saturating_sub(1);
            }
        }
    }

    fn probe_due(&mut self, now_ms: u64, worker: u32, out: &mut Vec<Output>) {
        let entry = self.pool.worker_mut(worker);
        if entry.state == WorkerState::Quarantined && entry.probe_at_ms <= now_ms {
            entry.probe_at_ms = now_ms + probe_ms(entry.quarantines);
            out.push(Output::Probe { worker: self.worker_id(worker) });
        }
    }

    /// Probes workers in quarantine, and puts workers there for which there was no room before.
    pub(crate) fn check_quarantine(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        for worker in 0..self.pool.workers.len() as u32 {
            self.probe_due(now_ms, worker, out);
            self.quarantine_if_at_fault(now_ms, worker, out);
        }
    }

    /// Notes the result of a probe.
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

fn probe_ms(quarantines: u32) -> u64 {
    PROBE_MS << quarantines.saturating_sub(1).min(MAX_PROBE_DOUBLINGS)
}
