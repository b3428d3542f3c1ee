//! Workers that come and go, takeover from an earlier leader, and start permits.

use super::gang::holding;
use super::jobs::{Gang, GangShare, Rights, ShareState, Stage, StopReason};
use super::message::{Output, RunningShare, TaskCell, WorkerSpec};
use super::state::{GANG_LEASE_BOUND_MS, OrphanShare, Scheduler};
use crate::placement::{Holding, JobKey, WorkerState};
use crate::prelude::*;

impl Scheduler {
    /// Notes a worker and what runs there.
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

    /// Ends the shares on a worker that its agent does not report any more.
    fn drop_unreported(
        &mut self,
        now_ms: u64,
        worker: u32,
        running: &[RunningShare],
        out: &mut Vec<Output>,
    ) {
        let reported = |gang: &GangId| running.iter().any(|share| &share.gang == gang);
        let gone: Vec<usize> = (0..self.strays.len())
            .filter(|i| self.strays[*i].worker == worker && !reported(&self.strays[*i].gang))
            .collect();
        for index in gone.into_iter().rev() {
            self.drop_orphan(index);
        }
        for key in self.jobs_on(worker) {
            let id = self.gang_mut(key).id.clone();
            if !reported(&id) {
                self.share_gone(now_ms, key, worker, out);
            }
        }
    }

    /// Returns the jobs whose gangs have a share on a worker that has not ended.
    pub(crate) fn jobs_on(&self, worker: u32) -> Vec<JobKey> {
        let on = |gang: &Gang| {
            gang.shares.iter().any(|s| s.worker == worker && s.state != ShareState::Ended)
        };
        self.active
            .iter()
            .copied()
            .filter(|key| self.jobs[key].gang.as_ref().is_some_and(on))
            .collect()
    }

    /// Notes that a gang certainly has no task and no reservation on a worker any more.
    fn share_gone(&mut self, now_ms: u64, key: JobKey, worker: u32, out: &mut Vec<Output>) {
        if self.gang_mut(key).was_told_to_start() {
            self.lose_share(key, worker);
        }
        self.stop_gang(now_ms, key, StopReason::Lost, out);
        self.finish_if_ended(now_ms, key, out);
    }

    /// Takes up a share that runs on a worker, or stops it if it belongs to no gang.
    fn adopt(&mut self, now_ms: u64, worker: u32, share: &RunningShare, out: &mut Vec<Output>) {
        if let Some(key) = self.find(&share.gang) {
            self.join_gang(now_ms, key, worker, share, out);
            return;
        }
        let known = self.keys.get(&share.gang.job).copied();
        let ended = self.ended.get(&share.gang.job).is_some();
        let other = known.is_some_and(|key| {
            self.jobs[&key].gang.is_some() || self.jobs[&key].attempts > share.gang.number
        });
        if ended || other {
            self.stop_orphan(now_ms, worker, share, out);
            return;
        }
        let rights = self.rights(&share.job).unwrap_or(Rights {
            organisation: 0,
            class: Class::Normal,
            borrows: false,
            reclaimable: false,
        });
        let key = match known {
            Some(key) => {
                self.leave_queue(key);
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
            leaves: None,
            backfill: None,
            for_urgent: false,
        });
        self.active.insert(key);
        self.join_gang(now_ms, key, worker, share, out);
    }

    /// Adds a reported share to the gang that it belongs to.
    fn join_gang(
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
        if let Some(known) = gang.share_mut(worker) {
            if known.state == ShareState::Starting {
                known.state = ShareState::Running;
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
        self.run_if_whole(now_ms, key);
    }

    /// Notes that an adopted or starting gang runs if all its tasks are accounted for.
    pub(crate) fn run_if_whole(&mut self, now_ms: u64, key: JobKey) {
        let expected = self.jobs[&key].spec.tasks as usize;
        let gang = self.gang_mut(key);
        let found: usize = gang.shares.iter().map(|share| share.tasks.len()).sum();
        let whole = gang.stage == Stage::Adopting && found == expected;
        let started = gang.stage == Stage::Starting && gang.all_reached(ShareState::Running);
        if whole && gang.leaves.is_some() {
            gang.deadline_ms = now_ms;
        } else if whole || started {
            gang.stage = Stage::Running;
            gang.deadline_ms = u64::MAX;
            gang.started_ms = now_ms;
        }
    }

    /// Adds a task that ended before a new leader could find it running to the gang that is being adopted.
    pub(crate) fn adopt_ended(&mut self, key: JobKey, worker: u32, task: u32) {
        let expected = self.jobs[&key].spec.tasks;
        let gang = self.gang_mut(key);
        let known = gang.shares.iter().any(|s| s.tasks.iter().any(|cell| cell.task == task));
        if gang.stage != Stage::Adopting || known || task >= expected {
            return;
        }
        let cell = TaskCell { task, accelerator_mask: 0 };
        match gang.share_mut(worker) {
            Some(share) => share.tasks.push(cell),
            None => gang.shares.push(GangShare::new(worker, vec![cell], ShareState::Running)),
        }
    }

    /// Ends waiting jobs that may not be repeated and whose earlier attempt was not found on any worker.
    pub(crate) fn settle_takeover(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        if self.settled || !self.is_settled(now_ms) {
            return;
        }
        self.settled = true;
        let waiting: Vec<JobKey> = self.queue.iter().map(|(key, _)| key).collect();
        for key in waiting {
            self.settle_unrepeatable(now_ms, key, out);
        }
    }

    /// Ends a waiting job if an earlier attempt may have run and a further one is not allowed.
    pub(crate) fn settle_unrepeatable(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) {
        let job = &self.jobs[&key];
        if job.may_still_run && !job.is_repeatable() && self.is_settled(now_ms) {
            let reason =
                "an earlier attempt may have run, and the job may not be repeated".to_owned();
            self.end_job(key, JobEnd::Unknown { reason }, out);
        }
    }

    /// Returns whether every task that ran under an earlier leader was reported or has lost its lease.
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
        if self.strays.iter().any(|orphan| orphan.worker == worker && orphan.gang == share.gang) {
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
        self.strays.push(OrphanShare {
            key,
            gang: share.gang.clone(),
            worker,
            tasks: share.tasks.clone(),
            ended: 0,
            deadline_ms: now_ms + self.stop_ms(),
        });
    }

    /// Notes the end of a task that belongs to no gang.
    pub(crate) fn orphan_task_ended(&mut self, gang: &GangId, worker: u32, task: u32) {
        let is = |orphan: &OrphanShare| orphan.worker == worker && &orphan.gang == gang;
        let Some(index) = self.strays.iter().position(is) else { return };
        let orphan = &mut self.strays[index];
        if let Some(position) = orphan.tasks.iter().position(|cell| cell.task == task) {
            orphan.ended |= 1 << position;
        }
        if orphan.ended.count_ones() as usize == orphan.tasks.len() {
            self.drop_orphan(index);
        }
    }

    fn drop_orphan(&mut self, index: usize) {
        let orphan = self.strays.swap_remove(index);
        self.pool.release(orphan.worker, orphan.key);
        self.touch(orphan.worker);
    }

    /// Fences workers that did not stop orphaned tasks in time.
    pub(crate) fn check_orphans(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        for index in (0..self.strays.len()).rev() {
            if self.strays[index].deadline_ms > now_ms {
                continue;
            }
            let worker = self.strays[index].worker;
            let entry = self.pool.worker(worker);
            if self.strays[index].tasks.is_empty() {
                self.drop_orphan(index);
            } else if entry.state != WorkerState::Fenced {
                self.strays[index].deadline_ms = now_ms + GANG_LEASE_BOUND_MS;
                self.fence(now_ms, worker, out);
            } else if entry.fenced_until_ms <= now_ms {
                self.drop_orphan(index);
            }
        }
    }

    /// Notes that a worker was silent for its lease, so that all its tasks ended.
    pub(crate) fn worker_lost(&mut self, now_ms: u64, worker: &WorkerId, out: &mut Vec<Output>) {
        let Some(worker) = self.pool.position(worker) else { return };
        self.pool.worker_mut(worker).state = WorkerState::Lost;
        self.drop_unreported(now_ms, worker, &[], out);
        self.bindings.repair(&mut self.pool);
    }

    /// Notes whether gangs may start.
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
            let moves = job.spec.can_checkpoint && job.is_repeatable();
            match self.gang_mut(key).stage {
                Stage::Claiming | Stage::Reserving | Stage::Writing => {
                    self.stop_gang(now_ms, key, StopReason::DataCentreOut, out);
                }
                Stage::Starting if leaving && moves => {
                    self.checkpoint_or_stop_gang(now_ms, key, StopReason::DataCentreOut, out);
                }
                _ => {}
            }
        }
        self.drain_group(now_ms, out);
    }

    /// Moves checkpointable work off a data centre that was taken out, also work that was adopted later.
    pub(crate) fn drain_group(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        if !self.out_of_service || self.permitted {
            return;
        }
        let moves = |key: &JobKey| {
            let job = &self.jobs[key];
            let runs = job.gang.as_ref().is_some_and(|gang| gang.stage == Stage::Running);
            runs && job.spec.can_checkpoint && job.is_repeatable()
        };
        let movable: Vec<JobKey> = self.active.iter().copied().filter(moves).collect();
        for key in movable {
            self.checkpoint_or_stop_gang(now_ms, key, StopReason::DataCentreOut, out);
        }
    }
}
