//! Arrival and loss of workers, takeover from an earlier leader, and start permits.

use super::gang::holding;
use super::jobs::{Gang, GangShare, Rights, ShareState, Stage, StopReason};
use super::message::{Output, RunningShare, TaskCell, WorkerSpec};
use super::state::{GANG_LEASE_BOUND_MS, OrphanShare, Scheduler};
use crate::placement::{Holding, JobKey, WorkerState};
use crate::prelude::*;

impl Scheduler {
    /// Records that a worker is up and adopts the gangs that run there.
    ///
    /// The report is complete: a gang that is not in it has no task on the worker.
    pub(crate) fn worker_up(
        &mut self,
        now_ms: u64,
        spec: &WorkerSpec,
        running: &[RunningShare],
        out: &mut Vec<Output>,
    ) {
        let worker = self.pool.announce(spec);
        let entry = self.pool.worker_mut(worker);
        if entry.state != WorkerState::Quarantined {
            entry.state = WorkerState::Up;
        }
        self.dirty = true;
        self.drop_unreported(now_ms, worker, running, out);
        for share in running {
            self.adopt(now_ms, worker, share, out);
        }
        self.bindings.repair(&mut self.pool);
    }

    /// Ends the shares on a worker that its agent no longer reports.
    fn drop_unreported(
        &mut self,
        now_ms: u64,
        worker: u32,
        running: &[RunningShare],
        out: &mut Vec<Output>,
    ) {
        let reported = |gang: &GangId| running.iter().any(|share| &share.gang == gang);
        let unreported: Vec<usize> = (0..self.orphans.len())
            .filter(|i| self.orphans[*i].worker == worker && !reported(&self.orphans[*i].gang))
            .collect();
        for index in unreported.into_iter().rev() {
            self.drop_orphan(index);
        }
        for key in self.jobs_on(worker) {
            let id = self.gang_mut(key).id.clone();
            if !reported(&id) {
                self.end_unreported_share(now_ms, key, worker, out);
            }
        }
    }

    /// Returns the jobs whose gangs have a share on a worker, other than shares that ended.
    pub(crate) fn jobs_on(&self, worker: u32) -> Vec<JobKey> {
        let has_share = |gang: &Gang| {
            gang.shares.iter().any(|s| s.worker == worker && s.state != ShareState::Ended)
        };
        self.active
            .iter()
            .copied()
            .filter(|key| self.jobs[key].gang.as_ref().is_some_and(has_share))
            .collect()
    }

    /// Ends the share of a gang that has no task and no reservation on a worker, and stops the gang.
    fn end_unreported_share(
        &mut self,
        now_ms: u64,
        key: JobKey,
        worker: u32,
        out: &mut Vec<Output>,
    ) {
        if self.gang_mut(key).start_was_sent() {
            self.lose_share(key, worker);
        }
        self.stop_gang(now_ms, key, StopReason::Lost, out);
        self.finish_if_ended(now_ms, key, out);
    }

    /// Adopts a share that runs on a worker, or stops it if it belongs to no current attempt.
    fn adopt(&mut self, now_ms: u64, worker: u32, share: &RunningShare, out: &mut Vec<Output>) {
        if let Some(key) = self.find(&share.gang) {
            self.add_reported_share(now_ms, key, worker, share, out);
            return;
        }
        let existing = self.keys.get(&share.gang.job).copied();
        let ended = self.ended.get(&share.gang.job).is_some();
        let has_other_attempt = existing.is_some_and(|key| {
            self.jobs[&key].gang.is_some() || self.jobs[&key].attempts > share.gang.number
        });
        if ended || has_other_attempt {
            self.stop_orphan(now_ms, worker, share, out);
            return;
        }
        let rights = self.rights(&share.job).unwrap_or(Rights {
            organisation: 0,
            class: Class::Normal,
            borrows: false,
            reclaimable: false,
        });
        let key = match existing {
            Some(key) => {
                self.remove_from_queue(key);
                key
            }
            None => {
                let rights =
                    Rights { organisation: self.organisation(&share.job.organisation), ..rights };
                self.add_job(now_ms, &share.job, rights)
            }
        };
        let job = self.job_mut(key);
        job.attempts = job.attempts.max(share.gang.number);
        job.may_still_run = true;
        job.gang = Some(Gang {
            id: share.gang.clone(),
            stage: Stage::Adopting,
            shares: Vec::new(),
            deadline_ms: now_ms + GANG_LEASE_BOUND_MS,
            started_ms: now_ms,
            ran: true,
            in_doubt: false,
            stop_reason: None,
            backfill: None,
            for_urgent: false,
        });
        self.active.insert(key);
        self.add_reported_share(now_ms, key, worker, share, out);
    }

    /// Adds a reported share to the gang that it belongs to.
    fn add_reported_share(
        &mut self,
        now_ms: u64,
        key: JobKey,
        worker: u32,
        share: &RunningShare,
        out: &mut Vec<Output>,
    ) {
        let gang = self.gang_mut(key);
        gang.ran = true;
        let stage = gang.stage;
        if let Some(existing) = gang.share_mut(worker) {
            if existing.state == ShareState::Starting {
                existing.state = ShareState::Running;
            }
        } else if matches!(stage, Stage::Adopting | Stage::Stopping) {
            gang.shares.push(GangShare::new(worker, share.tasks.clone(), ShareState::Running));
            let holding = holding(&self.jobs[&key], &share.tasks);
            self.organisations[holding.organisation as usize].used += holding.mask.count_ones();
            self.pool.hold(worker, holding);
            if stage == Stage::Stopping {
                out.push(Output::Stop { gang: share.gang.clone(), worker: self.worker_id(worker) });
            }
        } else {
            self.stop_orphan(now_ms, worker, share, out);
        }
        self.set_running_if_complete(now_ms, key);
    }

    /// Sets the stage of an adopted or starting gang to running if all its tasks were reported.
    pub(crate) fn set_running_if_complete(&mut self, now_ms: u64, key: JobKey) {
        let expected = self.jobs[&key].spec.tasks as usize;
        let gang = self.gang_mut(key);
        let reported: usize = gang.shares.iter().map(|share| share.tasks.len()).sum();
        let is_complete = gang.stage == Stage::Adopting && reported == expected;
        let started = gang.stage == Stage::Starting && gang.all_reached(ShareState::Running);
        if is_complete && gang.stop_reason.is_some() {
            gang.deadline_ms = now_ms;
        } else if is_complete || started {
            gang.stage = Stage::Running;
            gang.deadline_ms = u64::MAX;
            gang.started_ms = now_ms;
        }
    }

    /// Adds an ended task to a gang that is being adopted, if no agent had reported the task as running.
    pub(crate) fn add_ended_task(&mut self, key: JobKey, worker: u32, task: u32) {
        let expected = self.jobs[&key].spec.tasks;
        let gang = self.gang_mut(key);
        let is_reported = gang.shares.iter().any(|s| s.tasks.iter().any(|cell| cell.task == task));
        if gang.stage != Stage::Adopting || is_reported || task >= expected {
            return;
        }
        let cell = TaskCell { task, accelerator_mask: 0 };
        match gang.share_mut(worker) {
            Some(share) => share.tasks.push(cell),
            None => gang.shares.push(GangShare::new(worker, vec![cell], ShareState::Running)),
        }
    }

    /// Ends waiting jobs that may not be repeated and whose earlier attempt no agent reported.
    ///
    /// Runs once, when the leases of the earlier leader have expired.
    pub(crate) fn end_unrepeatable_after_takeover(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        if self.settled || !self.is_settled(now_ms) {
            return;
        }
        self.settled = true;
        let waiting: Vec<JobKey> = self.queue.iter().map(|(key, _)| key).collect();
        for key in waiting {
            self.end_if_unrepeatable(now_ms, key, out);
        }
    }

    /// Ends a waiting job if an earlier attempt may have run and another one is not allowed.
    pub(crate) fn end_if_unrepeatable(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) {
        let job = &self.jobs[&key];
        if job.may_still_run && !job.is_repeatable() && self.is_settled(now_ms) {
            let reason =
                "an earlier attempt may have run, and the job may not be repeated".to_owned();
            self.end_job(key, JobEnd::Unknown { reason }, out);
        }
    }

    /// Returns whether every task that ran under an earlier leader has been reported or has lost its lease.
    pub(crate) fn is_settled(&self, now_ms: u64) -> bool {
        self.since_ms.unwrap_or(now_ms) + GANG_LEASE_BOUND_MS <= now_ms
    }

    /// Stops tasks that belong to no gang of the scheduler.
    fn stop_orphan(
        &mut self,
        now_ms: u64,
        worker: u32,
        share: &RunningShare,
        out: &mut Vec<Output>,
    ) {
        out.push(Output::Stop { gang: share.gang.clone(), worker: self.worker_id(worker) });
        if self.orphans.iter().any(|orphan| orphan.worker == worker && orphan.gang == share.gang) {
            return;
        }
        let key = self.new_key();
        let organisation = self.organisation(&share.job.organisation);
        let tasks = share.tasks.len() as u32;
        self.pool.hold(
            worker,
            Holding {
                job: key,
                mask: share.tasks.iter().fold(0, |all, cell| all | cell.accelerator_mask),
                cores: tasks * share.job.task.cores,
                memory_mb: u64::from(tasks) * share.job.task.memory_mb,
                organisation,
                class: Class::Batch,
                reclaimable: true,
                weight: 0,
            },
        );
        self.orphans.push(OrphanShare {
            key,
            gang: share.gang.clone(),
            worker,
            tasks: share.tasks.clone(),
            ended: 0,
            deadline_ms: now_ms + self.stop_ms(),
        });
    }

    /// Records the end of a task that belongs to no gang.
    pub(crate) fn orphan_task_ended(&mut self, gang: &GangId, worker: u32, task: u32) {
        let is_match = |orphan: &OrphanShare| orphan.worker == worker && &orphan.gang == gang;
        let Some(index) = self.orphans.iter().position(is_match) else { return };
        let orphan = &mut self.orphans[index];
        if let Some(position) = orphan.tasks.iter().position(|cell| cell.task == task) {
            orphan.ended |= 1 << position;
        }
        if orphan.ended.count_ones() as usize == orphan.tasks.len() {
            self.drop_orphan(index);
        }
    }

    fn drop_orphan(&mut self, index: usize) {
        let orphan = self.orphans.swap_remove(index);
        self.pool.release(orphan.worker, orphan.key);
        self.touch(orphan.worker);
    }

    /// Fences workers that did not stop orphaned tasks in time, and drops expired orphans.
    pub(crate) fn check_orphans(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        for index in (0..self.orphans.len()).rev() {
            if self.orphans[index].deadline_ms > now_ms {
                continue;
            }
            let worker = self.orphans[index].worker;
            let entry = self.pool.worker(worker);
            if self.orphans[index].tasks.is_empty() {
                self.drop_orphan(index);
            } else if entry.state != WorkerState::Fenced {
                self.orphans[index].deadline_ms = now_ms + GANG_LEASE_BOUND_MS;
                self.fence(now_ms, worker, out);
            } else if entry.fenced_until_ms <= now_ms {
                self.drop_orphan(index);
            }
        }
    }

    /// Records the loss of a worker that had no contact for its lease, so that all its tasks have ended.
    pub(crate) fn worker_lost(&mut self, now_ms: u64, worker: &WorkerId, out: &mut Vec<Output>) {
        let Some(worker) = self.pool.position(worker) else { return };
        self.pool.worker_mut(worker).state = WorkerState::Lost;
        self.drop_unreported(now_ms, worker, &[], out);
        self.bindings.repair(&mut self.pool);
    }

    /// Records whether gangs may start.
    ///
    /// Without permission, attempts whose start was not sent are given up, and checkpointable gangs are stopped if the
    /// data centre was taken out of service.
    pub(crate) fn starts_permitted(
        &mut self,
        now_ms: u64,
        permitted: bool,
        leaving: bool,
        out: &mut Vec<Output>,
    ) {
        self.permitted = permitted;
        self.dirty = true;
        if permitted {
            self.returned_ms = if self.out_of_service { Some(now_ms) } else { self.returned_ms };
            self.out_of_service = false;
            return;
        }
        self.out_of_service |= leaving;
        let active: Vec<JobKey> = self.active.iter().copied().collect();
        for key in active {
            let job = &self.jobs[&key];
            let is_movable = job.spec.can_checkpoint && job.is_repeatable();
            match self.gang_mut(key).stage {
                Stage::Claiming | Stage::Reserving | Stage::Writing => {
                    self.stop_gang(now_ms, key, StopReason::DataCentreOut, out);
                }
                Stage::Starting if leaving && is_movable => {
                    self.checkpoint_or_stop_gang(now_ms, key, StopReason::DataCentreOut, out);
                }
                _ => {}
            }
        }
        self.drain_group(now_ms, out);
    }

    /// Stops checkpointable gangs of a data centre that was taken out of service, so that they can run elsewhere.
    ///
    /// Runs with each tick too, because gangs may be adopted later.
    pub(crate) fn drain_group(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        if !self.out_of_service || self.permitted {
            return;
        }
        let is_movable = |key: &JobKey| {
            let job = &self.jobs[key];
            let is_running = job.gang.as_ref().is_some_and(|gang| gang.stage == Stage::Running);
            is_running && job.spec.can_checkpoint && job.is_repeatable()
        };
        let movable: Vec<JobKey> = self.active.iter().copied().filter(is_movable).collect();
        for key in movable {
            self.checkpoint_or_stop_gang(now_ms, key, StopReason::DataCentreOut, out);
        }
    }
}
