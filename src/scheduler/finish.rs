//! End of gangs: stop, checkpoint, fencing of workers, and the outcome or requeue of their jobs.

use super::jobs::{Gang, ShareState, Stage, StopReason};
use super::message::Output;
use super::reclaim::URGENT_STOP_TIMEOUT_MS;
use super::state::{GANG_LEASE_BOUND_MS, Scheduler};
use crate::placement::{JobKey, WorkerState};
use crate::prelude::*;

impl Scheduler {
    /// Cancels jobs; gangs of running jobs are stopped.
    pub(crate) fn cancel(&mut self, now_ms: u64, jobs: &[JobId], out: &mut Vec<Output>) {
        for id in jobs {
            let Some(key) = self.keys.get(id).copied() else { continue };
            if self.jobs[&key].gang.is_some() {
                self.stop_gang(now_ms, key, StopReason::Cancelled, out);
                self.finish_if_ended(now_ms, key, out);
            } else {
                self.end_cancelled(key, out);
            }
        }
    }

    /// Stops a gang as its stage requires, or gives up the attempt if no start was sent.
    pub(crate) fn stop_gang(
        &mut self,
        now_ms: u64,
        key: JobKey,
        stop_reason: StopReason,
        out: &mut Vec<Output>,
    ) {
        match self.gang_mut(key).stage {
            Stage::Claiming | Stage::Reserving => {
                self.give_up(now_ms, key, stop_reason, false, out)
            }
            Stage::Writing => self.set_stop_reason(key, stop_reason),
            // Tasks that agents have not reported yet may run, so an adopted gang is stopped when it is complete or
            // when the lease bound has passed.
            Stage::Stopping | Stage::Adopting => self.set_stop_reason(key, stop_reason),
            Stage::Starting | Stage::Running | Stage::Checkpointing => {
                self.set_stop_reason(key, stop_reason);
                self.stop(now_ms, key, out);
            }
        }
    }

    /// Sets the stop reason of a gang. A reason that is already set is kept, unless the new reason is a cancellation.
    fn set_stop_reason(&mut self, key: JobKey, stop_reason: StopReason) {
        let gang = self.gang_mut(key);
        let replaces = match gang.stop_reason {
            None => true,
            Some(StopReason::Cancelled) => false,
            Some(_) => stop_reason == StopReason::Cancelled,
        };
        if replaces {
            gang.stop_reason = Some(stop_reason);
        }
    }

    /// Requests all agents of a gang to stop its tasks.
    pub(crate) fn stop(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) {
        let urgent = self.gang_mut(key).for_urgent;
        let stop_ms =
            if urgent { self.stop_ms().min(URGENT_STOP_TIMEOUT_MS) } else { self.stop_ms() };
        let gang = self.gang_mut(key);
        gang.stage = Stage::Stopping;
        gang.deadline_ms = now_ms + stop_ms;
        let gang = gang.clone();
        for share in gang.shares.iter().filter(|share| share.state != ShareState::Ended) {
            out.push(Output::Stop { gang: gang.id.clone(), worker: self.worker_id(share.worker) });
        }
    }

    /// Records a checkpoint, and stops the gang if it was written before a stop and all shares have saved one.
    pub(crate) fn checkpointed(
        &mut self,
        now_ms: u64,
        gang: &GangId,
        worker: &WorkerId,
        saved_ms: u64,
        out: &mut Vec<Output>,
    ) {
        let (Some(key), Some(worker)) = (self.find(gang), self.pool.position(worker)) else {
            return;
        };
        let current = self.gang_mut(key);
        let Some(share) = current.share_mut(worker) else { return };
        share.saved_ms = Some(saved_ms);
        let saved = current.shares.iter().map(|share| share.saved_ms).min().flatten();
        let stage = current.stage;
        if let Some(saved) = saved {
            let job = self.job_mut(key);
            job.saved_ms = job.saved_ms.max(saved);
            if stage == Stage::Checkpointing {
                self.stop(now_ms, key, out);
            }
        }
    }

    /// Ends the attempt of a gang when all its tasks have ended.
    pub(crate) fn finish_if_ended(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(&key) else { return };
        let Some(gang) = &job.gang else { return };
        if !gang.start_was_sent()
            || gang.stage == Stage::Adopting
            || !gang.all_reached(ShareState::Ended)
        {
            return;
        }
        let gang = gang.clone();
        self.active.remove(&key);
        // A new leader may receive reports on only some tasks of a gang; unreported tasks do not count as succeeded.
        let reported: usize = gang.shares.iter().map(|share| share.tasks.len()).sum();
        let is_complete = reported == self.jobs[&key].spec.tasks as usize;
        if is_complete && gang.shares.iter().all(|share| share.has_succeeded()) {
            self.record_run(now_ms, key, &gang);
            self.end_job(key, JobEnd::Succeeded, out);
            return;
        }
        match gang.stop_reason {
            Some(StopReason::Cancelled) => self.end_cancelled(key, out),
            Some(StopReason::Failed(worker)) => self.finish_failed(now_ms, key, &gang, worker, out),
            stop_reason => self.finish_stopped(now_ms, key, &gang, stop_reason, out),
        }
    }

    /// Ends a job that its caller cancelled, as not run or unknown if no task is known to have run.
    pub(crate) fn end_cancelled(&mut self, key: JobKey, out: &mut Vec<Output>) {
        let end = self.jobs[&key].end(JobEnd::Cancelled, "the job was cancelled before it started");
        let end = match end {
            JobEnd::Unknown { .. } => {
                let reason = "the job was cancelled, and it is not known whether it had started";
                JobEnd::Unknown { reason: reason.to_owned() }
            }
            end => end,
        };
        self.end_job(key, end, out);
    }

    fn finish_failed(
        &mut self,
        now_ms: u64,
        key: JobKey,
        gang: &Gang,
        worker: u32,
        out: &mut Vec<Output>,
    ) {
        let job_failure = self.attribute(now_ms, key, worker, out);
        let id = self.worker_id(worker);
        let reason = match job_failure {
            Some(reason) => reason,
            None if self.jobs[&key].is_repeatable() => return self.requeue(now_ms, key, gang, out),
            None => format!("a task failed on worker {id}, and the job may not be repeated"),
        };
        self.end_job(key, JobEnd::Failed { reason }, out);
    }

    fn finish_stopped(
        &mut self,
        now_ms: u64,
        key: JobKey,
        gang: &Gang,
        stop_reason: Option<StopReason>,
        out: &mut Vec<Output>,
    ) {
        if self.jobs[&key].is_repeatable() {
            return self.requeue(now_ms, key, gang, out);
        }
        let cause = match stop_reason {
            Some(StopReason::Refused) => "an agent refused to start a task",
            Some(StopReason::Overdue) => "not all tasks started in time",
            Some(StopReason::Partial) => "only a part of the gang was found by a new leader",
            _ => "a task or its worker was lost",
        };
        let reason = format!("{cause}, and the job may not be repeated");
        let end = self.jobs[&key].end(JobEnd::Failed { reason: reason.clone() }, &reason);
        self.end_job(key, end, out);
    }

    fn requeue(&mut self, now_ms: u64, key: JobKey, gang: &Gang, out: &mut Vec<Output>) {
        let job = self.job_mut(key);
        job.ran |= gang.ran;
        job.in_doubt |= gang.in_doubt;
        let saved_ms = job.saved_ms;
        out.push(Output::WriteQueued { gang: gang.id.clone(), saved_ms });
        self.return_to_queue(key, now_ms);
    }

    /// Handles all deadlines that have passed.
    pub(crate) fn tick(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let overdue = |key: &JobKey| {
            self.jobs[key].gang.as_ref().is_some_and(|gang| gang.deadline_ms <= now_ms)
        };
        let late: Vec<JobKey> = self.active.iter().copied().filter(overdue).collect();
        for key in late {
            // Handling an earlier deadline in this loop may have ended this gang too.
            if self.jobs.get(&key).is_some_and(|job| job.gang.is_some()) {
                self.overdue(now_ms, key, out);
            }
        }
        self.check_orphans(now_ms, out);
        self.drain_group(now_ms, out);
        if self.bindings.is_reduced() {
            self.bindings.repair(&mut self.pool);
        }
        self.check_quarantine(now_ms, out);
        self.renew_reservation(now_ms);
        self.dirty |= self.changed || self.next_search_ms <= now_ms;
        self.unfinished = true;
    }

    fn overdue(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) {
        match self.gang_mut(key).stage {
            Stage::Claiming => self.give_up(now_ms, key, StopReason::Overdue, false, out),
            Stage::Reserving => {
                self.avoid_unresponsive(now_ms, key);
                self.give_up(now_ms, key, StopReason::Overdue, false, out);
            }
            Stage::Writing | Stage::Running => {}
            Stage::Starting => self.stop_gang(now_ms, key, StopReason::Overdue, out),
            Stage::Adopting => {
                self.set_stop_reason(key, StopReason::Partial);
                self.stop(now_ms, key, out);
            }
            Stage::Checkpointing => self.stop(now_ms, key, out),
            Stage::Stopping => self.fence_unstopped(now_ms, key, out),
        }
        self.finish_if_ended(now_ms, key, out);
    }

    /// Places no new work for a limited time on workers whose agents did not answer a reservation.
    fn avoid_unresponsive(&mut self, now_ms: u64, key: JobKey) {
        let gang = self.gang_mut(key).clone();
        for share in gang.shares.iter().filter(|share| share.state == ShareState::Asked) {
            self.pool.worker_mut(share.worker).avoid_until_ms = now_ms + GANG_LEASE_BOUND_MS / 5;
        }
    }

    /// Fences workers whose agents did not stop a gang in time.
    ///
    /// Their tasks have ended [`GANG_LEASE_BOUND_MS`] later at the latest and are then counted as lost.
    fn fence_unstopped(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) {
        let gang = self.gang_mut(key);
        gang.deadline_ms = now_ms + GANG_LEASE_BOUND_MS;
        let gang = gang.clone();
        for share in gang.shares.iter().filter(|share| share.state != ShareState::Ended) {
            let worker = self.pool.worker(share.worker);
            if worker.state != WorkerState::Fenced {
                self.fence(now_ms, share.worker, out);
            } else if worker.fenced_until_ms <= now_ms {
                self.lose_share(key, share.worker);
            } else {
                let end_ms = worker.fenced_until_ms;
                let current = self.gang_mut(key);
                current.deadline_ms = current.deadline_ms.min(end_ms);
            }
        }
    }

    /// Takes a worker out of use until its agent announces itself again, and stops all gangs that run there.
    pub(crate) fn fence(&mut self, now_ms: u64, worker: u32, out: &mut Vec<Output>) {
        let entry = self.pool.worker_mut(worker);
        entry.state = WorkerState::Fenced;
        entry.fenced_until_ms = now_ms + GANG_LEASE_BOUND_MS;
        self.bindings.repair(&mut self.pool);
        out.push(Output::Fence { worker: self.worker_id(worker) });
        for key in self.jobs_on(worker) {
            self.stop_gang(now_ms, key, StopReason::Lost, out);
        }
    }

    /// Records that the tasks of a gang on a worker have ended without a report.
    pub(crate) fn lose_share(&mut self, key: JobKey, worker: u32) {
        let gang = self.gang_mut(key);
        gang.in_doubt = true;
        if let Some(share) = gang.share_mut(worker) {
            share.ended = u64::MAX >> (64 - share.tasks.len().clamp(1, 64));
        }
        self.end_share_if_ended(key, worker);
    }
}
