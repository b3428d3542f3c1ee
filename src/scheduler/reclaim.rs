//! Reclaim of cells from running gangs, and the claims of the jobs that wait for these cells.

use super::gang::{RESERVE_TIMEOUT_MS, holding};
use super::jobs::{GangShare, ShareState, Stage, StopReason};
use super::message::Output;
use super::search::mask_of;
use super::state::Scheduler;
use crate::placement::{Holding, JobKey, Plan, WorkerState};
use crate::prelude::*;

/// Time limit for a task to stop before the first bundle, in milliseconds.
const DEFAULT_STOP_TIMEOUT_MS: u64 = 1_000;
/// Time limit for a task to write a checkpoint before the first bundle, in milliseconds.
const DEFAULT_CHECKPOINT_TIMEOUT_MS: u64 = 1_000;
/// Maximum time limit to stop a gang whose cells urgent work claims, in milliseconds.
///
/// Urgent work has 2,500 ms for checkpoint, stop, reservation, intent and start.
pub(crate) const URGENT_STOP_TIMEOUT_MS: u64 = 500;
/// Maximum time limit for the checkpoint of a gang whose cells urgent work claims, in milliseconds.
const URGENT_CHECKPOINT_TIMEOUT_MS: u64 = 1_000;
/// Time after the checkpoint and stop limits of the victims at which a claim is given up, in milliseconds.
const CLAIM_MARGIN_MS: u64 = 400;

impl Scheduler {
    /// Returns the time limit for a task to stop, in milliseconds.
    pub(crate) fn stop_ms(&self) -> u64 {
        self.limits().map_or(DEFAULT_STOP_TIMEOUT_MS, |limits| limits.reclaim_stop_ms)
    }

    fn checkpoint_ms(&self) -> u64 {
        self.limits().map_or(DEFAULT_CHECKPOINT_TIMEOUT_MS, |limits| limits.reclaim_checkpoint_ms)
    }

    /// Stops a gang, after a checkpoint if it is running and can write one.
    pub(crate) fn checkpoint_or_stop_gang(
        &mut self,
        now_ms: u64,
        key: JobKey,
        stop_reason: StopReason,
        out: &mut Vec<Output>,
    ) {
        let can_checkpoint = self.jobs[&key].spec.can_checkpoint;
        let checkpoint_ms = self.checkpoint_ms();
        let gang = self.gang_mut(key);
        if matches!(gang.stage, Stage::Checkpointing | Stage::Stopping) {
            return;
        }
        if !can_checkpoint || gang.stage != Stage::Running {
            self.stop_gang(now_ms, key, stop_reason, out);
            return;
        }
        let checkpoint_ms = if gang.for_urgent {
            checkpoint_ms.min(URGENT_CHECKPOINT_TIMEOUT_MS)
        } else {
            checkpoint_ms
        };
        gang.stop_reason = gang.stop_reason.or(Some(stop_reason));
        gang.stage = Stage::Checkpointing;
        gang.deadline_ms = now_ms + checkpoint_ms;
        let gang = gang.clone();
        for share in gang.shares.iter().filter(|share| share.state != ShareState::Ended) {
            let worker = self.worker_id(share.worker);
            out.push(Output::Checkpoint { gang: gang.id.clone(), worker });
        }
        for share in &mut self.gang_mut(key).shares {
            share.saved_ms = share.has_succeeded().then_some(u64::MAX);
        }
    }

    /// Creates a gang that claims the planned cells, and stops the gangs that hold some of them.
    pub(crate) fn claim(
        &mut self,
        now_ms: u64,
        key: JobKey,
        plan: Plan,
        victims: &[JobKey],
        out: &mut Vec<Output>,
    ) {
        let deadline_ms = now_ms + self.checkpoint_ms() + self.stop_ms() + CLAIM_MARGIN_MS;
        let urgent = self.jobs[&key].rights.class == Class::Urgent;
        self.form_gang(now_ms, key, plan, Stage::Claiming, deadline_ms);
        self.mark_claim(key, true);
        for victim in victims {
            if self.jobs.get(victim).is_some_and(|job| job.gang.is_some()) {
                self.gang_mut(*victim).for_urgent |= urgent;
                self.checkpoint_or_stop_gang(now_ms, *victim, StopReason::Reclaimed, out);
            }
        }
        self.claiming.insert(key);
    }

    /// Drops the claims of a job on its planned cells.
    pub(crate) fn drop_claim(&mut self, key: JobKey) {
        self.mark_claim(key, false);
    }

    fn mark_claim(&mut self, key: JobKey, claimed: bool) {
        let job = &self.jobs[&key];
        let shares = job.gang.iter().flat_map(|gang| &gang.shares);
        let claims: Vec<(u32, Holding)> =
            shares.map(|share| (share.worker, holding(job, &share.tasks))).collect();
        for (worker, claim) in claims {
            let used = &mut self.organisations[claim.organisation as usize].used;
            let count = claim.mask.count_ones();
            if claimed {
                *used += count;
                self.pool.claim(worker, claim);
            } else {
                *used = used.saturating_sub(count);
                self.pool.drop_claim(worker, key);
                self.touch(worker);
                self.claiming.remove(&key);
            }
        }
    }

    /// Requests the reservations of jobs whose claimed cells have all become free.
    pub(crate) fn serve_claims(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let keys: Vec<JobKey> = self.claiming.iter().copied().collect();
        for key in keys {
            self.serve_claim(now_ms, key, out);
        }
    }

    fn serve_claim(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) {
        let task = self.jobs[&key].demand.task;
        let shares = self.gang_mut(key).shares.clone();
        let is_up = |share: &GangShare| self.pool.worker(share.worker).state == WorkerState::Up;
        if !shares.iter().all(is_up) {
            self.give_up(now_ms, key, StopReason::Overdue, false, out);
            return;
        }
        let is_free = |share: &GangShare| {
            let worker = self.pool.worker(share.worker);
            let (mask, count) = (mask_of(&share.tasks), share.tasks.len() as u32);
            worker.free & mask == mask
                && worker.free_cores >= count * task.cores
                && worker.free_memory_mb >= u64::from(count) * task.memory_mb
        };
        if shares.iter().all(is_free) {
            self.mark_claim(key, false);
            let gang = self.gang_mut(key);
            gang.stage = Stage::Reserving;
            gang.deadline_ms = now_ms + RESERVE_TIMEOUT_MS;
            self.reserve_shares(key, out);
        }
    }
}
