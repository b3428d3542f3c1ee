//! Search for the cells of one job, from free cells to those that must be reclaimed from other gangs.

use rand::Rng;

use super::jobs::{Job, Stage};
use super::message::{Output, TaskCell};
use super::state::Scheduler;
use crate::placement::{Candidate, CellAccess, Holding, JobKey, Plan, Policy, Worker, choose};
use crate::prelude::*;

/// Cost of a worker on which the job failed before, so high that such a worker is chosen only if there is no other.
const FAILED_BEFORE_COST: u32 = 1_000_000;

/// Set of search strategies to try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Only cells that are guaranteed to the job's organisation.
    Guaranteed,
    /// All cells.
    All,
}

/// Gangs whose cells may be reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evict {
    /// No gangs.
    Nothing,
    /// Gangs on cells that are guaranteed to the job's organisation.
    OnGuaranteedCells,
    /// Also gangs of a lower class that are not on cells guaranteed to their own organisation.
    LowerClass,
}

/// Restrictions under which cells are searched for.
#[derive(Clone, Copy, Debug)]
struct Strategy {
    access: CellAccess,
    evict: Evict,
    /// Whether guaranteed blocks that their owners do not use may be moved to other cells.
    moves_blocks: bool,
}

const fn strategy(access: CellAccess, evict: Evict) -> Strategy {
    Strategy { access, evict, moves_blocks: false }
}

impl Scheduler {
    /// Finds cells for all tasks of a waiting job, and starts an attempt or reclaims cells for it.
    ///
    /// Returns whether the job left the queue.
    pub(crate) fn place<R>(
        &mut self,
        now_ms: u64,
        key: JobKey,
        scope: Scope,
        random: &mut R,
        out: &mut Vec<Output>,
    ) -> bool
    where
        R: Rng,
    {
        for strategy in self.strategies(key, scope) {
            if strategy.moves_blocks && self.pass.idle_masks.is_empty() {
                self.pass.idle_masks = self.bindings.idle_masks(&self.pool);
            }
            let Some(plan) = self.find_cells(now_ms, key, strategy, random) else { continue };
            if strategy.moves_blocks && !self.make_room(key, &plan) {
                continue;
            }
            self.pass.idle_masks.clear();
            match strategy.evict {
                Evict::Nothing => self.begin(now_ms, key, plan, out),
                _ => {
                    let victims = self.victims(key, &plan, strategy.evict);
                    self.claim(now_ms, key, plan, &victims, out);
                }
            }
            return true;
        }
        self.place_reserved(now_ms, key, out)
    }

    /// Returns the search strategies for a job, those that affect other organisations least first.
    fn strategies(&self, key: JobKey, scope: Scope) -> Vec<Strategy> {
        if self.policy != Policy::Product {
            return vec![strategy(CellAccess::Any, Evict::Nothing)];
        }
        let rights = self.jobs[&key].rights;
        let guaranteed = self.organisations[rights.organisation as usize].guaranteed > 0;
        let mut strategies = Vec::with_capacity(6);
        if guaranteed {
            strategies.push(strategy(CellAccess::Own, Evict::Nothing));
        }
        if scope == Scope::Guaranteed {
            return strategies;
        }
        strategies.push(strategy(CellAccess::Spare, Evict::Nothing));
        if rights.borrows {
            strategies.push(strategy(CellAccess::Any, Evict::Nothing));
        }
        if guaranteed {
            strategies.push(strategy(CellAccess::Spare, Evict::OnGuaranteedCells));
        }
        if !rights.borrows && !self.bindings.is_reduced() && !self.bindings.blocks.is_empty() {
            strategies.push(Strategy {
                access: CellAccess::Any,
                evict: Evict::Nothing,
                moves_blocks: true,
            });
        }
        if rights.class == Class::Urgent {
            let access = if rights.borrows { CellAccess::Any } else { CellAccess::Spare };
            strategies.push(strategy(access, Evict::LowerClass));
        }
        strategies
    }

    fn find_cells<R>(
        &self,
        now_ms: u64,
        key: JobKey,
        strategy: Strategy,
        random: &mut R,
    ) -> Option<Plan>
    where
        R: Rng,
    {
        let job = &self.jobs[&key];
        let backfills = self.may_backfill(now_ms, key) || strategy.access == CellAccess::Own;
        let no_idle = Vec::new();
        let idle = if strategy.moves_blocks { &self.pass.idle_masks } else { &no_idle };
        let offer = |position: u32, worker: &Worker| {
            if !worker.takes_work(now_ms) {
                return None;
            }
            let mut candidate = self.offer(job, worker, strategy);
            if strategy.moves_blocks {
                let movable = idle.get(position as usize).copied().unwrap_or(0);
                let owned = worker.accessible_mask(job.rights.organisation, CellAccess::Spare);
                candidate.mask &= owned | movable;
                candidate.cost += (candidate.mask & !owned).count_ones();
            }
            if !backfills {
                candidate.mask &= !worker.reserved;
            }
            if job.failed_on.contains(&position) {
                candidate.cost += FAILED_BEFORE_COST;
            }
            Some(candidate)
        };
        choose(&self.pool, &job.demand, self.policy, self.pass.racks.as_deref(), random, offer)
    }

    /// Returns the resources that a job may use on a worker.
    fn offer(&self, job: &Job, worker: &Worker, strategy: Strategy) -> Candidate {
        let rights = job.rights;
        let accessible = worker.accessible_mask(rights.organisation, strategy.access);
        let mut offer = Candidate {
            mask: worker.available_mask() & accessible,
            cores: worker.available_cores(),
            memory_mb: worker.available_memory_mb(),
            cost: 0,
        };
        if strategy.evict != Evict::Nothing {
            for holding in &worker.holdings {
                if self.is_evictable(job, worker, holding, strategy.evict) {
                    offer.mask |= holding.mask & accessible & !worker.claimed;
                    offer.cores += holding.cores;
                    offer.memory_mb += holding.memory_mb;
                    offer.cost += holding.weight;
                }
            }
        }
        if self.policy == Policy::Product && !rights.reclaimable && !strategy.moves_blocks {
            let (kept_cores, kept_mb) = worker.kept_for_others(rights.organisation);
            let (own_cores, own_mb) = worker.unused_guarantee(rights.organisation);
            offer.cores = offer.cores.saturating_sub(kept_cores).max(offer.cores.min(own_cores));
            offer.memory_mb =
                offer.memory_mb.saturating_sub(kept_mb).max(offer.memory_mb.min(own_mb));
        }
        offer
    }

    /// Returns whether a job may reclaim the cells of a gang.
    fn is_evictable(&self, job: &Job, worker: &Worker, holding: &Holding, evict: Evict) -> bool {
        let Some(gang) = self.jobs.get(&holding.job).and_then(|victim| victim.gang.as_ref()) else {
            return false;
        };
        if !holding.reclaimable || gang.stage == Stage::Adopting {
            return false;
        }
        let rights = job.rights;
        let lower_class = holding.class > rights.class;
        let same_organisation = holding.organisation == rights.organisation;
        let borrows_own_cells =
            !same_organisation && holding.mask & worker.guaranteed_to(rights.organisation) != 0;
        let on_own_guarantee =
            holding.mask & !worker.guaranteed_to(holding.organisation) == 0 && holding.mask != 0;
        match evict {
            Evict::Nothing => false,
            Evict::OnGuaranteedCells => borrows_own_cells || (same_organisation && lower_class),
            Evict::LowerClass => {
                borrows_own_cells || (lower_class && (same_organisation || !on_own_guarantee))
            }
        }
    }

    /// Returns the jobs whose gangs must be stopped to free the cells of a plan.
    fn victims(&self, key: JobKey, plan: &Plan, evict: Evict) -> Vec<JobKey> {
        let job = &self.jobs[&key];
        let mut victims = Vec::new();
        for (position, tasks) in plan {
            let worker = self.pool.worker(*position);
            let may = |h: &&Holding| self.is_evictable(job, worker, h, evict);
            victims.extend(victims_on(job, worker, tasks, worker.holdings.iter().filter(may)));
        }
        victims.sort_unstable();
        victims.dedup();
        victims
    }

    /// Moves guaranteed blocks off a plan's cells, and returns whether all guarantees still hold.
    fn make_room(&mut self, key: JobKey, plan: &Plan) -> bool {
        let job = &self.jobs[&key];
        let (organisation, task) = (job.rights.organisation, job.demand.task);
        let cells: Vec<(u32, u64)> =
            plan.iter().map(|(worker, tasks)| (*worker, mask_of(tasks))).collect();
        let fits = |pool: &crate::placement::Pool| {
            plan.iter().all(|(position, tasks)| {
                let worker = pool.worker(*position);
                let (cores, memory_mb) = worker.kept_for_others(organisation);
                let count = tasks.len() as u32;
                worker.available_cores() >= cores + count * task.cores
                    && worker.available_memory_mb() >= memory_mb + u64::from(count) * task.memory_mb
            })
        };
        self.bindings.make_room(&mut self.pool, organisation, &cells, fits)
    }

    /// Claims the reserved cells for the job that holds the reservation if all are free or can be reclaimed.
    fn place_reserved(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) -> bool {
        let Some(reservation) = &self.reservation else { return false };
        if reservation.job != key {
            return false;
        }
        let job = &self.jobs[&key];
        let rights = job.rights;
        let mut victims = Vec::new();
        for (position, tasks) in &reservation.plan {
            let worker = self.pool.worker(*position);
            let mask = mask_of(tasks);
            let mut holders = worker.holdings.iter().filter(|h| h.mask & mask != 0);
            let access = if job.rights.borrows { CellAccess::Any } else { CellAccess::Spare };
            let allowed = mask & !worker.accessible_mask(job.rights.organisation, access) == 0;
            if !allowed
                || worker.claimed & mask != 0
                || holders.any(|h| !self.yields_to_job(worker, h, &rights))
            {
                return false;
            }
            let giving = worker.holdings.iter().filter(|h| self.yields_to_job(worker, h, &rights));
            victims.extend(victims_on(job, worker, tasks, giving));
            if !has_capacity_after(job, worker, tasks, &victims) {
                return false;
            }
        }
        let plan = reservation.plan.clone();
        victims.sort_unstable();
        victims.dedup();
        self.claim(now_ms, key, plan, &victims, out);
        true
    }
}

/// Returns the jobs that hold accelerators of some tasks on a worker, and further ones until their cores and memory
/// suffice for the tasks.
fn victims_on<'a, I>(job: &Job, worker: &Worker, tasks: &[TaskCell], may: I) -> Vec<JobKey>
where
    I: Iterator<Item = &'a Holding>,
{
    let mask = mask_of(tasks);
    let count = tasks.len() as u32;
    let (mut cores, mut memory_mb) = (worker.available_cores(), worker.available_memory_mb());
    let (need_cores, need_mb) =
        (count * job.demand.task.cores, u64::from(count) * job.demand.task.memory_mb);
    let (direct, others): (Vec<&Holding>, Vec<&Holding>) = may.partition(|h| h.mask & mask != 0);
    let mut victims = Vec::new();
    for holding in direct {
        cores += holding.cores;
        memory_mb += holding.memory_mb;
        victims.push(holding.job);
    }
    for holding in others {
        if cores >= need_cores && memory_mb >= need_mb {
            break;
        }
        cores += holding.cores;
        memory_mb += holding.memory_mb;
        victims.push(holding.job);
    }
    victims
}

/// Returns whether the cores and memory for some tasks are available after the victims released theirs.
fn has_capacity_after(job: &Job, worker: &Worker, tasks: &[TaskCell], victims: &[JobKey]) -> bool {
    let leaving = worker.holdings.iter().filter(|h| victims.contains(&h.job));
    let (cores, memory_mb) = leaving
        .fold((worker.available_cores(), worker.available_memory_mb()), |sum, h| {
            (sum.0 + h.cores, sum.1 + h.memory_mb)
        });
    let (kept_cores, kept_mb) = match job.rights.reclaimable {
        true => (0, 0),
        false => worker.kept_for_others(job.rights.organisation),
    };
    let count = tasks.len() as u32;
    cores >= kept_cores + count * job.demand.task.cores
        && memory_mb >= kept_mb + u64::from(count) * job.demand.task.memory_mb
}

/// Returns the combined accelerator mask of some tasks.
pub(crate) fn mask_of(tasks: &[TaskCell]) -> u64 {
    tasks.iter().fold(0, |all, cell| all | cell.accelerator_mask)
}
