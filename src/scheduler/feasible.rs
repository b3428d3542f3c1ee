//! Detection of jobs that cannot run even in the empty group.

use super::jobs::Rights;
use super::place::DemandKey;
use super::reserve::ZeroRng;
use super::search::mask_of;
use super::state::Scheduler;
use crate::guarantee::pack_block;
use crate::placement::{Candidate, CellAccess, Demand, Plan, Policy, Pool, Worker, choose};
use crate::prelude::*;

/// Maximum number of demands in the list of those that fit into the empty group.
const MAX_FEASIBLE: usize = 64;

impl Scheduler {
    /// Returns the reason why a job can never run in the group, or `None` if it can.
    pub(crate) fn infeasible_reason(&mut self, spec: &JobSpec) -> Option<String> {
        let rights = self.rights(spec)?;
        let demand = Demand::of(spec);
        let covers =
            |fits: &DemandKey| fits.rights == rights && fits.demand.needs_at_least(&demand);
        if self.template.workers.is_empty() || self.feasible.iter().any(covers) {
            return None;
        }
        let TaskSpec { cores, memory_mb, accelerators } = spec.task;
        let task =
            format!("{cores} cores, {memory_mb} MB and {accelerators} adjacent accelerators");
        let one_task = Demand { tasks: 1, ..demand };
        if self.choose_in_idle_pool(&self.template, &rights, &one_task).is_none() {
            return Some(format!("no worker has {task} for a task"));
        }
        let Some(plan) = self.choose_in_idle_pool(&self.template, &rights, &demand) else {
            let (tasks, adjacency) = (spec.tasks, spec.adjacency);
            return Some(format!(
                "no {adjacency} of the group has room for {tasks} tasks of {task} each"
            ));
        };
        if !rights.borrows && !self.fits_with_guarantees(&rights, &demand, &plan) {
            let tasks = spec.tasks;
            return Some(format!(
                "{tasks} tasks of {task} each do not fit beside the guarantees of others, and the job may not borrow"
            ));
        }
        if self.feasible.len() == MAX_FEASIBLE {
            self.feasible.remove(0);
        }
        self.feasible.push(DemandKey { rights, demand });
        None
    }

    fn choose_in_idle_pool(&self, pool: &Pool, rights: &Rights, demand: &Demand) -> Option<Plan> {
        let offer = |_: u32, worker: &Worker| {
            let (cores, memory_mb) = worker.kept_for_others(rights.organisation);
            Some(Candidate {
                mask: worker.accessible_mask(rights.organisation, CellAccess::Spare),
                cores: worker.free_cores.saturating_sub(cores),
                memory_mb: worker.free_memory_mb.saturating_sub(memory_mb),
                cost: 0,
            })
        };
        choose(pool, demand, self.policy, None, &mut ZeroRng, offer)
    }

    /// Returns whether a job fits into the empty group together with all guarantees of other organisations.
    fn fits_with_guarantees(&self, rights: &Rights, demand: &Demand, plan: &Plan) -> bool {
        if self.policy != Policy::Product {
            return true;
        }
        // Packing is a heuristic, so the job counts as feasible if either order of packing succeeds.
        let mut job_first = self.template.clone();
        for (worker, tasks) in plan {
            let count = tasks.len() as u32;
            let entry = job_first.worker_mut(*worker);
            entry.claimed |= mask_of(tasks);
            entry.free_cores = entry.free_cores.saturating_sub(count * demand.task.cores);
            entry.free_memory_mb =
                entry.free_memory_mb.saturating_sub(u64::from(count) * demand.task.memory_mb);
        }
        if self.pack_guarantees(&mut job_first, rights.organisation) {
            return true;
        }
        let mut job_last = self.template.clone();
        self.pack_guarantees(&mut job_last, rights.organisation)
            && self.choose_in_idle_pool(&job_last, rights, demand).is_some()
    }

    /// Binds the guarantees of all organisations except one, and returns whether all fit.
    fn pack_guarantees(&self, pool: &mut Pool, except: u32) -> bool {
        for block in self.bindings.blocks.iter().filter(|block| block.organisation != except) {
            let usable = |worker: &Worker| {
                let available = worker.all_accelerators() & !worker.bound_all & !worker.claimed;
                let (cores, memory_mb) =
                    worker.proportional_resources((worker.bound_all | available).count_ones());
                let backed = cores <= worker.free_cores && memory_mb <= worker.free_memory_mb;
                if backed { available } else { 0 }
            };
            let Some(cells) = pack_block(pool, &block.block, usable) else { return false };
            for (worker, mask) in cells {
                let entry = pool.worker_mut(worker);
                entry.bound.push((block.organisation, mask));
                entry.bound_all |= mask;
            }
        }
        true
    }
}
