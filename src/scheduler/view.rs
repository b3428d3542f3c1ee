//! What others may see of a scheduler: capacity, fragmentation, jobs, violated invariants.

use serde::{Deserialize, Serialize};

use super::jobs::{Gang, ShareState, Stage, WaitReason};
use super::message::Block;
use super::state::Scheduler;
use crate::placement::{JobKey, Worker, WorkerState, aligned_blocks};
use crate::prelude::*;

/// The capacity of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacitySummary {
    /// Accelerators of all workers that are up.
    pub total_accelerators: u32,
    /// Those of them that no gang holds or claims.
    pub free_accelerators: u32,
    /// The largest aligned free block on one worker.
    pub largest_worker_block: u32,
    /// The most free accelerators in one rack.
    pub largest_rack_block: u32,
    /// The free accelerators of the group.
    pub largest_group_block: u32,
    /// Jobs that wait.
    pub queued_jobs: u32,
}

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "job")]
pub enum JobView {
    /// The job waits.
    Queued {
        /// Why.
        waits: WaitReason,
        /// Attempts so far.
        attempts: u32,
        /// Progress saved in a checkpoint, in milliseconds.
        saved_ms: u64,
    },
    /// An attempt is under way.
    Active {
        /// The attempt.
        gang: GangId,
        /// How far it is.
        stage: Stage,
        /// The workers that it uses.
        workers: Vec<WorkerId>,
    },
    /// The job ended.
    Ended {
        /// How.
        end: JobEnd,
    },
}

/// An invariant that does not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "violation")]
pub enum Violation {
    /// A guaranteed block cannot be taken by its owner, although no worker was lost.
    NotReclaimable {
        /// The organisation that holds the guarantee.
        organisation: OrganisationId,
        /// The block that it could not take now.
        block: Block,
    },
    /// Two gangs hold the same accelerators.
    HeldTwice {
        /// The worker.
        worker: WorkerId,
        /// The accelerators.
        accelerator_mask: u64,
    },
    /// Gangs hold more cores or memory than the worker has.
    Overcommitted {
        /// The worker.
        worker: WorkerId,
    },
    /// A gang that is not stopping lacks tasks.
    PartialGang {
        /// The gang.
        gang: GangId,
    },
}

impl Scheduler {
    /// Returns the capacity of the group.
    pub fn summary(&self) -> CapacitySummary {
        let mut summary =
            CapacitySummary { queued_jobs: self.queue.len() as u32, ..Default::default() };
        for rack in 0..self.pool.rack_count() {
            let mut rack_free = 0;
            for position in self.pool.rack(rack) {
                let worker = self.pool.worker(*position);
                if worker.state != WorkerState::Up {
                    continue;
                }
                let free = worker.available_mask().count_ones();
                rack_free += free;
                summary.total_accelerators += worker.spec.shape.accelerators;
                summary.largest_worker_block =
                    summary.largest_worker_block.max(largest_block(worker));
            }
            summary.free_accelerators += rack_free;
            summary.largest_rack_block = summary.largest_rack_block.max(rack_free);
        }
        summary.largest_group_block = summary.free_accelerators;
        summary
    }

    /// Returns 1 - the largest gang that could start now / the largest that the free accelerators would allow.
    ///
    /// Gangs of whole-worker tasks in one rack are counted: smaller tasks fit into any hole and would hide
    /// fragmentation.
    pub fn fragmentation(&self) -> f64 {
        let (mut free, mut whole, mut largest, mut widest) = (0, 0, 0, 0);
        for rack in 0..self.pool.rack_count() {
            let (mut rack_whole, mut rack_all) = (0, 0);
            for position in self.pool.rack(rack) {
                let worker = self.pool.worker(*position);
                if worker.state != WorkerState::Up {
                    continue;
                }
                let all = worker.spec.shape.accelerators;
                free += worker.available_mask().count_ones();
                whole = whole.max(all);
                rack_all += all;
                if worker.available_mask() == worker.all_accelerators() {
                    rack_whole += all;
                }
            }
            largest = largest.max(rack_whole);
            widest = widest.max(rack_all);
        }
        if whole == 0 || free < whole {
            return 0.0;
        }
        let allowed = (free / whole * whole).min(widest);
        1.0 - f64::from(largest) / f64::from(allowed)
    }

    /// Returns where a job stands, or `None` if the scheduler does not know it.
    pub fn job(&self, job: &JobId) -> Option<JobView> {
        let Some(key) = self.keys.get(job) else {
            return self.ended.get(job).map(|end| JobView::Ended { end: end.clone() });
        };
        let job = &self.jobs[key];
        Some(match &job.gang {
            None => JobView::Queued {
                waits: self.wait_reason(*key),
                attempts: job.attempts,
                saved_ms: job.saved_ms,
            },
            Some(gang) => JobView::Active {
                gang: gang.id.clone(),
                stage: gang.stage,
                workers: gang.shares.iter().map(|share| self.worker_id(share.worker)).collect(),
            },
        })
    }

    fn wait_reason(&self, key: JobKey) -> WaitReason {
        if let Some(wait) = self.blocked(self.last_ms, key) {
            return wait;
        }
        if self.is_waiting_for_cells(key) { WaitReason::Capacity } else { WaitReason::Turn }
    }

    /// Returns the guaranteed blocks that cannot be taken now because workers are missing.
    pub fn reduced_guarantees(&self) -> Vec<(OrganisationId, Block)> {
        let reduced = self.bindings.blocks.iter().filter(|block| block.reduced);
        reduced
            .map(|block| (self.organisations[block.organisation as usize].id.clone(), block.block))
            .collect()
    }

    /// Checks the invariants and returns all that do not hold.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for worker in &self.pool.workers {
            self.check_cells(worker, &mut violations);
        }
        self.check_guarantees(&mut violations);
        for key in &self.active {
            if let Some(gang) = &self.jobs[key].gang {
                self.check_gang(*key, gang, &mut violations);
            }
        }
        violations
    }

    fn check_cells(&self, worker: &Worker, violations: &mut Vec<Violation>) {
        let mut seen = 0;
        let mut twice = 0;
        for holding in &worker.holdings {
            twice |= seen & holding.mask;
            seen |= holding.mask;
        }
        if twice != 0 {
            let id = worker.spec.id.clone();
            violations.push(Violation::HeldTwice { worker: id, accelerator_mask: twice });
        }
        let cores: u32 = worker.holdings.iter().map(|h| h.cores).sum();
        let memory_mb: u64 = worker.holdings.iter().map(|h| h.memory_mb).sum();
        if cores > worker.spec.shape.cores || memory_mb > worker.spec.shape.memory_mb {
            violations.push(Violation::Overcommitted { worker: worker.spec.id.clone() });
        }
    }

    fn check_guarantees(&self, violations: &mut Vec<Violation>) {
        let mut taken: Vec<u64> = vec![0; self.pool.workers.len()];
        for block in self.bindings.blocks.iter().filter(|block| !block.reduced) {
            let covered: u32 = block.cells.iter().map(|(_, mask)| mask.count_ones()).sum();
            let mut lost = covered != block.block.accelerators;
            for (position, mask) in &block.cells {
                let worker = self.pool.worker(*position);
                let seen = &mut taken[*position as usize];
                lost |= *seen & mask != 0
                    || worker.state != WorkerState::Up
                    || worker.pinned_by_others(block.organisation) & mask != 0
                    || !worker.can_guarantee(block.organisation, 0);
                *seen |= mask;
            }
            if lost {
                let organisation = self.organisations[block.organisation as usize].id.clone();
                violations.push(Violation::NotReclaimable { organisation, block: block.block });
            }
        }
    }

    fn check_gang(&self, key: JobKey, gang: &Gang, violations: &mut Vec<Violation>) {
        let tasks: usize = gang.shares.iter().map(|share| share.tasks.len()).sum();
        let whole = tasks == self.jobs[&key].spec.tasks as usize;
        let exempt = matches!(gang.stage, Stage::Adopting | Stage::Stopping | Stage::Checkpointing);
        let held = gang.shares.iter().filter(|s| s.state != ShareState::Ended).all(|share| {
            gang.stage == Stage::Claiming
                || self.pool.worker(share.worker).holdings.iter().any(|h| h.job == key)
        });
        let running = gang.stage != Stage::Running || gang.all_reached(ShareState::Running);
        if (!whole && !exempt) || !held || !running {
            violations.push(Violation::PartialGang { gang: gang.id.clone() });
        }
    }
}

/// Returns the size of the largest aligned free block of a worker.
fn largest_block(worker: &Worker) -> u32 {
    let mut size = worker.spec.shape.accelerators.next_power_of_two();
    while size > 0 && aligned_blocks(worker.available_mask(), size) == 0 {
        size /= 2;
    }
    size
}
