//! Read access to a scheduler: capacity, fragmentation, state of jobs, violated invariants.

use serde::{Deserialize, Serialize};

use super::jobs::{Gang, ShareState, Stage, WaitReason};
use super::message::Block;
use super::state::Scheduler;
use crate::placement::{JobKey, Worker, WorkerState, aligned_blocks};
use crate::prelude::*;

/// Capacity of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacitySummary {
    /// Number of accelerators of all workers that are up.
    pub total_accelerators: u32,
    /// Number of these accelerators that no gang holds or claims.
    pub free_accelerators: u32,
    /// Size of the largest aligned free block on one worker, in accelerators.
    pub largest_worker_block: u32,
    /// Maximum number of free accelerators in one rack.
    pub largest_rack_block: u32,
    /// Number of free accelerators of the group, the same as `free_accelerators`.
    pub largest_group_block: u32,
    /// Number of waiting jobs.
    pub queued_jobs: u32,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "job")]
pub enum JobView {
    /// The job waits.
    Queued {
        /// Reason why the job waits.
        waits: WaitReason,
        /// Number of attempts so far.
        attempts: u32,
        /// Run time saved in a checkpoint, in milliseconds.
        saved_ms: u64,
    },
    /// The job has a current attempt.
    Active {
        /// Identifier of the attempt.
        gang: GangId,
        /// Stage of the attempt.
        stage: Stage,
        /// Workers that the attempt uses.
        workers: Vec<WorkerId>,
    },
    /// The job ended.
    Ended {
        /// Outcome of the job.
        end: JobEnd,
    },
}

/// Violated invariant of a scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "violation")]
pub enum Violation {
    /// The owner of a guaranteed block cannot use it, although the block is not reduced because of missing workers.
    NotReclaimable {
        /// Organisation that owns the guarantee.
        organisation: OrganisationId,
        /// Block that the organisation cannot use now.
        block: Block,
    },
    /// Two gangs hold the same accelerators.
    HeldTwice {
        /// Worker of the accelerators.
        worker: WorkerId,
        /// Mask of the accelerators that are held twice.
        accelerator_mask: u64,
    },
    /// Gangs hold more cores or memory than the worker has.
    Overcommitted {
        /// Overcommitted worker.
        worker: WorkerId,
    },
    /// A gang lacks tasks before it is stopped, lacks cells for its tasks, or is in the running stage with tasks that
    /// are not running.
    PartialGang {
        /// Incomplete gang.
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

    /// Returns the fragmentation of the free accelerators, from 0 to 1.
    ///
    /// It is 1 - (size of the largest gang that could start now) / (size of the largest gang that the number of free
    /// accelerators would allow). Only gangs of whole-worker tasks in one rack are considered, because smaller tasks
    /// fit into any gap and would hide the fragmentation.
    pub fn fragmentation(&self) -> f64 {
        let (mut free, mut worker_size, mut largest_idle, mut largest_rack) = (0, 0, 0, 0);
        for rack in 0..self.pool.rack_count() {
            let (mut rack_idle, mut rack_total) = (0, 0);
            for position in self.pool.rack(rack) {
                let worker = self.pool.worker(*position);
                if worker.state != WorkerState::Up {
                    continue;
                }
                let all = worker.spec.shape.accelerators;
                free += worker.available_mask().count_ones();
                worker_size = worker_size.max(all);
                rack_total += all;
                if worker.available_mask() == worker.all_accelerators() {
                    rack_idle += all;
                }
            }
            largest_idle = largest_idle.max(rack_idle);
            largest_rack = largest_rack.max(rack_total);
        }
        if worker_size == 0 || free < worker_size {
            return 0.0;
        }
        let allowed = (free / worker_size * worker_size).min(largest_rack);
        1.0 - f64::from(largest_idle) / f64::from(allowed)
    }

    /// Returns the state of a job, or `None` if the scheduler has no record of it.
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

    /// Returns the guaranteed blocks that are not available now because workers are missing.
    pub fn reduced_guarantees(&self) -> Vec<(OrganisationId, Block)> {
        let reduced = self.bindings.blocks.iter().filter(|block| block.reduced);
        reduced
            .map(|block| (self.organisations[block.organisation as usize].id.clone(), block.block))
            .collect()
    }

    /// Checks the invariants and returns all violations.
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
            let mut is_unavailable = covered != block.block.accelerators;
            for (position, mask) in &block.cells {
                let worker = self.pool.worker(*position);
                let seen = &mut taken[*position as usize];
                is_unavailable |= *seen & mask != 0
                    || worker.state != WorkerState::Up
                    || worker.pinned_by_others(block.organisation) & mask != 0
                    || !worker.can_guarantee(block.organisation, 0);
                *seen |= mask;
            }
            if is_unavailable {
                let organisation = self.organisations[block.organisation as usize].id.clone();
                violations.push(Violation::NotReclaimable { organisation, block: block.block });
            }
        }
    }

    fn check_gang(&self, key: JobKey, gang: &Gang, violations: &mut Vec<Violation>) {
        let tasks: usize = gang.shares.iter().map(|share| share.tasks.len()).sum();
        let is_complete = tasks == self.jobs[&key].spec.tasks as usize;
        let exempt = matches!(gang.stage, Stage::Adopting | Stage::Stopping | Stage::Checkpointing);
        let held = gang.shares.iter().filter(|s| s.state != ShareState::Ended).all(|share| {
            gang.stage == Stage::Claiming
                || self.pool.worker(share.worker).holdings.iter().any(|h| h.job == key)
        });
        let running = gang.stage != Stage::Running || gang.all_reached(ShareState::Running);
        if (!is_complete && !exempt) || !held || !running {
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
