//! Reservation of cells for a job that has waited long, and backfill of the reserved cells.

use serde::{Deserialize, Serialize};

use super::jobs::{Job, Rights};
use super::queue::CLASSES;
use super::search::mask_of;
use super::state::Scheduler;
use crate::placement::{Candidate, CellAccess, Holding, JobKey, Plan, Policy, Worker, choose};
use crate::prelude::*;

/// Maximum expected wait, in seconds, that the cost of a worker distinguishes.
const MAX_COST_S: u64 = 1_000_000;

/// Cells that are kept for one job until all of them are free or can be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Reservation {
    pub job: JobKey,
    pub plan: Plan,
    /// Expected end of the gangs on the reserved cells.
    pub start_ms: u64,
}

impl Scheduler {
    /// Updates the expected start of a valid reservation; otherwise drops it and reserves for the longest-waiting job.
    pub(crate) fn renew_reservation(&mut self, now_ms: u64) {
        if self.policy != Policy::Product {
            return;
        }
        let is_valid = |r: &Reservation| {
            self.jobs.get(&r.job).is_some_and(|job| job.gang.is_none())
                && r.plan.iter().all(|(worker, _)| self.pool.worker(*worker).takes_work(now_ms))
        };
        if self.reservation.as_ref().is_some_and(is_valid) {
            let cells = self.reservation.as_ref().map(|r| cells_of(&r.plan)).unwrap_or_default();
            let start_ms = self.expected_end(now_ms, &cells);
            if let Some(reservation) = &mut self.reservation {
                reservation.start_ms = start_ms;
            }
            return;
        }
        self.drop_reservation();
        if let Some(key) = self.longest_waiting(now_ms) {
            self.reserve_for(now_ms, key);
        }
    }

    fn drop_reservation(&mut self) {
        if self.reservation.take().is_some() {
            for worker in &mut self.pool.workers {
                worker.reserved = 0;
            }
            self.dirty = true;
        }
    }

    /// Returns the oldest job of the first class in which a job waits for cells and is older than `reservation_age_ms`.
    fn longest_waiting(&self, now_ms: u64) -> Option<JobKey> {
        let age_ms = self.limits()?.reservation_age_ms;
        CLASSES.into_iter().find_map(|class| {
            let queues = self.queue.by_organisation(class).values();
            let old = queues.flatten().filter(|(key, waiting)| {
                waiting.arrived_ms + age_ms <= now_ms && self.is_waiting_for_cells(**key)
            });
            old.min_by_key(|(_, waiting)| waiting.arrived_ms).map(|(key, _)| *key)
        })
    }

    /// Returns whether a job could not be placed when cells last became free.
    pub(crate) fn is_waiting_for_cells(&self, key: JobKey) -> bool {
        let rights = self.jobs[&key].rights;
        let queue = self.queue.by_organisation(rights.class).get(&rights.organisation);
        queue.and_then(|queue| queue.get(&key)).is_some_and(|waiting| self.is_unplaceable(waiting))
    }

    fn reserve_for(&mut self, now_ms: u64, key: JobKey) {
        let job = &self.jobs[&key];
        let rights = job.rights;
        let offer = |access: CellAccess, worker: &Worker| {
            let shape = worker.spec.shape;
            worker.takes_work(now_ms).then(|| Candidate {
                mask: worker.accessible_mask(rights.organisation, access),
                cores: shape.cores,
                memory_mb: shape.memory_mb,
                cost: self.wait_cost(now_ms, job, worker),
            })
        };
        // The product policy draws no random numbers.
        let mut random = ZeroRng;
        // Borrowed cells may be reclaimed by their owner at any time, so they are tried last.
        let mut choose_within = |access| {
            let offer = |_: u32, worker: &Worker| offer(access, worker);
            choose(&self.pool, &job.demand, self.policy, None, &mut random, offer)
        };
        let borrowed = rights.borrows.then_some(CellAccess::Any);
        let accesses = [Some(CellAccess::Spare), borrowed];
        let Some(plan) = accesses.into_iter().flatten().find_map(&mut choose_within) else {
            return;
        };
        let cells = cells_of(&plan);
        for (worker, mask) in &cells {
            self.pool.worker_mut(*worker).reserved = *mask;
        }
        let start_ms = self.expected_end(now_ms, &cells);
        self.reservation = Some(Reservation { job: key, plan, start_ms });
    }

    /// Returns the expected time until a worker is free for a job, in seconds.
    fn wait_cost(&self, now_ms: u64, job: &Job, worker: &Worker) -> u32 {
        let ends = worker.holdings.iter().map(|h| match yields_to(h, job.rights.class, false) {
            true => 1,
            false => (self.holding_end(now_ms, h).saturating_sub(now_ms) / 1_000).min(MAX_COST_S),
        });
        ends.max().unwrap_or(0) as u32
    }

    /// Returns the expected end of a gang; one that is overdue is expected to run for as long again.
    fn holding_end(&self, now_ms: u64, holding: &Holding) -> u64 {
        let Some(job) = self.jobs.get(&holding.job) else { return now_ms };
        let Some(gang) = &job.gang else { return now_ms };
        let end_ms = gang.started_ms + self.expected_run_ms(job);
        if end_ms > now_ms { end_ms } else { now_ms + (now_ms - gang.started_ms) }
    }

    fn expected_end(&self, now_ms: u64, cells: &[(u32, u64)]) -> u64 {
        let holdings = cells.iter().flat_map(|(worker, mask)| {
            self.pool.worker(*worker).holdings.iter().filter(move |h| h.mask & mask != 0)
        });
        holdings.map(|h| self.holding_end(now_ms, h)).max().unwrap_or(now_ms)
    }

    /// Returns whether a job may use cells that are reserved for another job.
    pub(crate) fn may_backfill(&self, now_ms: u64, key: JobKey) -> bool {
        let job = &self.jobs[&key];
        let Some(reservation) = &self.reservation else { return true };
        if reservation.job == key || job.rights.reclaimable || job.rights.class == Class::Urgent {
            return true;
        }
        self.run_time_bound_ms(job).is_some_and(|run_ms| now_ms + run_ms <= reservation.start_ms)
    }

    /// Returns whether a gang on reserved cells yields them when the reserved job can start.
    ///
    /// A gang of another organisation does not yield cells that are guaranteed to that organisation, because it would
    /// reclaim them at once.
    pub(crate) fn yields_to_job(
        &self,
        worker: &Worker,
        holding: &Holding,
        rights: &Rights,
    ) -> bool {
        let own = worker.guaranteed_to(holding.organisation);
        if holding.organisation != rights.organisation && holding.mask & own != 0 {
            return false;
        }
        let class = rights.class;
        let backfill = self
            .jobs
            .get(&holding.job)
            .and_then(|job| job.gang.as_ref())
            .and_then(|gang| gang.backfill)
            .is_some_and(|holder| self.reservation.as_ref().is_some_and(|r| r.job == holder));
        yields_to(holding, class, backfill)
    }
}

fn cells_of(plan: &Plan) -> Vec<(u32, u64)> {
    plan.iter().map(|(worker, tasks)| (*worker, mask_of(tasks))).collect()
}

fn yields_to(holding: &Holding, class: Class, backfill: bool) -> bool {
    holding.reclaimable && (backfill || holding.class > class)
}

/// Random number generator that returns zeros, for choices that draw no random numbers.
pub(crate) struct ZeroRng;

impl rand::TryRng for ZeroRng {
    type Error = std::convert::Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Self::Error> {
        Ok(0)
    }

    fn try_next_u64(&mut self) -> Result<u64, Self::Error> {
        Ok(0)
    }

    fn try_fill_bytes(&mut self, target: &mut [u8]) -> Result<(), Self::Error> {
        target.fill(0);
        Ok(())
    }
}
